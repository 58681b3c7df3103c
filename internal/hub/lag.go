package hub

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
)

// tableLagLimit is how long the log may take to bring a route table that another control VM has in force: a few round trips
// and disk writes. It is also the least time between two reads from other control VMs.
const tableLagLimit = 300 * time.Millisecond

// tableLag tells whether the log of a control VM brings route tables in time. It does not if the VM's disk takes no writes, if
// the VM is not in the group, or if it gets no messages of the leader, for example.
type tableLag struct {
	// Versions of tables are revisions here (see tableRevision).
	//
	// peerVersion is the newest version that another control VM has named as the one it hands out, and peerAddress the internal
	// address of the last one that named it.
	peerVersion uint64
	peerAddress string
	// awaited is a version that another control VM had in force at awaitedSince and this VM had not.
	awaited      uint64
	awaitedSince time.Time
	// fetching is set while the newest table is being read, which last began at fetchedAt.
	fetching  bool
	fetchedAt time.Time
}

// record records the version of the route table that the control VM at address hands out.
func (l *tableLag) record(address string, version uint64) {
	if version > 0 && version >= l.peerVersion {
		l.peerVersion, l.peerAddress = version, address
	}
}

// update records the newest version in force elsewhere and that of this VM, and reports whether the newest
// table must be read from another control VM now.
func (l *tableLag) update(newest, own uint64, now time.Time) (fetch bool) {
	if newest <= own {
		l.awaited = 0
		return false
	}
	if l.awaited <= own {
		l.awaited, l.awaitedSince = newest, now
	}
	return !l.fetching && now.Sub(l.awaitedSince) >= tableLagLimit && now.Sub(l.fetchedAt) >= tableLagLimit
}

// peerTableVersion is the version of the route table that the control VM at address hands out, 0 for none.
type peerTableVersion struct {
	address string
	version uint64
	// askedAt is when that control VM was asked.
	askedAt time.Time
}

func (m peerTableVersion) handle(c *core, now time.Time) {
	c.tableLag.record(m.address, m.version)
	if !c.doubt.isActive() || m.version == 0 || m.askedAt.Before(c.doubt.since) {
		return
	}
	switch {
	case m.version <= tableRevision(c.table):
		c.trustTable(now)
	case !c.tableLag.fetching:
		c.startTableFetch(m.address, &hubpb.GetRoutesRequest{InForce: true, KnownVersion: tableRevision(c.newest)}, now)
	}
}

// checkTableLag has a newer route table read if the log doesn't bring it: the newest one through the leader, or the one that
// another control VM has in force if that is newer than the leader is known to have.
func (c *core) checkTableLag(now time.Time) {
	leaderVersion := uint64(0)
	if c.upstream != nil && c.upstream.answered {
		leaderVersion = c.upstream.tableVersion
	}
	own := tableRevision(c.newest)
	if !c.tableConfirmed && c.isWithoutLeader(now) {
		own = min(own, tableRevision(c.table)) // what another control VM hands out has been confirmed
	}
	switch {
	case !c.tableLag.update(max(leaderVersion, c.tableLag.peerVersion), own, now):
	case leaderVersion >= c.tableLag.peerVersion:
		c.startTableFetch(c.upstream.address, &hubpb.GetRoutesRequest{}, now)
	default:
		c.startTableFetch(c.tableLag.peerAddress, &hubpb.GetRoutesRequest{InForce: true, KnownVersion: tableRevision(c.newest)}, now)
	}
}

// isWithoutLeader reports whether no leader has answered for upstreamTimeout.
func (c *core) isWithoutLeader(now time.Time) bool {
	if c.upstream != nil {
		return now.Sub(c.upstream.lastReplyAt) >= upstreamTimeout
	}
	return now.Sub(c.startedAt) >= upstreamTimeout
}

func (c *core) startTableFetch(address string, request *hubpb.GetRoutesRequest, now time.Time) {
	c.tableLag.fetching, c.tableLag.fetchedAt = true, now
	options, post := c.options, c.post
	go func() {
		table, err := fetchTable(options, address, request)
		_ = post(context.Background(), tableFetched{address: address, inForce: request.GetInForce(), table: table, err: err})
	}()
}

// fetchTable reads a route table from the control VM at address.
func fetchTable(options *Options, address string, request *hubpb.GetRoutesRequest) (*hubpb.RouteTable, error) {
	timeout := readTimeout
	if request.GetInForce() {
		timeout = tableLagLimit // it takes a round trip only
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := options.Pool.Conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := hubpb.NewHubClient(conn).GetRoutes(ctx, request)
	return reply.GetTable(), err
}

// tableRequested asks for the route table in force at this VM. The reply has a capacity of one.
type tableRequested struct{ reply chan *hubpb.RouteTable }

func (m tableRequested) handle(c *core, _ time.Time) {
	if c.doubt.isActive() {
		m.reply <- &hubpb.RouteTable{}
		return
	}
	m.reply <- c.table
}

// tableInForce returns the route table that this VM hands out to entry VMs, with version 0 if there is none, and without its
// document and evacuated zones if it is not newer than the known revision.
func (h *Hub) tableInForce(ctx context.Context, known uint64) (*hubpb.GetRoutesReply, error) {
	m := tableRequested{reply: make(chan *hubpb.RouteTable, 1)}
	if err := h.send(ctx, m); err != nil {
		return nil, err
	}
	select {
	case table := <-m.reply:
		if tableRevision(table) <= known {
			table = &hubpb.RouteTable{Version: table.GetVersion(), EvacuationsRevision: table.GetEvacuationsRevision()}
		}
		return &hubpb.GetRoutesReply{Table: table}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// tableFetched reports the end of a read of a route table from the control VM at address.
type tableFetched struct {
	address string
	// inForce is set if it is the one in force at a VM that does not lead, which need not be the newest.
	inForce bool
	table   *hubpb.RouteTable
	err     error
}

func (m tableFetched) handle(c *core, now time.Time) {
	c.tableLag.fetching = false
	if m.inForce && m.err == nil && (tableRevision(m.table) == 0 || c.tableConfirmed && tableRevision(m.table) <= tableRevision(c.newest)) {
		return
	}
	withTable(observe.Log(c.options.Logger, observe.TableFetched), m.table).Str("leader", c.leader).Str("from", m.address).
		Uint64("own_version", c.newest.GetVersion()).Dur("behind", now.Sub(c.tableLag.awaitedSince)).Uint64("term", c.term).Err(m.err).Send()
	if m.err != nil {
		return
	}
	c.tableConfirmed = true
	c.useTable(m.table, m.address, now)
	c.spreadTable(now)
	c.trustTable(now)
}
