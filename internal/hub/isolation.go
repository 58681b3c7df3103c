package hub

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

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
	// leaderSearchTimeout bounds a search. It covers the connection setup, also where the control VMs asked first don't answer.
	leaderSearchTimeout = 600 * time.Millisecond
	// leaderSearchPeers is the number of control VMs without a leader after whose answers a search ends.
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
	s.search.running = true
	attached, outbox := s.address, s.outbox
	go func() {
		found := s.link.findLeader(attached)
		_ = s.link.send(context.Background(), leaderSearched{outbox: outbox, found: found})
	}()
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

// findLeader returns a control VM that names a leader other than attached, empty if none was found within
// leaderSearchTimeout.
func (l *Link) findLeader(attached string) string {
	ctx, cancel := context.WithTimeout(context.Background(), leaderSearchTimeout)
	defer cancel()
	startedAt := time.Now()
	others := slices.DeleteFunc(l.candidates(startedAt), func(address string) bool { return address == attached })
	outcome := askInTurn(ctx, others, leaderSearchPeers, func(ctx context.Context, address string) (string, error) {
		leader, err := l.askForLeader(ctx, address)
		if leader == attached {
			leader = ""
		}
		return leader, err
	})
	l.recordFailures(outcome, startedAt, false)
	if !outcome.leaderKnown {
		return ""
	}
	return outcome.found
}
