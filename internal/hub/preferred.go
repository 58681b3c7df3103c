package hub

import (
	"context"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
)

const (
	// minPreferredWait and maxPreferredWait bound the random time for which the attached
	// control VM must prefer another one for this VM before the link moves.
	minPreferredWait = time.Second
	maxPreferredWait = 5 * time.Second
)

// followPreferred moves the link to the control VM that the attached one names, once it has
// named the same one for a random time and that one answers. The random time spreads the moves of many entry VMs.
func (s *linkState) followPreferred(preferred string, now time.Time) {
	if preferred != s.preferred {
		s.preferred, s.preferredUntil = preferred, now.Add(minPreferredWait+rand.N(maxPreferredWait-minPreferredWait))
	}
	if preferred == "" || s.link.backoffs.isActive(preferred, now) || now.Before(s.preferredUntil) {
		return
	}
	s.preferredUntil = now.Add(maxPreferredWait)
	outbox := s.outbox
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		leader, err := s.link.askForLeader(ctx, preferred)
		_ = s.link.send(context.Background(), preferredAsked{outbox: outbox, address: preferred, askedAt: now, leader: leader, err: err})
	}()
}

// preferredAsked reports whether the preferred control VM answers.
type preferredAsked struct {
	// outbox is that of the stream during which it was asked.
	outbox  chan *hubpb.EntryFrame
	address string
	askedAt time.Time
	// leader is the leader that it knows, empty for none.
	leader string
	err    error
}

func (m preferredAsked) handle(s *linkState, now time.Time) {
	if s.outbox != m.outbox || s.preferred != m.address {
		return
	}
	s.preferred = ""
	switch {
	case m.err != nil:
		s.link.backoffs.add(m.address, now)
		s.link.logFailedAttempt(m.address, m.askedAt, m.err)
	case m.leader != "":
		s.move.begin()
		s.cancel(&redirectError{address: m.address})
	}
}

// moveHoldTime is how long requests wait during a move of the link before this VM places them
// itself: the time that it gives an attached control VM as well. A move takes two round trips
// and moveDelay.
const moveHoldTime = schedulerTimeout

// linkMove is a move of the link to a control VM that has just answered. In it, requests
// wait for that one instead of taking this VM's own share of the servers.
type linkMove struct {
	// pending is set from the decision to move until the stream has ended.
	pending bool
	// holdUntil is the end of the hold, zero outside of a move.
	holdUntil time.Time
}

func (m *linkMove) begin() { m.pending = true }

// detached reports that a stream has ended.
func (m *linkMove) detached(now time.Time) {
	m.holdUntil = time.Time{}
	if m.pending {
		m.pending, m.holdUntil = false, now.Add(moveHoldTime)
	}
}

// end reports that the new control VM places requests.
func (m *linkMove) end() { *m = linkMove{} }

// isHolding reports whether requests wait for the new control VM.
func (m *linkMove) isHolding(now time.Time) bool { return now.Before(m.holdUntil) }

// hasTimedOut ends a hold whose time is over, and reports whether it has.
func (m *linkMove) hasTimedOut(now time.Time) bool {
	if m.holdUntil.IsZero() || m.isHolding(now) {
		return false
	}
	m.end()
	return true
}
