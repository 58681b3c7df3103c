package place

import (
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/eject"
	"godwityoke.example/godwityoke/internal/estimate"
)

// placement is the Placement of localPlacer and leasePlacer. The lock of the
// localPlacer guards it.
type placement struct {
	placer *localPlacer
	query  Query
	server Server
	// aheadTokens and cachedTokens are the estimates at placement time: the prefill
	// ahead of the query, and the tokens of its prompt in the server's prefix cache.
	aheadTokens  int64
	cachedTokens int64
	expected     timeEstimate
	sentAt       time.Time
	// lease is nil for policies without leases.
	lease *capacity.Lease
	// isGroup is true when other engines hold segments of the prompt. The speed and the
	// latency of server are then not updated, as the time to the first token includes the
	// prefill on the other engines.
	isGroup bool

	firstTokenAt time.Time
	finished     bool
}

// Server implements Placement.
func (p *placement) Server() Server { return p.server }

// FirstToken implements Placement.
func (p *placement) FirstToken(arrivedAt time.Time) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	if !p.firstTokenAt.IsZero() || p.finished {
		return
	}
	p.firstTokenAt = arrivedAt
	p.placer.stats.removePrefill(p.server.ID, p.query.PromptTokens)
	if p.lease != nil {
		p.lease.EndPrefill()
	}
}

// Finish implements Placement.
func (p *placement) Finish(result AttemptResult) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	if p.firstTokenAt.IsZero() {
		p.placer.stats.removePrefill(p.server.ID, p.query.PromptTokens)
	}
	p.placer.stats.removeRequest(p.server.ID)
	p.recordOutcome(result)
	if p.lease != nil {
		p.lease.Release(result.MemoryHeld)
	}
}

// recordOutcome updates the health, speed and cache estimates of the server.
func (p *placement) recordOutcome(result AttemptResult) {
	observed := eject.Result{Server: p.server.ID, Incarnation: p.server.Incarnation, Failed: result.Failed}
	if !p.firstTokenAt.IsZero() && !p.isGroup {
		observed.LatencyRatio = p.latencyRatio(result.CachedTokens)
		p.recordSpeed(result)
		p.recordCacheUse(result)
	}
	if p.placer.stats.ejector.RecordResult(observed, result.At) && p.placer.options.OnEject != nil {
		p.placer.options.OnEject(p.server)
	}
}

// latencyRatio returns the time to the first token divided by the time expected of an
// average engine of the model, corrected for the usual estimation error.
func (p *placement) latencyRatio(cachedTokens int64) float64 {
	work := max(p.query.PromptTokens-cachedTokens, 1) + p.aheadTokens
	speeds := p.placer.stats.estimator.Speeds(p.query.Model, p.query.PromptTokens)
	expected := speeds.Average().Prefill(work)
	return p.placer.stats.relativeLatency(p.query.Model, p.firstTokenAt.Sub(p.sentAt), expected)
}

func (p *placement) recordSpeed(result AttemptResult) {
	p.placer.stats.lastObserved[p.query.Model] = result.At
	p.placer.stats.estimator.Learn(estimate.Observation{
		Key:              estimate.Key{Server: p.server.ID, Model: p.query.Model},
		PromptTokens:     p.query.PromptTokens,
		CachedTokens:     result.CachedTokens,
		AheadTokens:      p.aheadTokens,
		TimeToFirstToken: p.firstTokenAt.Sub(p.sentAt),
		AnswerTokens:     result.AnswerTokens,
		DecodeTime:       result.At.Sub(p.firstTokenAt),
		MaxAnswerTokens:  p.query.AnswerTokens,
		Complete:         !result.Failed && result.AnswerTokens > 0,
	}, result.At)
}

func (p *placement) recordCacheUse(result AttemptResult) {
	index := p.placer.options.Index
	if index == nil {
		return
	}
	if result.PromptTokens > 0 {
		index.UpdateConfidence(p.server.ID, p.cachedTokens, result.CachedTokens)
	}
	index.AddBlocks(p.server.ID, p.server.Incarnation, p.query.Blocks)
}
