package schedule

import (
	"math"
	"time"
)

// queue is the waiting requests of a service that go before one.
type queue struct {
	ahead     int
	perSecond float64
}

// wait estimates when the next request of the queue gets a place.
func (q *queue) wait() time.Duration {
	wait := time.Duration(float64(q.ahead+1) / q.perSecond * float64(time.Second))
	return min(max(wait, shortestRetry), longestRetry)
}

// throughput counts the placements of a service in the current and the last
// second.
type throughput struct {
	second        int64
	current, last int
}

func (t *throughput) advance(now time.Time) {
	second := now.Unix()
	switch {
	case second == t.second+1:
		t.last, t.current = t.current, 0
	case second != t.second:
		t.last, t.current = 0, 0
	}
	t.second = second
}

func (t *throughput) add(now time.Time) {
	t.advance(now)
	t.current++
}

// perSecond returns the recent rate, at least one a second.
func (t *throughput) perSecond(now time.Time) float64 {
	t.advance(now)
	passed := float64(now.Nanosecond()) / float64(time.Second)
	return math.Max(1, float64(t.current)+float64(t.last)*(1-passed))
}

func (s *Scheduler) throughput(service string) *throughput {
	t := s.throughputs[service]
	if t == nil {
		t = &throughput{}
		s.throughputs[service] = t
	}
	return t
}
