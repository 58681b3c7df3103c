package schedule

import (
	"math"
	"time"
)

const (
	// minLimit is the rate in requests a second at which a server is used that takes fewer: the answers show when its limit ends.
	minLimit = 0.25
	// limitBurst is how many requests a limited server may get at once, plus those of limitBurstTime.
	limitBurst     = 1
	limitBurstTime = 500 * time.Millisecond
	// shareMargin reduces the rate of a scheduler that has a share of the servers only: the requests saved up by all such
	// schedulers together count too.
	shareMargin = 0.5
	// shareIdleTime is the time without a request after which a scheduler that has a share begins to save up anew.
	shareIdleTime = 2 * time.Second
)

// requestLimit is a token bucket. It is empty at first: other schedulers may have used up what the server takes.
type requestLimit struct {
	// perSecond is the rate at which tokens are added, capacity the number that is saved up at most.
	perSecond, capacity float64
	tokens              float64
	updatedAt           time.Time
}

// newRequestLimit returns an empty bucket for a part of the limit of a server. Tokens are added from its first use on.
func newRequestLimit(limit, fraction float64) requestLimit {
	rate := math.Max(limit, minLimit)
	if fraction < 1 {
		return requestLimit{perSecond: rate * fraction * shareMargin, capacity: limitBurst}
	}
	return requestLimit{perSecond: rate, capacity: limitBurst + rate*limitBurstTime.Seconds()}
}

func (l *requestLimit) advanceTo(now time.Time) {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
	}
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.tokens = math.Min(l.capacity, l.tokens+elapsed.Seconds()*l.perSecond)
		l.updatedAt = now
	}
}

// has reports whether the server takes a request now.
func (l *requestLimit) has(now time.Time) bool {
	l.advanceTo(now)
	return l.tokens >= 1
}

// take counts a request. Those that another scheduler has placed count too, up to the capacity.
func (l *requestLimit) take(now time.Time) {
	l.advanceTo(now)
	l.tokens = math.Max(l.tokens-1, -l.capacity)
}

// setLimit updates the bucket of a server after a change of its limit or of the scheduler's share.
func (s *Scheduler) setLimit(srv *server) {
	if !srv.Limited {
		if srv.limit != nil {
			srv.limit, s.limitedServers = nil, s.limitedServers-1
		}
		return
	}
	limit := newRequestLimit(srv.MaxPerSecond, s.fraction)
	if srv.limit == nil {
		s.limitedServers++
	} else {
		limit.tokens = math.Min(srv.limit.tokens, 0) // what was taken stays taken
		if srv.limit.perSecond == limit.perSecond {
			return
		}
	}
	srv.limit = &limit
}

// emptyLimits discards what a scheduler that has a share has saved up while others placed the requests.
func (s *Scheduler) emptyLimits(now time.Time) {
	for _, srv := range s.sortedServers {
		if srv.limit != nil {
			srv.limit.advanceTo(now)
			srv.limit.tokens = math.Min(srv.limit.tokens, 0)
		}
	}
}

// hasRequestsLeft reports whether the limit of the server, if any, leaves room for a request.
func (srv *server) hasRequestsLeft(now time.Time) bool {
	return srv.limit == nil || srv.limit.has(now)
}

// limitWait returns how long a request of a service waits until the limits of its servers let it through, behind ahead others.
// The warm-up of a server limits its requests until its end. It returns 0 if any available server has no limit, or none is available.
func (s *Scheduler) limitWait(now time.Time, j *job, ahead int) time.Duration {
	if s.limitedServers == 0 && s.coldServers == 0 {
		return 0
	}
	if s.coldServers > 0 && s.hasUnlimited(now, j) {
		return 0
	}
	tokens, perSecond, freesAt := 0.0, 0.0, time.Time{}
	for _, srv := range s.sortedServers {
		if srv.Service != j.request.Service || !srv.isReachable(now) || srv.isBarred(j) {
			continue
		}
		left, rate, limited := srv.limitOf(now)
		if !limited {
			s.unlimited[j.request.Service] = srv
			return 0
		}
		tokens += left
		perSecond += rate
		if at := srv.freesAt(); !at.IsZero() && (freesAt.IsZero() || at.Before(freesAt)) {
			freesAt = at
		}
	}
	wait := time.Duration(0)
	if missing := math.Max(0, float64(ahead+1)-tokens); perSecond > 0 {
		wait = time.Duration(missing / perSecond * float64(time.Second))
	}
	if end := freesAt.Sub(now); !freesAt.IsZero() && (perSecond == 0 || end < wait) {
		wait = end
	}
	return wait
}
