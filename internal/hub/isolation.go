package hub

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
)

const (
	// leaderSearchDelay is how long the attached control VM knows no leader before the entry VM
	// asks other control VMs for it: longer than an election, in which no control VM knows one.
	leaderSearchDelay = 700 * time.Millisecond
	// leaderSearchInterval is the least time between two searches. A random time of up to
	// leaderSearchSpread is added to both, so that not all entry VMs ask and move at once.
	leaderSearchInterval = 400 * time.Millisecond
	leaderSearchSpread   = 300 * time.Millisecond
	// leaderSearchTimeout bounds a search. It covers the connection setup.
	leaderSearchTimeout = 400 * time.Millisecond
	// leaderSearchPeers is the number of control VMs that one search asks.
	leaderSearchPeers = 2
)

// leaderSearch is the search for a control VM that knows the leader, while the attached one
// knows none. A control VM that is cut off from the others gets no route tables.
type leaderSearch struct {
	// dueAt is when the next search begins, zero while the attached control VM knows the leader.
	dueAt   time.Time
	running bool
}

// updateLeaderSearch starts or ends the search after a view of the attached control VM.
func (s *linkState) updateLeaderSearch(leader string, now time.Time) {
	switch {
	case leader != "":
		s.search.dueAt = time.Time{}
	case s.search.dueAt.IsZero():
		s.search.dueAt = now.Add(leaderSearchDelay + rand.N(leaderSearchSpread))
	}
}

// searchLeader asks other control VMs whether they know the leader if a search is due. It
// does not wait for the answers.
func (s *linkState) searchLeader(now time.Time) {
	if s.outbox == nil || s.search.running || s.search.dueAt.IsZero() || now.Before(s.search.dueAt) {
		return
	}
	s.search.dueAt = now.Add(leaderSearchInterval + rand.N(leaderSearchSpread))
	others := s.otherControlVMs()
	if len(others) == 0 {
		return
	}
	s.search.running = true
	attached, outbox := s.address, s.outbox
	go func() {
		found := s.link.findLeader(attached, others)
		_ = s.link.send(context.Background(), leaderSearched{outbox: outbox, found: found})
	}()
}

// otherControlVMs returns up to leaderSearchPeers control VMs but the attached one, at random.
func (s *linkState) otherControlVMs() []string {
	_, all := s.knownControlVMs()
	all = append(all, s.link.options.Seeds...)
	slices.Sort(all)
	all = slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == s.address })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), leaderSearchPeers)]
}

// leaderSearched reports the end of a search.
type leaderSearched struct {
	// outbox is that of the stream during which the search began.
	outbox chan *hubpb.EntryFrame
	// found is the control VM that knows the leader, empty if none was found.
	found string
}

func (m leaderSearched) handle(s *linkState, _ time.Time) {
	s.search.running = false
	if m.found != "" && s.outbox == m.outbox && !s.search.dueAt.IsZero() {
		s.cancel(&redirectError{address: m.found, isolated: true})
	}
}

// findLeader asks the control VMs at addresses at the same time, and returns the first one
// that names a leader other than attached. It returns an empty string if none does within
// leaderSearchTimeout.
func (l *Link) findLeader(attached string, addresses []string) string {
	ctx, cancel := context.WithTimeout(context.Background(), leaderSearchTimeout)
	defer cancel()
	answers := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			if leader := l.askForLeader(ctx, address); leader == "" || leader == attached {
				address = ""
			}
			answers <- address
		}()
	}
	for range addresses {
		if found := <-answers; found != "" {
			return found
		}
	}
	return ""
}

// askForLeader returns the leader that the control VM at address knows, empty if it knows
// none or does not answer. A control VM of an earlier version counts as knowing itself.
func (l *Link) askForLeader(ctx context.Context, address string) string {
	conn, err := l.options.Pool.Conn(address)
	if err != nil {
		return ""
	}
	reply, err := hubpb.NewHubClient(conn).FindLeader(ctx, &hubpb.FindLeaderRequest{})
	switch status.Code(err) {
	case codes.OK:
		return reply.GetLeader()
	case codes.Unimplemented:
		return address
	case codes.DeadlineExceeded:
		l.options.Pool.Discard(address, conn) // it may have become unresponsive while it was idle
	}
	return ""
}
