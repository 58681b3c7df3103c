package hub

import (
	"context"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
)

// tableLagLimit is how long the log may take to bring a route table that the leader has in
// force: a few round trips and disk writes. It is also the least time between two reads
// through the leader.
const tableLagLimit = 300 * time.Millisecond

// tableLag tells whether the log of a control VM that follows the leader brings route tables in
// time. It does not if the VM's disk takes no writes, for example.
type tableLag struct {
	// awaited is a version that the leader had in force at awaitedSince and this VM had not. While the leader does not answer,
	// awaitedSince is when it last did.
	awaited      uint64
	awaitedSince time.Time
	// fetching is set while the newest table is being read, which last began at fetchedAt.
	fetching  bool
	fetchedAt time.Time
}

// update records the versions of the leader and of this VM, and reports whether the newest
// table must be read through the leader now.
func (l *tableLag) update(leader, own uint64, now time.Time) (fetch bool) {
	if leader <= own {
		l.awaited = 0
		return false
	}
	if l.awaited <= own {
		l.awaited, l.awaitedSince = leader, now
	}
	return !l.fetching && now.Sub(l.awaitedSince) >= tableLagLimit && now.Sub(l.fetchedAt) >= tableLagLimit
}

// checkTableLag has a newer route table read if the log doesn't bring it: the newest one through the leader, or while the leader
// does not answer, the one that another control VM has in force.
func (c *core) checkTableLag(now time.Time) {
	u := c.upstream
	switch {
	case u == nil || c.tableLag.fetching:
	case u.answered:
		if c.tableLag.update(u.tableVersion, c.newest.GetVersion(), now) {
			c.startTableFetch(u.address, &hubpb.GetRoutesRequest{}, now)
		}
	case now.Sub(u.lastReplyAt) >= upstreamTimeout && now.Sub(c.tableLag.fetchedAt) >= tableLagLimit:
		if other := c.otherControlVM(u.address); other != "" {
			c.tableLag.awaitedSince = u.lastReplyAt
			c.startTableFetch(other, &hubpb.GetRoutesRequest{InForce: true, KnownVersion: c.newest.GetVersion()}, now)
		}
	}
}

// otherControlVM returns a random member of the control group but this VM and the leader, empty if there is none.
func (c *core) otherControlVM(leader string) string {
	group := c.options.Group()
	if group == nil {
		return ""
	}
	var others []string
	for _, address := range group.MemberAddresses() {
		if address != c.options.Address && address != leader {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
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

func (m tableRequested) handle(c *core, _ time.Time) { m.reply <- c.table }

// tableInForce returns the route table that this VM hands out to entry VMs, with version 0 if there is none, and without its
// document if it is not newer than the known version.
func (h *Hub) tableInForce(ctx context.Context, known uint64) (*hubpb.GetRoutesReply, error) {
	m := tableRequested{reply: make(chan *hubpb.RouteTable, 1)}
	if err := h.send(ctx, m); err != nil {
		return nil, err
	}
	select {
	case table := <-m.reply:
		if table.GetVersion() <= known {
			table = &hubpb.RouteTable{Version: table.GetVersion()}
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
	if m.inForce && m.err == nil && (m.table.GetVersion() == 0 || c.tableConfirmed && m.table.GetVersion() <= c.newest.GetVersion()) {
		return
	}
	observe.Log(c.options.Logger, observe.TableFetched).Str("leader", c.leader).Str("from", m.address).Uint64("version", m.table.GetVersion()).
		Uint64("own_version", c.newest.GetVersion()).Dur("behind", now.Sub(c.tableLag.awaitedSince)).Uint64("term", c.term).Err(m.err).Send()
	if m.err != nil {
		return
	}
	c.tableConfirmed = true
	c.useTable(m.table, now)
	c.spreadTable(now)
}
