package reclaim

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// requestTimeout bounds one request to an engine.
	requestTimeout = 2 * time.Second
	// maxCancelBatch bounds the attempts in one cancel request.
	maxCancelBatch = 256
)

// sendCancels sends each engine that is alive its unconfirmed cancellations, with at most
// one request in flight to each engine. It first removes replaced engines, and logs engines
// whose cancellations are overdue.
func (r *Reclaimer) sendCancels(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.evictReplaced()
	for _, state := range r.states {
		if len(state.unconfirmed) == 0 || state.cancelling {
			continue
		}
		if !r.isAlive(state, now) {
			continue // retried when the server is responsive again
		}
		r.warnUnconfirmed(state, now)
		state.cancelling = true
		go r.sendCancel(ctx, state, state.cancelBatch())
	}
}

// cancelBatch returns up to maxCancelBatch unconfirmed attempts, in no particular order.
func (s *engineState) cancelBatch() []string {
	attempts := make([]string, 0, min(len(s.unconfirmed), maxCancelBatch))
	for attempt := range s.unconfirmed {
		if len(attempts) == maxCancelBatch {
			break
		}
		attempts = append(attempts, attempt)
	}
	return attempts
}

// sendCancel sends one cancel request and removes the attempts that the engine confirms.
func (r *Reclaimer) sendCancel(ctx context.Context, state *engineState, attempts []string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	released, err := r.engines.Cancel(ctx, state.server.Address, attempts)
	r.mu.Lock()
	defer r.mu.Unlock()
	state.cancelling = false
	if err != nil {
		return // retried after retryInterval
	}
	for _, attempt := range released {
		delete(state.unconfirmed, attempt)
	}
}

// compareAll starts a comparison with each engine that is alive and was used since the
// last one.
func (r *Reclaimer) compareAll(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, state := range r.states {
		if state.usedSinceCompare && r.isAlive(state, now) {
			state.usedSinceCompare = len(state.active) > 0
			go r.compare(ctx, state)
		}
	}
}

// compare queues cancellations for the attempts of this VM that an engine holds
// although they are neither active nor already being cancelled.
func (r *Reclaimer) compare(ctx context.Context, state *engineState) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	startedAt := time.Now()
	held, err := r.engines.HeldAttempts(ctx, state.server.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		state.usedSinceCompare = true // compared again after compareInterval
		return
	}
	found := 0
	for _, attempt := range held {
		_, unconfirmed := state.unconfirmed[attempt]
		if !r.ids.IsOwn(attempt) || state.active[attempt] || unconfirmed || len(state.unconfirmed) >= maxUnconfirmed {
			continue
		}
		state.unconfirmed[attempt] = startedAt
		found++
	}
	if found > 0 {
		state.usedSinceCompare = true
		observe.Log(r.logger, observe.AttemptsReclaimed).Str("server", state.server.ID).Int("attempts", found).Send()
	}
}
