package hub

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// upstreamTimeout is the time without a reply after which the stream to the leader is
	// opened again. Three replies are due in this time (see viewInterval).
	upstreamTimeout = linkTimeout
	// upstreamRetryDelay is the mean delay before the stream to the leader is opened again.
	upstreamRetryDelay = 100 * time.Millisecond
	// upstreamHeartbeatInterval is the maximum time between two frames to the leader.
	upstreamHeartbeatInterval = time.Second
)

// upstream is the stream of a control VM to the leader, which places the requests of the
// entry VMs that are attached to this control VM.
type upstream struct {
	address string
	// stop ends the goroutine that keeps the stream open.
	stop context.CancelFunc
	// outbox takes the frames of the current stream, nil while there is none.
	outbox chan *hubpb.ForwardFrame
	// answered is set once the leader has replied on the current stream.
	answered bool
	// suspect is set while the leader is considered unresponsive, until its next reply.
	suspect bool
	// lastReplyAt is when the leader last replied, or when this VM began to follow it.
	lastReplyAt time.Time
	sentAt      time.Time
	// tableVersion is the revision of the route table that the leader has in force, as it last said.
	tableVersion uint64
	// slotsInUse is the mean number of slots in use by all entry VMs, as the leader last said, 0 if it is unknown.
	slotsInUse uint32
	// frame collects what the next flush sends, nil if there is nothing. vms holds its
	// parts by session.
	frame *hubpb.ForwardFrame
	vms   map[uint64]*hubpb.ForwardedVM
}

// waitingRequest is a placement request of an attached entry VM without an answer.
type waitingRequest struct {
	request schedule.PlacementRequest
	// remote is set if it waits for the leader rather than for this VM's scheduler.
	remote bool
	// submittedAt is when it was last handed to one of the two.
	submittedAt time.Time
	// sent is set once it was sent on the current stream to the leader.
	sent bool
}

// isForwarding reports whether the leader places the requests of attached entry VMs.
func (c *core) isForwarding() bool {
	return !c.schedulesAll && c.upstream != nil && c.upstream.answered && !c.upstream.suspect
}

// canForward reports whether entry VMs may stay attached to this control VM. It is false
// while the leader is known to be of a version that serves no Forward streams.
func (c *core) canForward() bool {
	leader, known := c.controls[c.leader]
	return c.isLeader || !known || leader.forwards
}

// followLeader opens and closes the stream to the leader and sets the share of the servers
// that this VM's scheduler may use. A leader that has lost its lease goes on placing
// requests until another one is known: placements need no agreement.
func (c *core) followLeader(now time.Time) {
	c.updateWarmUpShare(now)
	switch {
	case c.isLeader:
		c.schedulesAll = true
	case c.leader != "" && c.leader != c.options.Address:
		c.schedulesAll = false
	}
	if c.schedulesAll {
		c.closeUpstream()
		c.scheduler.SetShare(1, hashName(c.options.Address))
		c.submitWaiting(now)
		return
	}
	c.dropForwarders(errNotLeading)
	c.scheduler.SetShare(c.shareWithoutLeader(now), hashName(c.options.Address))
	if c.leader == "" || !c.canForward() || c.upstream != nil && c.upstream.address == c.leader {
		return
	}
	c.closeUpstream()
	ctx, stop := context.WithCancel(context.Background())
	c.upstream = &upstream{address: c.leader, stop: stop, lastReplyAt: now}
	go keepUpstream(ctx, c.options, c.leader, c.upstream, c.post)
}

func (c *core) closeUpstream() {
	if c.upstream != nil {
		c.upstream.stop()
		c.upstream = nil
	}
}

// keepUpstream keeps a stream to the control VM at address open until ctx is done.
func keepUpstream(ctx context.Context, options *Options, address string, u *upstream, post func(context.Context, message) error) {
	for ctx.Err() == nil {
		err := runUpstream(ctx, options, address, u, post)
		if ctx.Err() != nil {
			return
		}
		observe.Log(options.Logger, observe.ForwardingEnded).Str("leader", address).Err(err).Send()
		select {
		case <-time.After(jittered(upstreamRetryDelay)):
		case <-ctx.Done():
		}
	}
}

// jittered returns a random duration between half of and one and a half times mean.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// runUpstream runs one stream to its end and returns the reason.
func runUpstream(ctx context.Context, options *Options, address string, u *upstream, post func(context.Context, message) error) error {
	conn, err := options.Pool.Conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(firstFrameTimeout, func() { cancel(errLinkTimeout) })
	defer idleTimer.Stop()
	stream, err := hubpb.NewHubClient(conn).Forward(ctx)
	if err != nil {
		return err
	}
	outbox := make(chan *hubpb.ForwardFrame, outboxFrames)
	if err := post(ctx, upstreamOpened{upstream: u, outbox: outbox}); err != nil {
		return err
	}
	defer func() { _ = post(context.WithoutCancel(ctx), upstreamEnded{upstream: u, outbox: outbox}) }()
	go func() {
		for {
			select {
			case frame := <-outbox:
				if err := stream.Send(frame); err != nil {
					return // Recv returns the reason
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		reply, err := stream.Recv()
		if cause := context.Cause(ctx); errors.Is(cause, errLinkTimeout) {
			options.Pool.Discard(address, conn)
			return cause
		}
		if err != nil {
			return err
		}
		idleTimer.Reset(upstreamTimeout)
		if err := post(ctx, upstreamReplied{upstream: u, outbox: outbox, reply: reply}); err != nil {
			return err
		}
	}
}

// upstreamOpened reports a new stream to the leader. Its first frames list the requests of
// the attached entry VMs that have a placement.
type upstreamOpened struct {
	upstream *upstream
	outbox   chan *hubpb.ForwardFrame
}

func (m upstreamOpened) handle(c *core, now time.Time) {
	u := m.upstream
	if c.upstream != u {
		return
	}
	u.outbox, u.answered, u.suspect, u.frame = m.outbox, false, false, nil
	for _, w := range c.waiting {
		w.sent = false
	}
	u.pending(c.options.Address)
	for s := range c.sessions {
		c.forwardRunning(s, now)
	}
}

// forwardRunning queues a list of all placed requests of an attached entry VM for the leader.
func (c *core) forwardRunning(s *session, now time.Time) {
	if c.upstream == nil || c.upstream.outbox == nil {
		return
	}
	part := c.upstream.pendingVM(c.options.Address, s)
	part.Gone, part.Complete, part.Running = false, true, nil
	for _, running := range c.scheduler.PlacedBy(s.id) {
		part.Running = append(part.Running, &hubpb.RunningJob{
			Ask: requestToProto(running.Request, now), Placement: placementToProto(running.Placement), Writing: running.Decoding,
		})
	}
}

// upstreamEnded reports that the stream with this outbox has ended.
type upstreamEnded struct {
	upstream *upstream
	outbox   chan *hubpb.ForwardFrame
}

func (m upstreamEnded) handle(c *core, now time.Time) {
	u := m.upstream
	if c.upstream != u || u.outbox != m.outbox {
		return
	}
	u.outbox, u.answered, u.suspect, u.frame = nil, false, false, nil
	c.submitWaiting(now)
}

// upstreamReplied is a reply of the leader.
type upstreamReplied struct {
	upstream *upstream
	outbox   chan *hubpb.ForwardFrame
	reply    *hubpb.ForwardReply
}

func (m upstreamReplied) handle(c *core, now time.Time) {
	u := m.upstream
	if c.upstream != u || u.outbox != m.outbox {
		return
	}
	u.lastReplyAt, u.tableVersion, u.slotsInUse = now, m.reply.GetTableVersion(), m.reply.GetSlotsInUse()
	resumed := !u.answered || u.suspect
	u.answered, u.suspect = true, false
	byID := c.sessionsByID()
	for _, part := range m.reply.GetVms() {
		for _, placement := range part.GetPlacements() {
			c.deliverForwarded(byID[part.GetSession()], part.GetSession(), placement, now)
		}
	}
	if resumed {
		c.submitWaiting(now)
	}
}

// deliverForwarded passes a placement by the leader on. The slot of one whose request no longer
// waits is released, unless this VM has placed the request itself and reported that.
func (c *core) deliverForwarded(s *session, id uint64, message *hubpb.Placement, now time.Time) {
	placement := placementFromProto(message, id)
	w := c.waiting[placement.ID]
	if s == nil || w == nil {
		if s != nil && placement.Server != "" && !c.scheduler.IsPlaced(placement.ID) {
			c.forwardProgress(s, placement.ID, hubpb.ProgressKind_PROGRESS_UNUSED)
		}
		return
	}
	if !w.remote {
		c.scheduler.Withdraw(placement.ID)
	}
	delete(c.waiting, placement.ID)
	if placement.Server != "" {
		c.scheduler.Adopt(now, w.request, placement, false)
	}
	s.pending().Placements = append(s.pending().Placements, message)
}

// submit hands a placement request of an attached entry VM to the leader, or to this VM's
// scheduler.
func (c *core) submit(now time.Time, w *waitingRequest, s *session) {
	w.remote, w.submittedAt = c.isForwarding(), now
	if !w.remote {
		c.scheduler.Enqueue(now, w.request)
		return
	}
	if !w.sent {
		w.sent = true
		part := c.upstream.pendingVM(c.options.Address, s)
		part.Asks = append(part.Asks, requestToProto(w.request, now))
	}
}

// submitWaiting hands all waiting requests over after it has changed who places them.
func (c *core) submitWaiting(now time.Time) {
	forwarding := c.isForwarding()
	byID := c.sessionsByID()
	for id, w := range c.waiting {
		if w.remote == forwarding || byID[id.VM] == nil {
			continue
		}
		if forwarding && !c.scheduler.Withdraw(id) {
			continue
		}
		c.submit(now, w, byID[id.VM])
	}
}

// checkUpstream switches to this VM's own scheduler if a request waits for the leader and
// no reply has come for schedulerTimeout since. The next reply switches back.
func (c *core) checkUpstream(now time.Time) {
	u := c.upstream
	if !c.isForwarding() {
		return
	}
	if u.outbox != nil && now.Sub(u.sentAt) >= upstreamHeartbeatInterval {
		u.pending(c.options.Address)
	}
	for _, w := range c.waiting {
		if w.remote && w.submittedAt.After(u.lastReplyAt) && now.Sub(w.submittedAt) >= schedulerTimeout {
			u.suspect = true
			observe.Log(c.options.Logger, observe.SchedulerSuspect).Str("control_vm", u.address).
				Dur("silent", now.Sub(u.lastReplyAt)).Int("asked", len(c.waiting)).Send()
			c.submitWaiting(now)
			return
		}
	}
}

// forwardProgress queues a report on a request for the leader.
func (c *core) forwardProgress(s *session, id schedule.JobID, kind hubpb.ProgressKind) {
	if c.upstream != nil && c.upstream.outbox != nil {
		part := c.upstream.pendingVM(c.options.Address, s)
		part.Progress = append(part.Progress, &hubpb.Progress{Id: id.Seq, Kind: kind})
	}
}

// forwardPlaced queues placements that the entry VM or this VM has made for the leader.
func (c *core) forwardPlaced(s *session, jobs ...*hubpb.RunningJob) {
	if len(jobs) > 0 && c.upstream != nil && c.upstream.outbox != nil {
		part := c.upstream.pendingVM(c.options.Address, s)
		part.Running = append(part.Running, jobs...)
	}
}

// forwardGone tells the leader that an entry VM has left.
func (c *core) forwardGone(s *session) {
	if c.upstream != nil && c.upstream.outbox != nil {
		part := c.upstream.pendingVM(c.options.Address, s)
		part.Gone, part.Complete, part.Running, part.Progress, part.Asks = true, false, nil, nil, nil
	}
}

// pending returns the frame of the next flush and creates it if needed.
func (u *upstream) pending(sender string) *hubpb.ForwardFrame {
	if u.frame == nil {
		u.frame, u.vms = &hubpb.ForwardFrame{Sender: sender}, map[uint64]*hubpb.ForwardedVM{}
	}
	return u.frame
}

// pendingVM returns the part of that frame for an entry VM.
func (u *upstream) pendingVM(sender string, s *session) *hubpb.ForwardedVM {
	frame := u.pending(sender)
	part := u.vms[s.id]
	if part == nil {
		part = &hubpb.ForwardedVM{Session: s.id, Vm: s.vm, Zone: s.zone}
		u.vms[s.id] = part
		frame.Vms = append(frame.Vms, part)
	}
	return part
}

// flush sends the collected frame. While the outbox is full, the next flush tries again.
func (u *upstream) flush(now time.Time) {
	if u == nil || u.frame == nil || u.outbox == nil {
		return
	}
	select {
	case u.outbox <- u.frame:
		u.frame, u.vms, u.sentAt = nil, nil, now
	default:
	}
}
