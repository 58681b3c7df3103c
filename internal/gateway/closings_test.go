package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestClosedConnectionIsTrustedOnlyAfterConfirmedStreams(t *testing.T) {
	c := newClosings()
	require.True(t, c.isTrusted("s", false), "nothing speaks against it")
	for range minConfirmations {
		require.False(t, c.isTrusted("s", true))
		c.record("s", true)
	}
	for range maxUnconfirmed {
		require.True(t, c.isTrusted("s", true))
	}
	require.False(t, c.isTrusted("s", true), "a confirmation is due")
	c.record("s", true)
	require.True(t, c.isTrusted("s", true))
	require.False(t, c.isTrusted("other", true))

	c.record("s", false)
	for range minConfirmations {
		require.False(t, c.isTrusted("s", true))
		require.False(t, c.isTrusted("s", false))
		c.record("s", true)
	}
	require.True(t, c.isTrusted("s", true))
}
