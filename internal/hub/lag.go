package hub

import (
	"context"
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
	// awaited is a version that the leader had in force at awaitedSince and this VM had not.
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

// checkTableLag has the newest route table read through the leader if the log doesn't bring it.
func (c *core) checkTableLag(now time.Time) {
	u := c.upstream
	if u == nil || !u.answered || !c.tableLag.update(u.tableVersion, c.newest.GetVersion(), now) {
		return
	}
	c.tableLag.fetching, c.tableLag.fetchedAt = true, now
	options, address, post := c.options, u.address, c.post
	go func() {
		table, err := fetchTable(options, address)
		_ = post(context.Background(), tableFetched{address: address, table: table, err: err})
	}()
}

// fetchTable reads the newest route table through the leader at address.
func fetchTable(options *Options, address string) (*hubpb.RouteTable, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	conn, err := options.Pool.Conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := hubpb.NewHubClient(conn).GetRoutes(ctx, &hubpb.GetRoutesRequest{})
	return reply.GetTable(), err
}

// tableFetched reports the end of a read of the newest route table through the leader at address.
type tableFetched struct {
	address string
	table   *hubpb.RouteTable
	err     error
}

func (m tableFetched) handle(c *core, now time.Time) {
	c.tableLag.fetching = false
	observe.Log(c.options.Logger, observe.TableFetched).Str("leader", m.address).Uint64("version", m.table.GetVersion()).
		Uint64("own_version", c.newest.GetVersion()).Dur("behind", now.Sub(c.tableLag.awaitedSince)).Uint64("term", c.term).Err(m.err).Send()
	if m.err != nil {
		return
	}
	c.tableConfirmed = true
	c.useTable(m.table, now)
	c.spreadTable(now)
}
