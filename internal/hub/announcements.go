package hub

import (
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// Lines about refused announcements are limited to refusalLinesPerSecond, with bursts of
// refusalLinesBurst.
const (
	refusalLinesPerSecond = 1
	refusalLinesBurst     = 5
)

// serversAnnounced are announcements of backend servers, sent by a server itself
// or by another control VM.
type serversAnnounced struct {
	servers []roster.Server
	// local is set for an announcement that a server sent to this VM.
	local bool
	// entries lists the entry VMs that are attached to the sending control VM.
	entries []string
	// relays are those of entry VMs that are attached to the sending control VM.
	relays []Relay
	// evidence is that of the sending control VM on crashes, limits what it knows of limits of backend servers.
	evidence []quarantine.Evidence
	limits   []serverstate.Limit
	// sender is the internal address of the sending control VM, empty for a server.
	sender  string
	control controlVM
	// tableVersion is the revision of the route table that the sending control VM hands out, 0 for none.
	tableVersion uint64
	// reply is closed when the announcements are applied.
	reply chan struct{}
}

func (m serversAnnounced) handle(c *core, now time.Time) {
	if m.sender != "" {
		m.control.seenAt = now
		if known := c.controls[m.sender]; len(m.entries) > 0 {
			m.control.entries, m.control.entriesAt = len(m.entries), now
		} else {
			m.control.entries, m.control.entriesAt = known.entries, known.entriesAt
		}
		c.controls[m.sender] = m.control
		c.tableLag.record(m.sender, m.tableVersion)
	}
	for _, entry := range m.entries {
		c.entryLastSeen[entry] = now
	}
	for _, relay := range m.relays {
		c.entryLastSeen[relay.VM] = now
		c.relays.setRemote(relay)
	}
	for _, server := range m.servers {
		c.applyAnnouncement(server, now, m.local)
	}
	c.applyLimits(m.limits, "", now)
	c.evidence.Merge(now, m.evidence)
	recordAnnouncements(c.evidence, m.servers)
	close(m.reply)
}

// serverDeregistered marks a backend server as gone.
type serverDeregistered struct {
	id        string
	startedAt time.Time
	// reply gets the entry of the server, see roster.Roster.MarkGone. It has a capacity of one.
	reply chan roster.Server
}

func (m serverDeregistered) handle(c *core, now time.Time) {
	server, changed := c.roster.MarkGone(m.id, m.startedAt, now)
	if changed {
		c.propagateChange(server, now, true)
	}
	m.reply <- server
}

// applyDepartures applies the departures in the registry, which outlive a restart.
func (c *core) applyDepartures(now time.Time) {
	revision, departures := c.options.Registry.Departures()
	if revision == c.departuresRevision {
		return
	}
	c.departuresRevision = revision
	for _, departure := range departures {
		server := serverFromDeparture(departure)
		if now.Sub(server.LastSeen) <= roster.GoneRetention && server.Check(now) == nil {
			c.applyAnnouncement(server, now, false)
		}
	}
}

// allServers returns the announcements of all servers. The result is shared by the frames of
// a few entry VMs and must not be changed.
func (c *core) allServers(now time.Time) []*hubpb.Announcement {
	if c.serverList == nil || now.Sub(c.serverListAt) >= tickInterval {
		all := c.roster.All()
		c.serverList, c.serverListAt = make([]*hubpb.Announcement, 0, len(all)), now
		for _, server := range all {
			c.serverList = append(c.serverList, serverToProto(server, now))
		}
	}
	return slices.Clip(c.serverList)
}

// applyAnnouncement applies an announcement to the roster. A change goes to all
// entry VMs. An unchanged announcement that a server sent to this VM is only
// sent to the other control VMs, as a heartbeat of the server.
func (c *core) applyAnnouncement(server roster.Server, now time.Time, local bool) {
	if c.applyToRoster(server, now) {
		applied, _ := c.roster.Find(server.ID)
		c.propagateChange(applied, now, local)
		return
	}
	if known, found := c.roster.Find(server.ID); found && local {
		c.peers.add(known, false)
		c.setServer(known, now)
	}
}

// applyReport applies what an entry VM knows of a server. That it is draining goes to
// the other control VMs, too, since only that entry VM may know it, from an answer.
func (c *core) applyReport(server roster.Server, now time.Time) {
	if c.applyToRoster(server, now) {
		applied, _ := c.roster.Find(server.ID)
		c.propagateChange(applied, now, applied.State == roster.StateDraining)
	}
}

// applyToRoster applies an announcement from any source to the roster, and logs one that is
// refused.
func (c *core) applyToRoster(server roster.Server, now time.Time) (changed bool) {
	known, _ := c.roster.Find(server.ID)
	changed = c.roster.Apply(server)
	if applied, found := c.roster.Find(server.ID); found && !changed {
		changed = c.isNewlyCold(known, applied)
	}
	if refusal := c.roster.TakeRefusal(); refusal != nil && c.refusalLines.AllowN(now, 1) {
		observe.Log(c.options.Logger, observe.AnnouncementConflict).Str("server", refusal.Announced.ID).Str("service", refusal.Announced.Service).
			Str("address", refusal.Announced.Address).Str("known", refusal.Known.ID).Str("known_service", refusal.Known.Service).
			Uint64("table_version", c.newest.GetVersion()).Send()
	}
	return changed
}

// propagateChange sends the new state of a server to the scheduler, all entry VMs
// and, if the change was first seen here, to the other control VMs.
func (c *core) propagateChange(server roster.Server, now time.Time, local bool) {
	c.serverList = nil
	observe.Log(c.options.Logger, observe.ServerChanged).Str("server", server.ID).Str("service", server.Service).
		Str("address", server.Address).Str("state", server.State.String()).Uint64("sequence", server.Sequence).
		Dur("age", now.Sub(server.LastSeen)).Send()
	changes := append(c.roster.TakeDisplaced(), server)
	messages := make([]*hubpb.Announcement, 0, len(changes))
	for _, change := range changes {
		c.setServer(change, now)
		messages = append(messages, serverToProto(change, now))
		if local {
			c.peers.add(change, true)
		}
	}
	for s := range c.sessions {
		frame := s.pending()
		frame.Servers = append(frame.Servers, messages...)
	}
}

// setServer updates a server in the scheduler.
func (c *core) setServer(server roster.Server, now time.Time) {
	if server.State == roster.StateGone {
		c.scheduler.RemoveServer(server.ID)
		return
	}
	perSecond, limited := c.limits.Of(server)
	c.scheduler.SetServer(now, schedule.Server{
		Limited: limited, MaxPerSecond: perSecond,
		ID: server.ID, Service: server.Service, Zone: server.Zone, Slots: server.Slots, ColdUntil: server.ColdUntil, StartedAt: server.StartedAt,
		AcceptsNew:     server.State == roster.StateReady && now.Sub(server.LastSeen) < c.options.UnresponsiveAfter && !c.evacuations.has(server.Zone),
		EvacuatedSince: c.evacuations.zones[server.Zone],
	})
}

// sendServers sends all servers that are not gone to an entry VM.
func (c *core) sendServers(s *session, now time.Time) {
	frame := s.pending()
	for _, server := range c.allServers(now) {
		if server.GetState() != hubpb.ServerState_SERVER_GONE {
			frame.Servers = append(frame.Servers, server)
		}
	}
}
