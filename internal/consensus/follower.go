package consensus

// handleLeaderMessage handles a message from the leader of this term. It renews
// the promise to grant no vote for one election timeout, on which the leader's
// lease rests. A message from a second leader of the same term is ignored.
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
	c.noVoteBefore = c.clock.monotonic + c.config.ElectionTimeout
	c.resetElectionDeadline()
	switch m.Kind {
	case MessageAppend:
		c.handleAppend(m)
	case MessageHeartbeat:
		c.handleHeartbeat(m)
	case MessageSnapshot:
		c.handleSnapshot(m)
	}
}

// handleHeartbeat raises the commit index, which the leader limits to the entries
// that it knows to match here. The response is sent at once if the term and the
// group are synced: the promise to grant no vote needs no sync, since a restarted
// member grants none for an election timeout.
func (c *Core) handleHeartbeat(m *Message) {
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.lastIndex()))
	response := Message{Kind: MessageHeartbeatResponse, To: m.From, Round: m.Round}
	stored := &c.output.stored
	if stored.Term == c.term && stored.Group == c.group {
		c.sendNow(response)
		return
	}
	c.sendAfterSync(response)
}

// handleAppend appends the entries of the leader if the log contains the entry
// before them. Entries up to the commit index agree with the leader's and are
// acknowledged without comparing them.
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
		c.mergeEntries(m.Entries)
		response.Index = m.Index + uint64(len(m.Entries))
		c.log.commit = max(c.log.commit, min(m.Commit, response.Index))
	}
	c.sendAfterSync(response)
}

// mergeEntries appends the entries that the log lacks, after removing entries
// that conflict with them. Entries that match stay, since a delayed append must
// not truncate later ones.
func (c *Core) mergeEntries(entries []Entry) {
	for len(entries) > 0 && c.log.matches(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	if first := entries[0].Index; first <= c.log.lastIndex() {
		c.log.truncate(first)
		c.output.writeLastIndex = min(c.output.writeLastIndex, first-1)
	}
	c.log.append(entries...)
	c.updateMembership()
}

// updateMembership sets the membership from the log after the log changed, and
// emits an event if it is another one.
func (c *Core) updateMembership() {
	prevIndex := c.membershipIndex
	c.loadMembership()
	if c.membershipIndex != prevIndex {
		c.emit(Event{Kind: EventMembershipChanged})
	}
}

// incomingSnapshot is a snapshot that this member is receiving.
type incomingSnapshot struct {
	from  MemberID
	index uint64
	term  uint64
	data  []byte
}

// matchesChunk reports whether the chunk in m belongs to this snapshot. Members
// may encode the same state in different ways, so all chunks must come from the
// same sender.
func (s *incomingSnapshot) matchesChunk(m *Message) bool {
	return s != nil && s.from == m.From && s.index == m.Snapshot.Index && s.term == m.Snapshot.Term
}

// handleSnapshot collects the chunks of a snapshot in order and installs it when
// it is complete. The response to each chunk asks for the next offset; a snapshot
// within the committed log is acknowledged without installing.
func (c *Core) handleSnapshot(m *Message) {
	chunk := m.Snapshot
	if chunk.Index <= c.log.commit {
		c.sendAfterSync(Message{Kind: MessageAppendResponse, To: m.From, Index: c.log.commit})
		return
	}
	if !c.incoming.matchesChunk(m) {
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
	c.installSnapshot(Snapshot{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership, Data: c.incoming.data})
	c.sendAfterSync(Message{Kind: MessageAppendResponse, To: m.From, Index: chunk.Index})
}

// installSnapshot replaces the log by a complete snapshot. If the log contains
// the last entry of the snapshot, applying the log leads to the same state, so
// the log stays and only the commit index rises.
func (c *Core) installSnapshot(snapshot Snapshot) {
	c.incoming = nil
	if c.log.matches(snapshot.Index, snapshot.Term) {
		c.log.commit = snapshot.Index
		return
	}
	c.snapshot = snapshot
	c.log.reset(snapshot.Index, snapshot.Term)
	c.output.pendingSnapshot = &snapshot
	c.output.pendingReset = true
	c.output.writeLastIndex = 0
	c.updateMembership()
	c.emit(Event{Kind: EventSnapshotReceived})
}
