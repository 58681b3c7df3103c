package hub

import (
	"context"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/routes"
)

const (
	// feedSilence is the time without a frame after which an entry VM reads the route table from other control VMs while it
	// waits for its own one. One frame is due in it, and half of the time until the next.
	feedSilence = 3 * viewInterval / 2
	// feedReadInterval is the least time between two reads, so that many entry VMs without a control VM ask seldom enough.
	feedReadInterval = 400 * time.Millisecond
	// feedReadTimeout bounds a read. It covers the connection setup, also where the control VMs asked first don't answer.
	feedReadTimeout = 600 * time.Millisecond
	// feedReadPeers is the number of control VMs without a newer table after whose answers a read ends.
	feedReadPeers = 2
	// freshTableTimeout bounds the wait of such a request for a table that is up to date. If no control VM answers within it,
	// this VM is cut off, and its table is the best that it can get.
	freshTableTimeout = feedReadTimeout
)

// tableFeed tells when route tables must be read from other control VMs, because the attached one is silent.
type tableFeed struct {
	reading bool
	readAt  time.Time
	// waiting are closed at the next frame or the end of the read in progress.
	waiting []chan struct{}
	// confirming are closed at the end of a read that began after the last long suspension.
	confirming []chan struct{}
}

// checkFeed reads the route table from other control VMs if the attached one has sent no frame for feedSilence.
func (s *linkState) checkFeed(now time.Time) {
	if s.link.isAttached() && now.Sub(s.lastFrameAt) >= feedSilence && now.Sub(s.feed.readAt) >= feedReadInterval {
		s.startTableRead(now)
	}
}

// startTableRead reads the route table from other control VMs than the attached one, unless a read is in progress. After a long
// suspension it may ask the attached one, too, whose frames may be from before. It does not wait for the answers.
func (s *linkState) startTableRead(now time.Time) {
	if s.feed.reading {
		return
	}
	s.feed.reading, s.feed.readAt = true, now
	attached := s.link.attachedTo()
	if s.link.suspension.isUnconfirmed(now) {
		attached = ""
	}
	go func() {
		answered := s.link.readTable(attached)
		_ = s.link.send(context.Background(), feedRead{answered: answered})
	}()
}

// feedRead reports the end of a read. answered is set if a control VM has answered.
type feedRead struct{ answered bool }

func (m feedRead) handle(s *linkState, now time.Time) {
	s.feed.reading = false
	s.feed.release()
	if m.answered {
		s.link.suspension.confirm(s.feed.readAt)
	}
	s.confirmEvacuations(now)
}

// release ends the waits of requests that the table does not allow.
func (f *tableFeed) release() {
	for _, waiting := range f.waiting {
		close(waiting)
	}
	f.waiting = nil
}

// freshTableWanted asks for a read of the route table. ended is closed at its end, or at the next frame.
type freshTableWanted struct{ ended chan struct{} }

func (m freshTableWanted) handle(s *linkState, now time.Time) {
	if !s.feed.reading && now.Sub(s.feed.readAt) < feedReadInterval {
		close(m.ended) // a read has ended lately
		return
	}
	s.feed.waiting = append(s.feed.waiting, m.ended)
	s.startTableRead(now)
}

// FreshTable returns the route table in force. If no control VM has sent a frame lately, it waits until one has, or others were
// asked for a newer table, for freshTableTimeout at most: callers do not repeat requests that are refused by the table.
func (l *Link) FreshTable(ctx context.Context) *routes.Table {
	if l.isFed(time.Now()) {
		return l.Table()
	}
	ctx, cancel := context.WithTimeout(ctx, freshTableTimeout)
	defer cancel()
	m := freshTableWanted{ended: make(chan struct{})}
	if l.send(ctx, m) == nil {
		select {
		case <-m.ended:
		case <-ctx.Done():
		}
	}
	return l.Table()
}

// isFed reports whether the attached control VM has sent a frame lately, and this VM has run since.
func (l *Link) isFed(now time.Time) bool {
	lastFrameAt := time.Unix(0, l.lastFrameAt.Load())
	return l.isAttached() && now.Sub(lastFrameAt) < feedSilence && !l.suspension.wasSuspended(lastFrameAt, now)
}

// tableRead is a route table that the control VM at address has in force.
type tableRead struct {
	address string
	table   *hubpb.RouteTable
}

func (m tableRead) handle(s *linkState, _ time.Time) { s.link.applyTable(m.table, m.address) }

// readTable reads the route table that another control VM than silent has in force, if it is newer than the one known here. It
// tells whether a control VM has answered.
func (l *Link) readTable(silent string) (answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), feedReadTimeout)
	defer cancel()
	startedAt := time.Now()
	others := slices.DeleteFunc(l.candidates(startedAt), func(address string) bool { return address == silent })
	outcome := askInTurn(ctx, others, feedReadPeers, l.readTableFrom)
	l.recordFailures(outcome, startedAt, false)
	return outcome.found != ""
}

// readTableFrom implements askFunc: it passes a newer route table of the control VM at address on, and returns that address
// if there is one.
func (l *Link) readTableFrom(ctx context.Context, address string) (found string, err error) {
	conn, err := l.options.Pool.Conn(address)
	if err != nil {
		return "", err
	}
	startedAt := time.Now()
	known := l.tableRevision()
	reply, err := hubpb.NewHubClient(conn).GetRoutes(ctx, &hubpb.GetRoutesRequest{InForce: true, KnownVersion: known})
	switch {
	case err == nil && tableRevision(reply.GetTable()) > known:
		return address, l.send(ctx, tableRead{address: address, table: reply.GetTable()})
	case err != nil && ctx.Err() != nil && time.Since(startedAt) >= unansweredAfter:
		l.options.Pool.Discard(address, conn) // the connection may be broken without an error from TCP
	}
	return "", err
}
