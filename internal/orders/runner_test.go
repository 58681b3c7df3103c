package orders

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// whole is longer than a roll of the fleets below takes.
const whole = 3 * time.Minute

// inFleet runs a test with the runner of control VM c1 as the leader of term 1.
func inFleet(t *testing.T, engines int, checks bool, test func(t *testing.T, f *fakeFleet, run func(name string, term uint64) func())) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(engines, checks)
		var group sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		run := func(name string, term uint64) func() {
			bounded, stop := context.WithCancel(ctx)
			group.Go(func() { f.runner(t, name).Run(bounded, term) })
			return stop
		}
		test(t, f, run)
		cancel()
		group.Wait()
		time.Sleep(2 * f.loadTime)
	})
}

func TestFaultsOrder(t *testing.T) {
	t.Run("order/none", func(t *testing.T) {
		inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, whole)
			run("c1", 1)
			time.Sleep(whole / 2)
			f.requireRolled(t, "2")
			require.Equal(t, 4, f.ordersTaken())
			require.GreaterOrEqual(t, f.minServing, 2)
		})
	})
	t.Run("order/answer lost", func(t *testing.T) {
		inFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			for _, engine := range f.engines {
				engine.lose, engine.quiet = 2, true
			}
			f.elect("c1", 1, whole)
			run("c1", 1)
			time.Sleep(whole / 2)
			f.requireRolled(t, "2")
			require.Equal(t, 4, f.ordersTaken(), "a resend is carried out once")
		})
	})
	t.Run("order/order lost", func(t *testing.T) {
		inFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			for _, engine := range f.engines {
				engine.drop = 2
			}
			f.elect("c1", 1, whole)
			run("c1", 1)
			time.Sleep(whole / 2)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/kill of the leader", func(t *testing.T) {
		inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, whole)
			stop := run("c1", 1)
			for f.ordersTaken() == 0 {
				time.Sleep(100 * time.Millisecond)
			}
			stop()
			f.elect("c2", 2, whole)
			run("c2", 2)
			time.Sleep(whole / 2)
			f.requireRolled(t, "2")
			require.GreaterOrEqual(t, f.minServing, 2, "loads of the old leader count against the limits")
		})
	})
	t.Run("order/freeze of the leader", testFrozenLeader)
	t.Run("order/silent engine", func(t *testing.T) {
		inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.engines["e1"].hang = true
			f.engines["e1"].server.Models = served("lace", "2")
			f.elect("c1", 1, whole)
			run("c1", 1)
			time.Sleep(whole / 4)
			f.mu.Lock()
			first, least := f.engines["e0"].server.Models, f.minServing
			f.engines["e1"].hang = false
			f.mu.Unlock()
			require.Equal(t, served("lace", "2"), first)
			require.GreaterOrEqual(t, least-1, 2, "the silent engine counts as out of service")
			time.Sleep(whole / 4)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/cut off leader", func(t *testing.T) {
		inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, settleTime/2)
			run("c1", 1)
			time.Sleep(whole / 4)
			require.Zero(t, f.ordersTaken(), "no order after the end of the lease")
		})
	})
	t.Run("order/disk lost", func(t *testing.T) {
		inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, whole)
			run("c1", 1)
			for f.ordersTaken() == 0 {
				time.Sleep(100 * time.Millisecond)
			}
			f.mu.Lock()
			for _, engine := range f.engines {
				if engine.loading != "" {
					engine.restart()
				}
			}
			f.mu.Unlock()
			time.Sleep(whole / 2)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/second loss right after repair", func(t *testing.T) {
		inFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.loadTime = 8 * loadTime
			for term, name := range []string{"c1", "c2", "c3"} {
				f.elect(name, uint64(term+1), whole)
				stop := run(name, uint64(term+1))
				for begun := f.ordersTaken(); f.ordersTaken() == begun; {
					time.Sleep(100 * time.Millisecond)
				}
				stop()
			}
			f.elect("c4", 4, whole)
			run("c4", 4)
			time.Sleep(whole / 2)
			f.requireRolled(t, "2")
			require.Equal(t, 4, f.ordersTaken(), "loads of earlier leaders are let go on")
			require.GreaterOrEqual(t, f.minServing, 2)
		})
	})
	t.Run("order/cut both ways", func(t *testing.T) {
		inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, whole)
			f.reportsEndAt = time.Now().Add(-reportStaleAfter)
			run("c1", 1)
			time.Sleep(whole / 3)
			require.Zero(t, f.ordersTaken(), "engines of VMs out of reach get no order")
			f.mu.Lock()
			f.reportsEndAt = time.Time{}
			f.mu.Unlock()
			time.Sleep(whole / 3)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/lease lost for a moment", func(t *testing.T) {
		inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, 2*settleTime)
			run("c1", 1)
			time.Sleep(3 * settleTime)
			taken := f.ordersTaken()
			time.Sleep(settleTime)
			require.Equal(t, taken, f.ordersTaken(), "no order without the lease")
			f.elect("c1", 1, whole)
			time.Sleep(whole / 2)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/two faults at once", testLateOrderOnEngineWithoutFencing)
}

// testFrozenLeader lets an old leader act after a new one, as a process does
// that was stopped between its look at the lease and the send.
func testFrozenLeader(t *testing.T) {
	inFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
		f.elect("c2", 2, whole)
		run("c2", 2)
		time.Sleep(whole / 4)
		f.elect("c1", 1, whole)
		stale := &backendapi.Order{ID: "1-9", Kind: backendapi.OrderLoadModel, Fencing: 1, Model: "lace", Version: "1",
			ExpiresUnixMillis: time.Now().Add(time.Minute).UnixMilli()}
		reply, err := f.SendOrder(t.Context(), "e0", stale)
		require.NoError(t, err)
		require.Equal(t, backendapi.OrderStale, reply.Status)
		taken, received := f.ordersTaken(), f.received
		f.content = rolledBundle(1, 2, 50)
		f.content.Models[0].Version = "0"
		run("c1", 1)
		time.Sleep(whole / 4)
		require.Equal(t, taken, f.ordersTaken())
		require.LessOrEqual(t, f.received-received, 2, "the old leader stops at the first answers")
		f.requireRolled(t, "2")
	})
}

// testLateOrderOnEngineWithoutFencing kills a leader whose last order is still
// on its way to an engine that ignores fencing numbers.
func testLateOrderOnEngineWithoutFencing(t *testing.T) {
	inFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
		f.elect("c2", 2, whole)
		run("c2", 2)
		time.Sleep(previousLease - 100*time.Millisecond)
		late := &backendapi.Order{ID: "1-1", Kind: backendapi.OrderLoadModel, Fencing: 1, Model: "lace", Version: "0",
			ExpiresUnixMillis: time.Now().Add(orderLife).UnixMilli()}
		for time.Now().UnixMilli() < late.ExpiresUnixMillis-100 {
			require.Zero(t, f.ordersTaken(), "no order while one of the old leader may arrive")
			time.Sleep(100 * time.Millisecond)
		}
		_, err := f.SendOrder(t.Context(), "e0", late)
		require.NoError(t, err)
		time.Sleep(whole / 2)
		f.requireRolled(t, "2")
	})
}
