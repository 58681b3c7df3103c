package consensus

// handleLeaderMessage takes a message of the leader of this term. Hearing from
// it renews the promise to vote for nobody else.
func (c *Core) handleLeaderMessage(m *Message) {
	if c.role == RoleLeader || c.leader != 0 && c.leader != m.From {
		return
	}
	if c.group == 0 {
		c.group = m.Group
	}
	c.role = RoleFollower
	c.votes = nil
	c.setLeader(m.From)
	c.promiseUntil = c.clock.patience + c.config.ElectionTimeout
	c.resetElectionDue()
	switch m.Kind {
	case MessageAppend:
		c.handleAppend(m)
	case MessageHeartbeat:
		c.handleHeartbeat(m)
	case MessageSnapshot:
		c.handleSnapshot(m)
	}
}

func (c *Core) handleHeartbeat(m *Message) {
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.last()))
	response := Message{Kind: MessageHeartbeatResponse, To: m.From, Round: m.Round}
	stored := &c.output.stored
	if stored.Term == c.term && stored.Group == c.group {
		c.sendNow(response)
		return
	}
	c.sendAfterSync(response)
}

func (c *Core) handleAppend(m *Message) {
	response := Message{Kind: MessageAppendResponse, To: m.From}
	switch {
	case m.Index < c.log.commit:
		response.Index = c.log.commit
	case !c.log.matches(m.Index, m.LogTerm):
		response.Reject = true
		response.Index = m.Index
		response.Hint = c.log.conflict(m.Index)
	default:
		c.takeEntries(m.Entries)
		response.Index = m.Index + uint64(len(m.Entries))
		c.log.commit = max(c.log.commit, min(m.Commit, response.Index))
	}
	c.sendAfterSync(response)
}

// takeEntries appends what the log lacks and drops what contradicts the leader.
func (c *Core) takeEntries(entries []Entry) {
	for len(entries) > 0 && c.log.matches(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	if first := entries[0].Index; first <= c.log.last() {
		c.log.truncate(first)
		c.output.writeLast = min(c.output.writeLast, first-1)
	}
	c.log.append(entries...)
	c.updateMembership()
}

// updateMembership reads the membership again after the log changed.
func (c *Core) updateMembership() {
	before := c.membershipIndex
	c.refreshMembership()
	if c.membershipIndex != before {
		c.emit(Event{Kind: EventMembershipChanged})
	}
}

// incomingSnapshot is a snapshot in transfer to this member.
type incomingSnapshot struct {
	from  MemberID
	index uint64
	term  uint64
	data  []byte
}

// continues tells whether the chunk in m is of this transfer. Members may
// encode the same state in different ways, so it must come from one sender.
func (s *incomingSnapshot) continues(m *Message) bool {
	return s != nil && s.from == m.From && s.index == m.Snapshot.Index && s.term == m.Snapshot.Term
}

func (c *Core) handleSnapshot(m *Message) {
	chunk := m.Snapshot
	if chunk.Index <= c.log.commit {
		c.sendAfterSync(Message{Kind: MessageAppendResponse, To: m.From, Index: c.log.commit})
		return
	}
	if !c.incoming.continues(m) {
		c.incoming = &incomingSnapshot{from: m.From, index: chunk.Index, term: chunk.Term}
	}
	if chunk.Offset == uint64(len(c.incoming.data)) {
		c.incoming.data = append(c.incoming.data, chunk.Data...)
	}
	received := uint64(len(c.incoming.data))
	if received < chunk.Total {
		c.sendAfterSync(Message{Kind: MessageSnapshotResponse, To: m.From, Index: chunk.Index, Hint: received})
		return
	}
	c.install(Snapshot{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership, Data: c.incoming.data})
	c.sendAfterSync(Message{Kind: MessageAppendResponse, To: m.From, Index: chunk.Index})
}

// install takes a whole snapshot. When the log already holds its last entry,
// the log leads to the same state and stays.
func (c *Core) install(snapshot Snapshot) {
	c.incoming = nil
	if c.log.matches(snapshot.Index, snapshot.Term) {
		c.log.commit = snapshot.Index
		return
	}
	c.snapshot = snapshot
	c.log.reset(snapshot.Index, snapshot.Term)
	c.output.snapshotDue = &snapshot
	c.output.resetDue = true
	c.output.writeLast = 0
	c.updateMembership()
	c.emit(Event{Kind: EventSnapshotReceived})
}
