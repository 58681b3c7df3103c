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

// rollTimeout is longer than a roll of the fleets below takes.
const rollTimeout = 3 * time.Minute

// withFleet runs test, under synctest, with a fleet of fake engines. The
// argument run starts the runner of a control VM as the leader of a term and
// returns the function that stops it.
func withFleet(t *testing.T, engines int, checksFencing bool, test func(t *testing.T, f *fakeFleet, run func(name string, term uint64) func())) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(engines, checksFencing)
		var runners sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		run := func(name string, term uint64) func() {
			bounded, stop := context.WithCancel(ctx)
			runners.Go(func() { f.runner(t, name).Run(bounded, term) })
			return stop
		}
		test(t, f, run)
		cancel()
		runners.Wait()
		time.Sleep(2 * f.loadTime)
	})
}

func TestFaultsOrder(t *testing.T) {
	t.Run("order/none", func(t *testing.T) {
		withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, rollTimeout)
			run("c1", 1)
			time.Sleep(rollTimeout / 2)
			f.requireRolled(t, "2")
			require.Equal(t, 4, f.executedOrders())
			require.GreaterOrEqual(t, f.minServing, 2)
		})
	})
	t.Run("order/answer lost", func(t *testing.T) {
		withFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			for _, engine := range f.engines {
				engine.lostReplies, engine.hidesLoading = 2, true
			}
			f.elect("c1", 1, rollTimeout)
			run("c1", 1)
			time.Sleep(rollTimeout / 2)
			f.requireRolled(t, "2")
			require.Equal(t, 4, f.executedOrders(), "an order that is sent again must be carried out only once")
		})
	})
	t.Run("order/order lost", func(t *testing.T) {
		withFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			for _, engine := range f.engines {
				engine.lostOrders = 2
			}
			f.elect("c1", 1, rollTimeout)
			run("c1", 1)
			time.Sleep(rollTimeout / 2)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/kill of the leader", func(t *testing.T) {
		withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, rollTimeout)
			stop := run("c1", 1)
			for f.executedOrders() == 0 {
				time.Sleep(100 * time.Millisecond)
			}
			stop()
			f.elect("c2", 2, rollTimeout)
			run("c2", 2)
			time.Sleep(rollTimeout / 2)
			f.requireRolled(t, "2")
			require.GreaterOrEqual(t, f.minServing, 2, "loads begun under the old leader must count against the limits")
		})
	})
	t.Run("order/freeze of the leader", testFrozenLeader)
	t.Run("order/silent engine", func(t *testing.T) {
		withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.engines["e1"].unresponsive = true
			f.engines["e1"].server.Models = served("lace", "2")
			f.elect("c1", 1, rollTimeout)
			run("c1", 1)
			time.Sleep(rollTimeout / 4)
			f.mu.Lock()
			first, minServing := f.engines["e0"].server.Models, f.minServing
			f.engines["e1"].unresponsive = false
			f.mu.Unlock()
			require.Equal(t, served("lace", "2"), first)
			require.GreaterOrEqual(t, minServing-1, 2, "the unresponsive engine must count as out of service")
			time.Sleep(rollTimeout / 4)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/cut off leader", func(t *testing.T) {
		withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, reportCollectionTime/2)
			run("c1", 1)
			time.Sleep(rollTimeout / 4)
			require.Zero(t, f.executedOrders(), "order sent after the end of the lease")
		})
	})
	t.Run("order/disk lost", func(t *testing.T) {
		withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, rollTimeout)
			run("c1", 1)
			for f.executedOrders() == 0 {
				time.Sleep(100 * time.Millisecond)
			}
			f.mu.Lock()
			for _, engine := range f.engines {
				if engine.loading != "" {
					engine.restart()
				}
			}
			f.mu.Unlock()
			time.Sleep(rollTimeout / 2)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/second loss right after repair", func(t *testing.T) {
		withFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.loadTime = 8 * loadTime
			for term, name := range []string{"c1", "c2", "c3"} {
				f.elect(name, uint64(term+1), rollTimeout)
				stop := run(name, uint64(term+1))
				for begun := f.executedOrders(); f.executedOrders() == begun; {
					time.Sleep(100 * time.Millisecond)
				}
				stop()
			}
			f.elect("c4", 4, rollTimeout)
			run("c4", 4)
			time.Sleep(rollTimeout / 2)
			f.requireRolled(t, "2")
			require.Equal(t, 4, f.executedOrders(), "loads begun under earlier leaders must not be ordered again")
			require.GreaterOrEqual(t, f.minServing, 2)
		})
	})
	t.Run("order/cut both ways", func(t *testing.T) {
		withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, rollTimeout)
			f.reportsEndAt = time.Now().Add(-reportStaleAfter)
			run("c1", 1)
			time.Sleep(rollTimeout / 3)
			require.Zero(t, f.executedOrders(), "engine of an unreachable VM got an order")
			f.mu.Lock()
			f.reportsEndAt = time.Time{}
			f.mu.Unlock()
			time.Sleep(rollTimeout / 3)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/lease lost for a moment", func(t *testing.T) {
		withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
			f.elect("c1", 1, 2*reportCollectionTime)
			run("c1", 1)
			time.Sleep(3 * reportCollectionTime)
			executed := f.executedOrders()
			time.Sleep(reportCollectionTime)
			require.Equal(t, executed, f.executedOrders(), "order sent without a valid lease")
			f.elect("c1", 1, rollTimeout)
			time.Sleep(rollTimeout / 2)
			f.requireRolled(t, "2")
		})
	})
	t.Run("order/two faults at once", testLateOrderOnEngineWithoutFencing)
}

// testFrozenLeader lets an old leader act after a new one, as a process does
// that was suspended between the check of its lease and the send.
func testFrozenLeader(t *testing.T) {
	withFleet(t, 4, true, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
		f.elect("c2", 2, rollTimeout)
		run("c2", 2)
		time.Sleep(rollTimeout / 4)
		f.elect("c1", 1, rollTimeout)
		stale := &backendapi.Order{ID: "1-9", Kind: backendapi.OrderLoadModel, Fencing: 1, Model: "lace", Version: "1",
			ExpiresUnixMillis: time.Now().Add(time.Minute).UnixMilli()}
		reply, err := f.SendOrder(t.Context(), "e0", stale)
		require.NoError(t, err)
		require.Equal(t, backendapi.OrderStale, reply.Status)
		executed, received := f.executedOrders(), f.received
		f.content = rolledBundle(1, 2, 50)
		f.content.Models[0].Version = "0"
		run("c1", 1)
		time.Sleep(rollTimeout / 4)
		require.Equal(t, executed, f.executedOrders())
		require.LessOrEqual(t, f.received-received, 2, "the old leader must stop at the first stale replies")
		f.requireRolled(t, "2")
	})
}

// testLateOrderOnEngineWithoutFencing delivers an order of an earlier leader
// late, to an engine that ignores fencing tokens. The new leader must send no
// order before the late one has expired, and then correct its effect.
func testLateOrderOnEngineWithoutFencing(t *testing.T) {
	withFleet(t, 4, false, func(t *testing.T, f *fakeFleet, run func(string, uint64) func()) {
		f.elect("c2", 2, rollTimeout)
		run("c2", 2)
		time.Sleep(previousLease - 100*time.Millisecond)
		late := &backendapi.Order{ID: "1-1", Kind: backendapi.OrderLoadModel, Fencing: 1, Model: "lace", Version: "0",
			ExpiresUnixMillis: time.Now().Add(orderValidity).UnixMilli()}
		for time.Now().UnixMilli() < late.ExpiresUnixMillis-100 {
			require.Zero(t, f.executedOrders(), "order sent while one of the old leader may still arrive")
			time.Sleep(100 * time.Millisecond)
		}
		_, err := f.SendOrder(t.Context(), "e0", late)
		require.NoError(t, err)
		time.Sleep(rollTimeout / 2)
		f.requireRolled(t, "2")
	})
}
