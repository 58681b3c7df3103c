package hub

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// core is the state of a hub. Only the goroutine in Run uses it.
type core struct {
	options  *Options
	roster   *roster.Roster
	sessions map[*session]bool
	// entryLastSeen holds when each entry VM was last seen, attached to this
	// control VM or to another one.
	entryLastSeen map[string]time.Time
	// relays holds the relays of the entry VMs in entryLastSeen.
	relays    *relayList
	scheduler *schedule.Scheduler
	// isLeader is set while this VM leads the control group and places requests.
	isLeader bool
	// leader is the internal address of the leader, empty if it is unknown.
	leader         string
	term           uint64
	loadReportedAt time.Time
	// table is the route table in force since tableSince, which entry VMs get, with version 0
	// before the first one.
	table      *hubpb.RouteTable
	tableSince time.Time
	// tableVersion is the revision of table, 0 while that is in doubt. Other goroutines read it.
	tableVersion atomic.Uint64
	// newest is the newest route table that this VM knows. It may be outdated until
	// tableConfirmed is set.
	newest         *hubpb.RouteTable
	tableConfirmed bool
	// evacuations are those of newest.
	evacuations  evacuations
	tableLag     tableLag
	doubt        tableDoubt
	peers        *broadcaster
	refusalLines *rate.Limiter
	refusals     schedule.Refusals // as of the last report
	// departuresRevision is that of the departures of the registry that were last applied.
	departuresRevision uint64
	// serverList holds the announcements of all servers as of serverListAt, nil after a change.
	serverList   []*hubpb.Announcement
	serverListAt time.Time
	// serversSentAt is when all servers were last sent to the entry VMs.
	serversSentAt time.Time
	startedAt     time.Time
	// post queues a message for Run.
	post func(context.Context, message) error
	// schedulesAll is set while this VM's scheduler places the requests of all entry VMs:
	// while it leads, and then until another leader is known.
	schedulesAll bool
	// waiting holds the placement requests of attached entry VMs without an answer.
	waiting map[schedule.JobID]*waitingRequest
	// upstream is the stream to the leader, nil while there is none.
	upstream *upstream
	// forwarders holds the streams of other control VMs, remotes their entry VMs by session.
	forwarders map[*forwarder]bool
	remotes    map[uint64]*remoteVM
	// controls holds the other control VMs that sent a message lately, by internal address.
	controls map[string]controlVM
	// leaderSeenAt is when this VM first knew a leader since its start, zero before.
	leaderSeenAt time.Time
	demand       allDemand
	// evidence is passed on between VMs; this VM itself stops no request.
	evidence *quarantine.Tracker
	// limits holds the limits of backend servers.
	limits *serverstate.Limits
	// coldServers is the last value of the metric of cold servers.
	coldServers int
	// quarantined holds what was logged as quarantined.
	quarantined map[quarantine.Subject]bool
}

func newCore(options *Options) *core {
	c := &core{
		options: options, roster: roster.New(), sessions: map[*session]bool{}, entryLastSeen: map[string]time.Time{}, relays: newRelayList(),
		scheduler: schedule.New(), table: &hubpb.RouteTable{}, newest: &hubpb.RouteTable{}, startedAt: time.Now(),
		evidence: quarantine.NewTracker(), limits: serverstate.NewLimits(), waiting: map[schedule.JobID]*waitingRequest{}, forwarders: map[*forwarder]bool{},
		remotes: map[uint64]*remoteVM{}, controls: map[string]controlVM{},
		refusalLines: rate.NewLimiter(refusalLinesPerSecond, refusalLinesBurst),
	}
	c.peers = newBroadcaster(options, func(m peerTableVersion) { _ = c.post(context.Background(), m) })
	c.scheduler.SetWarmUpBounds(options.WarmUpBounds)
	c.scheduler.SetWarmUpShare(time.Now(), 0, false, 0) // until the members are known
	c.roster.SetServices(map[string]bool{})             // until a table is known
	return c
}

// message is an event that the goroutine in Run applies to the core.
type message interface {
	handle(c *core, now time.Time)
}

// tick does the periodic work: it follows the leader, takes unresponsive servers
// out of scheduling, expires servers and entry VMs, and queues periodic frames.
func (c *core) tick(now time.Time) {
	c.updateLeadership(now)
	c.measureDemand(now)
	c.checkSuspension(now)
	if len(c.roster.Evict(now, c.options.ExpireAfter)) > 0 {
		c.serverList = nil
	}
	c.roster.Each(func(server roster.Server) {
		if now.Sub(server.LastSeen) >= c.options.UnresponsiveAfter {
			c.setServer(server, now)
		}
	})
	for entry, lastSeen := range c.entryLastSeen {
		if now.Sub(lastSeen) > entryExpiry {
			delete(c.entryLastSeen, entry)
			c.relays.expire(entry)
		}
	}
	refresh := now.Sub(c.serversSentAt) >= refreshInterval
	if refresh {
		c.serversSentAt = now
		c.evidence.Expire(now)
		quarantined := c.evidence.AllQuarantined(now)
		c.logQuarantined(quarantined)
		c.spreadEvidence(quarantined, now)
		c.limits.Sweep(now, c.roster.Find)
		c.peers.addLimits(false, c.limits.All()...)
	}
	for s := range c.sessions {
		c.entryLastSeen[s.vm] = now
		if refresh {
			c.sendServers(s, now)
		}
		if now.Sub(s.viewSentAt) >= viewInterval {
			c.sendView(s, now)
		}
	}
	c.sendRelays(now)
	c.peers.tick(now, c.sessions, c.leader != "", tableRevision(c.table), c.doubt.isActive())
	c.expireControls(now)
	c.expireRemotes(now)
	c.followLeader(now)
	c.checkUpstream(now)
	c.checkTableLag(now)
	c.reportLoad(now)
	c.reportWarmUps(now)
}

// reportLoad logs the scheduler's load and updates its metrics. It does so on the
// leader only, every reportInterval while requests are placed or queued.
func (c *core) reportLoad(now time.Time) {
	if !c.isLeader || now.Sub(c.loadReportedAt) < reportInterval || c.scheduler.Placed()+c.scheduler.Queued() == 0 {
		return
	}
	c.loadReportedAt = now
	load := c.scheduler.Load(now)
	c.options.Metrics.Gauge("godwityoke_scheduler_waiting").Update(int64(load.Queued))
	c.options.Metrics.Gauge("godwityoke_scheduler_placed").Update(int64(load.Placed))
	c.options.Metrics.Gauge("godwityoke_scheduler_slots").Update(int64(load.Slots))
	c.options.Metrics.Gauge("godwityoke_scheduler_servers_out").Update(int64(load.Unavailable))
	c.options.Metrics.Gauge("godwityoke_lossy_paths").Update(int64(c.scheduler.LossyPaths()))
	c.reportRefusals()
	observe.Log(c.options.Logger, observe.SchedulerLoad).Int("entry_vms", len(c.sessions)+len(c.remotes)).Int("servers", load.Servers).
		Int("out", load.Unavailable).Int("waiting", load.Queued).Int("late_waiting", load.QueuedLate).Int("placed", load.Placed).
		Int("slots", load.Slots).Dur("longest_pass", load.MaxPassRemaining).Float64("slowest_pace", load.MaxSlowdown).Send()
}

// updateLeadership updates the leadership and the peers from the control group. A
// VM that begins to lead learns of the running requests from the entry VMs when
// they attach to it.
func (c *core) updateLeadership(now time.Time) {
	leading, leader, term := false, "", c.term
	if group := c.options.Group(); group != nil {
		leadership := group.Leadership()
		leading, leader = leadership.IsLeader, leadership.LeaderName
		term = leadership.Term
		if c.peers.setPeers(group.MemberAddresses()) {
			c.peers.addEvidence(c.evidence.All())
			c.peers.addLimits(false, c.limits.All()...)
		}
	}
	if leading == c.isLeader && leader == c.leader && term == c.term {
		return
	}
	c.isLeader, c.leader, c.term = leading, leader, term
	if leader != "" && c.leaderSeenAt.IsZero() {
		c.leaderSeenAt = now
	}
	c.followLeader(now)
	observe.Log(c.options.Logger, observe.SchedulerChanged).Bool("here", leading).Str("leader", leader).Send()
	for s := range c.sessions {
		c.sendView(s, now)
	}
}

// sendView sends the view of this control VM to an entry VM. Relays that wait in the
// pending frame stay in it.
func (c *core) sendView(s *session, now time.Time) {
	view, waiting := c.view(now), s.pending().GetView()
	view.Preferred = c.betterFor(s, now)
	view.Relays, view.HasRelays = waiting.GetRelays(), waiting.GetHasRelays()
	s.pending().View, s.viewSentAt = view, now
	c.addRelays(s)
}

// view returns this control VM's view of the system. The number of entry VMs is 0
// (unknown) until entryCountDelay has passed since the start.
func (c *core) view(now time.Time) *hubpb.View {
	view := &hubpb.View{Leader: c.leader, Term: c.term, Schedules: c.isLeader, Forwards: c.canForward(), SlotsInUse: c.slotsInUse()}
	if now.Sub(c.startedAt) >= entryCountDelay {
		view.EntryVms = uint32(max(1, len(c.entryLastSeen)))
	}
	if group := c.options.Group(); group != nil {
		view.Control = group.MemberAddresses()
	}
	return view
}

// decide places queued requests and returns when it must be called again, zero if
// none is queued. Placements of detached entry VMs are released at once.
func (c *core) decide(now time.Time) time.Time {
	c.reportStarts()
	c.reportSlowdowns()
	placements := c.scheduler.Decide(now)
	changes := c.scheduler.TakeCredibilityChanges()
	if len(placements)+len(changes) == 0 {
		return c.scheduler.NextDecisionAt(now)
	}
	byVM := c.sessionsByID()
	for _, placement := range placements {
		if s := byVM[placement.ID.VM]; s != nil {
			c.deliver(s, placement, now)
			continue
		}
		if remote := c.remotes[placement.ID.VM]; remote != nil && remote.lostAt.IsZero() {
			remote.forwarder.place(placement)
			continue
		}
		c.scheduler.Finish(now, placement.ID, schedule.OutcomeUnused)
	}
	for _, change := range changes {
		if s := byVM[change.VM]; s != nil {
			logCredibility(c.options.Logger, s.vm, change)
		} else if remote := c.remotes[change.VM]; remote != nil {
			logCredibility(c.options.Logger, remote.name, change)
		}
	}
	return c.scheduler.NextDecisionAt(now)
}

// deliver passes a placement by this VM's scheduler on to an attached entry VM. The leader
// is told if it does not place the requests of all entry VMs.
func (c *core) deliver(s *session, placement schedule.Placement, now time.Time) {
	message := placementToProto(placement)
	s.pending().Placements = append(s.pending().Placements, message)
	w := c.waiting[placement.ID]
	delete(c.waiting, placement.ID)
	switch {
	case c.schedulesAll || w == nil:
	case placement.Server != "":
		c.forwardPlaced(s, &hubpb.RunningJob{Ask: requestToProto(w.request, now), Placement: message})
	case w.sent:
		c.forwardProgress(s, placement.ID, hubpb.ProgressKind_PROGRESS_UNUSED)
	}
}

// logCredibility logs whether the reports of an entry VM on backend servers count for
// other VMs.
func logCredibility(logger zerolog.Logger, vm string, change schedule.CredibilityChange) {
	observe.Log(logger, observe.EntryCredibility).Str("entry_vm", vm).Bool("credible", change.Credible).
		Int("failing", change.Failing).Int("reached", change.Reached).Send()
}

// spreadEvidence queues evidence for all attached entry VMs and all other control VMs.
func (c *core) spreadEvidence(evidence []quarantine.Evidence, now time.Time) {
	if len(evidence) == 0 {
		return
	}
	messages := evidenceToProto(evidence, now)
	for s := range c.sessions {
		frame := s.pending()
		frame.Evidence = append(frame.Evidence, messages...)
	}
	c.peers.addEvidence(evidence)
}

// logQuarantined logs the parts and requests that were not quarantined at the last call.
func (c *core) logQuarantined(quarantined []quarantine.Evidence) {
	known := c.quarantined
	c.quarantined = make(map[quarantine.Subject]bool, len(quarantined))
	for _, e := range quarantined {
		c.quarantined[e.Subject] = true
		if !known[e.Subject] {
			event := observe.PartQuarantined
			if e.Subject.IsWholeRequest() {
				event = observe.RequestQuarantined
			}
			suspects, evicted := c.evidence.Stats()
			observe.Log(c.options.Logger, event).Stringer("subject", e.Subject).Int("crashes", len(e.Crashes)).
				Int("suspects", suspects).Int("evicted", evicted).Send()
		}
	}
}

// flush sends the collected frames, with the evidence that has changed. A session whose outbox is full is ended; its
// entry VM attaches again.
func (c *core) flush(now time.Time) {
	c.spreadEvidence(c.evidence.TakeChanges(), now)
	for s := range c.sessions {
		if s.frame == nil {
			continue
		}
		select {
		case s.outbox <- s.frame:
			s.frame, s.sentAt = nil, now
		default:
			s.drop(errOutboxFull)
		}
	}
	c.upstream.flush(now)
	for f := range c.forwarders {
		f.flush(now, tableRevision(c.table), c.slotsInUse())
	}
	c.peers.flush()
}

func (c *core) close() {
	for s := range c.sessions {
		s.drop(errStopping)
	}
	c.closeUpstream()
	for f := range c.forwarders {
		f.drop(errStopping)
	}
	c.peers.close()
}
