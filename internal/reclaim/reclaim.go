// Package reclaim frees the memory that model engines hold for attempts of this VM
// that have ended: it sends cancel requests until the engine confirms them, and
// periodically compares the attempts that engines hold with those in flight on this
// VM, to find ended attempts without a cancellation. Callers report the start and the
// end of each attempt; the package doesn't decide when an attempt ends.
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
	// maxUnconfirmed bounds the unconfirmed cancellations of one engine. Those beyond
	// are dropped, and found again by a later comparison with the engine.
	maxUnconfirmed = 1024
	// retryInterval is the interval of cancel requests to an engine with unconfirmed
	// cancellations.
	retryInterval = 500 * time.Millisecond
	// compareInterval is how often the attempts that engines hold are requested.
	compareInterval = 10 * time.Second
	// warnAfter is the age of an unconfirmed cancellation from which it is overdue: its
	// engine is then logged.
	warnAfter = 5 * time.Second
)

// EngineClient sends requests to model engines. Addresses are "ip:port".
type EngineClient interface {
	// Cancel requests the engine at address to stop attempts and returns those that
	// hold no memory there any more.
	Cancel(ctx context.Context, address string, attempts []string) ([]string, error)
	// HeldAttempts returns the attempts that hold memory on the engine at address.
	HeldAttempts(ctx context.Context, address string) ([]string, error)
}

// Liveness reports what is known of incarnations of backend servers.
type Liveness interface {
	// IsAlive reports whether the server is responsive and runs the given incarnation.
	IsAlive(serverID string, incarnation uint64, now time.Time) bool
	// IsLatestIncarnation reports whether no newer incarnation of the server is known.
	// The server may be unresponsive at the time.
	IsLatestIncarnation(serverID string, incarnation uint64) bool
}

// Reclaimer tracks the attempts of this VM by engine. Its methods are safe for
// concurrent use.
type Reclaimer struct {
	engines  EngineClient
	liveness Liveness
	ids      *request.IDGenerator
	logger   zerolog.Logger
	// wake holds an element if a cancellation was queued since the last sendCancels.
	wake chan struct{}

	mu sync.Mutex
	// states holds the latest incarnation of each engine, by server ID.
	states map[string]*engineState
}

// engineState holds the attempts of this VM on one incarnation of an engine.
type engineState struct {
	server place.Server
	// active holds the attempts in flight.
	active map[string]bool
	// unconfirmed maps each attempt whose cancellation the engine has not confirmed to
	// the time at which the cancellation was queued.
	unconfirmed map[string]time.Time
	// usedSinceCompare is true if the next comparison must include the engine.
	usedSinceCompare bool
	// warned is true if the oldest unconfirmed cancellation was overdue at the last check.
	warned bool
	// cancelling is true while a cancel request to the engine is in flight.
	cancelling bool
}

// New returns a Reclaimer, which sends requests only while Run is running. ids is the
// generator of the IDs of this VM's attempts.
func New(engines EngineClient, liveness Liveness, ids *request.IDGenerator, logger zerolog.Logger) *Reclaimer {
	return &Reclaimer{
		engines: engines, liveness: liveness, ids: ids, logger: logger,
		wake: make(chan struct{}, 1), states: map[string]*engineState{},
	}
}

// Begin records that an attempt is in flight to the engine of server.
func (r *Reclaimer) Begin(server place.Server, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[server.ID]
	if state == nil || state.server.Incarnation < server.Incarnation {
		state = &engineState{server: server, active: map[string]bool{}, unconfirmed: map[string]time.Time{}}
		r.states[server.ID] = state
	}
	state.active[attempt] = true
	state.usedSinceCompare = true
}

// End records that an attempt ended. If the engine has not released it, it is
// cancelled until the engine confirms. An attempt that is not in flight is ignored.
func (r *Reclaimer) End(server place.Server, attempt string, released bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[server.ID]
	if state == nil || !state.active[attempt] {
		return
	}
	delete(state.active, attempt)
	state.usedSinceCompare = true
	if released || len(state.unconfirmed) >= maxUnconfirmed {
		return
	}
	state.unconfirmed[attempt] = time.Now()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of unconfirmed cancellations on all engines.
func (r *Reclaimer) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, state := range r.states {
		count += len(state.unconfirmed)
	}
	return count
}

// Run sends cancel requests and compares attempts until ctx ends.
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
			r.sendCancels(ctx)
		case <-retry.C:
			r.sendCancels(ctx)
		case <-compare.C:
			r.compareAll(ctx)
		}
	}
}

// pendingOnAlive returns the number of unconfirmed cancellations on engines that are
// alive.
func (r *Reclaimer) pendingOnAlive(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, state := range r.states {
		if r.isAlive(state, now) {
			count += len(state.unconfirmed)
		}
	}
	return count
}

// Drain waits until all engines that are alive have confirmed their cancellations, or
// until ctx ends. Run must be running.
func (r *Reclaimer) Drain(ctx context.Context) {
	ticker := time.NewTicker(retryInterval / 10)
	defer ticker.Stop()
	for r.pendingOnAlive(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// evictReplaced removes engines that have a newer incarnation and no active attempts:
// an incarnation's memory ends with it. An unresponsive engine stays, since it may
// respond again and still hold its attempts. The caller holds r.mu.
func (r *Reclaimer) evictReplaced() {
	for id, state := range r.states {
		if len(state.active) == 0 && !r.liveness.IsLatestIncarnation(id, state.server.Incarnation) {
			delete(r.states, id)
		}
	}
}

func (r *Reclaimer) isAlive(state *engineState, now time.Time) bool {
	return r.liveness.IsAlive(state.server.ID, state.server.Incarnation, now)
}

// warnUnconfirmed logs an engine whose oldest unconfirmed cancellation is at least
// warnAfter old. It logs again only after no cancellation was that old in between. The
// caller holds r.mu.
func (r *Reclaimer) warnUnconfirmed(state *engineState, now time.Time) {
	oldest := now
	for _, queuedAt := range state.unconfirmed {
		if queuedAt.Before(oldest) {
			oldest = queuedAt
		}
	}
	overdue := now.Sub(oldest) >= warnAfter
	if overdue && !state.warned {
		observe.Log(r.logger, observe.CancelUnconfirmed).Str("server", state.server.ID).Int("attempts", len(state.unconfirmed)).Send()
	}
	state.warned = overdue
}
