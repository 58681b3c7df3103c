package place

import (
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/eject"
	"godwityoke.example/godwityoke/internal/estimate"
)

// placement is a Placement of baseline and leasePlacer.
type placement struct {
	baseline *baseline
	query    Query
	server   Server
	// ahead and cached are the prefill ahead and the cached tokens as they
	// were expected.
	ahead    int64
	cached   int64
	expected timing
	sentAt   time.Time
	// lease is nil for the baselines.
	lease *capacity.Lease
	// grouped is true when other engines hold parts of the prompt; nothing is
	// learned from the time to the first token then.
	grouped bool

	firstTokenAt time.Time
	finished     bool
}

// Server implements Placement.
func (p *placement) Server() Server { return p.server }

// FirstToken implements Placement.
func (p *placement) FirstToken(at time.Time) {
	p.baseline.mu.Lock()
	defer p.baseline.mu.Unlock()
	if !p.firstTokenAt.IsZero() || p.finished {
		return
	}
	p.firstTokenAt = at
	p.baseline.knowledge.endPrefill(p.server.ID, p.query.PromptTokens)
	if p.lease != nil {
		p.lease.FirstToken()
	}
}

// Finish implements Placement.
func (p *placement) Finish(result AttemptResult) {
	p.baseline.mu.Lock()
	defer p.baseline.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	if p.firstTokenAt.IsZero() {
		p.baseline.knowledge.endPrefill(p.server.ID, p.query.PromptTokens)
	}
	p.baseline.knowledge.end(p.server.ID)
	p.learn(result)
	if p.lease != nil {
		p.lease.Release(result.MemoryHeld)
	}
}

// learn takes what became of the attempt into account.
func (p *placement) learn(result AttemptResult) {
	observed := eject.Result{Server: p.server.ID, Incarnation: p.server.Incarnation, Failed: result.Failed}
	if !p.firstTokenAt.IsZero() && !p.grouped {
		observed.LatencyRatio = p.slowness(result.CachedTokens)
		p.learnSpeed(result)
		p.learnCache(result)
	}
	if p.baseline.knowledge.ejector.RecordResult(observed, result.At) && p.baseline.options.OnEject != nil {
		p.baseline.options.OnEject(p.server)
	}
}

// slowness compares the time to the first token with what any engine of the
// model would be expected to take.
func (p *placement) slowness(cached int64) float64 {
	work := max(p.query.PromptTokens-cached, 1) + p.ahead
	speeds := p.baseline.knowledge.estimator.Speeds(p.query.Model, p.query.PromptTokens)
	expected := speeds.Average().Prefill(work)
	return p.baseline.knowledge.relativeSlowness(p.query.Model, p.firstTokenAt.Sub(p.sentAt), expected)
}

func (p *placement) learnSpeed(result AttemptResult) {
	p.baseline.knowledge.learned[p.query.Model] = result.At
	p.baseline.knowledge.estimator.Learn(estimate.Observation{
		Key:              estimate.Key{Server: p.server.ID, Model: p.query.Model},
		PromptTokens:     p.query.PromptTokens,
		CachedTokens:     result.CachedTokens,
		AheadTokens:      p.ahead,
		TimeToFirstToken: p.firstTokenAt.Sub(p.sentAt),
		AnswerTokens:     result.AnswerTokens,
		DecodeTime:       result.At.Sub(p.firstTokenAt),
		MaxAnswerTokens:  p.query.AnswerTokens,
		Complete:         !result.Failed && result.AnswerTokens > 0,
	}, result.At)
}

func (p *placement) learnCache(result AttemptResult) {
	index := p.baseline.options.Index
	if index == nil {
		return
	}
	if result.PromptTokens > 0 {
		index.UpdateConfidence(p.server.ID, p.cached, result.CachedTokens)
	}
	index.AddBlocks(p.server.ID, p.server.Incarnation, p.query.Blocks)
}
