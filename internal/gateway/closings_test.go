package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClosedConnectionIsTrustedOnlyAfterConfirmedStreams(t *testing.T) {
	c, now := newClosings(), time.Now()
	require.True(t, c.isTrusted(now, "s", false), "nothing speaks against it")
	for range minConfirmations {
		require.False(t, c.isTrusted(now, "s", true))
		c.record(now, "s", true)
	}
	for range maxUnconfirmed {
		require.True(t, c.isTrusted(now, "s", true))
	}
	require.False(t, c.isTrusted(now, "s", true), "a confirmation is due")
	require.True(t, c.isTrusted(now, "s", true), "one stream at a time is confirmed")
	c.record(now, "s", true)
	require.True(t, c.isTrusted(now, "s", true))
	require.False(t, c.isTrusted(now, "other", true))

	c.record(now, "s", false)
	require.True(t, c.isTrusted(now.Add(cutRetention+1), "s", false), "it was long ago")
	for range minConfirmations {
		require.False(t, c.isTrusted(now, "s", true))
		require.False(t, c.isTrusted(now, "s", false))
		c.record(now, "s", true)
	}
	require.True(t, c.isTrusted(now, "s", true))
}
