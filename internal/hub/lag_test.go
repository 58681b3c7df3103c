package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTableLagAsksForTheTableThatTheLogDoesNotBring(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	t.Run("none while the log brings each version in time", func(t *testing.T) {
		var lag tableLag
		for i := range 50 {
			require.False(t, lag.update(uint64(i+1), uint64(i), at(200*i)), "change %d", i)
		}
	})
	t.Run("after the limit, and again while the VM stays behind", func(t *testing.T) {
		var lag tableLag
		require.False(t, lag.update(3, 2, at(0)))
		require.False(t, lag.update(4, 2, at(299)))
		require.True(t, lag.update(5, 2, at(300)))
		lag.fetching, lag.fetchedAt = true, at(300)
		require.False(t, lag.update(5, 2, at(700)), "the read is in progress")
		lag.fetching = false
		require.True(t, lag.update(5, 2, at(700)), "the read has failed")
		require.False(t, lag.update(5, 5, at(800)))
		require.False(t, lag.update(6, 5, at(900)))
		require.True(t, lag.update(6, 5, at(1200)))
	})
	t.Run("none before the leader says its version, or where it is behind", func(t *testing.T) {
		var lag tableLag
		require.False(t, lag.update(0, 0, at(0)))
		require.False(t, lag.update(0, 7, at(1000)))
		require.False(t, lag.update(6, 7, at(2000)))
	})
	t.Run("remembers the newest version and the last control VM that has it", func(t *testing.T) {
		var lag tableLag
		lag.record("a", 0)
		require.Empty(t, lag.peerAddress)
		lag.record("a", 3)
		lag.record("b", 2)
		require.Equal(t, "a", lag.peerAddress)
		lag.record("c", 3)
		require.Equal(t, "c", lag.peerAddress)
		require.EqualValues(t, 3, lag.peerVersion)
	})
}
