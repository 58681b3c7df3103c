package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
)

// A leader that is stopped must transfer leadership: the group commits a command again
// within 200 ms, without waiting for an election timeout.
func TestStopOfLeaderTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNetwork(t, 3)
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

// Stop of a leader over gRPC must return only after another member has a higher term.
func TestStopOverLoopbackWaitsForNextLeader(t *testing.T) {
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

// A leader that is partitioned from all others cannot commit. Its callers must get
// ErrOutcomeUnknown and ErrNotLeader within a second instead of waiting for their
// contexts.
func TestPartitionedLeaderFailsCallersWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNetwork(t, 3)
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

func TestInboxIsBoundedInMessagesAndBytes(t *testing.T) {
	r := &Replica{inbox: make(chan consensus.Message, maxInboxMessages)}
	large := consensus.Message{Entries: []consensus.Entry{{Data: make([]byte, maxInboxBytes/4)}}}
	for range 10 {
		r.receive(large)
	}
	require.Len(t, r.inbox, 3)
	for range 2 * maxInboxMessages {
		r.receive(consensus.Message{})
	}
	require.Len(t, r.inbox, maxInboxMessages)
	require.LessOrEqual(t, r.inboxSizeBytes.Load(), int64(maxInboxBytes))
}
