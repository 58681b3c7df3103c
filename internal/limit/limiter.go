// Package limit holds teams to the limits of the bundle over all entry VMs of
// a zone, and divides what the engines can do by weighted fair shares when
// they are overloaded. No request waits for another VM: the VMs exchange sums
// from time to time, and each takes the part of a limit that matches its part
// of the team's demand.
package limit

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
)

const (
	// limitBurst is the time whose worth of a limit may come at once.
	limitBurst = 2 * time.Second
	// shareBurst is the time whose worth of a fair share may come at once.
	shareBurst = time.Second
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// idleAfter is the time after which nothing is kept of a silent team.
	idleAfter = time.Minute
)

// Limiter decides for each request of a team whether it may start. It is safe
// for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	teams    map[string]*team
	capacity capacity
	// vms is the number of entry VMs that share the limits.
	vms     int
	updated time.Time
}

// team is the state of one team on this VM.
type team struct {
	name     string
	share    float64
	requests bucket
	tokens   bucket
	fair     bucket
	// asked counts the requests for each second, refused ones included, and
	// offered and admitted the tokens.
	asked, offered, admitted rate
	inFlight                 int
	memory                   int64
	// allowed is the team's fair share in tokens for each second, negative
	// while there is no overload.
	allowed float64
	// zone is what all VMs together last reported.
	zone Total
	seen time.Time
}

// New returns a Limiter for a zone with vms entry VMs.
func New(vms int) *Limiter {
	return &Limiter{teams: map[string]*team{}, vms: max(vms, 1)}
}

// SetVMs sets the number of entry VMs that share the limits.
func (l *Limiter) SetVMs(vms int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = max(vms, 1)
}

// Admit counts a request of about tokens tokens at now. When ok, release is
// called at the end of the request; otherwise retryAfter tells when the same
// request may pass.
func (l *Limiter) Admit(asking *bundle.Team, tokens int64, now time.Time) (release func(), retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	t := l.team(asking, now)
	t.asked.add(1, now)
	t.offered.add(float64(tokens), now)
	wait := max(t.limitWait(asking.Limits, tokens, l.fraction(t, now), now), t.shareWait(tokens, now))
	if wait > 0 {
		return nil, max(wait, minRetryAfter), false
	}
	t.take(tokens, now)
	l.capacity.admitted.add(float64(tokens), now)
	return func() { l.release(t, tokens) }, 0, true
}

func (l *Limiter) team(asking *bundle.Team, now time.Time) *team {
	t, found := l.teams[asking.Name]
	if !found {
		t = &team{name: asking.Name, allowed: -1}
		l.teams[asking.Name] = t
	}
	t.share = asking.SharePercent
	t.seen = now
	return t
}

// limitWait returns how long the team's limits keep the request back, where
// fraction is this VM's part of them.
func (t *team) limitWait(limits bundle.TeamLimits, tokens int64, fraction float64, now time.Time) time.Duration {
	var wait time.Duration
	if limits.RequestsPerSecond > 0 {
		perSecond := limits.RequestsPerSecond * fraction
		burst := max(perSecond*limitBurst.Seconds(), 1)
		t.requests.refill(perSecond, burst, now)
		wait = max(wait, t.requests.wait(1, perSecond, burst))
	}
	if limits.TokensPerSecond > 0 {
		perSecond := limits.TokensPerSecond * fraction
		burst := perSecond * limitBurst.Seconds()
		t.tokens.refill(perSecond, burst, now)
		wait = max(wait, t.tokens.wait(float64(tokens), perSecond, burst))
	}
	if limits.Concurrent > 0 && float64(t.inFlight) >= max(1, float64(limits.Concurrent)*fraction) {
		wait = max(wait, time.Second)
	}
	memory := float64(limits.EngineMemoryTokens) * fraction
	if memory > 0 && t.memory > 0 && float64(t.memory+tokens) > memory {
		wait = max(wait, time.Second)
	}
	return wait
}

// shareWait returns how long the fair share keeps the request back.
func (t *team) shareWait(tokens int64, now time.Time) time.Duration {
	if t.allowed < 0 {
		return 0
	}
	burst := t.allowed * shareBurst.Seconds()
	t.fair.refill(t.allowed, burst, now)
	return t.fair.wait(float64(tokens), t.allowed, burst)
}

func (t *team) take(tokens int64, now time.Time) {
	t.requests.level--
	t.tokens.level -= float64(tokens)
	t.fair.level -= float64(tokens)
	t.admitted.add(float64(tokens), now)
	t.inFlight++
	t.memory += tokens
}

func (l *Limiter) release(t *team, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.inFlight--
	t.memory -= tokens
}

// update recomputes the fair shares once in a while and forgets idle teams.
func (l *Limiter) update(now time.Time) {
	if now.Sub(l.updated) < shareInterval {
		return
	}
	l.updated = now
	for name, t := range l.teams {
		if t.inFlight == 0 && now.Sub(t.seen) > idleAfter {
			delete(l.teams, name)
		}
	}
	l.capacity.adjust(now)
	l.divide(now)
}

// RecordOverload reports an admitted request that the engines could not run in
// time.
func (l *Limiter) RecordOverload(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	l.capacity.overloads++
}

// RecordPlacement reports the placement of an admitted request of about tokens tokens.
func (l *Limiter) RecordPlacement(tokens int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	l.capacity.placed++
	l.capacity.served.add(float64(tokens), now)
}
