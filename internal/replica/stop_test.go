package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
)

func TestPlannedStopLeavesALeaderBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemoryNet(t, 3)
		defer n.stopAll()
		n.propose(t, "before")
		leader := n.leader(t)
		time.Sleep(time.Second)
		start := time.Now()
		require.NoError(t, leader.replica.Stop(t.Context()))
		n.mu.Lock()
		leader.up = false
		n.mu.Unlock()
		n.propose(t, "after")
		require.Less(t, time.Since(start), 200*time.Millisecond)
		n.mu.Lock()
		leader.up = true
		n.mu.Unlock()
	})
}

func TestPlannedStopOverLoopbackWaitsForTheSuccessor(t *testing.T) {
	group := newLoopbackGroup(t, 3)
	vms := group.startAll(t)
	leader := leaderOf(t, vms)
	_, err := leader.replica.Propose(t.Context(), []byte("before"))
	require.NoError(t, err)
	term := leader.replica.Status().Term
	leader.stop(t)
	newest := term
	for _, vm := range vms {
		if vm != leader {
			newest = max(newest, vm.replica.Status().Term)
		}
	}
	require.Greater(t, newest, term)
	for _, vm := range vms {
		if vm != leader {
			vm.stop(t)
		}
	}
}

func TestCallersOfALeaderThatIsCutOffHearSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemoryNet(t, 3)
		defer n.stopAll()
		n.propose(t, "before")
		leader := n.leader(t)
		n.isolate(leader, true, true)
		start := time.Now()
		_, err := leader.replica.Propose(t.Context(), []byte("racing"))
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.ErrorIs(t, leader.replica.ReadBarrier(t.Context()), ErrNotLeader)
		require.LessOrEqual(t, time.Since(start), time.Second)
	})
}

func TestInboxIsBoundedInBytes(t *testing.T) {
	r := &Replica{inbox: make(chan consensus.Message, inboxMessages)}
	large := consensus.Message{Entries: []consensus.Entry{{Data: make([]byte, inboxBytes/4)}}}
	for range 10 {
		r.receive(large)
	}
	require.Len(t, r.inbox, 3)
	for range 2 * inboxMessages {
		r.receive(consensus.Message{})
	}
	require.Len(t, r.inbox, inboxMessages)
	require.LessOrEqual(t, r.inboxSize.Load(), int64(inboxBytes))
}
