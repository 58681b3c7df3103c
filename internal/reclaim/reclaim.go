// Package reclaim frees the engine memory of attempts that ended early: it
// asks their engines to cancel them until the engines confirm, and compares
// what engines hold with the attempts that this VM has in progress.
package reclaim

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// maxQueued bounds the cancellations that wait for one engine. Those
	// beyond are found again by the comparison with the engine.
	maxQueued = 1024
	// retryInterval separates requests to an engine that has not confirmed.
	retryInterval = 500 * time.Millisecond
	// compareInterval is how often engines are asked what they hold.
	compareInterval = 10 * time.Second
	// warnAfter is the time without confirmation that is logged.
	warnAfter = 5 * time.Second
)

// EngineClient sends requests to model engines.
type EngineClient interface {
	// Cancel asks the engine at address to stop attempts and returns those
	// that hold no memory any more.
	Cancel(ctx context.Context, address string, attempts []string) ([]string, error)
	// HeldAttempts returns the attempts that hold memory on the engine at address.
	HeldAttempts(ctx context.Context, address string) ([]string, error)
}

// Liveness tells what is known of incarnations of backend servers.
type Liveness interface {
	// IsAlive reports whether the server is heard of and still runs the given
	// incarnation.
	IsAlive(serverID string, incarnation uint64, now time.Time) bool
	// IsLatestIncarnation reports whether the incarnation was not replaced, though it may be
	// silent at this time.
	IsLatestIncarnation(serverID string, incarnation uint64) bool
}

// Reclaimer keeps the attempts of this VM by engine.
type Reclaimer struct {
	engines     EngineClient
	liveness    Liveness
	identifiers *request.IDGenerator
	logger      zerolog.Logger
	wake        chan struct{}

	mu     sync.Mutex
	states map[string]*engineState
}

// engineState is what this VM has on one incarnation of an engine.
type engineState struct {
	server place.Server
	active map[string]bool
	// queued maps attempts to cancel to the time they were queued.
	queued map[string]time.Time
	// used is set by attempts since the last comparison.
	used   bool
	warned bool
	asking bool
}

// New returns a Reclaimer; Run does its work.
func New(engines EngineClient, liveness Liveness, identifiers *request.IDGenerator, logger zerolog.Logger) *Reclaimer {
	return &Reclaimer{
		engines: engines, liveness: liveness, identifiers: identifiers, logger: logger,
		wake: make(chan struct{}, 1), states: map[string]*engineState{},
	}
}

// Begin notes that an attempt is in progress on an engine.
func (r *Reclaimer) Begin(server place.Server, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[server.ID]
	if state == nil || state.server.Incarnation < server.Incarnation {
		state = &engineState{server: server, active: map[string]bool{}, queued: map[string]time.Time{}}
		r.states[server.ID] = state
	}
	state.active[attempt] = true
	state.used = true
}

// End notes that an attempt ended. Unless it is released, the engine is asked
// to cancel it until it confirms.
func (r *Reclaimer) End(server place.Server, attempt string, released bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[server.ID]
	if state == nil || !state.active[attempt] {
		return
	}
	delete(state.active, attempt)
	state.used = true
	if released || len(state.queued) >= maxQueued {
		return
	}
	state.queued[attempt] = time.Now()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of attempts whose cancellation is not confirmed.
func (r *Reclaimer) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, state := range r.states {
		count += len(state.queued)
	}
	return count
}

// Run works until ctx ends.
func (r *Reclaimer) Run(ctx context.Context) {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			r.askAll(ctx)
		case <-retry.C:
			r.askAll(ctx)
		case <-compare.C:
			r.compareAll(ctx)
		}
	}
}

// answerable returns the number of attempts whose cancellation an engine that
// is alive has not confirmed.
func (r *Reclaimer) answerable(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, state := range r.states {
		if r.alive(state, now) {
			count += len(state.queued)
		}
	}
	return count
}

// Drain waits until all engines that are alive have confirmed their
// cancellations, or ctx ends. Run must be running.
func (r *Reclaimer) Drain(ctx context.Context) {
	ticker := time.NewTicker(retryInterval / 10)
	defer ticker.Stop()
	for r.answerable(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// forget drops engines whose incarnation was replaced: their memory went with
// it. A silent engine is kept, since it may come back with what it holds.
func (r *Reclaimer) forget() {
	for id, state := range r.states {
		if len(state.active) == 0 && !r.liveness.IsLatestIncarnation(id, state.server.Incarnation) {
			delete(r.states, id)
		}
	}
}

func (r *Reclaimer) alive(state *engineState, now time.Time) bool {
	return r.liveness.IsAlive(state.server.ID, state.server.Incarnation, now)
}

func (r *Reclaimer) warn(state *engineState, now time.Time) {
	oldest := now
	for _, queued := range state.queued {
		if queued.Before(oldest) {
			oldest = queued
		}
	}
	late := now.Sub(oldest) >= warnAfter
	if late && !state.warned {
		observe.Log(r.logger, observe.CancelUnconfirmed).Str("server", state.server.ID).Int("attempts", len(state.queued)).Send()
	}
	state.warned = late
}
