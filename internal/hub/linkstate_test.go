package hub

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// stateBench drives the state of a link without a network or goroutine.
type stateBench struct {
	*linkState
	t   *testing.T
	now time.Time
}

func newStateBench(t *testing.T) *stateBench {
	t.Helper()
	link := NewLink(LinkOptions{
		VM: "entry-1", Zone: "a", Incarnation: 7, Decode: decodeTestTable, Logger: zerolog.Nop(),
		UnresponsiveAfter: time.Minute, ExpireAfter: time.Minute, OnServerGone: func(string) {},
	})
	b := &stateBench{linkState: &link.state, t: t, now: time.Unix(1000, 0)}
	_, cancel := context.WithCancelCause(context.Background())
	linkAttached{address: "control-1", outbox: make(chan *hubpb.EntryFrame, 100), cancel: cancel}.handle(b.linkState, b.now)
	b.sent()
	b.receive(&hubpb.HubFrame{View: &hubpb.View{Leader: "control-1", Term: 1, Schedules: true, EntryVms: 1}})
	return b
}

// sent returns what was queued for the control VM since the last call.
func (b *stateBench) sent() *hubpb.EntryFrame {
	frame := b.pending()
	b.frame = nil
	return frame
}

func (b *stateBench) receive(frame *hubpb.HubFrame) {
	hubFrameReceived{address: "control-1", outbox: b.outbox, frame: frame}.handle(b.linkState, b.now)
}

func (b *stateBench) ask(seq uint64) chan schedule.Placement {
	b.now = b.now.Add(time.Millisecond)
	reply := make(chan schedule.Placement, 1)
	ask := schedule.PlacementRequest{
		ID: schedule.JobID{VM: 7, Seq: seq}, Service: "orders", Zone: "a",
		TargetAt: b.now.Add(time.Second), StartDeadline: b.now.Add(4 * time.Second),
	}
	placementRequested{ask: ask, reply: reply}.handle(b.linkState, b.now)
	return reply
}

// fallSilent lets time pass until the scheduler is suspected.
func (b *stateBench) fallSilent() {
	b.now = b.now.Add(suspectAfter + time.Millisecond)
	b.tick(b.now)
	require.True(b.t, b.suspect)
}

func placementOf(seq uint64, server string) *hubpb.HubFrame {
	return &hubpb.HubFrame{Placements: []*hubpb.Placement{
		placementToProto(schedule.Placement{ID: schedule.JobID{VM: 7, Seq: seq}, Server: server}),
	}}
}

// The scheduler is only late: the place that it gives at last is taken, since
// the entry VM's own part of the servers may hold none.
func TestLatePlacementServesARequestThatWaitsLocally(t *testing.T) {
	b := newStateBench(t)
	reply := b.ask(1)
	b.fallSilent()
	require.Empty(t, b.local.Decide(b.now), "this VM knows no server")
	b.receive(placementOf(1, "s1"))
	select {
	case placement := <-reply:
		require.Equal(t, "s1", placement.Server)
		require.False(t, placement.Local)
	default:
		require.Fail(t, "the placement was thrown away")
	}
	require.Zero(t, b.local.Queued())
}

// A request that waits locally goes to the scheduler as soon as it is heard
// again, and only once.
func TestRequestsTurnToTheSchedulerThatIsHeardAgain(t *testing.T) {
	b := newStateBench(t)
	b.ask(1)
	b.fallSilent()
	b.ask(2)
	require.Len(t, b.sent().GetAsks(), 1, "the first one alone was asked for")
	b.receive(&hubpb.HubFrame{})
	asks := b.sent().GetAsks()
	require.Len(t, asks, 1)
	require.Equal(t, uint64(2), asks[0].GetId())
	require.Zero(t, b.local.Queued())
}

// A request that was refused locally no longer waits at the scheduler.
func TestLocalRefusalIsToldToTheScheduler(t *testing.T) {
	b := newStateBench(t)
	reply := b.ask(1)
	b.fallSilent()
	b.now = b.now.Add(5 * time.Second)
	for _, placement := range b.local.Decide(b.now) {
		b.deliver(placement, b.now, true)
	}
	require.Empty(t, (<-reply).Server)
	progress := b.sent().GetProgress()
	require.Len(t, progress, 1)
	require.Equal(t, uint64(1), progress[0].GetId())
}

// A place that crosses a local one is superseded: the request still runs.
func TestLatePlacementOfARunningRequestDoesNotEndIt(t *testing.T) {
	b := newStateBench(t)
	b.local.SetServer(b.now, schedule.Server{ID: "s2", Service: "orders", Zone: "a", Slots: 4, AcceptsNew: true})
	reply := b.ask(1)
	b.fallSilent()
	for _, placement := range b.local.Decide(b.now) {
		b.deliver(placement, b.now, true)
	}
	require.Equal(t, "s2", (<-reply).Server)
	require.Len(t, b.sent().GetRunning(), 1)
	b.receive(placementOf(1, "s1"))
	require.Empty(t, b.sent().GetProgress())
}

func (b *stateBench) see(entryVMs uint32) {
	b.receive(&hubpb.HubFrame{View: &hubpb.View{Leader: "control-1", Term: 1, Schedules: true, EntryVms: entryVMs}})
}

// Control VMs that have just started know few entry VMs. What is divided among
// them must not be handed out twice meanwhile.
func TestEntryVMsAreCountedByTheLargestRecentView(t *testing.T) {
	b := newStateBench(t)
	b.now = b.now.Add(time.Minute)
	b.see(79)
	require.Equal(t, 79, b.link.EntryVMCount())
	b.now = b.now.Add(countMemory - time.Second)
	b.see(2)
	b.see(0)
	require.Equal(t, 79, b.link.EntryVMCount())
	b.now = b.now.Add(2 * time.Second)
	b.see(2)
	require.Equal(t, 2, b.link.EntryVMCount())
}

func TestEntryVMsAreManyUntilTheyAreCounted(t *testing.T) {
	b := newStateBench(t)
	link := NewLink(b.link.options)
	require.Equal(t, uncountedEntryVMs, link.EntryVMCount())
	b = &stateBench{linkState: &link.state, t: t, now: b.now}
	b.leaderSeenAt = b.now
	b.receive(&hubpb.HubFrame{View: &hubpb.View{Term: 1}})
	require.Equal(t, uncountedEntryVMs, link.EntryVMCount())
}

func TestControlVMCountsNobodyRightAfterItsStart(t *testing.T) {
	c := newCore(&Options{Logger: zerolog.Nop(), Group: func() Group { return nil }})
	c.entries["entry-1"] = c.startedAt
	require.Zero(t, c.view(c.startedAt.Add(countAfter-time.Millisecond)).GetEntryVms())
	require.EqualValues(t, 1, c.view(c.startedAt.Add(countAfter)).GetEntryVms())
}

// The VMs of a zone that is cut off use what the others can't.
func TestShareGrowsWhereZonesAreOutOfReach(t *testing.T) {
	b := newStateBench(t)
	b.link.entryVMs = 6
	model := schedule.Server{Service: "model", Slots: 12, AcceptsNew: true}
	b.local.SetEngines(&routes.Table{Services: []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: 12, StepsPerPass: 1, MemoryTokens: 1000}}}})
	placeable := func() int {
		count := 0
		for seq := range uint64(20) {
			b.local.Enqueue(b.now, schedule.PlacementRequest{
				ID: schedule.JobID{VM: 7, Seq: 100 + seq}, Service: "model", Zone: "a", TargetAt: b.now.Add(time.Second), StartDeadline: b.now.Add(time.Minute),
			})
		}
		for _, placement := range b.local.Decide(b.now) {
			if placement.Server == "a1" {
				count++
			}
		}
		b.local.FinishAll(b.now, 7, nil)
		return count
	}
	for _, id := range []string{"a1", "b1", "b2"} {
		model.ID, model.Zone = id, id[:1]
		b.local.SetServer(b.now, model)
	}
	b.tick(b.now)
	require.Equal(t, 2, placeable())
	for seq, id := range []string{"b1", "b2"} {
		ask := schedule.PlacementRequest{ID: schedule.JobID{VM: 7, Seq: uint64(seq)}, Service: "model", Zone: "a"}
		b.local.Adopt(b.now, ask, schedule.Placement{ID: ask.ID, Server: id}, false)
		b.local.Finish(b.now, ask.ID, schedule.OutcomeUnreachable)
	}
	b.tick(b.now)
	require.Equal(t, 4, placeable())
}

// An entry VM whose connection went silent attaches again before the control VM
// has missed it; what ended meanwhile must not hold its place for ever.
func TestAttachingAgainFreesWhatEndedMeanwhile(t *testing.T) {
	c := newCore(&Options{Logger: zerolog.Nop(), UnresponsiveAfter: time.Minute, Decode: decodeTestTable,
		Group: func() Group { return nil }})
	now := time.Unix(1000, 0)
	c.scheduler.SetEngines(&routes.Table{})
	c.scheduler.SetServer(now, schedule.Server{ID: "s1", Service: "orders", Slots: 1, AcceptsNew: true})
	first := &session{vm: "entry-1", incarnation: 7, outbox: make(chan *hubpb.HubFrame, 1), drop: func() {}}
	entryAttached{session: first, frame: &hubpb.EntryFrame{Hello: &hubpb.Hello{}}}.handle(c, now)
	entryFrameReceived{session: first, frame: &hubpb.EntryFrame{Asks: []*hubpb.Ask{
		askToProto(schedule.PlacementRequest{ID: schedule.JobID{VM: 7, Seq: 1}, Service: "orders", TargetAt: now.Add(time.Second), StartDeadline: now.Add(time.Second)}, now),
	}}}.handle(c, now)
	c.decide(now)
	require.Equal(t, 1, c.scheduler.Placed())

	dropped := false
	first.drop = func() { dropped = true }
	second := &session{vm: "entry-1", incarnation: 7, outbox: make(chan *hubpb.HubFrame, 1), drop: func() {}}
	entryAttached{session: second, frame: &hubpb.EntryFrame{Hello: &hubpb.Hello{}}}.handle(c, now)
	require.Zero(t, c.scheduler.Placed())
	require.True(t, dropped)
}
