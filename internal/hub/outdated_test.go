package hub

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/transport"
)

// applyTarget is the time from the acknowledgement of a route table until it is in force (config_apply_ms of the platform).
const applyTarget = 2 * time.Second

// A control VM that took itself for the leader, or knew none, kept its entry VMs on its own older table, since it compared
// versions with a leader's replies only.
func TestControlVMWithoutAStreamToTheLeaderGetsNewerTables(t *testing.T) {
	for name, leaderOf := range map[string]func(self string) string{
		"takes itself for the leader": func(self string) string { return self },
		"knows no leader":             func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := listen(t), listen(t)
			members := []string{first.Addr().String(), second.Addr().String()}
			outdated := startHubIn(t, first, "a", zerolog.Nop(), leaderOf(members[0]), members...)
			other := startHubIn(t, second, "b", zerolog.Nop(), members[1], members...)
			require.NoError(t, other.PutTable(context.Background(), 5, []byte("12345")))
			waitFor(t, applyTarget, "version 5 in force", func() bool {
				reply, err := outdated.tableInForce(t.Context(), 0)
				return err == nil && reply.GetTable().GetVersion() == 5
			})
		})
	}
}

// A control VM that was suspended handed the table of before to an entry VM that had just started (soak seed 49105).
func TestControlVMThatWakesHandsOutNoOutdatedTable(t *testing.T) {
	for name, end := range map[string]struct {
		event   func(wokeAt time.Time) message
		after   time.Duration
		version uint64
	}{
		"another control VM has the same version": {version: 1, event: func(wokeAt time.Time) message {
			return peerTableVersion{address: "other", version: 1, askedAt: wokeAt}
		}},
		"an answer to a question of before tells nothing": {event: func(wokeAt time.Time) message {
			return peerTableVersion{address: "other", version: 1, askedAt: wokeAt.Add(-time.Millisecond)}
		}},
		"another control VM has no table, or doubts its own": {event: func(wokeAt time.Time) message {
			return peerTableVersion{address: "other", askedAt: wokeAt}
		}},
		"another control VM has a newer version": {event: func(wokeAt time.Time) message {
			return peerTableVersion{address: "other", version: 2, askedAt: wokeAt}
		}},
		"the newer version was read": {version: 2, event: func(time.Time) message {
			return tableFetched{address: "other", inForce: true, table: testRouteTable(t, 2)}
		}},
		"no other control VM answers": {after: maxTableDoubt, version: 1, event: func(time.Time) message {
			return peerTableVersion{}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFleetCore(t, 0)
			c.options.Registry = registry.New()
			c.options.Pool = transport.NewPool(transport.PoolOptions{})
			t.Cleanup(c.options.Pool.Close)
			t.Cleanup(c.close)
			c.post = func(context.Context, message) error { return nil }
			group := &fakeGroup{self: "self", leader: "other", members: []string{"self", "other"}}
			c.options.Group = func() Group { return group }
			now := time.Now()
			tableConfirmed{table: testRouteTable(t, 1)}.handle(c, now)
			for range 20 {
				now = now.Add(tickInterval)
				c.tick(now)
			}
			attach := func(vm string) *session {
				hello := &hubpb.Hello{Vm: vm, Zone: "a", Incarnation: 1, AcceptsForwarding: true, Redirected: true}
				s := newSession(hello, func(error) {})
				entryAttached{session: s, frame: &hubpb.EntryFrame{Hello: hello}}.handle(c, now)
				return s
			}
			require.EqualValues(t, 1, attach("before").frame.GetTable().GetVersion())
			now = now.Add(4 * time.Second)
			c.tick(now)
			started := attach("after")
			require.Nil(t, started.frame.GetTable(), "the table may be outdated")
			require.Zero(t, c.tableVersion.Load(), "it is no evidence for others")
			end.event(now).handle(c, now)
			for passed := time.Duration(0); passed < end.after; passed += tickInterval {
				now = now.Add(tickInterval)
				c.tick(now)
			}
			require.Equal(t, end.version, started.frame.GetTable().GetVersion())
			require.Equal(t, end.version, c.tableVersion.Load())
		})
	}
}

// testRouteTable returns a table that decodeTestTable decodes to the given version.
func testRouteTable(t *testing.T, version int) *hubpb.RouteTable {
	t.Helper()
	return compressedTable(t, uint64(version), fmt.Sprintf("%0*d", version, 0))
}

func compressedTable(t *testing.T, version uint64, content string) *hubpb.RouteTable {
	t.Helper()
	compressed, err := bundle.Compress([]byte(content), nil)
	require.NoError(t, err)
	return &hubpb.RouteTable{Version: version, Content: compressed}
}

// An entry VM whose control VM fell silent had the older table for 1.4 s: it asked no other control VM before it gave up the
// stream, which leaves a slow VM too little of applyTarget.
func TestEntryVMOfASilentControlVMGetsNewTablesWhileItWaits(t *testing.T) {
	first, second := listen(t), listen(t)
	members := []string{first.Addr().String(), second.Addr().String()}
	silenced := newSilencer(first)
	state := registry.New()
	gone := startHubWith(t, silenced, "a", zerolog.Nop(), state, members[1], members...)
	other := startHubWith(t, second, "b", zerolog.Nop(), state, members[1], members...)
	link := startLinkIn(t, "entry-1", "a", 1, append(deadAddresses(t, 3), members[0])...)
	waitFor(t, 20*time.Second, "attached in its zone, all control VMs known", func() bool {
		_, known := link.state.knownControlVMs()
		return link.attachedTo() == members[0] && len(known) == len(members)
	})
	gone.group.setMembers(gone.address) // it sends nothing to the other one, either
	silenced.setSilent()
	require.NoError(t, other.PutTable(context.Background(), 5, []byte("12345")))
	waitFor(t, applyTarget/2, "version 5", func() bool { return version(link) == 5 })
}

// An entry VM whose open connections had all gone silent got no newer table for 2.0 to 2.2 s: a search on them had to fail first,
// and did not give up those on which it had asked last.
func TestEntryVMGivesUpSilentConnectionsToOtherControlVMs(t *testing.T) {
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			var silencers []*silencer
			var members []string
			for range 3 {
				silenced := newSilencer(listen(t))
				silencers, members = append(silencers, silenced), append(members, silenced.Addr().String())
			}
			state := registry.New()
			var hubs []*testHub
			for i, zone := range []string{"a", "b", "c"} {
				hubs = append(hubs, startHubWith(t, silencers[i], zone, zerolog.Nop(), state, members[1], members...))
			}
			link := startLinkIn(t, "entry-1", "a", 1, members...)
			waitFor(t, 20*time.Second, "attached in its zone, all control VMs known", func() bool {
				_, known := link.state.knownControlVMs()
				return link.attachedTo() == members[0] && len(known) == len(members)
			})
			for _, address := range members[1:] {
				_, err := link.askForLeader(t.Context(), address) // opens a connection
				require.NoError(t, err)
			}
			silencers[0].setSilent()
			silencers[1].silenceOpen()
			silencers[2].silenceOpen()
			require.NoError(t, hubs[1].PutTable(context.Background(), 5, []byte("12345")))
			waitFor(t, applyTarget, "version 5, attached to another control VM", func() bool {
				return version(link) == 5 && link.isAttached() && link.attachedTo() != members[0]
			})
		})
	}
}
