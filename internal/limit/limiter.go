// Package limit enforces the limits of teams over all entry VMs of an
// availability zone. While the model engines are overloaded, it also divides
// their capacity among the teams by weighted fair shares.
//
// Each VM decides on its own, without a call to another VM. The VMs report the
// demand of each team to one of them, which answers with the totals; each VM
// then applies the fraction of a limit that matches its fraction of the team's
// demand. The package holds no transport: its user exchanges the reports.
package limit

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
)

const (
	// limitBurst is the time in which the token bucket of a limit fills up.
	limitBurst = 2 * time.Second
	// shareBurst is the time in which the token bucket of a fair share fills up.
	shareBurst = time.Second
	// minRetryAfter and maxRetryAfter bound the retry time of a refused request.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// idleTimeout is the time after which a team without requests is evicted.
	idleTimeout = time.Minute
)

// Limiter decides on one entry VM whether a request of a team may start. It is
// safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	teams    map[string]*team
	capacity capacity
	// vms is the number of entry VMs that share the limits.
	vms int
	// updatedAt is the time of the last adjustment of the fair shares.
	updatedAt time.Time
}

// team is the state of one team on this VM.
type team struct {
	name string
	// sharePercent is the team's configured share of the capacity.
	sharePercent float64
	// requestBucket and tokenBucket enforce the rate limits, shareBucket
	// enforces the fair share.
	requestBucket bucket
	tokenBucket   bucket
	shareBucket   bucket
	// requestRate is the rate of requests, offeredTokenRate that of their
	// tokens; both include refused requests. admittedTokenRate is the rate of
	// the tokens of admitted requests.
	requestRate, offeredTokenRate, admittedTokenRate rate
	inFlight                                         int
	// memoryTokens is the number of tokens of the requests in flight.
	memoryTokens int64
	// fairTokensPerSecond is the team's fair share, negative while the engines
	// are not overloaded.
	fairTokensPerSecond float64
	// zoneTotal is the team's last total over all VMs of the zone.
	zoneTotal Total
	// lastSeen is the time of the last request.
	lastSeen time.Time
}

// New returns a Limiter for an availability zone with vms entry VMs, at least
// one.
func New(vms int) *Limiter {
	return &Limiter{teams: map[string]*team{}, vms: max(vms, 1)}
}

// SetVMs sets the number of entry VMs that share the limits, at least one.
func (l *Limiter) SetVMs(vms int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = max(vms, 1)
}

// Admit decides on a request of the team that starts at now; tokens is the
// estimated size of its prompt. When ok is true, the request counts against the
// limits, and the caller must call release once when it ends. Otherwise release
// is nil, and retryAfter is the estimated time until the same request is
// admitted.
func (l *Limiter) Admit(config *bundle.Team, tokens int64, now time.Time) (release func(), retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	t := l.teamState(config, now)
	t.requestRate.add(1, now)
	t.offeredTokenRate.add(float64(tokens), now)
	wait := max(t.limitWait(config.Limits, tokens, l.fraction(t, now), now), t.shareWait(tokens, now))
	if wait > 0 {
		return nil, max(wait, minRetryAfter), false
	}
	t.charge(tokens, now)
	l.capacity.admittedRate.add(float64(tokens), now)
	return func() { l.release(t, tokens) }, 0, true
}

// teamState returns the state of a team, which it creates for the first request.
func (l *Limiter) teamState(config *bundle.Team, now time.Time) *team {
	t, found := l.teams[config.Name]
	if !found {
		t = &team{name: config.Name, fairTokensPerSecond: -1}
		l.teams[config.Name] = t
	}
	t.sharePercent = config.SharePercent
	t.lastSeen = now
	return t
}

// limitWait returns the estimated time until the team's limits admit the
// request, 0 when they admit it now. fraction is the fraction of the limits
// that applies to this VM. The end of a request in flight is not predictable,
// so that the limits on concurrency and memory give 1 s. A request whose tokens
// exceed the limit on memory is admitted when no other one is in flight.
func (t *team) limitWait(limits bundle.TeamLimits, tokens int64, fraction float64, now time.Time) time.Duration {
	var wait time.Duration
	if limits.RequestsPerSecond > 0 {
		perSecond := limits.RequestsPerSecond * fraction
		burst := max(perSecond*limitBurst.Seconds(), 1)
		t.requestBucket.refill(perSecond, burst, now)
		wait = max(wait, t.requestBucket.wait(1, perSecond, burst))
	}
	if limits.TokensPerSecond > 0 {
		perSecond := limits.TokensPerSecond * fraction
		burst := perSecond * limitBurst.Seconds()
		t.tokenBucket.refill(perSecond, burst, now)
		wait = max(wait, t.tokenBucket.wait(float64(tokens), perSecond, burst))
	}
	if limits.ConcurrentRequests > 0 && float64(t.inFlight) >= max(1, float64(limits.ConcurrentRequests)*fraction) {
		wait = max(wait, time.Second)
	}
	memory := float64(limits.EngineMemoryTokens) * fraction
	if memory > 0 && t.memoryTokens > 0 && float64(t.memoryTokens+tokens) > memory {
		wait = max(wait, time.Second)
	}
	return wait
}

// shareWait returns the time until the fair share admits the request, 0 when it
// admits it now.
func (t *team) shareWait(tokens int64, now time.Time) time.Duration {
	if t.fairTokensPerSecond < 0 {
		return 0
	}
	burst := t.fairTokensPerSecond * shareBurst.Seconds()
	t.shareBucket.refill(t.fairTokensPerSecond, burst, now)
	return t.shareBucket.wait(float64(tokens), t.fairTokensPerSecond, burst)
}

// charge counts an admitted request against the limits and the fair share.
func (t *team) charge(tokens int64, now time.Time) {
	t.requestBucket.level--
	t.tokenBucket.level -= float64(tokens)
	t.shareBucket.level -= float64(tokens)
	t.admittedTokenRate.add(float64(tokens), now)
	t.inFlight++
	t.memoryTokens += tokens
}

func (l *Limiter) release(t *team, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.inFlight--
	t.memoryTokens -= tokens
}

// update adjusts the fair shares and evicts idle teams, at most once per
// shareInterval.
func (l *Limiter) update(now time.Time) {
	if now.Sub(l.updatedAt) < shareInterval {
		return
	}
	l.updatedAt = now
	for name, t := range l.teams {
		if t.inFlight == 0 && now.Sub(t.lastSeen) > idleTimeout {
			delete(l.teams, name)
		}
	}
	l.capacity.adjust(now)
	l.divide(now)
}

// RecordOverload reports that no engine can finish an admitted request in time.
func (l *Limiter) RecordOverload(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	l.capacity.overloads++
}

// RecordPlacement reports that an admitted request of about tokens tokens was
// placed on an engine.
func (l *Limiter) RecordPlacement(tokens int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	l.capacity.placements++
	l.capacity.placedRate.add(float64(tokens), now)
}
