package reclaim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// fakeEngine is an engine that holds attempts and doesn't answer while down is true.
type fakeEngine struct {
	mu          sync.Mutex
	held        map[string]bool
	down        bool
	alive       bool
	incarnation uint64
}

// Cancel implements EngineClient.
func (e *fakeEngine) Cancel(_ context.Context, _ string, attempts []string) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errors.New("no answer")
	}
	for _, attempt := range attempts {
		delete(e.held, attempt)
	}
	return attempts, nil
}

// HeldAttempts implements EngineClient.
func (e *fakeEngine) HeldAttempts(context.Context, string) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errors.New("no answer")
	}
	var held []string
	for attempt := range e.held {
		held = append(held, attempt)
	}
	return held, nil
}

// IsAlive implements Liveness.
func (e *fakeEngine) IsAlive(_ string, incarnation uint64, _ time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.alive && e.incarnation == incarnation
}

// IsLatestIncarnation implements Liveness.
func (e *fakeEngine) IsLatestIncarnation(_ string, incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation == incarnation
}

func (e *fakeEngine) setState(down, alive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.alive = down, alive
}

func (e *fakeEngine) sortedHeld() []string {
	held, _ := e.HeldAttempts(context.Background(), "")
	slices.Sort(held)
	return held
}

// withReclaimer runs test in a synctest bubble with a running Reclaimer and one engine.
func withReclaimer(t *testing.T, test func(t *testing.T, r *Reclaimer, e *fakeEngine, server place.Server, ids *request.IDGenerator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{held: map[string]bool{}, alive: true, incarnation: 1}
		ids := request.NewIDGenerator()
		r := New(e, e, ids, zerolog.Nop())
		go r.Run(t.Context())
		test(t, r, e, place.Server{ID: "e1", Incarnation: 1, Address: "10.0.1.1:80"}, ids)
	})
}

func TestCancelIsRetriedUntilTheEngineConfirms(t *testing.T) {
	withReclaimer(t, func(t *testing.T, r *Reclaimer, e *fakeEngine, server place.Server, ids *request.IDGenerator) {
		kept, ended := ids.Next(), ids.Next()
		e.held[kept], e.held[ended] = true, true
		r.Begin(server, kept)
		r.Begin(server, ended)
		e.setState(true, true)
		r.End(server, ended, false)
		time.Sleep(time.Minute + retryInterval/3) // between two retries
		require.Equal(t, 1, r.Pending())
		e.setState(false, false) // unresponsive; alive again below, with the same incarnation
		time.Sleep(time.Minute)
		require.Len(t, e.held, 2)
		e.setState(false, true)
		time.Sleep(2 * retryInterval)
		require.Equal(t, []string{kept}, e.sortedHeld())
		require.Zero(t, r.Pending())
	})
}

// The engine holds two attempts that End never reported. Only the one of this VM may be
// cancelled, not the one of another VM.
func TestHeldAttemptsWithoutEndAreCancelled(t *testing.T) {
	withReclaimer(t, func(t *testing.T, r *Reclaimer, e *fakeEngine, server place.Server, ids *request.IDGenerator) {
		active, orphan, foreign := ids.Next(), ids.Next(), request.NewIDGenerator().Next()
		e.held[active], e.held[orphan], e.held[foreign] = true, true, true
		r.Begin(server, active)
		time.Sleep(compareInterval + 2*retryInterval)
		require.ElementsMatch(t, []string{active, foreign}, e.sortedHeld())
	})
}

// The engine restarts while a cancellation is unconfirmed. The restart has freed the
// memory of the attempt, so that the cancellation is dropped.
func TestCancellationsOfAReplacedIncarnationAreDropped(t *testing.T) {
	withReclaimer(t, func(t *testing.T, r *Reclaimer, e *fakeEngine, server place.Server, ids *request.IDGenerator) {
		attempt := ids.Next()
		r.Begin(server, attempt)
		e.setState(true, true)
		r.End(server, attempt, false)
		time.Sleep(time.Minute)
		require.Equal(t, 1, r.Pending())
		e.mu.Lock()
		e.incarnation = 2
		e.mu.Unlock()
		time.Sleep(2 * retryInterval)
		require.Zero(t, r.Pending())
		require.Empty(t, r.states)
	})
}
