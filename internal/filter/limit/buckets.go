package limit

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
)

const (
	// burst is the time whose worth of requests or tokens may come at once.
	burst = 2 * time.Second
	// concurrencyRetry is the Retry-After of a team with too many requests in
	// progress.
	concurrencyRetry = time.Second
)

// Buckets is a Limiter that keeps a token bucket of requests, one of tokens
// and a count of requests in progress for each team on this VM.
type Buckets struct {
	mu    sync.Mutex
	teams map[string]*teamState
}

// NewBuckets returns a Limiter without history.
func NewBuckets() *Buckets {
	return &Buckets{teams: map[string]*teamState{}}
}

type teamState struct {
	inFlight int
	requests bucket
	tokens   bucket
}

// bucket may go into debt by one request, so that a prompt larger than the
// burst passes and is paid off afterwards.
type bucket struct {
	level   float64
	updated time.Time
}

// refill brings the bucket to now and returns the time until it holds need.
func (b *bucket) refill(rate, need float64, now time.Time) time.Duration {
	full := max(rate*burst.Seconds(), need)
	if b.updated.IsZero() {
		b.level = full
	} else {
		b.level = min(full, b.level+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.level >= need {
		return 0
	}
	return time.Duration((need-b.level)/rate*float64(time.Second)) + time.Millisecond
}

// Admit implements Limiter.
func (b *Buckets) Admit(team *bundle.Team, tokens int64, now time.Time) (func(), time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.teams[team.Name]
	if state == nil {
		state = &teamState{}
		b.teams[team.Name] = state
	}
	if wait := state.wait(team.Limits, now); wait > 0 {
		return nil, wait, false
	}
	state.requests.level--
	state.tokens.level -= float64(tokens)
	state.inFlight++
	return func() { b.release(state) }, 0, true
}

func (s *teamState) wait(limits bundle.TeamLimits, now time.Time) time.Duration {
	var wait time.Duration
	if limits.RequestsPerSecond > 0 {
		wait = max(wait, s.requests.refill(limits.RequestsPerSecond, 1, now))
	}
	if limits.TokensPerSecond > 0 {
		wait = max(wait, s.tokens.refill(limits.TokensPerSecond, 0, now))
	}
	if limits.Concurrent > 0 && s.inFlight >= limits.Concurrent {
		wait = max(wait, concurrencyRetry)
	}
	return wait
}

func (b *Buckets) release(state *teamState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state.inFlight--
}
