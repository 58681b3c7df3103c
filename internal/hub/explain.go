package hub

import (
	"context"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// Knowledge is what a VM knows when it explains where a request would go.
type Knowledge struct {
	// Table is the route table in force, nil if there is none. TableAge is the time for which it has been in force.
	Table    *routes.Table
	TableAge time.Duration
	// Decides is set if the scheduler of this VM places requests now. Otherwise DecidedBy is the internal address of the control
	// VM that does, as far as this VM knows, and Silent the time since its last message.
	Decides   bool
	DecidedBy string
	Silent    time.Duration
	// Evacuated are the evacuated zones with the time of the order. It must not be changed.
	Evacuated map[string]time.Time
	// ReadyServers returns the servers of a service that accept requests by their announcements, as of now.
	ReadyServers func(service string) []roster.Server
}

// knowledgeRequested asks the hub what it knows. The content of the table is decoded by the caller.
type knowledgeRequested struct{ reply chan<- hubKnowledge }

type hubKnowledge struct {
	Knowledge
	table *hubpb.RouteTable
}

func (m knowledgeRequested) handle(c *core, now time.Time) {
	k := hubKnowledge{table: c.table}
	k.Decides, k.DecidedBy, k.Evacuated = !c.isForwarding(), c.leader, c.evacuations.zones
	k.ReadyServers = c.readyServers()
	if c.table.GetVersion() > 0 {
		k.TableAge = now.Sub(c.tableSince)
	}
	if c.upstream != nil {
		k.Silent = now.Sub(c.upstream.lastReplyAt)
	}
	m.reply <- k
}

// readyServers returns a function that returns the servers of a service that are ready now, also when it is called later.
func (c *core) readyServers() func(service string) []roster.Server {
	ready := map[string][]roster.Server{}
	c.roster.Each(func(server roster.Server) {
		if server.State == roster.StateReady {
			ready[server.Service] = append(ready[server.Service], server)
		}
	})
	return func(service string) []roster.Server { return ready[service] }
}

// Knowledge returns what this control VM knows.
func (h *Hub) Knowledge(ctx context.Context) (Knowledge, error) {
	reply := make(chan hubKnowledge, 1)
	if err := h.send(ctx, knowledgeRequested{reply: reply}); err != nil {
		return Knowledge{}, err
	}
	k, err := awaitReply(ctx, reply)
	if err != nil || k.table.GetVersion() == 0 {
		return k.Knowledge, err
	}
	content, err := bundle.Decompress(k.table.GetContent(), nil)
	if err == nil {
		k.Table, err = h.options.Decode(content)
	}
	if err != nil {
		return Knowledge{}, fmt.Errorf("route table %d: %w", k.table.GetVersion(), err)
	}
	return k.Knowledge, nil
}

// explanationRequested asks for the placement of a request. It is handled by the hub or by the link.
type explanationRequested struct {
	request schedule.PlacementRequest
	reply   chan<- schedule.Explanation
}

func (m explanationRequested) handle(c *core, now time.Time) {
	m.reply <- c.scheduler.Explain(now, m.request)
}

// Explain returns where the scheduler of this control VM would place the request now. Nothing changes.
func (h *Hub) Explain(ctx context.Context, request schedule.PlacementRequest) (schedule.Explanation, error) {
	reply := make(chan schedule.Explanation, 1)
	if err := h.send(ctx, explanationRequested{request: request, reply: reply}); err != nil {
		return schedule.Explanation{}, err
	}
	return awaitReply(ctx, reply)
}

// linkExplanationRequested is explanationRequested with what the entry VM knows.
type linkExplanationRequested struct {
	explanationRequested
	knowledge chan<- Knowledge
}

func (m linkExplanationRequested) handle(s *linkState, now time.Time) {
	k := Knowledge{Decides: !s.schedulerAttached || s.schedulerSuspect, DecidedBy: s.address, Evacuated: s.link.evacuations.zones, ReadyServers: s.link.ReadyServers}
	if leader, _ := s.knownControlVMs(); leader != "" {
		k.DecidedBy = leader
	}
	m.knowledge <- k
	if m.reply != nil {
		m.reply <- s.local.Explain(now, m.request)
	}
}

// Knowledge returns what this entry VM knows.
func (l *Link) Knowledge(ctx context.Context) (Knowledge, error) {
	reply := make(chan Knowledge, 1)
	if err := l.send(ctx, linkExplanationRequested{knowledge: reply}); err != nil {
		return Knowledge{}, err
	}
	k, err := awaitReply(ctx, reply)
	source := l.TableSource()
	if k.Table, k.Silent = l.Table(), source.Silent; k.Table != nil {
		k.TableAge = source.Age
	}
	return k, err
}

// Explain returns where the scheduler of this entry VM would place the request now. Nothing changes.
func (l *Link) Explain(ctx context.Context, request schedule.PlacementRequest) (schedule.Explanation, error) {
	reply := make(chan schedule.Explanation, 1)
	asked := linkExplanationRequested{explanationRequested{request, reply}, make(chan Knowledge, 1)}
	if err := l.send(ctx, asked); err != nil {
		return schedule.Explanation{}, err
	}
	return awaitReply(ctx, reply)
}

func awaitReply[T any](ctx context.Context, reply <-chan T) (answer T, err error) {
	select {
	case answer = <-reply:
		return answer, nil
	case <-ctx.Done():
		return answer, ctx.Err()
	}
}
