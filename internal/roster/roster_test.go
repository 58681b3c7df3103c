package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var startedAt = time.UnixMilli(1_700_000_000_000)

func announced(id, address string, sequence uint64, state State, startedAfter time.Duration) Server {
	return Server{
		ID: id, Address: address, Service: "s", Slots: 4, State: state, Sequence: sequence,
		StartedAt: startedAt.Add(startedAfter), LastSeen: startedAt.Add(time.Hour),
	}
}

func TestStaleAnnouncementIsIgnored(t *testing.T) {
	r := New()
	require.True(t, r.Apply(announced("i1", "a:1", 5, StateReady, 0)))
	require.True(t, r.Apply(announced("i1", "a:1", 7, StateDraining, 0)))
	require.False(t, r.Apply(announced("i1", "a:1", 6, StateReady, 0)))
	require.False(t, r.Apply(announced("i1", "a:1", 9, StateReady, 0)), "a draining server must not become ready again")
	server, _ := r.Find("i1")
	require.Equal(t, StateDraining, server.State)
}

func TestNewIncarnationReplacesEarlierOne(t *testing.T) {
	r := New()
	r.Apply(announced("i1", "a:1", 50, StateDraining, 0))
	require.True(t, r.Apply(announced("i1", "a:1", 1, StateReady, time.Second)))
	require.False(t, r.Apply(announced("i1", "a:1", 60, StateReady, 0)), "announcement of the previous incarnation")
	server, _ := r.Find("i1")
	require.Equal(t, uint64(1), server.Sequence)
}

func TestAddressBelongsToServerStartedLast(t *testing.T) {
	r := New()
	r.Apply(announced("old", "a:1", 5, StateReady, 0))
	require.True(t, r.Apply(announced("new", "a:1", 1, StateReady, time.Minute)))
	server, _ := r.Find("old")
	require.Equal(t, StateGone, server.State)
	require.False(t, r.Apply(announced("old", "a:1", 9, StateReady, 0)), "announcement delayed by a partition")
	server, _ = r.Find("new")
	require.Equal(t, StateReady, server.State)
}

func TestGoneServerIsRetained(t *testing.T) {
	r := New()
	r.Apply(announced("i1", "a:1", 5, StateReady, 0))
	now := startedAt.Add(time.Hour)
	_, found := r.MarkGone("i1", time.Time{}, now)
	require.True(t, found)
	_, again := r.MarkGone("i1", time.Time{}, now)
	require.False(t, again)
	require.False(t, r.Apply(announced("i1", "a:1", 9, StateReady, 0)))
	require.Empty(t, r.Evict(now.Add(GoneRetention), time.Second))
	require.Len(t, r.Evict(now.Add(GoneRetention+time.Second), time.Second), 1)
}

// A server may state in an answer that it is draining before any of its announcements does.
func TestAnnouncementUnderWayDoesNotReadmitADrainingServer(t *testing.T) {
	r := New()
	r.Apply(announced("i1", "a:1", 5, StateReady, 0))
	require.True(t, r.Apply(announced("i1", "a:1", 4, StateDraining, 0)), "a report of an entry VM with an older sequence")
	later := announced("i1", "a:1", 6, StateReady, 0)
	later.LastSeen = later.LastSeen.Add(time.Second)
	require.False(t, r.Apply(later))
	server, _ := r.Find("i1")
	require.Equal(t, StateDraining, server.State)
	require.Equal(t, later.LastSeen, server.LastSeen, "the server is alive")
	require.True(t, r.Apply(announced("i1", "a:1", 1, StateReady, time.Second)), "another incarnation is not draining")
	require.False(t, r.Apply(announced("i1", "a:1", 5, StateDraining, 0)), "a report on the former incarnation")
}

func TestDisplacedServersAreReportedOnce(t *testing.T) {
	r := New()
	first := Server{ID: "s1", Service: "a", Address: "10.0.0.1:1", State: StateReady, StartedAt: time.Unix(1, 0), Sequence: 1}
	second := first
	second.ID, second.StartedAt = "s2", time.Unix(2, 0)
	require.True(t, r.Apply(first))
	require.Empty(t, r.TakeDisplaced())
	require.True(t, r.Apply(second))
	displaced := r.TakeDisplaced()
	require.Len(t, displaced, 1)
	require.Equal(t, "s1", displaced[0].ID)
	require.Equal(t, StateGone, displaced[0].State)
	require.Empty(t, r.TakeDisplaced())
	found, live := r.FindAddress(first.Address)
	require.True(t, live)
	require.Equal(t, "s2", found.ID)
}

// A deregistration of an earlier incarnation marked the known one as gone, and one that came before
// any announcement had no effect.
func TestDeregistrationConcernsOneIncarnation(t *testing.T) {
	r, now := New(), startedAt.Add(time.Hour)
	r.Apply(announced("i1", "a:1", 5, StateReady, time.Second))
	_, changed := r.MarkGone("i1", startedAt, now)
	require.False(t, changed, "an earlier incarnation")
	known, _ := r.Find("i1")
	require.Equal(t, StateReady, known.State)
	_, changed = r.MarkGone("i1", startedAt.Add(time.Minute), now)
	require.True(t, changed, "a later incarnation")
	require.False(t, r.Apply(announced("i1", "a:1", 9, StateReady, time.Second)))
	require.False(t, r.Apply(announced("i1", "a:1", 9, StateReady, time.Minute)))
	require.True(t, r.Apply(announced("i1", "a:1", 1, StateReady, 2*time.Minute)))

	_, changed = r.MarkGone("i2", startedAt, now)
	require.True(t, changed, "an unknown server")
	require.False(t, r.Apply(announced("i2", "a:2", 1, StateReady, 0)))
	_, changed = r.MarkGone("i3", time.Time{}, now)
	require.True(t, changed, "an unknown server that gives no start")
	withoutStart := announced("i3", "a:3", 1, StateReady, 0)
	withoutStart.StartedAt = time.Time{}
	require.False(t, r.Apply(withoutStart))
}

// A draining server that was silent for long was forgotten, so that a delayed announcement of
// before brought it back as ready.
func TestSilentDrainingServerDoesNotComeBack(t *testing.T) {
	r := New()
	r.Apply(announced("i1", "a:1", 7, StateDraining, 0))
	now := startedAt.Add(time.Hour + 2*time.Second)
	require.Len(t, r.Evict(now, time.Second), 1)
	require.False(t, r.Apply(announced("i1", "a:1", 6, StateReady, 0)))
	require.Empty(t, r.Ready("s"))
	require.Len(t, r.Evict(now.Add(GoneRetention+time.Second), time.Second), 1)
	_, found := r.Find("i1")
	require.False(t, found)
}

// A heartbeat with a service that no route table names took the live server at its address, or
// with its id, out of use for a minute.
func TestAnnouncementOfAnUnnamedServiceTakesNoServerOutOfUse(t *testing.T) {
	for name, foreign := range map[string]Server{
		"at its address":             announced("x", "a:1", 1, StateReady, time.Hour),
		"with its id":                announced("i1", "a:9", 1, StateReady, time.Hour),
		"with its id and start":      announced("i1", "a:1", 1_000_000, StateReady, 0),
		"draining, with its id":      announced("i1", "a:1", 1, StateDraining, time.Hour),
		"draining, at its address":   announced("x", "a:1", 1, StateDraining, time.Hour),
		"at its address, no start":   {ID: "x", Address: "a:1", Slots: 4, State: StateReady, Sequence: 9, LastSeen: startedAt},
		"with its id, without start": {ID: "i1", Address: "a:1", Slots: 4, State: StateReady, Sequence: 9, LastSeen: startedAt},
	} {
		foreign.Service = "not named"
		t.Run(name, func(t *testing.T) {
			r := New()
			r.SetServices(map[string]bool{"s": true})
			require.True(t, r.Apply(announced("i1", "a:1", 5, StateReady, 0)))
			require.False(t, r.Apply(foreign))
			require.Equal(t, foreign.ID, r.TakeRefusal().Announced.ID)
			require.Nil(t, r.TakeRefusal())
			require.Len(t, r.Ready("s"), 1)
			require.False(t, r.Apply(announced("i1", "a:1", 6, StateReady, 0)), "its next heartbeat")
			server, found := r.FindAddress("a:1")
			require.True(t, found)
			require.Equal(t, uint64(6), server.Sequence)
		})
		t.Run(name+", known first", func(t *testing.T) {
			r := New()
			r.SetServices(map[string]bool{"s": true})
			require.True(t, r.Apply(foreign))
			require.True(t, r.Apply(announced("i1", "a:1", 5, StateReady, 0)))
			require.Len(t, r.Ready("s"), 1)
		})
	}
}

// Before a route table is known, no announcement may take another server's address: which one
// counts is not known yet.
func TestAddressIsKeptUntilServicesAreKnown(t *testing.T) {
	r := New()
	r.SetServices(map[string]bool{})
	require.True(t, r.Apply(announced("i1", "a:1", 5, StateReady, 0)))
	require.False(t, r.Apply(announced("x", "a:1", 1, StateReady, time.Hour)))
	r.SetServices(map[string]bool{"s": true})
	require.True(t, r.Apply(announced("x", "a:1", 2, StateReady, time.Hour)))
	require.Len(t, r.Ready("s"), 1)
}
