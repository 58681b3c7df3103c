package schedule

import (
	"math"
	"time"
)

const (
	// firstSize is the reading time up to which requests wait in the first queue
	// of their service; each further queue is for four times as much.
	firstSize  = 60 * time.Millisecond
	sizeFactor = 4
	// longestQueueSize is the last queue.
	longestQueueSize = 4
	// shortQueue is how many requests may always wait in the first queue; the
	// others hold half as many each.
	shortQueue = 8
	// rateTime is the time over which placements are averaged, in the first queue;
	// longer prompts are placed more seldom, so each further queue takes twice as
	// long, up to longestRateTime.
	rateTime        = time.Second
	longestRateTime = 4 * time.Second
	// learnShare is the part of that time for which a queue must have lasted
	// before its estimate refuses anybody.
	learnShare = 0.4
)

// queueKey names a queue: requests of one service that take about the same
// time, since the wait of a long one says nothing of that of a short one.
type queueKey struct {
	service string
	size    int
}

func (j *job) queueKey() queueKey {
	size := 0
	for bound := firstSize; j.read > bound && size < longestQueueSize; bound *= sizeFactor {
		size++
	}
	return queueKey{service: j.ask.Service, size: size}
}

// shortQueue is how many requests may wait whatever the estimate says.
func (k queueKey) shortQueue() int { return max(1, shortQueue>>k.size) }

func (k queueKey) rateTime() time.Duration { return min(rateTime<<k.size, longestRateTime) }

// queue is the waiting requests that go before one.
type queue struct {
	key   queueKey
	ahead int
	rate  *throughput
}

// wait estimates when the next request of the queue gets a place.
func (q *queue) wait(now time.Time) time.Duration {
	return time.Duration(float64(q.ahead+1) / q.rate.perSecond(now) * float64(time.Second))
}

// tooLong tells whether a further request would wait for longer than it can.
func (q *queue) tooLong(now time.Time, left time.Duration) bool {
	return q.ahead >= q.key.shortQueue() && q.rate.known(now) && q.wait(now) > left
}

// retryAfter is when a request that is refused may come back.
func (q *queue) retryAfter(now time.Time) time.Duration {
	return min(max(q.wait(now), shortestRetry), longestRetry)
}

// throughput averages the placements of a queue while there is one: without
// waiting requests they only tell how many were asked for.
type throughput struct {
	over time.Duration
	// since is when the queue began, zero while nobody waits.
	since time.Time
	at    time.Time
	count float64
}

// follow notes whether anybody waits.
func (t *throughput) follow(now time.Time, waiting bool) {
	switch {
	case !waiting:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since, t.at, t.count = now, now, 0
	}
}

// advance forgets what is long ago.
func (t *throughput) advance(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 {
		t.count *= math.Exp(-passed.Seconds() / t.over.Seconds())
		t.at = now
	}
}

func (t *throughput) add(now time.Time) {
	if t.since.IsZero() {
		return
	}
	t.advance(now)
	t.count++
}

// known tells whether the queue has lasted for long enough to judge it.
func (t *throughput) known(now time.Time) bool {
	return !t.since.IsZero() && now.Sub(t.since).Seconds() >= learnShare*t.over.Seconds()
}

// perSecond returns the recent rate, as if one more had just been placed.
func (t *throughput) perSecond(now time.Time) float64 {
	if t.since.IsZero() {
		return 1 / t.over.Seconds()
	}
	t.advance(now)
	over := t.over.Seconds()
	weight := over * (1 - math.Exp(-now.Sub(t.since).Seconds()/over))
	return (t.count + 1) / math.Max(weight, learnShare*over)
}

func (s *Scheduler) throughput(key queueKey) *throughput {
	t := s.throughputs[key]
	if t == nil {
		t = &throughput{over: key.rateTime()}
		s.throughputs[key] = t
	}
	return t
}

// followQueues tells each rate whether its queue lasts.
func (s *Scheduler) followQueues(now time.Time, queues map[queueKey]*queue) {
	for key, rate := range s.throughputs {
		q := queues[key]
		rate.follow(now, q != nil && q.ahead > 0)
	}
}
