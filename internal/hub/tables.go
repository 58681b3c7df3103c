package hub

import (
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

func serviceNames(table *routes.Table) map[string]bool {
	names := make(map[string]bool, len(table.Services))
	for i := range table.Services {
		names[table.Services[i].Name] = true
	}
	return names
}

// applyTable uses the newest route table of the registry.
func (c *core) applyTable(now time.Time) { c.useTable(storedTable(c.options.Registry), "log", now) }

// useTable uses a route table from the given source for the decisions of this VM if it is newer
// than the current one, and puts it in force.
func (c *core) useTable(newest *hubpb.RouteTable, source string, now time.Time) {
	if tableRevision(newest) <= tableRevision(c.newest) || newest.GetVersion() != c.newest.GetVersion() && !c.useRoutes(newest, now) {
		return
	}
	c.newest = newest
	c.applyEvacuations(source, now)
	c.spreadTable(now)
}

// useRoutes uses the document of a route table for the decisions of this VM, unless it can't be
// read.
func (c *core) useRoutes(newest *hubpb.RouteTable, now time.Time) bool {
	content, err := bundle.Decompress(newest.GetContent(), nil)
	var table *routes.Table
	if err == nil {
		table, err = c.options.Decode(content)
	}
	if err != nil {
		observe.Log(c.options.Logger, observe.RoutesUnreadable).Uint64("version", newest.GetVersion()).Err(err).Send()
		return false
	}
	c.scheduler.SetEngines(now, table)
	c.roster.SetServices(serviceNames(table))
	withTable(observe.Log(c.options.Logger, observe.RoutesApplied), newest).Int("routes", len(table.Routes)).
		Strs("ignored", table.Ignored).Uint64("term", c.term).Bool("confirmed", c.tableConfirmed).Send()
	return true
}

// spreadTable sends the newest route table to the entry VMs, unless it may be outdated.
func (c *core) spreadTable(now time.Time) {
	if !c.tableConfirmed || tableRevision(c.newest) <= tableRevision(c.table) {
		return
	}
	c.table, c.tableSince = c.newest, now
	if !c.doubt.isActive() {
		c.tableVersion.Store(tableRevision(c.table))
	}
	for s := range c.sessions {
		c.sendTable(s)
	}
	for f := range c.forwarders {
		f.pending() // names the version
	}
}

// sendTable sends the route table in force to an entry VM, unless that has it or it may be outdated.
func (c *core) sendTable(s *session) {
	if tableRevision(c.table) > s.tableVersion && !c.doubt.isActive() {
		s.pending().Table = c.table
		s.tableVersion = tableRevision(c.table)
	}
}

// tableConfirmed is the newest route table as the leader has read it since the start of this VM.
// Before that, the registry may hold a snapshot from before other VMs accepted newer tables.
type tableConfirmed struct{ table *hubpb.RouteTable }

func (m tableConfirmed) handle(c *core, now time.Time) {
	withTable(observe.Log(c.options.Logger, observe.TableConfirmed), m.table).
		Uint64("own_version", c.newest.GetVersion()).Uint64("term", c.term).Dur("after", now.Sub(c.startedAt)).Send()
	c.tableConfirmed = true
	c.useTable(m.table, "leader", now)
	c.spreadTable(now)
}
