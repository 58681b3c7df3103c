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

// GroupPlacement is a Placement on several engines, for a prompt that exceeds the
// memory of one. Server returns the engine of the last segment, which decodes the
// answer.
type GroupPlacement interface {
	Placement
	// Segments returns the segments in prompt order.
	Segments() []GroupSegment
	// BeginPrefill records the start of a segment's prefill.
	BeginPrefill(segment int)
	// EndPrefill records the end of a segment's prefill. For the last segment
	// FirstToken does so, and EndPrefill has no effect.
	EndPrefill(segment int)
}

// GroupSegment is a part of a prompt that one engine prefills and keeps in memory.
type GroupSegment struct {
	Server Server
	// Attempt is the attempt ID of the segment on its engine.
	Attempt string
	// Start (inclusive) and End (exclusive) are token positions in the prompt.
	Start int64
	End   int64
	// Tokens is the leased engine memory.
	Tokens int64
}

// Header returns the value of backendapi.HeaderSegment.
func (s GroupSegment) Header() string { return fmt.Sprintf("%d-%d", s.Start, s.End) }

// GroupStepKind is the kind of a GroupStep.
type GroupStepKind int

// Values of GroupStepKind.
const (
	// GroupPrefill prefills a segment without decoding an answer.
	GroupPrefill GroupStepKind = iota + 1
	// GroupTransfer makes the KV cache of an earlier segment the context of a later
	// one. The cache itself stays on its engine.
	GroupTransfer
)

// GroupStep is one step before the prefill of the last segment.
type GroupStep struct {
	Kind GroupStepKind
	// Segment is the index of the segment to prefill, or of the segment that receives
	// the context. Source is the index of the segment that GroupTransfer reads.
	Segment int
	Source  int
}

// GroupSteps returns the steps for a prompt of the given number of segments, in the
// order of their execution.
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

// ImportName returns the name under which the engine of s imports the KV cache of the
// segment with index source.
func (s GroupSegment) ImportName(source int) string {
	return fmt.Sprintf("%s.import%d", s.Attempt, source)
}

// groupPlacement implements GroupPlacement. The embedded placement is that of the last
// segment.
type groupPlacement struct {
	*placement
	segments []GroupSegment
	// otherLeases holds the leases of all segments except the last one.
	otherLeases []*capacity.Lease
}

// Segments implements GroupPlacement.
func (g *groupPlacement) Segments() []GroupSegment { return g.segments }

// BeginPrefill implements GroupPlacement.
func (g *groupPlacement) BeginPrefill(segment int) {
	tokens := g.segments[segment].End - g.segments[segment].Start
	if segment < len(g.otherLeases) {
		g.otherLeases[segment].BeginPrefill(tokens)
		return
	}
	g.lease.BeginPrefill(tokens)
}

// EndPrefill implements GroupPlacement.
func (g *groupPlacement) EndPrefill(segment int) {
	if segment < len(g.otherLeases) {
		g.otherLeases[segment].EndPrefill()
	}
}

// Finish implements Placement. Engines keep segments in memory until they are
// cancelled, so the leases of all segments but the last are released with the memory
// still held: it counts as leased until the cancellation is confirmed.
func (g *groupPlacement) Finish(result AttemptResult) {
	g.placement.Finish(result)
	for _, lease := range g.otherLeases {
		lease.Release(true)
	}
}

// needsGroup reports whether query exceeds the memory of every server.
func needsGroup(servers []Server, query *Query) bool {
	for i := range servers {
		if servers[i].MemoryTokens == 0 || query.MemoryTokens() <= servers[i].MemoryTokens {
			return false
		}
	}
	return len(servers) > 0
}

// placeGroup places a query on several engines. It acquires the leases of all segments
// or of none. The error is a *RefusedError or the error of ctx.
func (l *leasePlacer) placeGroup(ctx context.Context, query Query, servers []Server) (Placement, error) {
	now := l.local.options.Clock()
	segments, err := l.planGroup(&query, servers, now)
	if err != nil {
		return nil, err
	}
	run, err := l.estimateGroupRun(&query, segments, now)
	if err != nil {
		return nil, err
	}
	leases, err := capacity.AcquireGroup(segments, func(segment capacity.Segment) (*capacity.Lease, error) {
		return l.acquireSegment(ctx, &query, servers, segment, run)
	})
	if err != nil {
		return nil, l.groupRefusal(&query, run, err)
	}
	return l.startGroup(query, servers, segments, leases), nil
}

// planGroup divides the query into segments on available engines. It returns a
// *RefusedError if these engines are too small together.
func (l *leasePlacer) planGroup(query *Query, servers []Server, now time.Time) ([]capacity.Segment, error) {
	p := l.local
	p.mu.Lock()
	defer p.mu.Unlock()
	percent := 0.0
	if p.options.MaxEjectedPercent != nil {
		percent = p.options.MaxEjectedPercent()
	}
	available := p.stats.ejector.AppendAvailable(nil, len(servers), func(i int) string { return servers[i].ID }, percent, now)
	var engines []capacity.GroupEngine
	for _, i := range available {
		server := &servers[i]
		if server.Role == backendapi.RoleDecode || slices.Contains(query.Exclude, server.ID) {
			continue
		}
		engines = append(engines, capacity.GroupEngine{Server: server.ID, Memory: server.MemoryTokens, Free: server.MemoryTokens - server.Load.UsedTokens})
	}
	reserve := 0.0
	if p.options.ShortReservePercent != nil {
		reserve = p.options.ShortReservePercent()
	}
	segments := capacity.PlanGroup(query.PromptTokens, query.AnswerTokens, engines, reserve)
	if segments == nil {
		return nil, &RefusedError{Reason: ErrNoServer, RetryAfter: noServerRetryAfter}
	}
	return segments, nil
}

// estimateGroupRun returns the expected run time of the query on the engines of segments,
// with a safety margin. It returns a *RefusedError for a query that by recent evidence cannot
// meet its deadline, but reports no overload to the listener: the run time of such a prompt
// says nothing about the load of the engines.
func (l *leasePlacer) estimateGroupRun(query *Query, segments []capacity.Segment, now time.Time) (time.Duration, error) {
	p := l.local
	p.mu.Lock()
	defer p.mu.Unlock()
	durations := p.stats.newDurationEstimator(query)
	var total time.Duration
	for _, segment := range segments {
		total += durations.speeds.ForServer(segment.Server).Prefill(segment.End - segment.Start)
	}
	expected := timeEstimate{firstToken: total, decode: durations.speeds.Average().Decode(durations.answerTokens)}
	if !p.meetsDeadline(expected, query, now) && !p.stats.isEvidenceStale(query.Model, now) {
		return 0, deadlineRefusal(expected.total(), query, now)
	}
	return time.Duration(float64(expected.total()) * (1 + startMarginFraction)), nil
}

// acquireSegment acquires the lease of one segment. It waits at most half of the time
// until the latest start of a query with the run time run, because the leases of other
// segments are held meanwhile.
func (l *leasePlacer) acquireSegment(ctx context.Context, query *Query, servers []Server, segment capacity.Segment, run time.Duration) (*capacity.Lease, error) {
	now := l.local.options.Clock()
	deadline := query.Deadline
	if deadline.IsZero() {
		deadline = now.Add(maxRetryAfter)
	}
	latest := latestStart(deadline, run, now)
	planned := &plan{
		leaseGroup: LeaseGroup(findServer(servers, segment.Server)),
		request: capacity.Request{
			Attempt: segmentAttempt(query, segment), Holder: l.local.options.VM, Tokens: segment.Tokens,
			Priority: EnginePriority(false, query.Priority), LatestStart: now.Add(latest.Sub(now) / 2), Deadline: deadline,
		},
		choices: []capacity.Choice{{Server: segment.Server}},
	}
	return l.acquire(ctx, query, planned)
}

// segmentAttempt returns the attempt ID of a segment on its engine. The last segment,
// which produces the answer, uses the ID of the query's attempt.
func segmentAttempt(query *Query, segment capacity.Segment) string {
	if segment.End == query.PromptTokens {
		return query.Attempt
	}
	return fmt.Sprintf("%s.segment%d", query.Attempt, segment.Start)
}

// groupRefusal returns the *RefusedError for an error of capacity.AcquireGroup that is a
// refusal or the lack of a scheduler, and any other error unchanged.
func (l *leasePlacer) groupRefusal(query *Query, run time.Duration, err error) error {
	var refused *capacity.RefusedError
	switch {
	case errors.Is(err, capacity.ErrNoScheduler):
		return &RefusedError{Reason: ErrNoServer, RetryAfter: noServerRetryAfter}
	case errors.As(err, &refused):
		return deadlineRefusal(run, query, l.local.options.Clock())
	}
	return err
}

// startGroup records the start of an attempt on several engines. leases holds one lease
// for each of segments, in the same order.
func (l *leasePlacer) startGroup(query Query, servers []Server, segments []capacity.Segment, leases []*capacity.Lease) Placement {
	last := len(segments) - 1
	group := &groupPlacement{otherLeases: leases[:last]}
	for _, segment := range segments {
		group.segments = append(group.segments, GroupSegment{
			Server: *findServer(servers, segment.Server), Attempt: segmentAttempt(&query, segment),
			Start: segment.Start, End: segment.End, Tokens: segment.Tokens,
		})
	}
	p := l.local
	p.mu.Lock()
	defer p.mu.Unlock()
	group.placement = p.startAttempt(query, &candidate{server: findServer(servers, segments[last].Server)}, timeEstimate{}, p.options.Clock())
	group.lease = leases[last]
	group.isGroup = true
	return group
}

// findServer returns the server with the given ID, or a Server with only the ID set.
func findServer(servers []Server, id string) *Server {
	for i := range servers {
		if servers[i].ID == id {
			return &servers[i]
		}
	}
	return &Server{ID: id}
}
