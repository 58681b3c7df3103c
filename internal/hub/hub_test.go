package hub

import (
	"context"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/transport"
)

// fakeGroup is a control group with a fixed leader, or with none.
type fakeGroup struct {
	mu       sync.Mutex
	registry *registry.Registry
	leader   string
	self     string
	members  []string
	term     uint64
}

func (g *fakeGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	return g.registry.Apply(1, command), nil
}

func (g *fakeGroup) ReadBarrier(context.Context) error {
	if !g.Leadership().IsLeader {
		return replica.ErrNotLeader
	}
	return nil
}

func (g *fakeGroup) Leadership() replica.Leadership {
	g.mu.Lock()
	defer g.mu.Unlock()
	return replica.Leadership{Term: 1 + g.term, LeaderName: g.leader, IsLeader: g.leader == g.self && g.self != ""}
}

func (g *fakeGroup) MemberAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

func (g *fakeGroup) setMembers(members ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = members
}

func (g *fakeGroup) setLeader(leader string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = leader
}

// testHub is a hub that listens on the loopback interface.
type testHub struct {
	*Hub
	group   *fakeGroup
	address string
}

func startHub(t *testing.T, listener net.Listener, leader string, members ...string) *testHub {
	t.Helper()
	return startHubIn(t, listener, "a", zerolog.Nop(), leader, members...)
}

// startHubIn starts a hub in the given zone.
func startHubIn(t *testing.T, listener net.Listener, zone string, logger zerolog.Logger, leader string, members ...string) *testHub {
	t.Helper()
	return startHubWith(t, listener, zone, logger, registry.New(), leader, members...)
}

// startHubWith starts a hub with the given replicated state.
func startHubWith(t *testing.T, listener net.Listener, zone string, logger zerolog.Logger, state *registry.Registry, leader string, members ...string) *testHub {
	t.Helper()
	address := listener.Addr().String()
	group := &fakeGroup{registry: state, leader: leader, self: address, members: members}
	pool := transport.NewPool(transport.PoolOptions{})
	server := transport.NewServer(transport.ServerOptions{})
	h := New(Options{
		Address: address, Zone: zone, Registry: state, Group: func() Group { return group }, Pool: pool, Decode: decodeTestTable,
		UnresponsiveAfter: 5 * time.Second, ExpireAfter: 10 * time.Second, Logger: logger, Metrics: observe.NewMetrics(), OnJoin: func(Joiner) {},
	})
	h.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { h.Run(ctx) })
	running.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		cancel()
		server.Stop()
		running.Wait()
		pool.Close()
	})
	return &testHub{Hub: h, group: group, address: address}
}

func decodeTestTable(content []byte) (*routes.Table, error) {
	return routes.New(routes.Table{Version: uint64(len(content))}), nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

func startLink(t *testing.T, seeds ...string) *Link {
	t.Helper()
	return startLinkOf(t, "entry-1", 7, seeds...)
}

// startLinkOf starts the link of the entry VM with the given name and incarnation.
func startLinkOf(t *testing.T, vm string, incarnation uint64, seeds ...string) *Link {
	t.Helper()
	return startLinkIn(t, vm, "a", incarnation, seeds...)
}

// startLinkIn starts the link of an entry VM in the given zone.
func startLinkIn(t *testing.T, vm, zone string, incarnation uint64, seeds ...string) *Link {
	t.Helper()
	pool := transport.NewPool(transport.PoolOptions{})
	link := NewLink(LinkOptions{
		VM: vm, Zone: zone, Incarnation: incarnation, Seeds: seeds, Pool: pool, Decode: decodeTestTable,
		UnresponsiveAfter: 5 * time.Second, ExpireAfter: 10 * time.Second, Logger: zerolog.Nop(), OnServerGone: func(string) {},
	})
	runLink(t, link, pool)
	return link
}

// runLink runs a link until the test ends and then closes its pool.
func runLink(t *testing.T, link *Link, pool *transport.Pool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { link.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		pool.Close()
	})
}

func waitFor(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, within, 10*time.Millisecond, what)
}

func version(l *Link) uint64 {
	if table := l.Table(); table != nil {
		return table.Version
	}
	return 0
}

func TestRouteTableReachesEntryVMs(t *testing.T) {
	listener := listen(t)
	h := startHub(t, listener, listener.Addr().String(), listener.Addr().String())
	link := startLink(t, h.address)
	require.NoError(t, h.PutTable(context.Background(), 5, []byte("12345")))
	waitFor(t, 3*time.Second, "version 5", func() bool { return version(link) == 5 })
	require.NoError(t, h.PutTable(context.Background(), 3, []byte("123")))
	content, err := h.GetTable(context.Background())
	require.NoError(t, err)
	require.Equal(t, "12345", string(content))
}

// A control VM that is partitioned from the leader still answers entry VMs. They
// must switch to another control VM, or they would miss new route tables.
func TestEntryVMLeavesControlVMWithoutLeader(t *testing.T) {
	isolated, leading := listen(t), listen(t)
	both := []string{isolated.Addr().String(), leading.Addr().String()}
	partitioned := startHub(t, isolated, "", both...)
	link := startLink(t, partitioned.address)
	waitFor(t, 3*time.Second, "attached", link.isAttached)
	leader := startHub(t, leading, leading.Addr().String(), both...)
	require.NoError(t, leader.PutTable(context.Background(), 5, []byte("12345")))
	waitFor(t, 6*time.Second, "the table of the leader", func() bool { return version(link) == 5 })
}

// An entry VM stayed at a control VM that is cut off from the others for as long as the cut
// lasted, since its attempts to attach to the others had failed while those were starting.
func TestEntryVMLeavesIsolatedControlVMWhateverFailedBefore(t *testing.T) {
	const contactLimit = 3 * time.Second // within it the entry VM counts as connected to the others
	isolated, leading := listen(t), listen(t)
	both := []string{isolated.Addr().String(), leading.Addr().String()}
	partitioned := startHub(t, isolated, both[0], both...)
	link := startLink(t, partitioned.address)
	waitFor(t, 3*time.Second, "attached", link.isAttached)
	leader := startHub(t, leading, both[1], both[1]) // sends nothing to the isolated one
	require.NoError(t, leader.PutTable(context.Background(), 5, []byte("12345")))
	for range 3 {
		link.backoffs.add(leader.address, time.Now())
	}
	partitioned.group.setLeader("")
	waitFor(t, contactLimit, "the table of the leader", func() bool { return version(link) == 5 })
}

// While no control VM knows a leader, leaving the attached one gains nothing and loses its
// placements.
func TestEntryVMStaysWhileNoControlVMKnowsALeader(t *testing.T) {
	first, second := listen(t), listen(t)
	both := []string{first.Addr().String(), second.Addr().String()}
	attached := startHub(t, first, both[0], both...)
	link := startLink(t, attached.address)
	waitFor(t, 3*time.Second, "attached", link.isAttached)
	other := startHub(t, second, "", both...)
	attached.group.setLeader("")
	require.Never(t, func() bool { return link.attachedTo() != attached.address }, 3*time.Second, 20*time.Millisecond)
	other.group.setLeader(other.address)
	waitFor(t, 3*time.Second, "attached to the control VM that knows the leader", func() bool { return link.attachedTo() == other.address })
}

// A failure of long ago outweighed one of just now, so that entry VMs went back to the control
// VM that they had just left.
func TestBackoffsAreForgotten(t *testing.T) {
	b, now := newBackoffs(), time.Unix(1000, 0)
	for range 3 {
		b.add("old", now) // 1 s, 2 s, 4 s
	}
	b.add("new", now.Add(5*time.Second))
	require.Negative(t, b.compare("old", "new", now.Add(5500*time.Millisecond)), "the other one is in backoff")
	require.Positive(t, b.compare("old", "new", now.Add(6500*time.Millisecond)), "both are over, the longer one comes last")
	require.Zero(t, b.compare("old", "new", now.Add(8*time.Second)), "both are forgotten")
	b.add("old", now.Add(8*time.Second))
	require.True(t, b.isActive("old", now.Add(8*time.Second+minBackoff/2)))
	require.False(t, b.isActive("old", now.Add(8*time.Second+minBackoff)))
}

// A connection to a control VM that is down may open and never answer. An entry VM
// must not spend seconds on each such VM before it finds a working one.
func TestEntryVMFindsTheWorkingControlVM(t *testing.T) {
	working := listen(t)
	seeds := []string{working.Addr().String()}
	for range 4 {
		dead := listen(t) // never accepts
		t.Cleanup(func() { _ = dead.Close() })
		seeds = append(seeds, dead.Addr().String())
	}
	h := startHub(t, working, working.Addr().String(), seeds...)
	require.NoError(t, h.PutTable(context.Background(), 5, []byte("12345")))
	link := startLink(t, seeds...)
	waitFor(t, 4*time.Second, "version 5", func() bool { return version(link) == 5 })
}

func announceServer(t *testing.T, h *testHub) {
	t.Helper()
	require.NoError(t, h.Announce(context.Background(), roster.Server{
		ID: "s1", Service: "plain", Address: "127.0.0.1:1", Zone: "a", Slots: 2, State: roster.StateReady,
		StartedAt: time.Now(), Sequence: 1, LastSeen: time.Now(),
	}))
}

// A message with a string of invalid UTF-8 cannot be sent, nor one with strings of megabytes.
func TestEntryVMFollowsAfterAnInvalidAnnouncement(t *testing.T) {
	listener := listen(t)
	h := startHub(t, listener, listener.Addr().String(), listener.Addr().String())
	for _, id := range []string{"s\xff", strings.Repeat("s", 20<<20)} {
		require.ErrorIs(t, h.Announce(context.Background(), roster.Server{
			ID: id, Service: "plain", Address: "127.0.0.1:2", Zone: "a", Slots: 2, State: roster.StateReady,
			StartedAt: time.Now(), Sequence: 1, LastSeen: time.Now(),
		}), roster.ErrInvalid)
	}
	announceServer(t, h)
	link := startLink(t, h.address)
	waitFor(t, 3*time.Second, "the other server", func() bool {
		_, found := link.Find("s1")
		return found
	})
}

func TestInvalidServersOfAnotherVMAreLeftOut(t *testing.T) {
	now := time.Now()
	valid := roster.Server{ID: "s1", Service: "plain", Address: "127.0.0.1:1", Slots: 2, State: roster.StateReady, LastSeen: now}
	messages := []*hubpb.Announcement{serverToProto(valid, now)}
	for _, spoil := range []func(*hubpb.Announcement){
		func(m *hubpb.Announcement) { m.Id = "" },
		func(m *hubpb.Announcement) { m.Address = "127.0.0.1:65536" },
		func(m *hubpb.Announcement) { m.Slots = math.MaxUint32 },
		func(m *hubpb.Announcement) { m.BornMs = math.MaxInt64 },
		func(m *hubpb.Announcement) { m.ColdMs = math.MaxUint32 },
		func(m *hubpb.Announcement) { m.State = 99 },
	} {
		spoiled := serverToProto(valid, now)
		spoil(spoiled)
		messages = append(messages, spoiled)
	}
	servers := serversFromProto(messages, now)
	require.Len(t, servers, 1)
	require.Equal(t, "s1", servers[0].ID)
}

func testRequest(seq uint64) schedule.PlacementRequest {
	now := time.Now()
	return schedule.PlacementRequest{
		ID: schedule.JobID{VM: 7, Seq: seq}, Service: "plain", Zone: "a",
		TargetAt: now.Add(time.Second), StartDeadline: now.Add(2 * time.Second), Weight: 1,
	}
}

func TestSchedulerPlacesWithinSlots(t *testing.T) {
	listener := listen(t)
	h := startHub(t, listener, listener.Addr().String(), listener.Addr().String())
	announceServer(t, h)
	link := startLink(t, h.address)
	waitFor(t, 3*time.Second, "the server and the scheduler", func() bool {
		_, found := link.Find("s1")
		return found && link.isAttached()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for seq := uint64(1); seq <= 2; seq++ {
		placement, err := link.Place(ctx, testRequest(seq))
		require.NoError(t, err)
		require.Equal(t, "s1", placement.Server)
		require.False(t, placement.Local)
	}
	third := make(chan schedule.Placement, 1)
	go func() {
		placement, _ := link.Place(ctx, testRequest(3))
		third <- placement
	}()
	select {
	case <-third:
		t.Fatal("a third request was placed on two slots")
	case <-time.After(300 * time.Millisecond):
	}
	link.Ended(schedule.JobID{VM: 7, Seq: 1}, schedule.OutcomeDone)
	require.Equal(t, "s1", (<-third).Server)
}
