package hub

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// linkMessage is an event that the goroutine in run applies to the link's state.
type linkMessage interface {
	handle(s *linkState, now time.Time)
}

// linkState is the state of a link. Only the goroutine in run uses it, except for
// the fields that mu guards.
type linkState struct {
	link *Link
	// local is this VM's own scheduler. It places requests while the leader's
	// scheduler is unreachable or does not respond. It also records the requests
	// that the leader placed, so that it knows this VM's part of the load.
	local *schedule.Scheduler
	// queued holds the requests that wait for placement.
	queued map[schedule.JobID]*queuedRequest
	// running holds the placed requests that have not finished.
	running map[schedule.JobID]*runningRequest

	// limits holds the limits of backend servers.
	limits *serverstate.Limits

	// outbox takes the frames of the current stream, nil while the link is
	// detached.
	outbox chan *hubpb.EntryFrame
	// cancel ends the current stream with a cause.
	cancel context.CancelCauseFunc
	// address is the control VM of the current or the last stream.
	address    string
	attachedAt time.Time
	// detachedAt is when the last stream ended, or the start of the link.
	detachedAt time.Time
	// search looks for another control VM while the attached one knows no leader.
	search leaderSearch
	// feed reads route tables from other control VMs while the attached one is silent.
	feed tableFeed
	// schedulerAttached is set while the attached control VM places requests.
	schedulerAttached bool
	// schedulerSuspect is set while the scheduler is considered unresponsive,
	// until the next frame arrives.
	schedulerSuspect bool
	// lastFrameAt is when the last frame arrived.
	lastFrameAt time.Time
	// frame collects what the next flush sends, nil if there is nothing.
	frame  *hubpb.EntryFrame
	sentAt time.Time
	// preferred is the control VM to which the attached one last sent this VM, empty for
	// none, and preferredUntil the time at which the link follows.
	preferred      string
	preferredUntil time.Time
	// move keeps requests from this VM's own scheduler while the link moves.
	move linkMove
	// cutOffReported is the state that the attached control VM was last told of.
	cutOffReported bool
	// entryCounts are the recently reported numbers of entry VMs.
	entryCounts []entryCount
	// demand determines the share of the servers that local may use.
	demand demandShare

	// mu guards the fields below it, which attachLoop reads.
	mu sync.Mutex
	// leader is the internal address of the leader in term, empty if it is unknown.
	// term is the highest term seen.
	leader string
	term   uint64
	// controlVMs holds the internal addresses of the control VMs.
	controlVMs []string
	// forwards is set if the control VM that was last attached keeps this VM attached
	// whoever leads.
	forwards bool
}

// entryCount is a number of entry VMs that a control VM reported.
type entryCount struct {
	reportedAt time.Time
	vms        int
}

func newLinkState(link *Link) linkState {
	local := schedule.New()
	local.SetWarmUpBounds(link.options.WarmUpBounds)
	local.SetWarmUpShare(time.Now(), 0, false, 0)
	return linkState{
		link: link, local: local, detachedAt: time.Now(),
		limits: serverstate.NewLimits(), queued: map[schedule.JobID]*queuedRequest{}, running: map[schedule.JobID]*runningRequest{},
	}
}

// knownControlVMs returns the internal addresses of the leader, empty if it is
// unknown or need not be followed, and of the control VMs. It is safe for concurrent use.
func (s *linkState) knownControlVMs() (leader string, controlVMs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forwards {
		return "", slices.Clone(s.controlVMs)
	}
	return s.leader, slices.Clone(s.controlVMs)
}

// knownTerm returns the highest term seen.
func (s *linkState) knownTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

// run handles messages and periodic work until ctx is done.
func (s *linkState) run(ctx context.Context) {
	defer close(s.link.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.link.inbox:
			m.handle(s, time.Now())
			s.handleBatch()
		case <-ticker.C:
			s.tick(time.Now())
		case <-wake.C:
		}
		now := time.Now()
		for _, placement := range s.local.Decide(now) {
			s.deliver(placement, now, true)
		}
		s.logCredibility()
		s.dropRecords()
		if nextDecisionAt := s.local.NextDecisionAt(now); !nextDecisionAt.IsZero() {
			wake.Reset(nextDecisionAt.Sub(now))
		}
		s.flush(now)
	}
}

// logCredibility logs changes of what this VM's own scheduler makes of this VM's reports.
// They say something new only while the leader's scheduler doesn't place the requests.
func (s *linkState) logCredibility() {
	for _, change := range s.local.TakeCredibilityChanges() {
		if !s.schedulerAttached || s.schedulerSuspect {
			logCredibility(s.link.options.Logger, s.link.options.VM, change)
		}
	}
}

// dropRecords drops what only a control VM's scheduler reports, so that it doesn't pile up.
func (s *linkState) dropRecords() {
	s.local.TakeStarts()
	s.local.TakeSlowdownChanges()
}

// handleBatch handles the messages that are already in the inbox, at most maxBatch.
func (s *linkState) handleBatch() {
	for range maxBatch {
		select {
		case m := <-s.link.inbox:
			m.handle(s, time.Now())
		default:
			return
		}
	}
}

// pending returns the frame of the next flush and creates it if needed.
func (s *linkState) pending() *hubpb.EntryFrame {
	if s.frame == nil {
		s.frame = &hubpb.EntryFrame{}
	}
	return s.frame
}

// serverStatedDraining reports that a backend server stated in an answer to this VM
// that it is draining.
type serverStatedDraining struct{ server roster.Server }

func (m serverStatedDraining) handle(s *linkState, now time.Time) {
	m.server.State = roster.StateDraining
	s.applyServers([]roster.Server{m.server}, now)
	if s.outbox != nil {
		s.pending().Servers = append(s.pending().Servers, serverToProto(m.server, now))
	}
}

// cutOffChanged reports a call of SetCutOff. The state is read when the message is
// handled, so that concurrent calls can't be reported in the wrong order.
type cutOffChanged struct{}

func (m cutOffChanged) handle(s *linkState, _ time.Time) {
	cutOff := s.link.cutOff.Load()
	if s.outbox == nil || cutOff == s.cutOffReported {
		return
	}
	s.cutOffReported = cutOff
	if hello := s.pending().GetHello(); hello != nil {
		hello.CutOff = cutOff
		return
	}
	s.pending().CutOff = proto.Bool(cutOff)
}

// linkAttached reports a new stream to the control VM at address. The link's first
// frame on the stream contains a Hello.
type linkAttached struct {
	address string
	outbox  chan *hubpb.EntryFrame
	cancel  context.CancelCauseFunc
	// redirected is set if a control VM has sent this VM to address.
	redirected bool
}

func (m linkAttached) handle(s *linkState, now time.Time) {
	s.outbox, s.cancel, s.address, s.schedulerAttached = m.outbox, m.cancel, m.address, false
	s.attachedAt, s.schedulerSuspect = now, false
	s.search.dueAt = time.Time{}
	for _, q := range s.queued {
		q.sent = false
	}
	hello := &hubpb.Hello{Vm: s.link.options.VM, Zone: s.link.options.Zone, Incarnation: s.link.options.Incarnation}
	hello.TableVersion = s.link.tableRevision()
	hello.AcceptsForwarding, hello.Redirected = true, m.redirected
	s.cutOffReported = s.link.cutOff.Load()
	hello.RelayAddress, hello.CutOff = s.link.options.RelayAddress, s.cutOffReported
	s.link.mu.RLock()
	for _, server := range s.link.servers.All() {
		hello.Servers = append(hello.Servers, serverToProto(server, now))
	}
	s.link.mu.RUnlock()
	for _, run := range s.running {
		hello.Running = append(hello.Running, &hubpb.RunningJob{
			Ask: requestToProto(run.request, now), Placement: placementToProto(run.placement), Writing: run.decoding,
		})
	}
	hello.Limits = limitsToProto(s.limits.All(), now)
	s.link.evidence.Do(func(t *quarantine.Tracker) { hello.Evidence = evidenceToProto(t.All(), now) })
	s.frame = &hubpb.EntryFrame{Hello: hello}
}

// linkDetached reports that the stream with this outbox has ended.
type linkDetached struct{ outbox chan *hubpb.EntryFrame }

func (m linkDetached) handle(s *linkState, now time.Time) {
	if s.outbox != m.outbox {
		return
	}
	if s.link.isAttached() {
		s.detachedAt = now
	}
	s.outbox, s.frame, s.schedulerAttached, s.schedulerSuspect = nil, nil, false, false
	for _, q := range s.queued {
		q.sent = false
	}
	s.mu.Lock()
	if s.leader == s.address {
		s.leader = "" // until another control VM names it again
	}
	s.mu.Unlock()
	s.link.mu.Lock()
	s.link.attached, s.link.control = false, ""
	s.link.mu.Unlock()
	s.move.detached(now)
	s.requeueLocally(now)
}

// hubFrameReceived is a frame from the control VM. It is ignored if the stream
// with this outbox is no longer the current one.
type hubFrameReceived struct {
	address string
	outbox  chan *hubpb.EntryFrame
	frame   *hubpb.HubFrame
}

func (m hubFrameReceived) handle(s *linkState, now time.Time) {
	if s.outbox != m.outbox {
		return
	}
	resumed := s.schedulerAttached && s.schedulerSuspect
	s.lastFrameAt, s.schedulerSuspect = now, false
	s.link.lastFrameAt.Store(now.UnixNano())
	s.link.applyTable(m.frame.GetTable(), m.address)
	s.applyServers(serversFromProto(m.frame.GetServers(), now), now)
	for _, limit := range limitsFromProto(m.frame.GetLimits(), now) {
		s.applyLimit(limit, now)
	}
	if evidence := evidenceFromProto(m.frame.GetEvidence(), now); len(evidence) > 0 {
		s.link.evidence.Do(func(t *quarantine.Tracker) { t.Merge(now, evidence) })
	}
	for _, placement := range m.frame.GetPlacements() {
		s.deliver(placementFromProto(placement, s.link.options.Incarnation), now, false)
	}
	if view := m.frame.GetView(); view != nil {
		s.applyView(view, now)
	}
	if resumed && s.schedulerAttached {
		s.requeueRemotely(now)
	}
	s.feed.release()
}

// applyView applies the view of the attached control VM. It ends the stream if that VM does
// not forward requests and another one leads.
func (s *linkState) applyView(view *hubpb.View, now time.Time) {
	s.mu.Lock()
	if view.GetTerm() >= s.term {
		s.leader, s.term = view.GetLeader(), view.GetTerm()
	}
	leader := s.leader
	if len(view.GetControl()) > 0 {
		s.controlVMs = view.GetControl()
	}
	s.forwards = view.GetForwards()
	s.mu.Unlock()
	s.link.mu.Lock()
	s.link.entryVMs = s.updateEntryVMCount(int(view.GetEntryVms()), now)
	justAttached := !s.link.attached
	s.link.attached, s.link.control = true, s.address
	if view.GetHasRelays() {
		s.link.relays = updateRelays(s.link.relays, relaysFromProto(view.GetRelays()), view.GetEntryVms() > 0, s.link.options.VM)
	}
	s.link.mu.Unlock()
	if justAttached {
		observe.Log(s.link.options.Logger, observe.LinkAttached).Str("control_vm", s.address).
			Bool("schedules", view.GetSchedules()).Str("leader", view.GetLeader()).Uint32("entry_vms", view.GetEntryVms()).
			Uint64("table_version", s.link.tableRevision()).Dur("detached", now.Sub(s.detachedAt)).
			Int64("failed", s.link.failedAttempts.Swap(0)).Send()
	}
	s.demand.applyView(view, now)
	places := view.GetSchedules() || view.GetForwards()
	if s.schedulerAttached && !places {
		s.schedulerAttached = false
		s.requeueLocally(now)
	}
	if !s.schedulerAttached && places {
		s.lastFrameAt = now
		s.schedulerAttached = true
		s.move.end()
		s.requeueRemotely(now)
	}
	s.updateLeaderSearch(view.GetLeader(), now)
	s.followPreferred(view.GetPreferred(), now)
	otherLeads := leader != "" && leader != s.address && !s.link.backoffs.isActive(leader, now)
	if otherLeads && !view.GetForwards() && now.Sub(s.attachedAt) >= leaderSwitchDelay {
		s.cancel(errOtherLeader)
	}
}

// updateEntryVMCount returns the largest number of entry VMs reported within
// entryCountWindow, or the last result if there was none. A count of 0 means that
// the control VM reported no number.
func (s *linkState) updateEntryVMCount(count int, now time.Time) int {
	if count > 0 {
		s.entryCounts = append(s.entryCounts, entryCount{reportedAt: now, vms: count})
	}
	recent := s.entryCounts[:0]
	for _, c := range s.entryCounts {
		if now.Sub(c.reportedAt) < entryCountWindow {
			recent = append(recent, c)
		}
	}
	s.entryCounts = recent
	if len(recent) == 0 {
		return s.link.entryVMs
	}
	return slices.MaxFunc(recent, func(a, b entryCount) int { return cmp.Compare(a.vms, b.vms) }).vms
}

// applyServers applies received announcements to the known servers and to this
// VM's own scheduler.
func (s *linkState) applyServers(servers []roster.Server, now time.Time) {
	s.link.evidence.Do(func(t *quarantine.Tracker) { recordAnnouncements(t, servers) })
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	for _, server := range servers {
		s.link.servers.Apply(server)
		for _, displaced := range s.link.servers.TakeDisplaced() {
			s.local.RemoveServer(displaced.ID)
		}
		known, found := s.link.servers.Find(server.ID)
		if !found {
			continue // the announcement is stale: another server was started later at its address
		}
		if known.State == roster.StateGone {
			s.local.RemoveServer(server.ID)
			s.link.options.OnServerGone(server.Address)
			continue
		}
		s.setServer(known, now)
	}
}

// setServer updates a server in this VM's own scheduler. Only the goroutine in run writes the
// evacuations that it reads.
func (s *linkState) setServer(server roster.Server, now time.Time) {
	perSecond, limited := s.limits.Of(server)
	s.local.SetServer(now, schedule.Server{
		Limited: limited, MaxPerSecond: perSecond,
		ID: server.ID, Service: server.Service, Zone: server.Zone, Slots: server.Slots, ColdUntil: server.ColdUntil, StartedAt: server.StartedAt,
		AcceptsNew:     server.State == roster.StateReady && !s.link.evacuations.has(server.Zone),
		EvacuatedSince: s.link.evacuations.zones[server.Zone],
	})
}

// tick does the periodic work: it repeats a read after a suspension, expires servers, queues a heartbeat if due,
// updates this VM's share and checks the scheduler.
func (s *linkState) tick(now time.Time) {
	s.confirmEvacuations(now)
	s.link.mu.Lock()
	expired := s.link.servers.Evict(now, s.link.options.ExpireAfter)
	s.link.mu.Unlock()
	for _, server := range expired {
		s.local.RemoveServer(server.ID)
	}
	s.link.statements.Sweep(now, s.link.Find)
	if s.limits.Len() > 0 {
		s.limits.Sweep(now, s.link.Find)
		s.link.limitsKnown.Store(int64(s.limits.Len()))
	}
	if s.outbox != nil && now.Sub(s.sentAt) >= linkHeartbeatInterval {
		s.pending()
	}
	s.link.evidence.Do(func(t *quarantine.Tracker) { t.Expire(now) })
	s.measureDemand(now)
	s.updateShare()
	if s.move.hasTimedOut(now) {
		s.requeueLocally(now)
	}
	s.updateWarmUps(now)
	s.checkScheduler(now)
	s.searchLeader(now)
	s.checkFeed(now)
}

// flush sends the collected frame.
func (s *linkState) flush(now time.Time) {
	if s.outbox != nil {
		var changes []quarantine.Evidence
		s.link.evidence.Do(func(t *quarantine.Tracker) { changes = t.TakeChanges() })
		if len(changes) > 0 {
			s.pending().Evidence = append(s.pending().Evidence, evidenceToProto(changes, now)...)
		}
	}
	if s.frame == nil || s.outbox == nil {
		return
	}
	select {
	case s.outbox <- s.frame:
		s.frame, s.sentAt = nil, now
	default: // the outbox is full: the next flush tries again
	}
}
