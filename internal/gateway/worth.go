package gateway

import (
	"sync"
	"time"
)

const (
	// promptTokensPerAnswerToken is how many prompt tokens an answer token counts for:
	// writing one takes about as long as reading ten.
	promptTokensPerAnswerToken = 10
	// unitWeightTarget is the aim of a request of worth 1. Callers who accept a longer
	// wait have asked for more.
	unitWeightTarget = 250 * time.Millisecond
	// fixedWeightFraction is the part of a stream's worth that does not grow with its size.
	fixedWeightFraction = 0.3
	// maxWeightRatio bounds the worth of a stream against a mean one of its route.
	maxWeightRatio = 4
	// meanSmoothing is the weight of one request in the mean size of its route.
	meanSmoothing = 0.02
)

// meanSizes keeps the mean size of the streams of each route. It is safe for
// concurrent use.
type meanSizes struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

// weight weighs a stream against requests of any kind: by the aim of its route,
// and within the route by its size.
func (s *meanSizes) weight(route string, targetLatency time.Duration, promptTokens, answerTokens int) float64 {
	size := float64(promptTokens + promptTokensPerAnswerToken*answerTokens)
	s.mu.Lock()
	mean, known := s.byRoute[route]
	if !known {
		mean = size
	}
	mean += meanSmoothing * (size - mean)
	s.byRoute[route] = mean
	s.mu.Unlock()
	ratio := min(fixedWeightFraction+(1-fixedWeightFraction)*size/max(mean, 1), maxWeightRatio)
	return float64(targetLatency) / float64(unitWeightTarget) * ratio
}
