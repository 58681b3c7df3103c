package consensus

import "bytes"

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// checkCommitted checks that all nodes commit the same entry at an index, and that
// a majority had synced the entry when it was first applied at any node.
func (s *sim) checkCommitted(n *simNode, entry Entry) {
	if known, found := s.committed[entry.Index]; found {
		if !sameEntry(known, entry) {
			s.fail("node %d commits entry %d of term %d, but entry %d of term %d was committed",
				n.id, entry.Index, entry.Term, known.Index, known.Term)
		}
		return
	}
	s.committed[entry.Index] = entry
	s.commitTerm[entry.Index] = n.core.term
	s.maxCommit = max(s.maxCommit, entry.Index)
	if entry.Index > 1 && !s.syncedByMajority(n, entry) {
		s.fail("entry %d was applied before a majority had synced it", entry.Index)
	}
}

// syncedByMajority reports whether the entry is on the disks of a majority of the
// voters as of the entry, or of a membership that a running node has received
// since.
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
			if s.nodes[id].disk.has(entry.Index, entry.Term) {
				synced++
			}
		}
		if synced > 0 && synced >= membership.Quorum() {
			return true
		}
	}
	return false
}

// checkState checks that all nodes have the same state after the same entry.
func (s *sim) checkState(n *simNode) {
	known, found := s.states[n.applied]
	if found && !bytes.Equal(known, n.state) {
		s.fail("node %d has a different state than another node after entry %d", n.id, n.applied)
	}
	s.states[n.applied] = n.state
}

// checkNewLeader checks that a term has only one leader, and that the leader's log
// has all entries that were committed in earlier terms. Entries that were committed
// in the same or a later term are not required, since the win of an election may be
// noticed after a later term began.
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

// checkLeases checks that at most one node considers its leader lease valid.
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
		s.fail("nodes %v hold a leader lease at %v", holders, s.now)
	}
}

// checkLogs checks the log matching property: if two logs have an entry of the same
// index and term, all earlier entries are equal, too.
func (s *sim) checkLogs() {
	for i, a := range s.order {
		for _, b := range s.order[i+1:] {
			if x, y := s.nodes[a], s.nodes[b]; x.up && y.up {
				s.checkLogPair(x, y)
			}
		}
	}
}

func (s *sim) checkLogPair(x, y *simNode) {
	same := false
	for index := min(x.core.log.lastIndex(), y.core.log.lastIndex()); index > max(x.core.log.offset, y.core.log.offset); index-- {
		a := x.core.log.entries[index-x.core.log.offset-1]
		b := y.core.log.entries[index-y.core.log.offset-1]
		if a.Term == b.Term {
			same = true
		}
		if same && !sameEntry(a, b) {
			s.fail("the logs of nodes %d and %d differ at entry %d", x.id, y.id, index)
		}
	}
}

// checkRead checks that a read index is not below an entry that was applied at any
// node before the read was requested.
func (s *sim) checkRead(n *simNode, read ReadState) {
	for _, pending := range s.reads {
		if pending.node == n.id && pending.requestID == read.RequestID && pending.term == n.core.term &&
			read.Index < pending.minIndex {
			s.fail("node %d answers a read with index %d, but entry %d was committed before the request",
				n.id, read.Index, pending.minIndex)
		}
	}
}
