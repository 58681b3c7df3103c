package hub

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/schedule"
)

// forwarderGrace is how long the leader keeps the placed requests of entry VMs whose control
// VM has lost its stream. The control VM reports them again when it is back.
const forwarderGrace = time.Second

var (
	errNotLeading      = errors.New("this control VM does not lead")
	errForwardReplaced = errors.New("the control VM has opened another stream")
)

// forwarder is the stream of another control VM that forwards the requests of its entry VMs.
type forwarder struct {
	sender string
	outbox chan *hubpb.ForwardReply
	drop   context.CancelCauseFunc
	// reply collects what the next flush sends, nil if there is nothing. vms holds its
	// parts by session.
	reply  *hubpb.ForwardReply
	vms    map[uint64]*hubpb.ForwardedPlacements
	sentAt time.Time
}

// remoteVM is an entry VM that is attached to another control VM.
type remoteVM struct {
	name, zone string
	forwarder  *forwarder
	// lostAt is when the stream of the forwarder ended, zero while it is open.
	lostAt time.Time
}

// Forward implements the gRPC service. It serves the stream of one control VM until the
// stream or the hub ends, or this VM does not lead any more.
func (h *Hub) Forward(stream grpc.BidiStreamingServer[hubpb.ForwardFrame, hubpb.ForwardReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetSender() == "" {
		return status.Error(codes.InvalidArgument, "the first frame must name the sender")
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	f := &forwarder{sender: first.GetSender(), outbox: make(chan *hubpb.ForwardReply, outboxFrames), drop: cancel}
	if err := h.send(ctx, forwarderAttached{forwarder: f, frame: first}); err != nil {
		return err
	}
	go h.receiveForwarded(ctx, cancel, stream, f)
	err = sendQueued(ctx, h.done, f.outbox, stream.Send)
	_ = h.send(context.WithoutCancel(ctx), forwarderDetached{forwarder: f, cause: err})
	return status.Errorf(codes.Unavailable, "stream of control VM %s ended: %v", f.sender, err)
}

// receiveForwarded passes the frames of one control VM to the hub's goroutine until the
// stream ends or no frame has arrived for entryTimeout.
func (h *Hub) receiveForwarded(ctx context.Context, cancel context.CancelCauseFunc, stream grpc.BidiStreamingServer[hubpb.ForwardFrame, hubpb.ForwardReply], f *forwarder) {
	idleTimer := time.AfterFunc(entryTimeout, func() { cancel(errEntryTimeout) })
	defer idleTimer.Stop()
	for {
		frame, err := stream.Recv()
		if err == nil {
			idleTimer.Reset(entryTimeout)
			err = h.send(ctx, forwardedReceived{forwarder: f, frame: frame})
		}
		if err != nil {
			cancel(err)
			return
		}
	}
}

// forwarderAttached adds the stream of a control VM.
type forwarderAttached struct {
	forwarder *forwarder
	frame     *hubpb.ForwardFrame
}

func (m forwarderAttached) handle(c *core, now time.Time) {
	if !c.schedulesAll {
		c.updateLeadership(now) // others may know that this VM leads before its next tick
	}
	if !c.schedulesAll {
		m.forwarder.drop(errNotLeading)
		return
	}
	for old := range c.forwarders {
		if old.sender == m.forwarder.sender {
			delete(c.forwarders, old)
			old.drop(errForwardReplaced)
			c.loseRemotes(old, now)
		}
	}
	c.forwarders[m.forwarder] = true
	observe.Log(c.options.Logger, observe.ForwarderAttached).Str("control_vm", m.forwarder.sender).Int("entry_vms", len(m.frame.GetVms())).Send()
	m.forwarder.pending()
	forwardedReceived(m).handle(c, now)
}

// forwarderDetached removes a stream that has ended.
type forwarderDetached struct {
	forwarder *forwarder
	cause     error
}

func (m forwarderDetached) handle(c *core, now time.Time) {
	if !c.forwarders[m.forwarder] {
		return
	}
	delete(c.forwarders, m.forwarder)
	c.loseRemotes(m.forwarder, now)
	observe.Log(c.options.Logger, observe.ForwarderDetached).Str("control_vm", m.forwarder.sender).Err(m.cause).Send()
}

// loseRemotes records that the stream of a forwarder has ended.
func (c *core) loseRemotes(f *forwarder, now time.Time) {
	for _, remote := range c.remotes {
		if remote.forwarder == f {
			remote.lostAt = now
		}
	}
}

// expireRemotes finishes the requests of entry VMs whose control VM is gone.
func (c *core) expireRemotes(now time.Time) {
	for id, remote := range c.remotes {
		if !remote.lostAt.IsZero() && now.Sub(remote.lostAt) >= forwarderGrace {
			c.removeRemote(id, now)
		}
	}
}

// removeRemote finishes the requests of an entry VM, unless it has attached to this VM.
func (c *core) removeRemote(id uint64, now time.Time) {
	delete(c.remotes, id)
	if c.sessionsByID()[id] == nil {
		c.scheduler.FinishAll(now, id, nil)
	}
}

// dropForwarders ends all streams of other control VMs and finishes their requests.
func (c *core) dropForwarders(cause error) {
	for f := range c.forwarders {
		delete(c.forwarders, f)
		f.drop(cause)
	}
	for id := range c.remotes {
		c.removeRemote(id, time.Now())
	}
}

// forwardedReceived is a frame of another control VM.
type forwardedReceived struct {
	forwarder *forwarder
	frame     *hubpb.ForwardFrame
}

func (m forwardedReceived) handle(c *core, now time.Time) {
	if !c.forwarders[m.forwarder] {
		return
	}
	for _, part := range m.frame.GetVms() {
		c.applyForwarded(m.forwarder, part, now)
	}
}

func (c *core) applyForwarded(f *forwarder, part *hubpb.ForwardedVM, now time.Time) {
	id := part.GetSession()
	remote := c.remotes[id]
	if part.GetGone() {
		if remote != nil && remote.forwarder == f {
			c.removeRemote(id, now)
		}
		return
	}
	if remote == nil {
		remote = &remoteVM{name: part.GetVm(), zone: part.GetZone()}
		c.remotes[id] = remote
	}
	remote.forwarder, remote.lostAt = f, time.Time{}
	if part.GetComplete() {
		c.scheduler.FinishAll(now, id, runningIDs(id, part.GetRunning()))
	}
	c.adopt(id, remote.zone, part.GetRunning(), now)
	c.applyLateEvents(id, part.GetLateEvents(), now)
	c.applyProgress(id, part.GetProgress(), now)
	if len(part.GetAsks()) > 0 {
		f.pending() // even an empty reply shows that the scheduler responds
	}
	for _, ask := range part.GetAsks() {
		c.scheduler.Enqueue(now, requestFromProto(ask, id, remote.zone, now))
	}
}

// place queues a placement for an entry VM of the forwarder.
func (f *forwarder) place(placement schedule.Placement) {
	reply := f.pending()
	part := f.vms[placement.ID.VM]
	if part == nil {
		part = &hubpb.ForwardedPlacements{Session: placement.ID.VM}
		f.vms[placement.ID.VM] = part
		reply.Vms = append(reply.Vms, part)
	}
	part.Placements = append(part.Placements, placementToProto(placement))
}

// pending returns the reply of the next flush and creates it if needed.
func (f *forwarder) pending() *hubpb.ForwardReply {
	if f.reply == nil {
		f.reply, f.vms = &hubpb.ForwardReply{}, map[uint64]*hubpb.ForwardedPlacements{}
	}
	return f.reply
}

// flush sends the collected reply, or an empty one after viewInterval without any. It names the
// revision of the route table that this VM has in force, and the slots that all entry VMs use.
func (f *forwarder) flush(now time.Time, tableVersion uint64, slotsInUse uint32) {
	if now.Sub(f.sentAt) >= viewInterval {
		f.pending()
	}
	if f.reply == nil {
		return
	}
	f.reply.TableVersion, f.reply.SlotsInUse = tableVersion, slotsInUse
	select {
	case f.outbox <- f.reply:
		f.reply, f.vms, f.sentAt = nil, nil, now
	default: // the outbox is full: the next flush tries again
	}
}
