package place

import (
	"context"
	"errors"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
)

const (
	// patienceDivisor is the part, as a divisor, of its time until the latest
	// start in which a long query asks again for a scheduler.
	patienceDivisor = 4
	// askAgain is the time between two such questions.
	askAgain = 100 * time.Millisecond
	// startMargin is kept between the latest start of a query and the time
	// that its run is expected to need, as a share of that time.
	startMargin = 0.25
)

// leasePlacer asks the scheduler of the engines for a lease of engine memory
// before it sends a query. Without a scheduler it places like its baseline.
type leasePlacer struct {
	baseline *baseline
	ranker   *ranker
}

func newLeasePlacer(options Options, fallback policy) *leasePlacer {
	return &leasePlacer{baseline: newBaseline(options, fallback), ranker: newRanker()}
}

// plan is a request for a lease.
type plan struct {
	group   string
	request capacity.Request
	choices []capacity.Choice
	ranked  []ranked
	// expected is the estimate for the best candidate.
	expected timing
}

// Place implements Placer. It waits for a lease until the query can no longer
// finish in time.
func (l *leasePlacer) Place(ctx context.Context, query Query) (Placement, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if query.Attempt == "" {
		return l.baseline.Place(ctx, query)
	}
	now := l.baseline.options.Clock()
	if servers := l.baseline.options.View.Engines(query.Model, query.Adapter, now); needsGroup(servers, &query) {
		return l.placeGroup(ctx, query, servers)
	}
	asked, err := l.plan(&query, now)
	if err != nil {
		return nil, err
	}
	lease, err := l.acquire(ctx, &query, asked)
	if err == nil {
		return l.begin(query, asked, lease), nil
	}
	return l.withoutLease(ctx, query, asked, err)
}

// acquire asks for a lease. A long query, which could take much memory from
// those with a lease, asks again for a while when there is no scheduler.
func (l *leasePlacer) acquire(ctx context.Context, query *Query, asked *plan) (*capacity.Lease, error) {
	clock := l.baseline.options.Clock
	until := clock().Add(asked.request.LatestStart.Sub(clock()) / patienceDivisor)
	for {
		lease, err := l.baseline.options.Leases.Acquire(ctx, asked.group, asked.request, asked.choices)
		if query.Short || !errors.Is(err, capacity.ErrNoScheduler) || !clock().Before(until) {
			return lease, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(askAgain):
		}
	}
}

// withoutLease refuses the query, or places it by the baseline when there is
// no scheduler.
func (l *leasePlacer) withoutLease(ctx context.Context, query Query, asked *plan, err error) (Placement, error) {
	var refused *capacity.RefusedError
	switch {
	case errors.Is(err, capacity.ErrNoScheduler):
		placed, err := l.baseline.Place(ctx, query)
		if err != nil {
			return nil, err
		}
		chosen := placed.(*placement)
		chosen.lease = l.baseline.options.Leases.Adopt(LeaseGroup(&chosen.server), chosen.server.ID, asked.request)
		return chosen, nil
	case errors.As(err, &refused):
		now := l.baseline.options.Clock()
		l.baseline.overloaded(now)
		return nil, refuseNoTime(asked.expected.total(), &query, now)
	}
	return nil, err
}

// plan ranks the candidates of a query and refuses it when none is expected
// to finish it in time.
func (l *leasePlacer) plan(query *Query, now time.Time) (*plan, error) {
	b := l.baseline
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates, err := b.candidates(query, now)
	if err != nil {
		return nil, err
	}
	outlook := b.knowledge.outlook(query)
	l.matchPrefix(query)
	best, first := l.ranker.rank(candidates, &outlook)
	if !b.inTime(first.expected, query, now) && !b.knowledge.mayTry(query.Model, now) {
		b.overloaded(now)
		return nil, refuseNoTime(first.expected.total(), query, now)
	}
	return &plan{
		group: LeaseGroup(first.server), request: l.request(query, &first, now),
		choices: choices(best, query), ranked: best, expected: first.expected,
	}, nil
}

// matchPrefix looks up what each engine is thought to cache of the prompt.
func (l *leasePlacer) matchPrefix(query *Query) {
	clear(l.ranker.cached)
	if l.baseline.options.Index == nil || len(query.Blocks) == 0 {
		return
	}
	l.baseline.options.Index.Match(query.Blocks, func(server string, tokens int64) { l.ranker.cached[server] = tokens })
}

// request asks for the memory of query. Its latest start leaves time for the
// run without what is ahead of it.
func (l *leasePlacer) request(query *Query, best *ranked, now time.Time) capacity.Request {
	prefill := time.Duration(query.PromptTokens-best.cached) * best.expected.tokenTime
	run := time.Duration(float64(prefill+best.expected.decode) * (1 + startMargin))
	deadline := query.Deadline
	if deadline.IsZero() {
		deadline = now.Add(maxRetry)
	}
	return capacity.Request{
		Attempt: query.Attempt, Holder: l.baseline.options.VM, Tokens: query.MemoryTokens(), Short: query.Short,
		Priority: EnginePriority(query.Short, query.Priority), LatestStart: latestStart(deadline, run, now), Deadline: deadline,
	}
}

// latestStart leaves run before deadline, but gives a query that is tried
// against its estimate some time too.
func latestStart(deadline time.Time, run time.Duration, now time.Time) time.Time {
	latest := deadline.Add(-run)
	if soonest := now.Add(deadline.Sub(now) / 4); latest.Before(soonest) {
		return soonest
	}
	return latest
}

// begin notes that a query is sent under lease.
func (l *leasePlacer) begin(query Query, asked *plan, lease *capacity.Lease) Placement {
	b := l.baseline
	b.mu.Lock()
	defer b.mu.Unlock()
	at := max(slices.IndexFunc(asked.ranked, func(r ranked) bool { return r.server.ID == lease.Server() }), 0)
	chosen := &asked.ranked[at]
	chosen.ahead = lease.AheadTokens()
	begun := b.begin(query, &chosen.candidate, chosen.expected, b.options.Clock())
	begun.cached = chosen.cached
	begun.lease = lease
	return begun
}
