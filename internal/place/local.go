package place

import (
	"context"
	"sync"
	"time"
)

const (
	// noServerRetryAfter is the RetryAfter of a query without a live server: a few
	// heartbeats of a backend server.
	noServerRetryAfter = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a query that cannot meet
	// its deadline.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// localPlacer places queries without leases, by the load reports of servers and by this
// VM's own requests.
type localPlacer struct {
	options Options

	mu     sync.Mutex
	policy policy
	stats  *engineStats
}

func newLocalPlacer(options Options, policy policy) *localPlacer {
	return &localPlacer{options: options, policy: policy, stats: newEngineStats()}
}

// Place implements Placer. It never waits.
func (p *localPlacer) Place(ctx context.Context, query Query) (Placement, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	now := p.options.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, err := p.candidates(&query, now)
	if err != nil {
		return nil, err
	}
	selected, expected, err := p.selectCandidate(candidates, &query, now)
	if err != nil {
		p.reportOverload(now)
		return nil, err
	}
	return p.startAttempt(query, selected, expected, now), nil
}

// candidates returns the servers that are eligible for query, or a *RefusedError if
// there are none.
func (p *localPlacer) candidates(query *Query, now time.Time) ([]candidate, error) {
	servers := p.options.View.Engines(query.Model, query.Adapter, now)
	percent := 0.0
	if p.options.MaxEjectedPercent != nil {
		percent = p.options.MaxEjectedPercent()
	}
	candidates := p.stats.candidates(servers, query, percent, now)
	if len(candidates) == 0 {
		return nil, &RefusedError{Reason: ErrNoServer, RetryAfter: noServerRetryAfter}
	}
	return candidates, nil
}

// selectCandidate returns the candidate that the policy picks, or the fastest one if the
// query cannot meet its deadline on the picked one. It returns a *RefusedError if the
// deadline cannot be met on the fastest one either, unless the evidence is stale.
func (p *localPlacer) selectCandidate(candidates []candidate, query *Query, now time.Time) (*candidate, timeEstimate, error) {
	selected := &candidates[p.policy.pick(candidates)]
	durations := p.stats.newDurationEstimator(query)
	expected := durations.forCandidate(selected, 0)
	if p.meetsDeadline(expected, query, now) {
		return selected, expected, nil
	}
	for i := range candidates {
		if t := durations.forCandidate(&candidates[i], 0); t.total() < expected.total() {
			selected, expected = &candidates[i], t
		}
	}
	if p.meetsDeadline(expected, query, now) || p.stats.isEvidenceStale(query.Model, now) {
		return selected, expected, nil
	}
	return nil, timeEstimate{}, deadlineRefusal(expected.total(), query, now)
}

// meetsDeadline reports whether a query that takes the expected time ends by its
// deadline. It is true for a query without a deadline.
func (p *localPlacer) meetsDeadline(expected timeEstimate, query *Query, now time.Time) bool {
	return query.Deadline.IsZero() || expected.total() <= query.Deadline.Sub(now)
}

// deadlineRefusal returns the *RefusedError for a query whose expected duration, needed,
// exceeds the time until its deadline. RetryAfter is the excess within minRetryAfter and
// maxRetryAfter.
func deadlineRefusal(needed time.Duration, query *Query, now time.Time) error {
	excess := needed - query.Deadline.Sub(now)
	return &RefusedError{Reason: ErrDeadlineUnreachable, RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter)}
}

func (p *localPlacer) reportOverload(now time.Time) {
	if p.options.Listener != nil {
		p.options.Listener.RecordOverload(now)
	}
}

// startAttempt records that query is sent to selected. The caller holds p.mu.
func (p *localPlacer) startAttempt(query Query, selected *candidate, expected timeEstimate, now time.Time) *placement {
	p.stats.addRequest(selected.server.ID, query.PromptTokens, now)
	if p.options.Listener != nil {
		p.options.Listener.RecordPlacement(query.PromptTokens, now)
	}
	return &placement{placer: p, query: query, server: *selected.server, aheadTokens: selected.aheadTokens, expected: expected, sentAt: now}
}
