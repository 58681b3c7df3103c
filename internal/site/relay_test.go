package site

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/hub"
	"godwityoke.example/godwityoke/internal/relay"
)

func TestStoppingVMRelaysOnlyRequestsThatEndBeforeIt(t *testing.T) {
	e := &Entry{settings: &Settings{StopLimit: 8 * time.Second}, dialer: relay.NewDialer(relay.DialerOptions{})}
	e.link = hub.NewLink(hub.LinkOptions{Logger: zerolog.Nop()})
	require.Equal(t, relay.UnknownServer, e.admitRelayed("127.0.0.1:1", 0), "a request without a limit, while the VM runs")
	stopAt := time.Now().Add(5 * time.Second)
	e.stopAt.Store(&stopAt)
	e.stopping.Store(true)
	require.Equal(t, relay.UnknownServer, e.admitRelayed("127.0.0.1:1", 4*time.Second))
	require.Equal(t, relay.Unavailable, e.admitRelayed("127.0.0.1:1", 6*time.Second))
	require.Equal(t, relay.Unavailable, e.admitRelayed("127.0.0.1:1", 0))
}
