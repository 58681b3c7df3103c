package place

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/capacity"
)

// GroupPlacement is a Placement of a prompt that needs several engines. Its Server is
// the engine of the last segment, which generates the answer.
type GroupPlacement interface {
	Placement
	// Segments returns the parts of the prompt in order.
	Segments() []GroupSegment
	// BeginPrefill tells that the engine of a segment begins to compute it.
	BeginPrefill(segment int)
	// EndPrefill tells that the engine has computed it. The prefill of the
	// last segment ends with FirstToken instead.
	EndPrefill(segment int)
}

// GroupSegment is the part of a prompt that one engine prefills and holds.
type GroupSegment struct {
	Server Server
	// Attempt names the segment on its engine.
	Attempt string
	// Start and End are positions in the prompt in tokens, End exclusive.
	Start int64
	End   int64
	// Tokens is the engine memory leased.
	Tokens int64
}

// Header returns the value of backendapi.HeaderSegment.
func (s GroupSegment) Header() string { return fmt.Sprintf("%d-%d", s.Start, s.End) }

// GroupStepKind tells what a step of a group does.
type GroupStepKind int

// Kinds of step.
const (
	// GroupPrefill computes a segment without an answer.
	GroupPrefill GroupStepKind = iota + 1
	// GroupTransfer makes the KV cache of one segment, which stays where it
	// is, the context of another.
	GroupTransfer
)

// GroupStep is one step before the last segment is computed.
type GroupStep struct {
	Kind GroupStepKind
	// Segment is the index of the segment that is computed, or that needs the
	// context; Source that of the segment which is the context.
	Segment int
	Source  int
}

// GroupSteps returns the steps for a number of segments, in order.
func GroupSteps(segments int) []GroupStep {
	var steps []GroupStep
	for i := range segments {
		for source := range i {
			steps = append(steps, GroupStep{Kind: GroupTransfer, Segment: i, Source: source})
		}
		if i < segments-1 {
			steps = append(steps, GroupStep{Kind: GroupPrefill, Segment: i})
		}
	}
	return steps
}

// ImportName names the import of a source segment into this one.
func (s GroupSegment) ImportName(source int) string {
	return fmt.Sprintf("%s.import%d", s.Attempt, source)
}

// groupPlacement is a placement on several engines.
type groupPlacement struct {
	*placement
	segments []GroupSegment
	// others are the leases of all segments but the last.
	others []*capacity.Lease
}

// Segments implements GroupPlacement.
func (g *groupPlacement) Segments() []GroupSegment { return g.segments }

// BeginPrefill implements GroupPlacement.
func (g *groupPlacement) BeginPrefill(segment int) {
	tokens := g.segments[segment].End - g.segments[segment].Start
	if segment < len(g.others) {
		g.others[segment].BeginPrefill(tokens)
		return
	}
	g.lease.BeginPrefill(tokens)
}

// EndPrefill implements GroupPlacement.
func (g *groupPlacement) EndPrefill(segment int) {
	if segment < len(g.others) {
		g.others[segment].FirstToken()
	}
}

// Finish implements Placement. The engines keep the segments until they are
// cancelled, so the memory of all but the last counts until that is confirmed.
func (g *groupPlacement) Finish(result AttemptResult) {
	g.placement.Finish(result)
	for _, lease := range g.others {
		lease.Release(true)
	}
}

// needsGroup reports whether query is too large for each of the engines.
func needsGroup(servers []Server, query *Query) bool {
	for i := range servers {
		if servers[i].MemoryTokens == 0 || query.MemoryTokens() <= servers[i].MemoryTokens {
			return false
		}
	}
	return len(servers) > 0
}

// placeGroup places a query on several engines, all or none.
func (l *leasePlacer) placeGroup(ctx context.Context, query Query, servers []Server) (Placement, error) {
	now := l.baseline.options.Clock()
	planned, err := l.planGroup(&query, servers, now)
	if err != nil {
		return nil, err
	}
	run, err := l.groupTime(&query, planned, now)
	if err != nil {
		return nil, err
	}
	leases, err := capacity.AcquireGroup(planned, func(segment capacity.Segment) (*capacity.Lease, error) {
		return l.acquireSegment(ctx, &query, servers, segment, run)
	})
	if err != nil {
		return nil, l.groupRefusal(&query, run, err)
	}
	return l.beginGroup(query, servers, planned, leases), nil
}

func (l *leasePlacer) planGroup(query *Query, servers []Server, now time.Time) ([]capacity.Segment, error) {
	b := l.baseline
	b.mu.Lock()
	defer b.mu.Unlock()
	percent := 0.0
	if b.options.MaxEjectedPercent != nil {
		percent = b.options.MaxEjectedPercent()
	}
	kept := b.knowledge.ejector.AppendAvailable(nil, len(servers), func(i int) string { return servers[i].ID }, percent, now)
	var engines []capacity.GroupEngine
	for _, i := range kept {
		server := &servers[i]
		if server.Role == backendapi.RoleDecode || slices.Contains(query.Exclude, server.ID) {
			continue
		}
		engines = append(engines, capacity.GroupEngine{Server: server.ID, Memory: server.MemoryTokens, Free: server.MemoryTokens - server.Load.UsedTokens})
	}
	reserve := 0.0
	if b.options.ShortReservePercent != nil {
		reserve = b.options.ShortReservePercent()
	}
	planned := capacity.PlanGroup(query.PromptTokens, query.AnswerTokens, engines, reserve)
	if planned == nil {
		return nil, &RefusedError{Reason: ErrNoServer, RetryAfter: noServerRetry}
	}
	return planned, nil
}

// groupTime estimates how long the group runs and refuses a query that cannot
// finish in time. That no group can be had does not mean that the engines are
// overloaded, so the listener does not hear of it.
func (l *leasePlacer) groupTime(query *Query, planned []capacity.Segment, now time.Time) (time.Duration, error) {
	b := l.baseline
	b.mu.Lock()
	defer b.mu.Unlock()
	outlook := b.knowledge.outlook(query)
	var total time.Duration
	for _, segment := range planned {
		total += outlook.speeds.ForServer(segment.Server).Prefill(segment.End - segment.Start)
	}
	expected := timing{firstToken: total, decode: outlook.speeds.Average().Decode(outlook.answer)}
	if !b.inTime(expected, query, now) && !b.knowledge.mayTry(query.Model, now) {
		return 0, refuseNoTime(expected.total(), query, now)
	}
	return time.Duration(float64(expected.total()) * (1 + startMargin)), nil
}

// acquireSegment asks for the lease of one segment. It waits for at most half
// of the time until the latest start, since leases of other segments are held
// meanwhile.
func (l *leasePlacer) acquireSegment(ctx context.Context, query *Query, servers []Server, segment capacity.Segment, run time.Duration) (*capacity.Lease, error) {
	now := l.baseline.options.Clock()
	deadline := query.Deadline
	if deadline.IsZero() {
		deadline = now.Add(maxRetry)
	}
	latest := latestStart(deadline, run, now)
	asked := &plan{
		group: LeaseGroup(findServer(servers, segment.Server)),
		request: capacity.Request{
			Attempt: segmentAttempt(query, segment), Holder: l.baseline.options.VM, Tokens: segment.Tokens,
			Priority: EnginePriority(false, query.Priority), LatestStart: now.Add(latest.Sub(now) / 2), Deadline: deadline,
		},
		choices: []capacity.Choice{{Server: segment.Server}},
	}
	return l.acquire(ctx, query, asked)
}

// segmentAttempt names a segment on its engine. The last one has the name of
// the attempt itself, under which the answer is expected.
func segmentAttempt(query *Query, segment capacity.Segment) string {
	if segment.End == query.PromptTokens {
		return query.Attempt
	}
	return fmt.Sprintf("%s.segment%d", query.Attempt, segment.Start)
}

func (l *leasePlacer) groupRefusal(query *Query, run time.Duration, err error) error {
	var refused *capacity.RefusedError
	switch {
	case errors.Is(err, capacity.ErrNoScheduler):
		return &RefusedError{Reason: ErrNoServer, RetryAfter: noServerRetry}
	case errors.As(err, &refused):
		return refuseNoTime(run, query, l.baseline.options.Clock())
	}
	return err
}

func (l *leasePlacer) beginGroup(query Query, servers []Server, planned []capacity.Segment, leases []*capacity.Lease) Placement {
	last := len(planned) - 1
	group := &groupPlacement{others: leases[:last]}
	for _, segment := range planned {
		group.segments = append(group.segments, GroupSegment{
			Server: *findServer(servers, segment.Server), Attempt: segmentAttempt(&query, segment),
			Start: segment.Start, End: segment.End, Tokens: segment.Tokens,
		})
	}
	b := l.baseline
	b.mu.Lock()
	defer b.mu.Unlock()
	group.placement = b.begin(query, &candidate{server: findServer(servers, planned[last].Server)}, timing{}, b.options.Clock())
	group.lease = leases[last]
	group.grouped = true
	return group
}

func findServer(servers []Server, id string) *Server {
	for i := range servers {
		if servers[i].ID == id {
			return &servers[i]
		}
	}
	return &Server{ID: id}
}
