package consensus

import "bytes"

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// checkCommitted checks that no index is committed twice differently, and that
// a majority had synced an entry when it was first applied anywhere.
func (s *sim) checkCommitted(n *simNode, entry Entry) {
	if known, found := s.committed[entry.Index]; found {
		if !sameEntry(known, entry) {
			s.fail("node %d commits %d of term %d, but %d of term %d was committed", n.id, entry.Index, entry.Term, known.Index, known.Term)
		}
		return
	}
	s.committed[entry.Index] = entry
	s.commitTerm[entry.Index] = n.core.term
	s.maxCommit = max(s.maxCommit, entry.Index)
	if entry.Index > 1 && !s.syncedByMajority(n, entry) {
		s.fail("entry %d was committed before a majority had synced it", entry.Index)
	}
}

// syncedByMajority tells whether a majority of the membership at the entry, or
// of one that a node has learnt since, has it on disk.
func (s *sim) syncedByMajority(n *simNode, entry Entry) bool {
	memberships := []Membership{n.core.membershipAt(entry.Index)}
	for _, id := range s.order {
		if node := s.nodes[id]; node.up {
			memberships = append(memberships, node.core.membership)
		}
	}
	for _, membership := range memberships {
		synced := 0
		for _, id := range membership.Voters() {
			if s.nodes[id].disk.holds(entry.Index, entry.Term) {
				synced++
			}
		}
		if synced > 0 && synced >= membership.Quorum() {
			return true
		}
	}
	return false
}

func (s *sim) checkState(n *simNode) {
	known, found := s.states[n.applied]
	if found && !bytes.Equal(known, n.state) {
		s.fail("node %d has another state after entry %d", n.id, n.applied)
	}
	s.states[n.applied] = n.state
}

// checkNewLeader checks that a term has one leader, which has all that was
// committed in earlier terms. One that is elected late, after a later term
// began, need not have more.
func (s *sim) checkNewLeader(n *simNode, term uint64) {
	if other, found := s.leaders[term]; found {
		s.fail("term %d has leaders %d and %d", term, other, n.id)
	}
	s.leaders[term] = n.id
	for index, entry := range s.committed {
		if index <= n.core.log.offset || s.commitTerm[index] >= term {
			continue
		}
		if known, found := n.core.log.term(index); !found || known != entry.Term {
			s.fail("leader %d of term %d lacks committed entry %d of term %d", n.id, term, index, entry.Term)
		}
	}
}

// checkLeases checks that at most one member believes that it holds the lease.
func (s *sim) checkLeases() {
	var holders []MemberID
	for _, id := range s.order {
		n := s.nodes[id]
		if !n.up || n.dead {
			continue
		}
		if status := n.core.Status(); status.Role == RoleLeader && n.clock(s.now).Before(status.LeaseUntil) {
			holders = append(holders, id)
		}
	}
	if len(holders) > 1 {
		s.fail("members %v hold the lease at %v", holders, s.now)
	}
}

// checkLogs checks that logs with an entry of the same index and term agree up
// to it.
func (s *sim) checkLogs() {
	for i, a := range s.order {
		for _, b := range s.order[i+1:] {
			if x, y := s.nodes[a], s.nodes[b]; x.up && y.up {
				s.checkPair(x, y)
			}
		}
	}
}

func (s *sim) checkPair(x, y *simNode) {
	same := false
	for index := min(x.core.log.last(), y.core.log.last()); index > max(x.core.log.offset, y.core.log.offset); index-- {
		a := x.core.log.entries[index-x.core.log.offset-1]
		b := y.core.log.entries[index-y.core.log.offset-1]
		if a.Term == b.Term {
			same = true
		}
		if same && !sameEntry(a, b) {
			s.fail("logs of %d and %d differ at entry %d", x.id, y.id, index)
		}
	}
}

func (s *sim) checkRead(n *simNode, read ReadState) {
	for _, asked := range s.reads {
		if asked.node == n.id && asked.request == read.RequestID && asked.term == n.core.term && read.Index < asked.known {
			s.fail("read at %d returns %d, but %d was committed before", n.id, read.Index, asked.known)
		}
	}
}
