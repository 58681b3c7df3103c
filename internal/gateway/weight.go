package gateway

import (
	"sync"
	"time"
)

const (
	// promptTokensPerAnswerToken is the cost of an answer token in prompt tokens: decoding one token takes about as
	// long as prefilling ten.
	promptTokensPerAnswerToken = 10
	// unitWeightTarget is the target latency at which a stream of mean size has weight 1. The weight grows with the
	// target latency, because callers that accept a longer wait have asked for more work.
	unitWeightTarget = 250 * time.Millisecond
	// fixedWeightFraction is the fraction of the weight of a mean stream that does not depend on the size.
	fixedWeightFraction = 0.3
	// maxWeightRatio limits the weight of a stream relative to a stream of mean size on the same route.
	maxWeightRatio = 4
	// meanSmoothing is the smoothing factor of the mean size of a route, an exponential moving average.
	meanSmoothing = 0.02
)

// meanSizes holds the mean size of the streams of each route, in prompt tokens. It is safe for concurrent use.
type meanSizes struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

// weight returns the weight of a stream relative to other requests; a request that is not streamed has weight 1.
// Between routes the weight is proportional to the target latency; within a route it grows with the size. The call
// also updates the mean size of the route.
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
