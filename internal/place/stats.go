package place

import (
	"math"
	"time"

	"godwityoke.example/godwityoke/internal/eject"
	"godwityoke.example/godwityoke/internal/estimate"
)

const (
	// latencyRatioWeight is the weight of the newest request in the mean latency ratio
	// of a model.
	latencyRatioWeight = 0.02
	// maxEvidenceAge is the maximum age of the last speed observation of a model for
	// which a query is refused by estimate. Later queries are tried regardless, since
	// refusals produce no observations that could correct a wrong estimate.
	maxEvidenceAge = time.Second
)

// engineStats holds this VM's statistics of engines, from its own requests only. It
// is guarded by the lock of its localPlacer.
type engineStats struct {
	estimator *estimate.Estimator
	ejector   *eject.Ejector
	// localLoads holds the load that this VM puts on each server. Servers without
	// requests of this VM have no entry.
	localLoads map[string]localLoad
	// meanLogRatios is the running mean of the logarithm of actual over expected time
	// to the first token, by model.
	meanLogRatios map[string]float64
	// lastObserved is the time of the last speed observation, by model.
	lastObserved map[string]time.Time
	// candidateBuffer and available are buffers that the method candidates reuses.
	candidateBuffer []candidate
	available       []int
}

// localLoad is the load of this VM's requests on one server.
type localLoad struct {
	inFlight int64
	// prefillTokens is the total length of the prompts without a first token.
	prefillTokens int64
}

func newEngineStats() *engineStats {
	return &engineStats{
		estimator: estimate.New(), ejector: eject.New(), localLoads: map[string]localLoad{},
		meanLogRatios: map[string]float64{}, lastObserved: map[string]time.Time{},
	}
}

func (s *engineStats) addRequest(server string, prefillTokens int64, now time.Time) {
	local := s.localLoads[server]
	local.inFlight++
	local.prefillTokens += prefillTokens
	s.localLoads[server] = local
	s.ejector.RecordSend(server, now)
}

func (s *engineStats) removePrefill(server string, prefillTokens int64) {
	local := s.localLoads[server]
	local.prefillTokens -= prefillTokens
	s.localLoads[server] = local
}

func (s *engineStats) removeRequest(server string) {
	local := s.localLoads[server]
	local.inFlight--
	if local.inFlight <= 0 {
		delete(s.localLoads, server)
		return
	}
	s.localLoads[server] = local
}

// relativeLatency returns actual over expected time to the first token, divided by
// the mean of this ratio for the model. The division keeps engines from being ejected
// when all engines of the model are slow. The mean is updated with the ratio after the
// division. For times that are not positive it returns 0 and keeps the mean.
func (s *engineStats) relativeLatency(model string, actual, expected time.Duration) float64 {
	if actual <= 0 || expected <= 0 {
		return 0
	}
	logRatio := math.Log(actual.Seconds() / expected.Seconds())
	mean := s.meanLogRatios[model]
	s.meanLogRatios[model] = mean + (logRatio-mean)*latencyRatioWeight
	return math.Exp(logRatio - mean)
}

// isEvidenceStale reports whether the last speed observation of model is too old to
// refuse queries by estimate.
func (s *engineStats) isEvidenceStale(model string, now time.Time) bool {
	return now.Sub(s.lastObserved[model]) >= maxEvidenceAge
}
