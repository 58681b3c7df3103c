package schedule

import (
	"math"
	"strings"
	"time"
)

const (
	// firstClassTime is the maximum prefill time of the requests in the first
	// queue of a service. The maximum of each further queue is classFactor times
	// that of the queue before it.
	firstClassTime = 60 * time.Millisecond
	classFactor    = 4
	// maxSizeClass is the size class of the last queue, which has no bound.
	maxSizeClass = 4
	// firstGuaranteedLength is the number of requests that may always wait in the
	// first queue. Each further queue may hold half as many as the queue before it,
	// but at least one.
	firstGuaranteedLength = 8
	// firstRateWindow is the averaging window of the placement rate of the first
	// queue. Longer prompts are placed less often, so each further queue has twice
	// the window of the queue before it, up to maxRateWindow.
	firstRateWindow = time.Second
	maxRateWindow   = 4 * time.Second
	// learnFraction is the fraction of the averaging window for which requests must
	// have been queued before the expected wait is used to refuse a request.
	learnFraction = 0.4
)

// queueKey identifies a queue. Requests of one service with about the same
// prefill time share a queue, because short requests are placed at a rate that
// does not predict the wait of long ones.
type queueKey struct {
	service string
	// sizeClass is 0 for the shortest prefill times, up to maxSizeClass.
	sizeClass int
	// zones names the zones that the requests allow, empty for all: those of one region may be full while others are not.
	zones string
}

// queueKey returns the queue of the request by its service and prefill time.
func (j *job) queueKey() queueKey {
	sizeClass := 0
	for bound := firstClassTime; j.prefillTime > bound && sizeClass < maxSizeClass; bound *= classFactor {
		sizeClass++
	}
	return queueKey{service: j.request.Service, sizeClass: sizeClass, zones: strings.Join(j.request.AllowedZones, " ")}
}

// guaranteedLength returns the number of requests that may wait in the queue
// whatever their expected wait is.
func (k queueKey) guaranteedLength() int { return max(1, firstGuaranteedLength>>k.sizeClass) }

// rateWindow returns the averaging window of the queue's placement rate.
func (k queueKey) rateWindow() time.Duration { return min(firstRateWindow<<k.sizeClass, maxRateWindow) }

// queue counts the queued requests ahead of the one that Decide looks at.
type queue struct {
	key queueKey
	// ahead is the number of requests that remain queued ahead of that request.
	ahead int
	rate  *placementRate
	// perSecond is the placement rate, 0 if it must be computed again.
	perSecond float64
}

// addPlacement counts a placement of a request of the queue.
func (q *queue) addPlacement(now time.Time) {
	q.rate.addPlacement(now)
	q.perSecond = 0
}

// expectedWait returns the expected time until a further request of the queue is
// placed.
func (q *queue) expectedWait(now time.Time) time.Duration {
	if q.perSecond == 0 {
		q.perSecond = q.rate.perSecond(now)
	}
	return time.Duration(float64(q.ahead+1) / q.perSecond * float64(time.Second))
}

// waitExceeds reports whether a further request with the given time left is
// expected to wait longer than that. It is false while the queue is short or its
// placement rate is not known yet.
func (q *queue) waitExceeds(now time.Time, timeLeft time.Duration) bool {
	return q.ahead >= q.key.guaranteedLength() && q.rate.isKnown(now) && q.expectedWait(now) > timeLeft
}

// retryAfter returns how long the caller of a refused request should wait.
func (q *queue) retryAfter(now time.Time) time.Duration {
	return min(max(q.expectedWait(now), minRetryAfter), maxRetryAfter)
}

// placementRate is the moving average of a queue's placement rate. Placements count
// only while requests are queued: otherwise they measure the demand, not how
// much the servers can take.
type placementRate struct {
	// window is the averaging window.
	window time.Duration
	// activeSince is the time from which requests have been queued without a
	// break, zero while none is.
	activeSince time.Time
	// updatedAt is the time up to which count has decayed.
	updatedAt time.Time
	// count is the exponentially decaying number of placements.
	count float64
	// lastAt is when a placement was last counted.
	lastAt time.Time
}

// setActive records whether any request of the queue waits for placement. The
// average starts anew when the queue becomes active.
func (r *placementRate) setActive(now time.Time, active bool) {
	switch {
	case !active:
		r.activeSince = time.Time{}
	case r.activeSince.IsZero():
		r.activeSince, r.updatedAt, r.count = now, now, 0
	}
}

// decay updates the decaying count to now.
func (r *placementRate) decay(now time.Time) {
	if passed := now.Sub(r.updatedAt); passed > 0 {
		r.count *= math.Exp(-passed.Seconds() / r.window.Seconds())
		r.updatedAt = now
	}
}

// addPlacement counts a placement. It ignores one made while the queue is not
// active.
func (r *placementRate) addPlacement(now time.Time) {
	if r.activeSince.IsZero() {
		return
	}
	r.decay(now)
	r.count++
	r.lastAt = now
}

// sinceLast returns the time since a placement was last counted, or since the rate is measured.
func (r *placementRate) sinceLast(now time.Time) time.Duration {
	since := r.lastAt
	if r.activeSince.After(since) {
		since = r.activeSince
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// isKnown reports whether requests have been queued for long enough to know the
// rate.
func (r *placementRate) isKnown(now time.Time) bool {
	return !r.activeSince.IsZero() && now.Sub(r.activeSince).Seconds() >= learnFraction*r.window.Seconds()
}

// perSecond returns the recent placement rate, as if one more request had just
// been placed, so that it is never 0.
func (r *placementRate) perSecond(now time.Time) float64 {
	if r.activeSince.IsZero() {
		return 1 / r.window.Seconds()
	}
	r.decay(now)
	window := r.window.Seconds()
	effectiveWindow := window * (1 - math.Exp(-now.Sub(r.activeSince).Seconds()/window))
	return (r.count + 1) / math.Max(effectiveWindow, learnFraction*window)
}

// placementRate returns the placement rate of a queue and creates it if needed.
func (s *Scheduler) placementRate(key queueKey) *placementRate {
	r := s.placementRates[key]
	if r == nil {
		r = &placementRate{window: key.rateWindow()}
		s.placementRates[key] = r
	}
	return r
}

// updateRates updates for each placement rate whether its queue has requests.
func (s *Scheduler) updateRates(now time.Time, queues map[queueKey]*queue) {
	for key, rate := range s.placementRates {
		q := queues[key]
		rate.setActive(now, q != nil && q.ahead > 0)
	}
}
