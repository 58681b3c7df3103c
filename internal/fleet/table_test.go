package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/settings"
)

const unresponsiveAfter = 2 * time.Second

// engineAnnouncement returns an announcement of the engine e1.
func engineAnnouncement(incarnation, sequence uint64, state backendapi.State) *backendapi.Announcement {
	return &backendapi.Announcement{
		ServerID: "e1", Incarnation: incarnation, Sequence: sequence, State: state, Kind: backendapi.KindEngine,
		Zone: "a", Address: "10.0.1.1:80", MemoryTokens: 1000,
		Models: []backendapi.ServedModel{{Name: "scribe", Version: "1", Adapters: []string{"eulogy"}}},
	}
}

// announcement is one announcement, the time from the start of the test to its arrival, and its expected effect.
type announcement struct {
	arrival     time.Duration
	incarnation uint64
	sequence    uint64
	state       backendapi.State
	change      Change
	// acceptsNew is true if the server accepts new work afterwards.
	acceptsNew bool
}

// Announcements may be repeated, arrive late or come from a replaced incarnation. These
// must have no effect, and draining must be final for an incarnation.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	const serving, draining = backendapi.StateServing, backendapi.StateDraining
	cases := []struct {
		name          string
		announcements []announcement
	}{
		{"heartbeats", []announcement{{0, 1, 1, serving, ChangeJoined, true}, {1, 1, 2, serving, ChangeNone, true}}},
		{"repeated and late", []announcement{{0, 1, 5, serving, ChangeJoined, true}, {1, 1, 5, draining, ChangeIgnored, true}, {2, 1, 4, draining, ChangeIgnored, true}}},
		{"draining is final", []announcement{{0, 1, 1, serving, ChangeJoined, true}, {1, 1, 2, draining, ChangeDraining, false}, {2, 1, 3, serving, ChangeNone, false}}},
		{"late heartbeat of a draining server", []announcement{{0, 1, 1, serving, ChangeJoined, true}, {1, 1, 3, draining, ChangeDraining, false}, {2, 1, 2, serving, ChangeIgnored, false}}},
		{"new incarnation replaces a draining one", []announcement{{0, 1, 9, draining, ChangeDraining, false}, {1, 2, 1, serving, ChangeJoined, true}}},
		{"heartbeat of a replaced incarnation is ignored", []announcement{{0, 2, 1, serving, ChangeJoined, true}, {1, 1, 99, draining, ChangeIgnored, true}}},
		{"replaced incarnation does not end draining", []announcement{{0, 2, 1, draining, ChangeDraining, false}, {1, 1, 99, serving, ChangeIgnored, false}}},
		{"replaced incarnation is ignored after the timeout", []announcement{{0, 2, 1, serving, ChangeJoined, true}, {3 * time.Second, 1, 99, serving, ChangeIgnored, false}}},
		{"heartbeat after the timeout joins again", []announcement{{0, 1, 1, serving, ChangeJoined, true}, {3 * time.Second, 1, 2, serving, ChangeJoined, true}}},
		{"draining outlasts the timeout", []announcement{{0, 1, 1, draining, ChangeDraining, false}, {3 * time.Second, 1, 2, serving, ChangeJoined, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, start := NewTable("a", unresponsiveAfter), time.Unix(1000, 0)
			for i, a := range c.announcements {
				now := start.Add(a.arrival)
				change, err := table.Apply(engineAnnouncement(a.incarnation, a.sequence, a.state), now)
				require.NoError(t, err)
				require.Equal(t, a.change, change, "announcement %d", i)
				require.Equal(t, a.acceptsNew, len(table.Engines("scribe", "eulogy", now)) == 1, "announcement %d", i)
			}
		})
	}
}

func TestUnresponsiveServersGetNoNewWork(t *testing.T) {
	table, start := NewTable("a", unresponsiveAfter), time.Unix(1000, 0)
	_, err := table.Apply(engineAnnouncement(1, 1, backendapi.StateServing), start)
	require.NoError(t, err)
	before, after := start.Add(unresponsiveAfter-1), start.Add(unresponsiveAfter)
	require.Len(t, table.All(before), 1)
	require.True(t, table.IsAlive("e1", 1, before))
	require.Empty(t, table.All(after))
	require.False(t, table.IsAlive("e1", 1, after))
	require.True(t, table.IsLatestIncarnation("e1", 1), "it may become responsive again and still hold attempts")
	require.Len(t, table.Sweep(after), 1)
	require.Empty(t, table.Sweep(after), "an unresponsive server is reported once")
	table.Sweep(start.Add(expireAfter))
	require.False(t, table.IsLatestIncarnation("e1", 1))
}

func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	invalid := map[string]func(a *backendapi.Announcement){
		"no id":          func(a *backendapi.Announcement) { a.ServerID = "" },
		"no incarnation": func(a *backendapi.Announcement) { a.Incarnation = 0 },
		"other zone":     func(a *backendapi.Announcement) { a.Zone = "b" },
		"host name":      func(a *backendapi.Announcement) { a.Address = "engine:80" },
		"unknown state":  func(a *backendapi.Announcement) { a.State = "asleep" },
		"no memory":      func(a *backendapi.Announcement) { a.MemoryTokens = 0 },
		"unknown kind":   func(a *backendapi.Announcement) { a.Kind = "printer" },
	}
	for name, change := range invalid {
		t.Run(name, func(t *testing.T) {
			table := NewTable("a", unresponsiveAfter)
			a := engineAnnouncement(1, 1, backendapi.StateServing)
			change(a)
			_, err := table.Apply(a, time.Unix(1000, 0))
			require.Error(t, err)
			require.Empty(t, table.All(time.Unix(1000, 0)))
		})
	}
}

// recorder is a CacheListener that records its calls.
type recorder struct{ calls []string }

// ApplyCacheEvents implements CacheListener.
func (r *recorder) ApplyCacheEvents(id string, incarnation uint64, events []backendapi.CacheEvent) {
	r.calls = append(r.calls, fmt.Sprintf("%s/%d: %d events", id, incarnation, len(events)))
}

// DropCache implements CacheListener.
func (r *recorder) DropCache(id string, incarnation uint64) {
	r.calls = append(r.calls, fmt.Sprintf("%s/%d gone", id, incarnation))
}

func TestCacheIsDroppedWithItsIncarnation(t *testing.T) {
	table, start, listener := NewTable("a", unresponsiveAfter), time.Unix(1000, 0), &recorder{}
	table.SetCacheListener(listener)
	for _, incarnation := range []uint64{1, 2, 1} {
		a := engineAnnouncement(incarnation, 1, backendapi.StateServing)
		a.CacheEvents = []backendapi.CacheEvent{{Sequence: 1, Kind: backendapi.CacheStored}}
		_, err := table.Apply(a, start)
		require.NoError(t, err)
	}
	table.Sweep(start.Add(unresponsiveAfter))
	require.Equal(t, []string{"e1/1: 1 events", "e1/1 gone", "e1/2: 1 events", "e1/2 gone"}, listener.calls)
}

// Removing an entry VM must reassign only the servers that reported to it.
func TestRemovedEntryVMMovesOnlyItsServers(t *testing.T) {
	var peers []settings.Peer
	for i := range 6 {
		peers = append(peers, settings.Peer{Name: fmt.Sprintf("entry-%d", i), Zone: "a", Backends: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	peers = append(peers, settings.Peer{Name: "elsewhere", Zone: "b", Backends: "10.1.0.1:80"})
	require.Len(t, NewSubset(peers, "a", 0).AddressesFor("e1"), 6, "size 0 selects all entry VMs of the zone")
	whole, smaller := NewSubset(peers, "a", 2), NewSubset(peers[1:], "a", 2)
	moved := 0
	for i := range 300 {
		id := fmt.Sprintf("engine-%d", i)
		before, after := whole.AddressesFor(id), smaller.AddressesFor(id)
		for _, address := range before {
			if address != peers[0].Backends {
				require.Contains(t, after, address)
			} else {
				moved++
			}
		}
	}
	require.InDelta(t, 100, moved, 30, "a sixth of the 600 assignments")
}

var _ View = (*Table)(nil)
