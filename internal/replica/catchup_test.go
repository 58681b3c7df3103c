package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
)

// A follower is down while 500 commands are committed. After its restart it must get
// one snapshot and fewer than 50 entries, and then hold the same state as the leader.
func TestMemberThatMissedManyEntriesCatchesUpWithOneSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNetwork(t, 3)
		defer n.stopAll()
		c := &matrixCell{t: t, net: n}
		n.propose(t, "first")
		c.findLeaderAndFollower()
		c.follower.kill()
		for i := range 500 {
			n.propose(t, fmt.Sprintf("command-%d", i))
		}
		snapshots, entries := 0, 0
		n.mu.Lock()
		n.onSend = func(_ string, m *consensus.Message) {
			if m.Kind == consensus.MessageSnapshot {
				snapshots++
			}
			entries += len(m.Entries)
		}
		n.mu.Unlock()
		n.start(t, c.follower)
		time.Sleep(5 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		require.Equal(t, c.leader.machine.list(), c.follower.machine.list())
		require.Len(t, c.follower.machine.list(), 501)
		require.Equal(t, 1, snapshots)
		require.Less(t, entries, 50)
	})
}
