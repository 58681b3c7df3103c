package hub

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

// session is one attached entry VM.
type session struct {
	vm           string
	zone         string
	incarnation  uint64
	tableVersion uint64
	outbox       chan *hubpb.HubFrame
	drop         context.CancelFunc
	// frame collects what goes out at the next flush.
	frame  *hubpb.HubFrame
	sentAt time.Time
	// viewedAt is when a frame last held a view.
	viewedAt time.Time
}

func (s *session) pending() *hubpb.HubFrame {
	if s.frame == nil {
		s.frame = &hubpb.HubFrame{}
	}
	return s.frame
}

// core is the state of a hub. One goroutine owns it.
type core struct {
	options  *Options
	roster   *roster.Roster
	sessions map[*session]bool
	// entries holds when each entry VM was last heard of, here or elsewhere.
	entries   map[string]time.Time
	scheduler *schedule.Scheduler
	// leading is set while this VM schedules.
	leading     bool
	leader      string
	term        uint64
	reportedAt  time.Time
	table       *hubpb.RouteTable
	peers       *broadcaster
	refreshedAt time.Time
	startedAt   time.Time
}

func newCore(options *Options) *core {
	return &core{
		options: options, roster: roster.New(), sessions: map[*session]bool{}, entries: map[string]time.Time{},
		scheduler: schedule.New(), peers: newSpreader(options), table: &hubpb.RouteTable{}, startedAt: time.Now(),
	}
}

// message is handled by the goroutine that owns the core.
type message interface {
	handle(c *core, now time.Time)
}

type serversAnnounced struct {
	servers []roster.Server
	// local is set for an announcement that a server sent to this VM.
	local   bool
	entries []string
	reply   chan struct{}
}

func (m serversAnnounced) handle(c *core, now time.Time) {
	for _, entry := range m.entries {
		c.entries[entry] = now
	}
	for _, server := range m.servers {
		c.announce(server, now, m.local)
	}
	close(m.reply)
}

type serverDeregistered struct {
	id    string
	reply chan struct{}
}

func (m serverDeregistered) handle(c *core, now time.Time) {
	if server, found := c.roster.MarkGone(m.id, now); found {
		c.changed(server, now, true)
	}
	close(m.reply)
}

type entryAttached struct {
	session *session
	frame   *hubpb.EntryFrame
}

func (m entryAttached) handle(c *core, now time.Time) {
	s := m.session
	c.supersede(s)
	c.sessions[s] = true
	c.entries[s.vm] = now
	for _, server := range serversFromProto(m.frame.GetHello().GetServers(), now) {
		c.announce(server, now, false)
	}
	frame := s.pending()
	for _, server := range c.roster.All() {
		frame.Servers = append(frame.Servers, serverToProto(server, now))
	}
	if c.table.GetVersion() > s.tableVersion {
		frame.Table = c.table
		s.tableVersion = c.table.GetVersion()
	}
	running := m.frame.GetHello().GetRunning()
	ids := make(map[schedule.JobID]bool, len(running))
	for _, job := range running {
		ids[schedule.JobID{VM: s.incarnation, Seq: job.GetAsk().GetId()}] = true
	}
	c.scheduler.FinishAll(now, s.incarnation, ids)
	c.adopt(s, running, now)
	c.showView(s, now)
	observe.Log(c.options.Logger, observe.EntryAttached).Str("entry_vm", s.vm).
		Uint64("table_version", s.tableVersion).Int("running", len(m.frame.GetHello().GetRunning())).Send()
}

// supersede drops older sessions of an entry VM: their connections are dead,
// even where this VM has not noticed yet.
func (c *core) supersede(by *session) {
	for old := range c.sessions {
		if old.incarnation == by.incarnation {
			delete(c.sessions, old)
			old.drop()
		}
	}
}

// adopt takes over requests that were placed by another scheduler.
func (c *core) adopt(s *session, running []*hubpb.RunningJob, now time.Time) {
	for _, job := range running {
		ask := askFromProto(job.GetAsk(), s, now)
		c.scheduler.Adopt(now, ask, placementFromProto(job.GetPlacement(), s.incarnation), job.GetWriting())
	}
}

type entryDetached struct{ session *session }

func (m entryDetached) handle(c *core, now time.Time) {
	if !c.sessions[m.session] {
		return
	}
	delete(c.sessions, m.session)
	c.scheduler.FinishAll(now, m.session.incarnation, nil)
	observe.Log(c.options.Logger, observe.EntryDetached).Str("entry_vm", m.session.vm).Send()
}

type entryFrameReceived struct {
	session *session
	frame   *hubpb.EntryFrame
}

func (m entryFrameReceived) handle(c *core, now time.Time) {
	if !c.sessions[m.session] {
		return
	}
	c.entries[m.session.vm] = now
	c.adopt(m.session, m.frame.GetRunning(), now)
	for _, progress := range m.frame.GetProgress() {
		id := schedule.JobID{VM: m.session.incarnation, Seq: progress.GetId()}
		if progress.GetKind() == hubpb.ProgressKind_PROGRESS_STARTED {
			c.scheduler.MarkStarted(now, id)
			continue
		}
		c.scheduler.Finish(now, id, endFromProto(progress.GetKind()))
	}
	if len(m.frame.GetAsks()) > 0 {
		m.session.pending() // an answer, even an empty one, shows that this VM works
	}
	for _, ask := range m.frame.GetAsks() {
		c.scheduler.Enqueue(now, askFromProto(ask, m.session, now))
	}
}

func (c *core) announce(server roster.Server, now time.Time, local bool) {
	if c.roster.Apply(server) {
		c.changed(server, now, local)
		return
	}
	if known, found := c.roster.Find(server.ID); found && local {
		c.peers.add(known, false)
		c.setServer(known, now)
	}
}

// changed tells everyone of a server whose state is new.
func (c *core) changed(server roster.Server, now time.Time, local bool) {
	observe.Log(c.options.Logger, observe.ServerChanged).Str("server", server.ID).Str("service", server.Service).
		Str("address", server.Address).Str("state", server.State.String()).Uint64("sequence", server.Sequence).
		Dur("age", now.Sub(server.LastSeen)).Send()
	for _, known := range c.roster.All() {
		if known.Address == server.Address || known.ID == server.ID {
			c.setServer(known, now)
		}
	}
	for s := range c.sessions {
		frame := s.pending()
		frame.Servers = append(frame.Servers, serverToProto(server, now))
	}
	if local {
		c.peers.add(server, true)
	}
}

// setServer brings the scheduler's view of a server up to date.
func (c *core) setServer(server roster.Server, now time.Time) {
	if server.State == roster.StateGone {
		c.scheduler.RemoveServer(server.ID)
		return
	}
	c.scheduler.SetServer(now, schedule.Server{
		ID: server.ID, Service: server.Service, Zone: server.Zone, Slots: server.Slots, ColdUntil: server.ColdUntil,
		AcceptsNew: server.State == roster.StateReady && now.Sub(server.LastSeen) < c.options.UnresponsiveAfter,
	})
}

// takeTable takes the route table that the control group applied last.
func (c *core) takeTable(now time.Time) {
	newest := c.options.Registry.Routes()
	if newest.Version <= c.table.GetVersion() {
		return
	}
	content, err := bundle.Decompress(newest.Compressed, nil)
	if err != nil {
		observe.Log(c.options.Logger, observe.RoutesUnreadable).Uint64("version", newest.Version).Err(err).Send()
		return
	}
	table, err := c.options.Decode(content)
	if err != nil {
		observe.Log(c.options.Logger, observe.RoutesUnreadable).Uint64("version", newest.Version).Err(err).Send()
		return
	}
	c.table = &hubpb.RouteTable{Version: newest.Version, Content: newest.Compressed}
	c.scheduler.SetEngines(table)
	for s := range c.sessions {
		s.pending().Table = c.table
		s.tableVersion = newest.Version
	}
	observe.Log(c.options.Logger, observe.RoutesApplied).Uint64("version", newest.Version).Int("routes", len(table.Routes)).Send()
	_ = now
}

// tick lets time pass: silent servers, the leader, forgotten entry VMs.
func (c *core) tick(now time.Time) {
	c.followLeader(now)
	c.roster.Evict(now, c.options.ExpireAfter)
	for _, server := range c.roster.All() {
		if now.Sub(server.LastSeen) >= c.options.UnresponsiveAfter {
			c.setServer(server, now)
		}
	}
	for entry, heard := range c.entries {
		if now.Sub(heard) > entryForget {
			delete(c.entries, entry)
		}
	}
	refresh := now.Sub(c.refreshedAt) >= refreshInterval
	if refresh {
		c.refreshedAt = now
	}
	for s := range c.sessions {
		c.entries[s.vm] = now
		if refresh {
			c.refresh(s, now)
		}
		if now.Sub(s.viewedAt) >= viewInterval {
			c.showView(s, now)
		}
	}
	c.peers.tick(now, c.sessions)
	c.report(now)
}

// report logs the scheduler's load while it has any.
func (c *core) report(now time.Time) {
	if !c.leading || now.Sub(c.reportedAt) < reportInterval || c.scheduler.Placed()+c.scheduler.Queued() == 0 {
		return
	}
	c.reportedAt = now
	load := c.scheduler.Load(now)
	c.options.Metrics.Gauge("godwityoke_scheduler_waiting").Update(int64(load.Queued))
	c.options.Metrics.Gauge("godwityoke_scheduler_placed").Update(int64(load.Placed))
	c.options.Metrics.Gauge("godwityoke_scheduler_slots").Update(int64(load.Slots))
	c.options.Metrics.Gauge("godwityoke_scheduler_servers_out").Update(int64(load.Unavailable))
	observe.Log(c.options.Logger, observe.SchedulerLoad).Int("entry_vms", len(c.sessions)).Int("servers", load.Servers).
		Int("out", load.Unavailable).Int("waiting", load.Queued).Int("late_waiting", load.QueuedLate).Int("placed", load.Placed).
		Int("slots", load.Slots).Dur("longest_pass", load.MaxPassRemaining).Float64("slowest_pace", load.MaxSlowdown).Send()
}

// refresh tells an entry VM which servers still announce themselves.
func (c *core) refresh(s *session, now time.Time) {
	frame := s.pending()
	for _, server := range c.roster.All() {
		if server.State != roster.StateGone {
			frame.Servers = append(frame.Servers, serverToProto(server, now))
		}
	}
}

// followLeader notes who leads. A VM that begins to lead places requests with
// what entry VMs tell it of their running ones when they attach.
func (c *core) followLeader(now time.Time) {
	leading, leader, term := false, "", c.term
	if group := c.options.Group(); group != nil {
		leadership := group.Leadership()
		leading, leader = leadership.IsLeader, leadership.LeaderName
		term = leadership.Term
		c.peers.setPeers(group.MemberAddresses())
	}
	if leading == c.leading && leader == c.leader && term == c.term {
		return
	}
	c.leading, c.leader, c.term = leading, leader, term
	observe.Log(c.options.Logger, observe.SchedulerChanged).Bool("here", leading).Str("leader", leader).Send()
	for s := range c.sessions {
		c.showView(s, now)
	}
}

// showView tells an entry VM how this VM sees the system.
func (c *core) showView(s *session, now time.Time) {
	s.pending().View, s.viewedAt = c.view(now), now
}

// view is how this VM sees the system. It counts no entry VMs until all had the
// time to be heard of after a start.
func (c *core) view(now time.Time) *hubpb.View {
	view := &hubpb.View{Leader: c.leader, Term: c.term, Schedules: c.leading}
	if now.Sub(c.startedAt) >= countAfter {
		view.EntryVms = uint32(max(1, len(c.entries)))
	}
	if group := c.options.Group(); group != nil {
		view.Control = group.MemberAddresses()
	}
	return view
}

// decide places waiting requests and returns when it is due again.
func (c *core) decide(now time.Time) time.Time {
	byVM := map[uint64]*session{}
	for s := range c.sessions {
		byVM[s.incarnation] = s
	}
	for _, placement := range c.scheduler.Decide(now) {
		s := byVM[placement.ID.VM]
		if s == nil {
			c.scheduler.Finish(now, placement.ID, schedule.OutcomeDone)
			continue
		}
		frame := s.pending()
		frame.Placements = append(frame.Placements, placementToProto(placement))
	}
	return c.scheduler.NextDecisionAt(now)
}

// flush sends what was collected. An entry VM that does not take its frames is
// dropped and attaches again.
func (c *core) flush(now time.Time) {
	for s := range c.sessions {
		if s.frame == nil {
			continue
		}
		select {
		case s.outbox <- s.frame:
			s.frame, s.sentAt = nil, now
		default:
			s.drop()
		}
	}
	c.peers.flush()
}

func (c *core) close() {
	for s := range c.sessions {
		s.drop()
	}
	c.peers.close()
}
