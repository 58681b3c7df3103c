package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/settings"
)

const silence = 2 * time.Second

func engine(incarnation, sequence uint64, state backendapi.State) *backendapi.Announcement {
	return &backendapi.Announcement{
		ServerID: "e1", Incarnation: incarnation, Sequence: sequence, State: state, Kind: backendapi.KindEngine,
		Zone: "a", Address: "10.0.1.1:80", MemoryTokens: 1000,
		Models: []backendapi.ServedModel{{Name: "scribe", Version: "1", Adapters: []string{"eulogy"}}},
	}
}

// news is one announcement at a time, with what it must change.
type news struct {
	at          time.Duration
	incarnation uint64
	sequence    uint64
	state       backendapi.State
	change      Change
	// live tells whether the server may get new work right afterwards.
	live bool
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	const serving, leaving = backendapi.StateServing, backendapi.StateDraining
	cases := []struct {
		name string
		news []news
	}{
		{"heartbeats", []news{{0, 1, 1, serving, ChangeJoined, true}, {1, 1, 2, serving, ChangeNone, true}}},
		{"repeated and late", []news{{0, 1, 5, serving, ChangeJoined, true}, {1, 1, 5, leaving, ChangeIgnored, true}, {2, 1, 4, leaving, ChangeIgnored, true}}},
		{"leaving is final", []news{{0, 1, 1, serving, ChangeJoined, true}, {1, 1, 2, leaving, ChangeDraining, false}, {2, 1, 3, serving, ChangeNone, false}}},
		{"late heartbeat of a leaving server", []news{{0, 1, 1, serving, ChangeJoined, true}, {1, 1, 3, leaving, ChangeDraining, false}, {2, 1, 2, serving, ChangeIgnored, false}}},
		{"new incarnation comes back", []news{{0, 1, 9, leaving, ChangeDraining, false}, {1, 2, 1, serving, ChangeJoined, true}}},
		{"old incarnation changes nothing", []news{{0, 2, 1, serving, ChangeJoined, true}, {1, 1, 99, leaving, ChangeIgnored, true}}},
		{"old incarnation cannot revive", []news{{0, 2, 1, leaving, ChangeDraining, false}, {1, 1, 99, serving, ChangeIgnored, false}}},
		{"old incarnation after silence", []news{{0, 2, 1, serving, ChangeJoined, true}, {3 * time.Second, 1, 99, serving, ChangeIgnored, false}}},
		{"heard again after silence", []news{{0, 1, 1, serving, ChangeJoined, true}, {3 * time.Second, 1, 2, serving, ChangeJoined, true}}},
		{"silence keeps leaving", []news{{0, 1, 1, leaving, ChangeDraining, false}, {3 * time.Second, 1, 2, serving, ChangeJoined, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, start := NewTable("a", silence), time.Unix(1000, 0)
			for i, n := range c.news {
				now := start.Add(n.at)
				change, err := table.Apply(engine(n.incarnation, n.sequence, n.state), now)
				require.NoError(t, err)
				require.Equal(t, n.change, change, "news %d", i)
				require.Equal(t, n.live, len(table.Engines("scribe", "eulogy", now)) == 1, "news %d", i)
			}
		})
	}
}

func TestSilenceEndsNewWork(t *testing.T) {
	table, start := NewTable("a", silence), time.Unix(1000, 0)
	_, err := table.Apply(engine(1, 1, backendapi.StateServing), start)
	require.NoError(t, err)
	just, after := start.Add(silence-1), start.Add(silence)
	require.Len(t, table.All(just), 1)
	require.True(t, table.IsAlive("e1", 1, just))
	require.Empty(t, table.All(after))
	require.False(t, table.IsAlive("e1", 1, after))
	require.True(t, table.IsLatestIncarnation("e1", 1), "it may come back with what it holds")
	require.Len(t, table.Sweep(after), 1)
	require.Empty(t, table.Sweep(after), "reported once")
	table.Sweep(start.Add(forgetAfter))
	require.False(t, table.IsLatestIncarnation("e1", 1))
}

func TestWrongAnnouncementsChangeNothing(t *testing.T) {
	wrong := map[string]func(a *backendapi.Announcement){
		"no id":          func(a *backendapi.Announcement) { a.ServerID = "" },
		"no incarnation": func(a *backendapi.Announcement) { a.Incarnation = 0 },
		"other zone":     func(a *backendapi.Announcement) { a.Zone = "b" },
		"host name":      func(a *backendapi.Announcement) { a.Address = "engine:80" },
		"unknown state":  func(a *backendapi.Announcement) { a.State = "asleep" },
		"no memory":      func(a *backendapi.Announcement) { a.MemoryTokens = 0 },
		"unknown kind":   func(a *backendapi.Announcement) { a.Kind = "printer" },
	}
	for name, change := range wrong {
		t.Run(name, func(t *testing.T) {
			table := NewTable("a", silence)
			a := engine(1, 1, backendapi.StateServing)
			change(a)
			_, err := table.Apply(a, time.Unix(1000, 0))
			require.Error(t, err)
			require.Empty(t, table.All(time.Unix(1000, 0)))
		})
	}
}

// recorder notes what a CacheListener is told.
type recorder struct{ told []string }

// ApplyCacheEvents implements CacheListener.
func (r *recorder) ApplyCacheEvents(id string, incarnation uint64, events []backendapi.CacheEvent) {
	r.told = append(r.told, fmt.Sprintf("%s/%d: %d events", id, incarnation, len(events)))
}

// DropCache implements CacheListener.
func (r *recorder) DropCache(id string, incarnation uint64) {
	r.told = append(r.told, fmt.Sprintf("%s/%d gone", id, incarnation))
}

func TestCacheEventsFollowIncarnations(t *testing.T) {
	table, start, told := NewTable("a", silence), time.Unix(1000, 0), &recorder{}
	table.SetCacheListener(told)
	for _, incarnation := range []uint64{1, 2, 1} {
		a := engine(incarnation, 1, backendapi.StateServing)
		a.CacheEvents = []backendapi.CacheEvent{{Sequence: 1, Kind: backendapi.CacheStored}}
		_, err := table.Apply(a, start)
		require.NoError(t, err)
	}
	table.Sweep(start.Add(silence))
	require.Equal(t, []string{"e1/1: 1 events", "e1/1 gone", "e1/2: 1 events", "e1/2 gone"}, told.told)
}

func TestSubsetMovesOnlyWhatItMust(t *testing.T) {
	var peers []settings.Peer
	for i := range 6 {
		peers = append(peers, settings.Peer{Name: fmt.Sprintf("entry-%d", i), Zone: "a", Backends: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	peers = append(peers, settings.Peer{Name: "elsewhere", Zone: "b", Backends: "10.1.0.1:80"})
	require.Len(t, NewSubset(peers, "a", 0).AddressesFor("e1"), 6, "all of the zone")
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
	require.InDelta(t, 100, moved, 30, "a sixth of 600 reports")
}

var _ View = (*Table)(nil)
