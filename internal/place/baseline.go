package place

import (
	"context"
	"sync"
	"time"
)

const (
	// noServerRetry is the time after which a query without a live server may
	// be sent again: a few heartbeats of a backend server.
	noServerRetry = 2 * time.Second
	// minRetry and maxRetry bound the time after which a query that cannot
	// finish in time may be sent again.
	minRetry = 500 * time.Millisecond
	maxRetry = 30 * time.Second
)

// baseline places queries by what this VM knows, without a word to any other
// VM.
type baseline struct {
	options Options

	mu        sync.Mutex
	policy    policy
	knowledge *knowledge
}

func newBaseline(options Options, policy policy) *baseline {
	return &baseline{options: options, policy: policy, knowledge: newKnowledge()}
}

// Place implements Placer. It never waits.
func (b *baseline) Place(ctx context.Context, query Query) (Placement, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	now := b.options.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates, err := b.candidates(&query, now)
	if err != nil {
		return nil, err
	}
	chosen, expected, err := b.choose(candidates, &query, now)
	if err != nil {
		b.overloaded(now)
		return nil, err
	}
	return b.begin(query, chosen, expected, now), nil
}

// candidates returns the servers that may take query, at least one.
func (b *baseline) candidates(query *Query, now time.Time) ([]candidate, error) {
	servers := b.options.View.Engines(query.Model, query.Adapter, now)
	percent := 0.0
	if b.options.MaxEjectedPercent != nil {
		percent = b.options.MaxEjectedPercent()
	}
	candidates := b.knowledge.candidates(servers, query, percent, now)
	if len(candidates) == 0 {
		return nil, &RefusedError{Reason: ErrNoServer, RetryAfter: noServerRetry}
	}
	return candidates, nil
}

// choose takes the policy's choice, or the fastest candidate when the query
// cannot finish there in time.
func (b *baseline) choose(candidates []candidate, query *Query, now time.Time) (*candidate, timing, error) {
	chosen := &candidates[b.policy.pick(candidates)]
	outlook := b.knowledge.outlook(query)
	expected := outlook.on(chosen, 0)
	if b.inTime(expected, query, now) {
		return chosen, expected, nil
	}
	for i := range candidates {
		if t := outlook.on(&candidates[i], 0); t.total() < expected.total() {
			chosen, expected = &candidates[i], t
		}
	}
	if b.inTime(expected, query, now) || b.knowledge.mayTry(query.Model, now) {
		return chosen, expected, nil
	}
	return nil, timing{}, refuseNoTime(expected.total(), query, now)
}

// inTime reports whether a query that takes as long as expected ends by its
// deadline. A query without a deadline always does.
func (b *baseline) inTime(expected timing, query *Query, now time.Time) bool {
	return query.Deadline.IsZero() || expected.total() <= query.Deadline.Sub(now)
}

// refuseNoTime refuses a query that would take needed.
func refuseNoTime(needed time.Duration, query *Query, now time.Time) error {
	excess := needed - query.Deadline.Sub(now)
	return &RefusedError{Reason: ErrDeadlineUnreachable, RetryAfter: min(max(excess, minRetry), maxRetry)}
}

func (b *baseline) overloaded(now time.Time) {
	if b.options.Listener != nil {
		b.options.Listener.RecordOverload(now)
	}
}

// begin notes that query is sent to chosen. The lock is held.
func (b *baseline) begin(query Query, chosen *candidate, expected timing, now time.Time) *placement {
	b.knowledge.begin(chosen.server.ID, query.PromptTokens, now)
	if b.options.Listener != nil {
		b.options.Listener.RecordPlacement(query.PromptTokens, now)
	}
	return &placement{baseline: b, query: query, server: *chosen.server, ahead: chosen.ahead, expected: expected, sentAt: now}
}
