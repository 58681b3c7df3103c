package gateway

import (
	"sync"
	"time"
)

const (
	// answerTokenWeight is how many prompt tokens an answer token counts for:
	// writing one takes about as long as reading ten.
	answerTokenWeight = 10
	// worthAim is the aim of a request of worth 1. Callers who accept a longer
	// wait have asked for more.
	worthAim = 250 * time.Millisecond
	// fixedWorth is the part of a stream's worth that does not grow with its size.
	fixedWorth = 0.3
	// largestWorth bounds the worth of a stream against a mean one of its route.
	largestWorth = 4
	// sizeWeight is the weight of one request in the mean size of its route.
	sizeWeight = 0.02
)

// sizes keeps the mean size of the streams of each route. It is safe for
// concurrent use.
type sizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// weight weighs a stream against requests of any kind: by the aim of its route,
// and within the route by its size.
func (s *sizes) weight(route string, aim time.Duration, promptTokens, answerTokens int) float64 {
	size := float64(promptTokens + answerTokenWeight*answerTokens)
	s.mu.Lock()
	mean, known := s.means[route]
	if !known {
		mean = size
	}
	mean += sizeWeight * (size - mean)
	s.means[route] = mean
	s.mu.Unlock()
	share := min(fixedWorth+(1-fixedWorth)*size/max(mean, 1), largestWorth)
	return float64(aim) / float64(worthAim) * share
}
