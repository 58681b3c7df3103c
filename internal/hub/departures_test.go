package hub

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/roster"
)

// restoredHub starts a hub that knows only the replicated state of h, as a control VM does after
// a restart of all VMs.
func restoredHub(t *testing.T, h *testHub) *testHub {
	t.Helper()
	snapshot, err := h.group.registry.Snapshot()
	require.NoError(t, err)
	state := registry.New()
	require.NoError(t, state.Restore(snapshot))
	listener := listen(t)
	return startHubWith(t, listener, "a", zerolog.Nop(), state, listener.Addr().String(), listener.Addr().String())
}

// After a restart of all processes a delayed heartbeat brought back a server whose departure
// had been acknowledged.
func TestDepartedServerStaysAwayAfterARestartOfAllVMs(t *testing.T) {
	ctx, startedAt := context.Background(), time.UnixMilli(time.Now().UnixMilli())
	heartbeat := func(state roster.State, sequence uint64) roster.Server {
		return roster.Server{
			ID: "s1", Service: "plain", Address: "127.0.0.1:1", Zone: "a", Slots: 2, State: state, StartedAt: startedAt, Sequence: sequence, LastSeen: time.Now(),
		}
	}
	for name, leave := range map[string]func(h *testHub) error{
		"deregistered":                   func(h *testHub) error { return h.Deregister(ctx, "s1", startedAt) },
		"deregistered without its start": func(h *testHub) error { return h.Deregister(ctx, "s1", time.Time{}) },
		"draining":                       func(h *testHub) error { return h.Announce(ctx, heartbeat(roster.StateDraining, 2)) },
		"draining, then deregistered": func(h *testHub) error {
			require.NoError(t, h.Announce(ctx, heartbeat(roster.StateDraining, 2)))
			return h.Deregister(ctx, "s1", startedAt)
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			h := startHub(t, listener, listener.Addr().String(), listener.Addr().String())
			require.NoError(t, h.Announce(ctx, heartbeat(roster.StateReady, 1)))
			require.NoError(t, leave(h))
			again := restoredHub(t, h)
			require.NoError(t, again.Announce(ctx, heartbeat(roster.StateReady, 1)))
			link := startLink(t, again.address)
			waitFor(t, 3*time.Second, "attached", link.isAttached)
			require.Empty(t, link.ReadyServers("plain"))
			restarted := heartbeat(roster.StateReady, 1)
			restarted.StartedAt = startedAt.Add(time.Second)
			require.NoError(t, again.Announce(ctx, restarted))
			waitFor(t, 3*time.Second, "the next incarnation", func() bool { return len(link.ReadyServers("plain")) == 1 })
		})
	}
}

// A deregistration that reaches a control VM before any heartbeat of the server, as right after
// a restart, was acknowledged and forgotten.
func TestDeregistrationOfAnUnknownServerIsRemembered(t *testing.T) {
	ctx, startedAt := context.Background(), time.UnixMilli(time.Now().UnixMilli())
	listener := listen(t)
	h := startHub(t, listener, listener.Addr().String(), listener.Addr().String())
	require.NoError(t, h.Deregister(ctx, "s1", startedAt))
	require.NoError(t, h.Announce(ctx, roster.Server{
		ID: "s1", Service: "plain", Address: "127.0.0.1:1", Zone: "a", Slots: 2, State: roster.StateReady, StartedAt: startedAt, Sequence: 1, LastSeen: time.Now(),
	}))
	link := startLink(t, h.address)
	waitFor(t, 3*time.Second, "attached", link.isAttached)
	require.Empty(t, link.ReadyServers("plain"))
}

// A departure that no majority has stored must not be acknowledged, but takes effect here.
func TestDepartureWithoutALeaderIsNotAcknowledged(t *testing.T) {
	ctx := context.Background()
	listener := listen(t)
	h := startHub(t, listener, "", listener.Addr().String())
	announceServer(t, h)
	require.ErrorIs(t, h.Deregister(ctx, "s1", time.Time{}), ErrNoLeader)
	link := startLink(t, h.address)
	waitFor(t, 3*time.Second, "attached", link.isAttached)
	require.Empty(t, link.ReadyServers("plain"))
	require.ErrorIs(t, h.Deregister(ctx, "s\xff", time.Time{}), roster.ErrInvalid)
}
