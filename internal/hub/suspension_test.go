package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSuspensionIsNoticedBeforeAndAfterTheNextTick(t *testing.T) {
	var clock suspensionClock
	now := time.Now()
	require.False(t, clock.wasSuspended(now, now), "before the first tick")
	for range 20 {
		require.Less(t, clock.tick(now), minSuspension)
		now = now.Add(tickInterval)
	}
	ranUntil := now
	require.False(t, clock.wasSuspended(now.Add(-time.Hour), now))
	now = now.Add(time.Second)
	require.True(t, clock.wasSuspended(ranUntil, now), "no tick yet")
	require.GreaterOrEqual(t, clock.tick(now), time.Second)
	require.True(t, clock.wasSuspended(ranUntil, now))
	require.False(t, clock.wasSuspended(now, now.Add(time.Millisecond)), "a stream that began after it")
}

// The steady clock of a suspended VM stands still.
func TestSuspensionIsNoticedByTheTimeOfDay(t *testing.T) {
	var clock suspensionClock
	now := time.Now()
	clock.tick(now)
	wall := now.Round(0).Add(3 * time.Second)
	require.Equal(t, 3*time.Second, clock.tick(wall))
	require.True(t, clock.wasSuspended(now, wall))
}
