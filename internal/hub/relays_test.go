package hub

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/transport"
)

// fleetRelays returns n relays that are spread evenly over three zones.
func fleetRelays(n int) []Relay {
	relays := make([]Relay, n)
	for i := range relays {
		zone := string(rune('a' + i%3))
		relays[i] = Relay{VM: fmt.Sprintf("entry-%s-%d", zone, i), Zone: zone, Address: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200)}
	}
	return relays
}

func TestSmallFleetGetsAllOtherRelays(t *testing.T) {
	relays := fleetRelays(9)
	selected := selectRelays(hashRelays(relays), relays[4].VM, "b")
	require.Len(t, selected, 8)
	require.NotContains(t, selected, relays[4])
	for i, relay := range selected {
		require.Equal(t, i < 2, relay.Zone == "b", "the relays of the own zone come first")
	}
	require.Empty(t, selectRelays(hashRelays(relays[:1]), relays[0].VM, "a"))
}

func TestRelaysOfALargeFleetAreSpreadOverIt(t *testing.T) {
	relays := fleetRelays(390)
	hashed := hashRelays(relays)
	uses, firstUses := map[string]int{}, map[string]int{}
	for _, relay := range relays {
		selected := selectRelays(hashed, relay.VM, relay.Zone)
		require.Len(t, selected, maxRelays)
		firstUses[selected[0].VM]++
		inZone := 0
		for _, other := range selected {
			uses[other.VM]++
			require.NotEqual(t, relay.VM, other.VM)
			if other.Zone == relay.Zone {
				inZone++
			}
		}
		require.Equal(t, maxZoneRelays, inZone)
	}
	for _, relay := range relays {
		require.LessOrEqual(t, uses[relay.VM], 3*maxRelays, relay.VM)
		require.LessOrEqual(t, firstUses[relay.VM], 7, relay.VM)
	}
}

// The selection holds every relay that is not cut off, whichever zone it is in, before
// any that is.
func TestRelaysThatAreCutOffComeLast(t *testing.T) {
	for _, sound := range []func(i int) bool{
		func(i int) bool { return i%8 == 0 }, // 49 relays
		func(i int) bool { return i%3 == 1 }, // one zone
		func(i int) bool { return i == 27 || i == 200 },
		func(int) bool { return false },
	} {
		relays, soundRelays := fleetRelays(390), 0
		for i := range relays {
			relays[i].CutOff = !sound(i)
			if sound(i) {
				soundRelays++
			}
		}
		for _, receiver := range []int{30, 31, 32} {
			selected := selectRelays(hashRelays(relays), relays[receiver].VM, relays[receiver].Zone)
			require.Len(t, selected, maxRelays)
			for i, relay := range selected {
				require.Equal(t, i >= soundRelays, relay.CutOff, "relay %d of %d sound ones", i, soundRelays)
			}
		}
	}
}

func TestSelectionOfRelaysChangesLittleWhenOneLeaves(t *testing.T) {
	relays := fleetRelays(390)
	before := selectRelays(hashRelays(relays), "entry-x", "a")
	after := selectRelays(hashRelays(slices.DeleteFunc(relays, func(r Relay) bool { return r.VM == before[0].VM })), "entry-x", "a")
	kept := 0
	for _, relay := range after {
		if slices.Contains(before, relay) {
			kept++
		}
	}
	require.Equal(t, maxRelays-1, kept)
}

// startRelay starts the link of an entry VM that relays connections.
func startRelay(t *testing.T, vm, zone string, incarnation uint64, seeds ...string) *Link {
	t.Helper()
	pool := transport.NewPool(transport.PoolOptions{})
	link := NewLink(LinkOptions{
		VM: vm, Zone: zone, Incarnation: incarnation, RelayAddress: "10.0.0.1:" + vm, Seeds: seeds, Pool: pool, Decode: decodeTestTable,
		UnresponsiveAfter: 5 * time.Second, ExpireAfter: 10 * time.Second, Logger: zerolog.Nop(), OnServerGone: func(string) {},
	})
	runLink(t, link, pool)
	return link
}

// Two entry VMs are attached to different control VMs. Each must learn the relay of the
// other and when it is cut off.
func TestEntryVMsOfDifferentControlVMsLearnEachOthersRelays(t *testing.T) {
	first, second := listen(t), listen(t)
	members := []string{first.Addr().String(), second.Addr().String()}
	startHub(t, first, members[0], members...)
	startHub(t, second, members[1], members...)
	links := []*Link{startRelay(t, "1", "a", 1, members[0]), startRelay(t, "2", "b", 2, members[1])}
	silent := startLinkOf(t, "3", 3, members[1])
	relays := []Relay{{VM: "1", Zone: "a", Address: "10.0.0.1:1"}, {VM: "2", Zone: "b", Address: "10.0.0.1:2"}}
	for i, link := range links {
		waitFor(t, 5*time.Second, "the relay of the other VM", func() bool {
			return slices.Equal(link.Relays(), []Relay{relays[1-i]})
		})
	}
	waitFor(t, 5*time.Second, "both relays", func() bool { return slices.Equal(silent.Relays(), relays) })
	links[0].SetCutOff(true)
	relays[0].CutOff = true
	waitFor(t, 5*time.Second, "the state of the first VM", func() bool { return slices.Equal(links[1].Relays(), relays[:1]) })
	links[0].SetCutOff(false)
	relays[0].CutOff = false
	waitFor(t, 5*time.Second, "the state of the first VM", func() bool { return slices.Equal(links[1].Relays(), relays[:1]) })
}

func TestCutOffIsReportedOnceAndAtEachAttach(t *testing.T) {
	b := newLinkStateTest(t)
	setCutOff := func(cutOff bool) {
		b.link.SetCutOff(cutOff)
		for len(b.link.inbox) > 0 {
			(<-b.link.inbox).handle(b.linkState, b.now)
		}
	}
	setCutOff(false)
	require.Nil(t, b.frame)
	setCutOff(true)
	require.Equal(t, proto.Bool(true), b.takeFrame().CutOff)
	setCutOff(true)
	require.Nil(t, b.frame)
	b.detach()
	setCutOff(false)
	setCutOff(true)
	require.Nil(t, b.frame)
	linkAttached{address: "control-2", outbox: make(chan *hubpb.EntryFrame, 1), cancel: func(error) {}}.handle(b.linkState, b.now)
	require.True(t, b.frame.GetHello().GetCutOff())
	setCutOff(false)
	frame := b.takeFrame()
	require.False(t, frame.GetHello().GetCutOff(), "of the first frame only the hello is handled")
	require.Nil(t, frame.CutOff)
}

// relayCore is the core of a hub without a network or goroutines.
type relayCore struct {
	*core
	now         time.Time
	incarnation uint64
}

func newRelayCore() *relayCore {
	c := newCore(&Options{Logger: zerolog.Nop(), UnresponsiveAfter: time.Minute, ExpireAfter: time.Minute, Decode: decodeTestTable, Group: func() Group { return nil }})
	return &relayCore{core: c, now: c.startedAt.Add(2 * entryCountDelay)}
}

// attach opens a session for a relay.
func (c *relayCore) attach(relay Relay) *session {
	c.incarnation++
	s := &session{vm: relay.VM, zone: relay.Zone, id: c.incarnation, outbox: make(chan *hubpb.HubFrame, 1), drop: func(error) {}}
	entryAttached{session: s, frame: &hubpb.EntryFrame{Hello: &hubpb.Hello{RelayAddress: relay.Address, CutOff: relay.CutOff}}}.handle(c.core, c.now)
	return s
}

// takeRelays advances the time by one view and returns the relays sent to the session
// meanwhile, and whether any were sent.
func (c *relayCore) takeRelays(s *session) ([]Relay, bool) {
	c.now = c.now.Add(viewInterval)
	c.tick(c.now)
	view := s.pending().GetView()
	s.frame = nil
	return relaysFromProto(view.GetRelays()), view.GetHasRelays()
}

func TestRelaysAreSentAtAttachAndWhenTheyChange(t *testing.T) {
	c := newRelayCore()
	relays := fleetRelays(3)
	first := c.attach(relays[0])
	got, sent := c.takeRelays(first)
	require.True(t, sent)
	require.Empty(t, got)
	second := c.attach(relays[1])
	got, _ = c.takeRelays(first)
	require.Equal(t, relays[1:2], got)
	_, sent = c.takeRelays(first)
	require.False(t, sent, "unchanged relays are not sent again")

	entryFrameReceived{session: second, frame: &hubpb.EntryFrame{CutOff: proto.Bool(true)}}.handle(c.core, c.now)
	got, _ = c.takeRelays(first)
	require.True(t, got[0].CutOff)
	_, sent = c.takeRelays(second)
	require.True(t, sent)
	entryFrameReceived{session: second, frame: &hubpb.EntryFrame{}}.handle(c.core, c.now)
	_, sent = c.takeRelays(first)
	require.False(t, sent, "a frame without the state changes nothing")
	_, sent = c.takeRelays(second)
	require.False(t, sent, "a VM is not sent changes of its own relay")
	again := c.attach(relays[0])
	got, _ = c.takeRelays(again)
	require.Equal(t, relays[1].VM, got[0].VM)
}

// A relay that another control VM reports is used until no control VM lists its entry VM
// any more. A report that is older than the VM's own stream is ignored.
func TestRelaysOfOtherControlVMs(t *testing.T) {
	c := newRelayCore()
	relays := fleetRelays(2)
	s := c.attach(relays[0])
	spread := func(entries []string, reported ...Relay) {
		serversAnnounced{entries: entries, relays: reported, reply: make(chan struct{})}.handle(c.core, c.now)
	}
	stale := relays[0]
	stale.Address = "10.9.9.9:1"
	spread(nil, relays[1], stale)
	got, _ := c.takeRelays(s)
	require.Equal(t, relays[1:], got)
	require.Equal(t, hashRelays(relays), c.relays.all())
	c.now = c.now.Add(entryExpiry - time.Second)
	spread([]string{relays[1].VM})
	c.now = c.now.Add(entryExpiry - time.Second)
	_, sent := c.takeRelays(s)
	require.False(t, sent, "the entry VM is still listed")
	c.now = c.now.Add(time.Second)
	got, sent = c.takeRelays(s)
	require.True(t, sent)
	require.Empty(t, got)
	require.Equal(t, hashRelays(relays[:1]), c.relays.all(), "the relay of an attached VM stays")
	entryDetached{session: s}.handle(c.core, c.now)
	spread(nil, stale)
	require.Equal(t, hashRelays([]Relay{stale}), c.relays.all())
}

// A control VM that has just started knows few entry VMs.
func TestRelaysOfAStartedControlVMAreAddedToTheKnownOnes(t *testing.T) {
	b := newLinkStateTest(t)
	relays := fleetRelays(3)
	receive := func(entryVMs uint32, relays ...Relay) {
		view := &hubpb.View{Leader: "control-1", Term: 1, Schedules: true, EntryVms: entryVMs, HasRelays: true}
		for _, relay := range relays {
			view.Relays = append(view.Relays, relayToProto(relay))
		}
		b.receive(&hubpb.HubFrame{View: view})
	}
	receive(3, relays[0], relays[1], Relay{VM: "entry-1", Address: "10.0.0.9:1"})
	require.Equal(t, relays[:2], b.link.Relays())
	changed := relays[1]
	changed.CutOff = true
	receive(0, relays[2], changed)
	require.Equal(t, []Relay{relays[2], changed, relays[0]}, b.link.Relays())
	b.receive(&hubpb.HubFrame{View: &hubpb.View{Leader: "control-1", Term: 1, Schedules: true, EntryVms: 3}})
	require.Len(t, b.link.Relays(), 3)
	receive(3, relays[2])
	require.Equal(t, relays[2:], b.link.Relays())
	b.detach()
	require.Equal(t, relays[2:], b.link.Relays(), "they stay in force without a control VM")

	c := newRelayCore()
	c.now = c.startedAt
	c.attach(relays[1])
	s := c.attach(relays[0])
	_, sent := c.takeRelays(s)
	require.True(t, sent)
	c.now = c.startedAt.Add(entryCountDelay)
	got, sent := c.takeRelays(s)
	require.True(t, sent, "the entry VM may have kept others")
	require.Equal(t, relays[1:2], got)
}

// BenchmarkSendRelays is the part of one tick for the relays of 390 entry VMs after the
// state of one has changed.
func BenchmarkSendRelays(b *testing.B) {
	c := newRelayCore()
	var last *session
	for _, relay := range fleetRelays(390) {
		last = c.attach(relay)
	}
	cutOff := false
	for b.Loop() {
		cutOff = !cutOff
		relay := last.relay
		relay.CutOff = cutOff
		c.setRelay(last, relay)
		c.sendRelays(c.now)
		for s := range c.sessions {
			s.frame = nil
		}
	}
}

func hashRelays(relays []Relay) []hashedRelay {
	hashed := make([]hashedRelay, len(relays))
	for i, relay := range relays {
		hashed[i] = hashedRelay{Relay: relay, hash: hashName(relay.VM)}
	}
	return hashed
}
