package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
)

// TestMemberThatMissedHundredsOfChangesGetsOneSnapshot keeps a member down
// while 500 commands are accepted.
func TestMemberThatMissedHundredsOfChangesGetsOneSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemoryNet(t, 3)
		defer n.stopAll()
		c := &cell{t: t, net: n}
		n.propose(t, "first")
		c.chooseVictims()
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
		require.Equal(t, c.leader.journal.list(), c.follower.journal.list())
		require.Len(t, c.follower.journal.list(), 501)
		require.Equal(t, 1, snapshots)
		require.Less(t, entries, 50)
	})
}
