package hub

import (
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
)

// updateWarmUpShare sets the part of the bounds of cold servers that this VM's scheduler may use. Unlike the slots, the
// leader's part belongs to the VM that holds the leader lease, and the number of control VMs is that of the members:
// one that has lost the others must not take their parts.
func (c *core) updateWarmUpShare(now time.Time) {
	fraction := 0.0
	if group := c.options.Group(); group != nil {
		if members := len(group.MemberAddresses()); members > 0 {
			fraction = 1 / float64(max(members, len(c.controls)+1))
		}
	}
	c.scheduler.SetWarmUpShare(now, fraction, c.isLeader, hashName(c.options.Address))
}

// updateWarmUps sets the part of the bounds of cold servers that this VM's own scheduler may use, and keeps its buckets up to
// date while it places no requests.
func (s *linkState) updateWarmUps(now time.Time) {
	s.local.TakeWarmUpChanges(now)
	s.local.SetWarmUpShare(now, 1/float64(s.link.EntryVMCount()), false, s.link.options.Incarnation)
}

// isNewlyCold reports whether a server of a service that takes fewer requests during its warm-up has become cold: the other
// VMs are told at once, unlike of the countdown.
func (c *core) isNewlyCold(known, applied roster.Server) bool {
	return c.scheduler.LimitsWarmUp(applied.Service) && roster.IsNewlyCold(&known, &applied)
}

// reportWarmUps logs on the leader which servers have become cold or warm, and updates the metric.
func (c *core) reportWarmUps(now time.Time) {
	changes, cold := c.scheduler.TakeWarmUpChanges(now)
	if !c.isLeader {
		cold = 0
	}
	if cold != c.coldServers || len(changes) > 0 {
		c.coldServers = cold
		c.options.Metrics.Gauge("godwityoke_cold_servers").Update(int64(cold))
	}
	if !c.isLeader {
		return
	}
	for _, change := range changes {
		line := observe.Log(c.options.Logger, observe.ServerWarmUpChanged).Str("server", change.Server).Str("service", change.Service).
			Bool("cold", change.Cold).Int("cold_servers", cold).Float64("per_second", change.PerSecond).Float64("planned", change.Planned)
		if change.Cold {
			line.Dur("left", change.Left).Send()
			continue
		}
		line.Dur("after", change.Left).Int("placed", change.Placed).Send()
	}
}
