package gateway

import (
	"sync"
	"time"
)

const (
	// streamTimeSmoothing is the smoothing factor of the times of a route, exponential moving averages.
	streamTimeSmoothing = 0.05
	// minStreamTimes is the number of streams of a route from which its times are used.
	minStreamTimes = 20
)

// streamTimes holds, for each route, the times that complete streams took from their first event to their end. It is safe
// for concurrent use.
type streamTimes struct {
	mu      sync.Mutex
	byRoute map[string]streamTime
}

// streamTime is the distribution of the times of one route.
type streamTime struct {
	count int
	// mean and deviation are the mean and the mean absolute deviation from it.
	mean, deviation time.Duration
}

func newStreamTimes() streamTimes { return streamTimes{byRoute: map[string]streamTime{}} }

// record records that a complete stream took the given time.
func (s *streamTimes) record(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.byRoute[route]
	if !found {
		known.mean = took
	}
	smoothing := max(streamTimeSmoothing, 1/float64(known.count+1))
	known.deviation += time.Duration(smoothing * float64((took-known.mean).Abs()-known.deviation))
	known.mean += time.Duration(smoothing * float64(took-known.mean))
	known.count++
	s.byRoute[route] = known
}

// least returns a time that nearly all streams of a route take at least, 0 while too few are known.
func (s *streamTimes) least(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byRoute[route]
	if known.count < minStreamTimes {
		return 0
	}
	return max(0, known.mean-2*known.deviation)
}
