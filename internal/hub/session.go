package hub

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/schedule"
)

// session is the stream of one attached entry VM.
type session struct {
	vm   string
	zone string
	// id identifies this start of the entry VM's process in the scheduler.
	id uint64
	// tableVersion is the revision of the last route table that the entry VM got.
	tableVersion uint64
	// relay is how other entry VMs use this one as a relay.
	relay Relay
	// relaysVersion is the version of the relays that the entry VM was last sent, or that
	// were the same for it, and relaysSent its selection of them. relaysCounted is set if
	// the entry VMs were counted then (see view).
	relaysVersion uint64
	relaysSent    []Relay
	relaysCounted bool
	outbox        chan *hubpb.HubFrame
	// drop ends the stream for a reason.
	drop context.CancelCauseFunc
	// frame collects what the next flush sends, nil if there is nothing.
	frame  *hubpb.HubFrame
	sentAt time.Time
	// viewSentAt is when a view was last added to a frame.
	viewSentAt time.Time
}

func newSession(hello *hubpb.Hello, drop context.CancelCauseFunc) *session {
	return &session{
		vm: hello.GetVm(), zone: hello.GetZone(), id: sessionID(hello.GetVm(), hello.GetIncarnation()),
		tableVersion: hello.GetTableVersion(), outbox: make(chan *hubpb.HubFrame, outboxFrames), drop: drop,
	}
}

// sessionID returns the number that identifies a start of an entry VM's process. The
// incarnation alone does not: VMs of version 35f6b4c use the time of their start.
func sessionID(vm string, incarnation uint64) uint64 {
	return mix(hashName(vm) ^ mix(incarnation))
}

// pending returns the frame of the next flush and creates it if needed.
func (s *session) pending() *hubpb.HubFrame {
	if s.frame == nil {
		s.frame = &hubpb.HubFrame{}
	}
	return s.frame
}

// entryAttached adds the session of an entry VM that opened a stream. The first
// frame of the stream lists the entry VM's placed requests that have not finished.
// The scheduler finishes all other requests of the entry VM.
type entryAttached struct {
	session *session
	frame   *hubpb.EntryFrame
}

func (m entryAttached) handle(c *core, now time.Time) {
	s := m.session
	if !c.admit(s, m.frame.GetHello(), now) {
		return
	}
	c.supersede(s)
	c.sessions[s] = true
	c.entryLastSeen[s.vm] = now
	c.setRelay(s, Relay{VM: s.vm, Zone: s.zone, Address: m.frame.GetHello().GetRelayAddress(), CutOff: m.frame.GetHello().GetCutOff()})
	for _, server := range serversFromProto(c.unknownServers(m.frame.GetHello().GetServers()), now) {
		c.applyReport(server, now)
	}
	frame := s.pending()
	frame.Servers = c.allServers(now)
	c.sendTable(s)
	c.evidence.Merge(now, evidenceFromProto(m.frame.GetHello().GetEvidence(), now))
	frame.Evidence = evidenceToProto(c.evidence.All(), now)
	c.applyLimits(limitsFromProto(m.frame.GetHello().GetLimits(), now), s.vm, now)
	frame.Limits = limitsToProto(c.limits.All(), now)
	running := m.frame.GetHello().GetRunning()
	c.forgetWaiting(s.id)
	c.scheduler.FinishAll(now, s.id, runningIDs(s.id, running))
	c.adopt(s.id, s.zone, running, now)
	c.forwardRunning(s, now)
	c.sendView(s, now)
	observe.Log(c.options.Logger, observe.EntryAttached).Str("entry_vm", s.vm).
		Uint64("table_version", s.tableVersion).Bool("table_confirmed", c.tableConfirmed).Dur("table_age", now.Sub(c.tableSince)).
		Uint64("term", c.term).Int("running", len(m.frame.GetHello().GetRunning())).Send()
}

// unknownServers returns those of an entry VM's announcements that may tell something new.
func (c *core) unknownServers(messages []*hubpb.Announcement) []*hubpb.Announcement {
	unknown := messages[:0:0]
	for _, message := range messages {
		known, found := c.roster.Find(message.GetId())
		if !found || known.StartedAt.IsZero() || known.StartedAt.UnixMilli() != message.GetBornMs() ||
			known.Sequence < message.GetSequence() || statesToProto[known.State] < message.GetState() {
			unknown = append(unknown, message)
		}
	}
	return unknown
}

// supersede ends the older sessions of an entry VM that attaches again. The entry
// VM has abandoned their streams, even if this VM has not noticed yet.
func (c *core) supersede(by *session) {
	for old := range c.sessions {
		if old.id == by.id {
			delete(c.sessions, old)
			old.drop(errSuperseded)
			observe.Log(c.options.Logger, observe.EntryDetached).Str("entry_vm", old.vm).Str("by", by.vm).Err(errSuperseded).Send()
		}
	}
}

// adopt records requests of an entry VM that another scheduler placed.
func (c *core) adopt(vm uint64, zone string, running []*hubpb.RunningJob, now time.Time) {
	for _, job := range running {
		request := requestFromProto(job.GetAsk(), vm, zone, now)
		delete(c.waiting, request.ID)
		c.scheduler.Adopt(now, request, placementFromProto(job.GetPlacement(), vm), job.GetWriting())
	}
}

// applyProgress records what an entry VM reports of its requests.
func (c *core) applyProgress(vm uint64, reports []*hubpb.Progress, now time.Time) {
	for _, progress := range reports {
		id := schedule.JobID{VM: vm, Seq: progress.GetId()}
		if progress.GetKind() == hubpb.ProgressKind_PROGRESS_STARTED {
			c.scheduler.MarkStarted(now, id)
			continue
		}
		delete(c.waiting, id)
		c.scheduler.Finish(now, id, outcomeFromProto(progress.GetKind()))
	}
}

// forgetWaiting forgets the placement requests of an entry VM without an answer.
func (c *core) forgetWaiting(vm uint64) {
	for id := range c.waiting {
		if id.VM == vm {
			delete(c.waiting, id)
		}
	}
}

// entryDetached removes a session whose stream has ended and finishes its requests.
type entryDetached struct {
	session *session
	// cause is why the stream ended.
	cause error
}

func (m entryDetached) handle(c *core, now time.Time) {
	if !c.sessions[m.session] {
		return
	}
	delete(c.sessions, m.session)
	c.relays.release(m.session)
	c.forgetWaiting(m.session.id)
	if c.remotes[m.session.id] == nil { // otherwise it has attached to another control VM, which has reported its requests
		c.scheduler.FinishAll(now, m.session.id, nil)
	}
	c.forwardGone(m.session)
	line := observe.Log(c.options.Logger, observe.EntryDetached).Str("entry_vm", m.session.vm).Err(m.cause).
		Uint64("table_version", tableRevision(c.table)).Str("leader", c.leader).Uint64("term", c.term)
	if c.upstream != nil {
		line = line.Dur("leader_silent", now.Sub(c.upstream.lastReplyAt))
	}
	line.Send()
}

// entryFrameReceived is a further frame of an attached entry VM.
type entryFrameReceived struct {
	session *session
	frame   *hubpb.EntryFrame
}

func (m entryFrameReceived) handle(c *core, now time.Time) {
	if !c.sessions[m.session] {
		return
	}
	c.entryLastSeen[m.session.vm] = now
	c.evidence.Merge(now, evidenceFromProto(m.frame.GetEvidence(), now))
	for _, server := range serversFromProto(m.frame.GetServers(), now) {
		c.applyReport(server, now)
	}
	c.applyLimits(limitsFromProto(m.frame.GetLimits(), now), m.session.vm, now)
	if m.frame.CutOff != nil {
		relay := m.session.relay
		relay.CutOff = m.frame.GetCutOff()
		c.setRelay(m.session, relay)
	}
	c.adopt(m.session.id, m.session.zone, m.frame.GetRunning(), now)
	c.forwardPlaced(m.session, m.frame.GetRunning()...)
	c.applyLateEvents(m.session.id, m.frame.GetLateEvents(), now)
	c.forwardLateEvents(m.session, m.frame.GetLateEvents())
	c.applyProgress(m.session.id, m.frame.GetProgress(), now)
	for _, progress := range m.frame.GetProgress() {
		c.forwardProgress(m.session, schedule.JobID{VM: m.session.id, Seq: progress.GetId()}, progress.GetKind())
	}
	if len(m.frame.GetAsks()) > 0 {
		m.session.pending() // even an empty frame shows the entry VM that the scheduler responds
	}
	for _, ask := range m.frame.GetAsks() {
		request := requestFromProto(ask, m.session.id, m.session.zone, now)
		if c.waiting[request.ID] == nil && !c.scheduler.IsPlaced(request.ID) {
			w := &waitingRequest{request: request}
			c.waiting[request.ID] = w
			c.submit(now, w, m.session)
		}
	}
}

// runningIDs returns the ids of the requests of an entry VM. It is never nil.
func runningIDs(vm uint64, running []*hubpb.RunningJob) map[schedule.JobID]bool {
	ids := make(map[schedule.JobID]bool, len(running))
	for _, job := range running {
		ids[schedule.JobID{VM: vm, Seq: job.GetAsk().GetId()}] = true
	}
	return ids
}

func (c *core) sessionsByID() map[uint64]*session {
	byID := make(map[uint64]*session, len(c.sessions))
	for s := range c.sessions {
		byID[s.id] = s
	}
	return byID
}
