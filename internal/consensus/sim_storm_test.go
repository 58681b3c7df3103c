package consensus

import "time"

// pick returns a random node.
func (s *sim) pick() *simNode {
	return s.nodes[s.order[s.rand.IntN(len(s.order))]]
}

// proposeAll proposes a command at each running node whose role is leader.
func (s *sim) proposeAll() {
	for _, n := range s.believedLeaders() {
		s.propose(n)
	}
}

// cutPair cuts the link between two nodes in both directions.
func (s *sim) cutPair(a, b MemberID) {
	s.cutLinks[[2]MemberID{a, b}] = true
	s.cutLinks[[2]MemberID{b, a}] = true
}

// storm runs a sequence of short random faults, with proposals and reads in between.
func (s *sim) storm(rounds int) {
	for range rounds {
		s.stormFault()
		for range s.rand.IntN(3) {
			s.proposeAll()
			s.run(s.randomDelay(100 * time.Millisecond))
		}
		for _, n := range s.believedLeaders() {
			s.read(n)
		}
		s.run(s.randomDelay(1200 * time.Millisecond))
	}
}

func (s *sim) stormFault() {
	n := s.pick()
	switch s.rand.IntN(12) {
	case 0:
		s.cutPair(n.id, s.pick().id)
	case 1:
		s.cutLinks[[2]MemberID{n.id, s.pick().id}] = true
	case 2:
		if leader := s.leader(); leader != nil {
			s.cutPair(leader.id, n.id)
		}
	case 3:
		s.partition()
	case 4, 5:
		clear(s.cutLinks)
	case 6:
		if n.up {
			s.crash(n, s.rand.IntN(2) == 0)
		}
	case 7, 8:
		for _, id := range s.order {
			if down := s.nodes[id]; !down.up && !down.dead {
				s.boot(down)
			}
		}
	case 9:
		n.frozen = !n.frozen
	case 10:
		if s.running(n) {
			n.core.CreateSnapshot(n.state)
			s.drain(n)
		}
	case 11:
		s.stormChange()
	}
}

// partition cuts the links between two random groups of nodes.
func (s *sim) partition() {
	side := map[MemberID]bool{}
	for _, id := range s.order {
		side[id] = s.rand.IntN(2) == 0
	}
	for _, a := range s.order {
		for _, b := range s.order {
			if side[a] != side[b] {
				s.cutLinks[[2]MemberID{a, b}] = true
			}
		}
	}
}

// stormChange asks each leader for a membership change or a leadership transfer,
// which it may refuse.
func (s *sim) stormChange() {
	for _, leader := range s.believedLeaders() {
		n := s.pick()
		switch s.rand.IntN(4) {
		case 0:
			if !n.dead {
				s.change(leader, Change{Kind: ChangePromote, Member: simMember(n.id)})
			}
		case 1:
			if s.canRemove(leader, n.id) {
				s.change(leader, Change{Kind: ChangeRemove, Member: simMember(n.id)})
			}
		case 2:
			s.change(leader, Change{Kind: ChangeAddLearner, Member: simMember(n.id)})
		case 3:
			_ = leader.core.TransferLeadership(leader.clock(s.now))
			s.drain(leader)
		}
	}
}
