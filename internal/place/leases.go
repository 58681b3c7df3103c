package place

import (
	"context"
	"errors"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
)

const (
	// noSchedulerWaitDivisor is the divisor of the time until the latest start of a long
	// query. The query retries for the quotient while no scheduler is reachable.
	noSchedulerWaitDivisor = 4
	// noSchedulerRetryInterval is the time between retries while no scheduler is reachable.
	noSchedulerRetryInterval = 100 * time.Millisecond
	// startMarginFraction is the safety margin of the latest start of a query, as a
	// fraction of its expected run time.
	startMarginFraction = 0.25
)

// leasePlacer acquires a lease of engine memory from a scheduler for each query.
// Without a reachable scheduler it places the query by the policy of local.
type leasePlacer struct {
	local  *localPlacer
	ranker *ranker
}

func newLeasePlacer(options Options, fallback policy) *leasePlacer {
	return &leasePlacer{local: newLocalPlacer(options, fallback), ranker: newRanker()}
}

// plan is a lease request for a query with the candidates that it names.
type plan struct {
	leaseGroup string
	request    capacity.Request
	choices    []capacity.Choice
	// ranked has the candidates of choices, in the same order.
	ranked []rankedCandidate
	// expected is the estimate for the fastest candidate.
	expected timeEstimate
}

// Place implements Placer. It waits for a lease until the latest start of the query.
func (l *leasePlacer) Place(ctx context.Context, query Query) (Placement, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if query.Attempt == "" {
		return l.local.Place(ctx, query)
	}
	now := l.local.options.Clock()
	if servers := l.local.options.View.Engines(query.Model, query.Adapter, now); needsGroup(servers, &query) {
		return l.placeGroup(ctx, query, servers)
	}
	planned, err := l.plan(&query, now)
	if err != nil {
		return nil, err
	}
	lease, err := l.acquire(ctx, &query, planned)
	if err == nil {
		return l.startLeased(query, planned, lease), nil
	}
	return l.placeWithoutLease(ctx, query, planned, err)
}

// acquire requests a lease. When no scheduler is reachable, a long query retries for
// a limited time before it is placed without a lease, because it could take much
// memory from queries that hold leases.
func (l *leasePlacer) acquire(ctx context.Context, query *Query, planned *plan) (*capacity.Lease, error) {
	clock := l.local.options.Clock
	retryUntil := clock().Add(planned.request.LatestStart.Sub(clock()) / noSchedulerWaitDivisor)
	for {
		lease, err := l.local.options.Leases.Acquire(ctx, planned.leaseGroup, planned.request, planned.choices)
		if query.Short || !errors.Is(err, capacity.ErrNoScheduler) || !clock().Before(retryUntil) {
			return lease, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(noSchedulerRetryInterval):
		}
	}
}

// placeWithoutLease handles err from acquire: without a scheduler it places the query
// locally, after a refusal it returns a *RefusedError.
func (l *leasePlacer) placeWithoutLease(ctx context.Context, query Query, planned *plan, err error) (Placement, error) {
	var refused *capacity.RefusedError
	switch {
	case errors.Is(err, capacity.ErrNoScheduler):
		placed, err := l.local.Place(ctx, query)
		if err != nil {
			return nil, err
		}
		selected := placed.(*placement)
		selected.lease = l.local.options.Leases.Adopt(LeaseGroup(&selected.server), selected.server.ID, planned.request)
		return selected, nil
	case errors.As(err, &refused):
		now := l.local.options.Clock()
		l.local.reportOverload(now)
		return nil, deadlineRefusal(planned.expected.total(), &query, now)
	}
	return nil, err
}

// plan ranks the candidates of a query. It returns a *RefusedError when there are
// none or none is expected to meet the deadline.
func (l *leasePlacer) plan(query *Query, now time.Time) (*plan, error) {
	p := l.local
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, err := p.candidates(query, now)
	if err != nil {
		return nil, err
	}
	durations := p.stats.newDurationEstimator(query)
	l.matchPrefix(query)
	top, fastest := l.ranker.rank(candidates, &durations)
	if !p.meetsDeadline(fastest.expected, query, now) && !p.stats.isEvidenceStale(query.Model, now) {
		p.reportOverload(now)
		return nil, deadlineRefusal(fastest.expected.total(), query, now)
	}
	return &plan{
		leaseGroup: LeaseGroup(fastest.server), request: l.request(query, &fastest, now),
		choices: choices(top, query), ranked: top, expected: fastest.expected,
	}, nil
}

// matchPrefix sets ranker.cachedTokens to the estimates for the prompt of query.
func (l *leasePlacer) matchPrefix(query *Query) {
	clear(l.ranker.cachedTokens)
	if l.local.options.Index == nil || len(query.Blocks) == 0 {
		return
	}
	l.local.options.Index.Match(query.Blocks, func(server string, tokens int64) { l.ranker.cachedTokens[server] = tokens })
}

// request returns the lease request of query. Its latest start leaves time for the
// prefill and decode of the query on fastest, but not for the prefill ahead of it.
func (l *leasePlacer) request(query *Query, fastest *rankedCandidate, now time.Time) capacity.Request {
	prefill := time.Duration(query.PromptTokens-fastest.cachedTokens) * fastest.expected.tokenTime
	run := time.Duration(float64(prefill+fastest.expected.decode) * (1 + startMarginFraction))
	deadline := query.Deadline
	if deadline.IsZero() {
		deadline = now.Add(maxRetryAfter)
	}
	return capacity.Request{
		Attempt: query.Attempt, Holder: l.local.options.VM, Tokens: query.MemoryTokens(), Short: query.Short,
		Priority: EnginePriority(query.Short, query.Priority), LatestStart: latestStart(deadline, run, now), Deadline: deadline,
	}
}

// latestStart returns deadline minus run, but at least a quarter of the time until
// deadline from now: a query that is tried although its estimate exceeds the deadline
// needs some time to wait for a lease, too. run is the expected run time of the query.
func latestStart(deadline time.Time, run time.Duration, now time.Time) time.Time {
	latest := deadline.Add(-run)
	if earliest := now.Add(deadline.Sub(now) / 4); latest.Before(earliest) {
		return earliest
	}
	return latest
}

// startLeased records the start of an attempt on the server of lease.
func (l *leasePlacer) startLeased(query Query, planned *plan, lease *capacity.Lease) Placement {
	p := l.local
	p.mu.Lock()
	defer p.mu.Unlock()
	index := max(slices.IndexFunc(planned.ranked, func(r rankedCandidate) bool { return r.server.ID == lease.Server() }), 0)
	selected := &planned.ranked[index]
	selected.aheadTokens = lease.AheadTokens()
	started := p.startAttempt(query, &selected.candidate, selected.expected, p.options.Clock())
	started.cachedTokens = selected.cachedTokens
	started.lease = lease
	return started
}
