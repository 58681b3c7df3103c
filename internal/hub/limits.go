package hub

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/serverstate"
)

func limitsToProto(limits []serverstate.Limit, now time.Time) []*hubpb.ServerLimit {
	messages := make([]*hubpb.ServerLimit, 0, len(limits))
	for _, limit := range limits {
		message := &hubpb.ServerLimit{Server: limit.Server, AgeMs: uint32(max(0, now.Sub(limit.StatedAt).Milliseconds()))}
		if !limit.StartedAt.IsZero() {
			message.BornMs = limit.StartedAt.UnixMilli()
		}
		if limit.Stated {
			message.PerSecond = proto.Float64(limit.PerSecond)
		}
		messages = append(messages, message)
	}
	return messages
}

func limitsFromProto(messages []*hubpb.ServerLimit, now time.Time) []serverstate.Limit {
	limits := make([]serverstate.Limit, 0, len(messages))
	for _, message := range messages {
		limit := serverstate.Limit{
			Server: message.GetServer(), Stated: message.PerSecond != nil, PerSecond: message.GetPerSecond(),
			StatedAt: now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond),
		}
		if message.GetBornMs() != 0 {
			limit.StartedAt = time.UnixMilli(message.GetBornMs())
		}
		limits = append(limits, limit)
	}
	return limits
}

// applyLimits records limits of backend servers on a control VM and passes changes on to the attached entry VMs and, if they
// were reported by an entry VM, to the other control VMs.
func (c *core) applyLimits(limits []serverstate.Limit, reporter string, now time.Time) {
	for _, limit := range limits {
		if !c.limits.Merge(limit) {
			continue
		}
		observe.Log(c.options.Logger, observe.ServerLimitChanged).Str("server", limit.Server).Bool("limited", limit.Stated).
			Float64("per_second", limit.PerSecond).Dur("age", now.Sub(limit.StatedAt)).Str("entry_vm", reporter).Send()
		if server, found := c.roster.Find(limit.Server); found {
			c.setServer(server, now)
		}
		message := limitsToProto([]serverstate.Limit{limit}, now)
		for s := range c.sessions {
			s.pending().Limits = append(s.pending().Limits, message...)
		}
		if reporter != "" {
			c.peers.addLimits(true, limit)
		}
	}
}

// limitStated reports what an answer to this VM said about the limit of its server.
type limitStated struct {
	server    roster.Server
	statement serverstate.Statement
	statedAt  time.Time
}

func (m limitStated) handle(s *linkState, now time.Time) {
	limit := serverstate.Limit{
		Server: m.server.ID, StartedAt: m.server.StartedAt, Stated: m.statement.Limit == serverstate.LimitStated,
		PerSecond: m.statement.PerSecond, StatedAt: m.statedAt,
	}
	if !s.applyLimit(limit, now) {
		return
	}
	observe.Log(s.link.options.Logger, observe.ServerStatedLimit).Str("server", m.server.ID).Str("service", m.server.Service).
		Str("address", m.server.Address).Bool("limited", limit.Stated).Float64("per_second", limit.PerSecond).Send()
	if s.outbox != nil {
		s.pending().Limits = append(s.pending().Limits, limitsToProto([]serverstate.Limit{limit}, now)...)
	}
}

// applyLimit records the limit of a backend server for this VM's own scheduler, and reports whether it has changed.
func (s *linkState) applyLimit(limit serverstate.Limit, now time.Time) (changed bool) {
	if !s.limits.Merge(limit) {
		return false
	}
	s.link.limitsKnown.Store(int64(s.limits.Len()))
	if server, found := s.link.Find(limit.Server); found {
		s.setServer(server, now)
	}
	return true
}

// recordLimit passes on what an answer said about the limit of its server, unless it says that there is none and no limit of any
// server is known.
func (l *Link) recordLimit(server roster.Server, statement serverstate.Statement, now time.Time) {
	isNews := statement.Limit == serverstate.LimitStated || statement.Limit == serverstate.LimitNone && l.limitsKnown.Load() > 0
	if isNews {
		_ = l.send(context.Background(), limitStated{server: server, statement: statement, statedAt: now})
	}
}
