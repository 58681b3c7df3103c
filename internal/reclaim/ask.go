package reclaim

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// askTimeout bounds one question to an engine.
	askTimeout = 2 * time.Second
	// maxAsked bounds the attempts in one request.
	maxAsked = 256
)

// askAll sends each engine its open cancellations, one request at a time for
// each engine.
func (r *Reclaimer) askAll(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.forget()
	for _, state := range r.states {
		if len(state.queued) == 0 || state.asking {
			continue
		}
		if !r.alive(state, now) {
			continue // asked again once it is heard of
		}
		r.warn(state, now)
		state.asking = true
		go r.ask(ctx, state, state.some())
	}
}

// some returns queued attempts up to the bound of one request.
func (s *engineState) some() []string {
	attempts := make([]string, 0, min(len(s.queued), maxAsked))
	for attempt := range s.queued {
		if len(attempts) == maxAsked {
			break
		}
		attempts = append(attempts, attempt)
	}
	return attempts
}

func (r *Reclaimer) ask(ctx context.Context, state *engineState, attempts []string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	released, err := r.engines.Cancel(ctx, state.server.Address, attempts)
	r.mu.Lock()
	defer r.mu.Unlock()
	state.asking = false
	if err != nil {
		return // asked again at the next interval
	}
	for _, attempt := range released {
		delete(state.queued, attempt)
	}
}

// compareAll asks the engines used since the last comparison what they hold.
func (r *Reclaimer) compareAll(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, state := range r.states {
		if state.used && r.alive(state, now) {
			state.used = len(state.active) > 0
			go r.compare(ctx, state)
		}
	}
}

// compare queues the attempts of this VM that an engine holds although they
// ended. An attempt that ends during the question is left to its own End.
func (r *Reclaimer) compare(ctx context.Context, state *engineState) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	held, err := r.engines.HeldAttempts(ctx, state.server.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		state.used = true // compared again at the next interval
		return
	}
	found := 0
	for _, attempt := range held {
		_, queued := state.queued[attempt]
		if !r.identifiers.IsOwn(attempt) || state.active[attempt] || queued || len(state.queued) >= maxQueued {
			continue
		}
		state.queued[attempt] = asked
		found++
	}
	if found > 0 {
		state.used = true
		observe.Log(r.logger, observe.AttemptsReclaimed).Str("server", state.server.ID).Int("attempts", found).Send()
	}
}
