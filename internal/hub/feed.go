package hub

import (
	"context"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
)

const (
	// feedSilence is the time without a frame after which an entry VM reads the route table from other control VMs while it
	// waits for its own one. One frame is due in it, and half of the time until the next.
	feedSilence = 3 * viewInterval / 2
	// feedReadInterval is the least time between two reads.
	feedReadInterval = 400 * time.Millisecond
	// feedReadTimeout bounds a read. It covers the connection setup, also where the control VMs asked first don't answer.
	feedReadTimeout = 600 * time.Millisecond
	// feedReadPeers is the number of control VMs without a newer table after whose answers a read ends.
	feedReadPeers = 2
)

// tableFeed tells when route tables must be read from other control VMs, because the attached one is silent.
type tableFeed struct {
	reading bool
	readAt  time.Time
}

// checkFeed reads the route table from other control VMs if the attached one has sent no frame for feedSilence. It does not
// wait for the answers.
func (s *linkState) checkFeed(now time.Time) {
	isSilent := s.link.isAttached() && now.Sub(s.lastFrameAt) >= feedSilence
	if !isSilent || s.feed.reading || now.Sub(s.feed.readAt) < feedReadInterval {
		return
	}
	s.feed.reading, s.feed.readAt = true, now
	silent := s.address
	go func() {
		s.link.readTable(silent)
		_ = s.link.send(context.Background(), feedRead{})
	}()
}

// feedRead reports the end of a read.
type feedRead struct{}

func (feedRead) handle(s *linkState, _ time.Time) { s.feed.reading = false }

// tableRead is a route table that the control VM at address has in force.
type tableRead struct {
	address string
	table   *hubpb.RouteTable
}

func (m tableRead) handle(s *linkState, _ time.Time) { s.link.applyTable(m.table, m.address) }

// readTable reads the route table that another control VM than silent has in force, if it is newer than the one known here.
func (l *Link) readTable(silent string) {
	ctx, cancel := context.WithTimeout(context.Background(), feedReadTimeout)
	defer cancel()
	startedAt := time.Now()
	others := slices.DeleteFunc(l.candidates(startedAt), func(address string) bool { return address == silent })
	outcome := askInTurn(ctx, others, feedReadPeers, l.readTableFrom)
	l.recordFailures(outcome, startedAt)
}

// readTableFrom implements askFunc: it passes a newer route table of the control VM at address on, and returns that address
// if there is one.
func (l *Link) readTableFrom(ctx context.Context, address string) (found string, err error) {
	conn, err := l.options.Pool.Conn(address)
	if err != nil {
		return "", err
	}
	startedAt := time.Now()
	known := l.tableVersion()
	reply, err := hubpb.NewHubClient(conn).GetRoutes(ctx, &hubpb.GetRoutesRequest{InForce: true, KnownVersion: known})
	switch {
	case err == nil && reply.GetTable().GetVersion() > known:
		return address, l.send(ctx, tableRead{address: address, table: reply.GetTable()})
	case err != nil && ctx.Err() != nil && time.Since(startedAt) >= unansweredAfter:
		l.options.Pool.Discard(address, conn) // the connection may be broken without an error from TCP
	}
	return "", err
}
