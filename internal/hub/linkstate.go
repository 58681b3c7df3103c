package hub

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

// linkMessage is handled by the goroutine that owns the link's state.
type linkMessage interface {
	handle(s *linkState, now time.Time)
}

// linkState is owned by one goroutine, but for what mu guards.
type linkState struct {
	link *Link
	// local places requests while no scheduler is in reach. It always follows
	// what runs, so that it knows this VM's part of the load.
	local *schedule.Scheduler
	// asked holds the requests that wait for a placement, running those that
	// have one.
	asked   map[schedule.JobID]*queuedRequest
	running map[schedule.JobID]*runningRequest

	outbox     chan *hubpb.EntryFrame
	cancel     context.CancelCauseFunc
	address    string
	attachedAt time.Time
	// leaderSeenAt is when the attached control VM last knew a leader.
	leaderSeenAt time.Time
	isolatedWait time.Duration
	// schedules is set while the attached control VM places requests.
	schedules bool
	// suspect is set while the scheduler has not answered an ask for too long.
	suspect bool
	// heardAt is when the last frame came.
	heardAt time.Time
	frame   *hubpb.EntryFrame
	sentAt  time.Time
	// counts are the recent counts of entry VMs.
	counts []entryCount

	mu sync.Mutex
	// leader leads in term, the newest that was heard of.
	leader  string
	term    uint64
	control []string
}

// entryCount is how many entry VMs a control VM knew at a time.
type entryCount struct {
	at  time.Time
	vms int
}

type queuedRequest struct {
	ask   schedule.PlacementRequest
	reply chan schedule.Placement
	// remote is set while the scheduler's answer is waited for, askedAt since
	// when.
	remote  bool
	askedAt time.Time
	// sent is set while the attached control VM knows the ask.
	sent bool
}

type runningRequest struct {
	ask       schedule.PlacementRequest
	placement schedule.Placement
	writing   bool
}

func newLinkState(link *Link) linkState {
	return linkState{
		link: link, local: schedule.New(), isolatedWait: isolatedPatience,
		asked: map[schedule.JobID]*queuedRequest{}, running: map[schedule.JobID]*runningRequest{},
	}
}

func (s *linkState) knownControl() (leader string, control []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader, slices.Clone(s.control)
}

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
			s.takeMore()
		case <-ticker.C:
			s.tick(time.Now())
		case <-wake.C:
		}
		now := time.Now()
		for _, placement := range s.local.Decide(now) {
			s.deliver(placement, now, true)
		}
		if at := s.local.NextDecisionAt(now); !at.IsZero() {
			wake.Reset(at.Sub(now))
		}
		s.flush(now)
	}
}

func (s *linkState) takeMore() {
	for range maxBatch {
		select {
		case m := <-s.link.inbox:
			m.handle(s, time.Now())
		default:
			return
		}
	}
}

type placementRequested struct {
	ask   schedule.PlacementRequest
	reply chan schedule.Placement
}

func (m placementRequested) handle(s *linkState, now time.Time) {
	a := &queuedRequest{ask: m.ask, reply: m.reply}
	s.asked[m.ask.ID] = a
	s.request(a, now)
}

// request asks the scheduler, or this VM's own while none is in reach.
func (s *linkState) request(a *queuedRequest, now time.Time) {
	a.remote, a.askedAt = s.schedules && !s.suspect, now
	if !a.remote {
		s.local.Enqueue(now, a.ask)
		return
	}
	if !a.sent {
		s.pending().Asks = append(s.pending().Asks, askToProto(a.ask, now))
		a.sent = true
	}
}

type requestStarted struct{ id schedule.JobID }

func (m requestStarted) handle(s *linkState, now time.Time) {
	s.local.MarkStarted(now, m.id)
	if run := s.running[m.id]; run != nil {
		run.writing = true
		s.progress(m.id, hubpb.ProgressKind_PROGRESS_STARTED)
	}
}

type requestFinished struct {
	id  schedule.JobID
	end schedule.Outcome
}

func (m requestFinished) handle(s *linkState, now time.Time) {
	s.local.Finish(now, m.id, m.end)
	delete(s.asked, m.id)
	delete(s.running, m.id)
	s.progress(m.id, endsToProto[m.end])
}

func (s *linkState) progress(id schedule.JobID, kind hubpb.ProgressKind) {
	if s.outbox != nil {
		s.pending().Progress = append(s.pending().Progress, &hubpb.Progress{Id: id.Seq, Kind: kind})
	}
}

func (s *linkState) pending() *hubpb.EntryFrame {
	if s.frame == nil {
		s.frame = &hubpb.EntryFrame{}
	}
	return s.frame
}

type linkAttached struct {
	address string
	outbox  chan *hubpb.EntryFrame
	cancel  context.CancelCauseFunc
}

func (m linkAttached) handle(s *linkState, now time.Time) {
	s.outbox, s.cancel, s.address, s.schedules = m.outbox, m.cancel, m.address, false
	s.attachedAt, s.suspect = now, false
	for _, a := range s.asked {
		a.sent = false
	}
	hello := &hubpb.Hello{Vm: s.link.options.VM, Zone: s.link.options.Zone, Incarnation: s.link.options.Incarnation}
	if table := s.link.Table(); table != nil {
		hello.TableVersion = table.Version
	}
	s.link.mu.RLock()
	for _, server := range s.link.servers.All() {
		hello.Servers = append(hello.Servers, serverToProto(server, now))
	}
	s.link.mu.RUnlock()
	for _, run := range s.running {
		hello.Running = append(hello.Running, &hubpb.RunningJob{
			Ask: askToProto(run.ask, now), Placement: placementToProto(run.placement), Writing: run.writing,
		})
	}
	s.frame = &hubpb.EntryFrame{Hello: hello}
}

type linkDetached struct{ outbox chan *hubpb.EntryFrame }

func (m linkDetached) handle(s *linkState, now time.Time) {
	if s.outbox != m.outbox {
		return
	}
	s.outbox, s.frame, s.schedules, s.suspect = nil, nil, false, false
	for _, a := range s.asked {
		a.sent = false
	}
	s.mu.Lock()
	if s.leader == s.address {
		s.leader = "" // until another control VM names it again
	}
	s.mu.Unlock()
	s.link.mu.Lock()
	s.link.attached = false
	s.link.mu.Unlock()
	s.askLocally(now)
}

// askLocally places by this VM's own knowledge what the scheduler left open.
func (s *linkState) askLocally(now time.Time) {
	for _, a := range s.asked {
		if a.remote {
			s.request(a, now)
		}
	}
}

// askRemotely hands what waits here to the scheduler that came in reach.
func (s *linkState) askRemotely(now time.Time) {
	for id, a := range s.asked {
		if !a.remote && s.local.Withdraw(id) {
			s.request(a, now)
		}
	}
}

type hubFrameReceived struct {
	address string
	outbox  chan *hubpb.EntryFrame
	frame   *hubpb.HubFrame
}

func (m hubFrameReceived) handle(s *linkState, now time.Time) {
	if s.outbox != m.outbox {
		return
	}
	resumed := s.schedules && s.suspect
	s.heardAt, s.suspect = now, false
	s.link.takeTable(m.frame.GetTable())
	s.takeServers(serversFromProto(m.frame.GetServers(), now), now)
	for _, placement := range m.frame.GetPlacements() {
		s.deliver(placementFromProto(placement, s.link.options.Incarnation), now, false)
	}
	if view := m.frame.GetView(); view != nil {
		s.takeView(view, now)
	}
	if resumed && s.schedules {
		s.askRemotely(now)
	}
}

func (s *linkState) takeView(view *hubpb.View, now time.Time) {
	s.mu.Lock()
	if view.GetTerm() >= s.term {
		s.leader, s.term = view.GetLeader(), view.GetTerm()
	}
	leader := s.leader
	if len(view.GetControl()) > 0 {
		s.control = view.GetControl()
	}
	s.mu.Unlock()
	s.link.mu.Lock()
	s.link.entryVMs = s.countEntryVMs(int(view.GetEntryVms()), now)
	first := !s.link.attached
	s.link.attached = true
	s.link.mu.Unlock()
	if first {
		observe.Log(s.link.options.Logger, observe.LinkAttached).Str("control_vm", s.address).
			Bool("schedules", view.GetSchedules()).Str("leader", view.GetLeader()).Uint32("entry_vms", view.GetEntryVms()).Send()
	}
	if s.schedules && !view.GetSchedules() {
		s.schedules = false
		s.askLocally(now)
	}
	if !s.schedules && view.GetSchedules() {
		s.heardAt = now
		s.schedules = true
		s.askRemotely(now)
	}
	s.leaveIsolated(view.GetLeader(), now)
	elsewhere := leader != "" && leader != s.address && !s.link.failures.avoided(leader, now)
	if elsewhere && now.Sub(s.attachedAt) >= leaderPatience {
		s.cancel(errOtherLeader)
	}
}

// countEntryVMs returns the largest count of the last while; 0 is none.
func (s *linkState) countEntryVMs(count int, now time.Time) int {
	if count > 0 {
		s.counts = append(s.counts, entryCount{at: now, vms: count})
	}
	recent := s.counts[:0]
	for _, c := range s.counts {
		if now.Sub(c.at) < countMemory {
			recent = append(recent, c)
		}
	}
	s.counts = recent
	if len(recent) == 0 {
		return s.link.entryVMs
	}
	return slices.MaxFunc(recent, func(a, b entryCount) int { return cmp.Compare(a.vms, b.vms) }).vms
}

// shareServers sets the part of the servers that this VM may use by itself: an
// equal one, as long as all VMs reach all zones. The VMs of a zone that is cut
// off share its servers among themselves; VMs are spread evenly over zones.
func (s *linkState) shareServers() {
	s.local.SetShare(1/(float64(s.link.EntryVMCount())*s.local.ReachableZoneFraction()), s.link.options.Incarnation)
}

// leaveIsolated turns away from a control VM that has known no leader for a
// while: it may be cut off from the others, and would keep this VM from their
// news. While no other one is found, it is left ever more seldom.
func (s *linkState) leaveIsolated(leader string, now time.Time) {
	if leader != "" {
		s.leaderSeenAt, s.isolatedWait = now, isolatedPatience
		return
	}
	if s.leaderSeenAt.Before(s.attachedAt) {
		s.leaderSeenAt = s.attachedAt
	}
	if now.Sub(s.leaderSeenAt) < s.isolatedWait {
		return
	}
	s.isolatedWait = min(2*s.isolatedWait, longestIsolated)
	s.cancel(errIsolated)
}

func (s *linkState) takeServers(servers []roster.Server, now time.Time) {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	for _, server := range servers {
		s.link.servers.Apply(server)
		known, _ := s.link.servers.Find(server.ID)
		if known.State == roster.StateGone {
			s.local.RemoveServer(server.ID)
			s.link.options.OnServerGone(server.Address)
			continue
		}
		s.setServer(known, now)
	}
}

func (s *linkState) setServer(server roster.Server, now time.Time) {
	s.local.SetServer(now, schedule.Server{
		ID: server.ID, Service: server.Service, Zone: server.Zone, Slots: server.Slots, ColdUntil: server.ColdUntil,
		AcceptsNew: server.State == roster.StateReady,
	})
}

// deliver hands a placement to the request that waits for it. Whichever of the
// scheduler and this VM's own places it first serves it.
func (s *linkState) deliver(placement schedule.Placement, now time.Time, local bool) {
	a := s.asked[placement.ID]
	switch {
	case a == nil:
		s.giveBack(placement)
		return
	case local && a.remote:
		return
	case !local && !a.remote && !s.local.Withdraw(placement.ID):
		return
	}
	delete(s.asked, placement.ID)
	if placement.Server != "" {
		s.running[placement.ID] = &runningRequest{ask: a.ask, placement: placement}
		if local && s.outbox != nil {
			s.pending().Running = append(s.pending().Running, &hubpb.RunningJob{
				Ask: askToProto(a.ask, now), Placement: placementToProto(placement),
			})
		}
		if !local {
			s.local.Adopt(now, a.ask, placement, false)
		}
	} else if local && a.sent {
		s.progress(placement.ID, hubpb.ProgressKind_PROGRESS_ENDED)
	}
	placement.Local = local
	a.reply <- placement
}

// giveBack frees a place that nobody waits for any more. A request that this VM
// has placed meanwhile was reported, which took it off that place.
func (s *linkState) giveBack(placement schedule.Placement) {
	if placement.Server != "" && s.running[placement.ID] == nil {
		s.progress(placement.ID, hubpb.ProgressKind_PROGRESS_ENDED)
	}
}

func (s *linkState) tick(now time.Time) {
	s.link.mu.Lock()
	forgotten := s.link.servers.Evict(now, s.link.options.ExpireAfter)
	s.link.mu.Unlock()
	for _, server := range forgotten {
		s.local.RemoveServer(server.ID)
	}
	if s.outbox != nil && now.Sub(s.sentAt) >= linkPulse {
		s.pending()
	}
	s.shareServers()
	s.suspectScheduler(now)
}

// suspectScheduler turns to this VM's own scheduler when a request was asked
// for and nothing came back for much longer than an answer takes. It lasts
// until the next frame.
func (s *linkState) suspectScheduler(now time.Time) {
	if !s.schedules || s.suspect {
		return
	}
	for _, a := range s.asked {
		if a.remote && a.askedAt.After(s.heardAt) && now.Sub(a.askedAt) >= suspectAfter {
			s.suspect = true
			observe.Log(s.link.options.Logger, observe.SchedulerSuspect).Str("control_vm", s.address).
				Dur("silent", now.Sub(s.heardAt)).Int("asked", len(s.asked)).Send()
			s.askLocally(now)
			return
		}
	}
}

func (s *linkState) flush(now time.Time) {
	if s.frame == nil || s.outbox == nil {
		return
	}
	select {
	case s.outbox <- s.frame:
		s.frame, s.sentAt = nil, now
	default: // goes out with the next one
	}
}
