package consensus

import "time"

// becomeLeader takes up leadership in the current term and appends the EntryNoOp
// whose commit commits the entries of earlier terms. The lease begins once a
// quorum has responded to the first heartbeat round.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.votes = nil
	c.leader = c.config.ID
	c.lead = leaderState{electedAt: c.clock.now, progress: map[MemberID]*progress{}}
	c.lead.commitAtHeartbeat = c.log.commit
	c.refreshProgress()
	c.emit(Event{Kind: EventBecameLeader, Leader: c.config.ID})
	c.appendMark()
	c.lead.termStart = c.log.lastIndex()
	c.broadcastHeartbeat()
	c.broadcastAppend()
}

// refreshProgress adds progress for new members and deletes that of removed ones.
func (c *Core) refreshProgress() {
	for id := range c.lead.progress {
		if _, found := c.membership.Find(id); !found {
			delete(c.lead.progress, id)
		}
	}
	for _, member := range c.membership.Members {
		if member.ID != c.config.ID && c.lead.progress[member.ID] == nil {
			c.lead.progress[member.ID] = &progress{next: c.log.lastIndex() + 1, lastProgressAt: c.clock.now}
		}
	}
}

// appendAsLeader appends an entry of the current term. This leader counts towards
// the quorum of an entry only once it has synced the entry itself.
func (c *Core) appendAsLeader(entry Entry) {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.term
	c.log.append(entry)
	c.lead.pendingBytes += entry.size()
}

// Propose appends a command and returns its index and term. The command is
// accepted once Ready returns an entry of that index and term as committed; an
// entry of another term at that index means that it was lost. Propose returns
// ErrNotLeader, ErrTooLarge or ErrBusy if it appends nothing.
func (c *Core) Propose(command []byte, now time.Time) (index, term uint64, err error) {
	c.advanceClock(now)
	switch {
	case c.role != RoleLeader:
		return 0, 0, ErrNotLeader
	case len(command) > c.config.MaxCommandBytes:
		return 0, 0, ErrTooLarge
	case c.lead.pendingBytes > c.config.MaxPendingBytes:
		return 0, 0, ErrBusy
	}
	c.appendAsLeader(Entry{Kind: EntryCommand, Data: command})
	return c.log.lastIndex(), c.term, nil
}

// Flush sends the entries proposed and starts the heartbeat round for the reads
// requested since the last call, so that they share messages. Callers call it
// before Ready.
func (c *Core) Flush() {
	if c.role != RoleLeader {
		return
	}
	if c.lead.readNeedsHeartbeat {
		c.broadcastHeartbeat()
	}
	for _, member := range c.membership.Members {
		if pr := c.lead.progress[member.ID]; pr != nil && pr.next <= c.log.lastIndex() {
			c.sendAppend(member.ID, pr)
		}
	}
}

// broadcastAppend sends an append to every member, also to those that lack no
// entries, to propagate the commit index.
func (c *Core) broadcastAppend() {
	for _, member := range c.membership.Members {
		if pr := c.lead.progress[member.ID]; pr != nil {
			c.sendAppend(member.ID, pr)
		}
	}
}

// sendAppend sends the entries that the member lacks, within the limits of its
// progress state, or an empty append that carries the commit index. It starts a
// snapshot transfer if those entries are compacted.
func (c *Core) sendAppend(id MemberID, pr *progress) {
	for {
		if pr.state == stateSnapshot || pr.probeInFlight || len(pr.inFlight) >= c.config.MaxInFlightAppends {
			return
		}
		prevTerm, found := c.log.term(pr.next - 1)
		if !found {
			c.startSnapshot(id, pr)
			return
		}
		entries := c.log.slice(pr.next, c.log.lastIndex(), c.config.MaxMessageBytes)
		c.sendNow(Message{Kind: MessageAppend, To: id, Index: pr.next - 1, LogTerm: prevTerm,
			Entries: entries, Commit: c.log.commit})
		if len(pr.inFlight) == 0 {
			pr.lastProgressAt = c.clock.now
		}
		if pr.state == stateProbe {
			pr.probeInFlight = true
			return
		}
		if len(entries) == 0 {
			return
		}
		pr.next += uint64(len(entries))
		pr.inFlight = append(pr.inFlight, pr.next-1)
		if pr.next > c.log.lastIndex() {
			return
		}
	}
}

func (c *Core) handleFollowerMessage(m *Message) {
	pr := c.lead.progress[m.From]
	if c.role != RoleLeader || pr == nil {
		return
	}
	pr.lastResponseAt = c.clock.now
	switch m.Kind {
	case MessageAppendResponse:
		c.handleAppendResponse(m, pr)
	case MessageHeartbeatResponse:
		c.handleHeartbeatResponse(m, pr)
	case MessageSnapshotResponse:
		c.handleSnapshotResponse(m, pr)
	}
}

// handleAppendResponse handles the response to an append or to the last chunk of a
// snapshot. Rejections that were overtaken by later responses are ignored.
func (c *Core) handleAppendResponse(m *Message, pr *progress) {
	if m.Index > c.log.lastIndex() {
		return
	}
	if m.Reject {
		stale := m.Index < pr.match || pr.state == stateProbe && m.Index != pr.next-1
		if stale || pr.state == stateSnapshot {
			return
		}
		pr.probe(min(m.Index, m.Hint+1))
		c.sendAppend(m.From, pr)
		return
	}
	if pr.acknowledge(m.Index, c.clock.now) {
		c.advanceCommit()
	}
	if c.role == RoleLeader && pr.next <= c.log.lastIndex() {
		c.sendAppend(m.From, pr)
	}
}

// handleHeartbeatResponse extends the lease. It also resends to a member that
// lacks entries and has made no progress for half an election timeout: messages to
// it are then considered lost.
func (c *Core) handleHeartbeatResponse(m *Message, pr *progress) {
	if m.Round > c.lead.round {
		return
	}
	if m.Round > pr.round {
		pr.round = m.Round
		c.extendLease()
	}
	if pr.match >= c.log.lastIndex() {
		return
	}
	if c.clock.now.Sub(pr.lastProgressAt) < c.config.ElectionTimeout/2 {
		return
	}
	pr.lastProgressAt = c.clock.now
	if pr.state == stateSnapshot {
		c.sendChunk(m.From, pr)
		return
	}
	pr.probe(pr.match + 1)
	c.sendAppend(m.From, pr)
}

// advanceCommit raises the commit index to the last entry that a majority of the
// voters has synced, if that entry is of the current term. Entries of earlier
// terms are committed only together with one of the current term: until then they
// may be on a majority and still be overwritten by another leader. A leader that
// has committed its own removal steps down.
func (c *Core) advanceCommit() {
	index := c.membership.quorumValue(func(id MemberID) uint64 {
		if pr := c.lead.progress[id]; pr != nil {
			return pr.match
		}
		return c.log.stable
	})
	if term, found := c.log.term(index); !found || index <= c.log.commit || term != c.term {
		return
	}
	for _, entry := range c.log.entries[c.log.commit-c.log.offset : index-c.log.offset] {
		if entry.Term == c.term {
			c.lead.pendingBytes -= entry.size()
		}
	}
	c.log.commit = index
	c.broadcastAppend()
	c.extendLease()
	if c.log.commit >= c.membershipIndex && !c.membership.IsVoter(c.config.ID) {
		c.stepDown(ReasonRemoved)
	}
}
