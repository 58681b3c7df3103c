package consensus

import "time"

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.votes = nil
	c.leader = c.config.ID
	c.lead = leadership{electedAt: c.clock.now, progress: map[MemberID]*progress{}}
	c.lead.commitBefore = c.log.commit
	c.refreshProgress()
	c.emit(Event{Kind: EventBecameLeader, Leader: c.config.ID})
	c.appendOwn(Entry{Kind: EntryNoOp})
	c.lead.termStart = c.log.last()
	c.broadcastHeartbeat()
	c.broadcastAppend()
}

// refreshProgress starts and ends the progress of members that came or went.
func (c *Core) refreshProgress() {
	for id := range c.lead.progress {
		if _, found := c.membership.Find(id); !found {
			delete(c.lead.progress, id)
		}
	}
	for _, member := range c.membership.Members {
		if member.ID != c.config.ID && c.lead.progress[member.ID] == nil {
			c.lead.progress[member.ID] = &progress{next: c.log.last() + 1, movedAt: c.clock.now}
		}
	}
}

// appendOwn adds an entry of this leader. It counts towards a quorum only when
// it is synced.
func (c *Core) appendOwn(entry Entry) {
	entry.Index = c.log.last() + 1
	entry.Term = c.term
	c.log.append(entry)
	c.lead.pendingBytes += entry.size()
}

// Propose appends a command and returns where. It is accepted once Ready
// returns an entry of this index and term as committed.
func (c *Core) Propose(command []byte, now time.Time) (index, term uint64, err error) {
	c.observe(now)
	switch {
	case c.role != RoleLeader:
		return 0, 0, ErrNotLeader
	case len(command) > c.config.MaxCommandBytes:
		return 0, 0, ErrTooLarge
	case c.lead.pendingBytes > c.config.MaxPendingBytes:
		return 0, 0, ErrBusy
	}
	c.appendOwn(Entry{Kind: EntryCommand, Data: command})
	return c.log.last(), c.term, nil
}

// Flush sends what was proposed and asked since the last call, in as few
// messages as possible. Callers run it before Ready.
func (c *Core) Flush() {
	if c.role != RoleLeader {
		return
	}
	if c.lead.readDue {
		c.broadcastHeartbeat()
	}
	for _, member := range c.membership.Members {
		if pr := c.lead.progress[member.ID]; pr != nil && pr.next <= c.log.last() {
			c.sendAppend(member.ID, pr)
		}
	}
}

func (c *Core) broadcastAppend() {
	for _, member := range c.membership.Members {
		if pr := c.lead.progress[member.ID]; pr != nil {
			c.sendAppend(member.ID, pr)
		}
	}
}

// sendAppend sends entries as far as the flow control allows, or an empty
// append that carries the commit index.
func (c *Core) sendAppend(id MemberID, pr *progress) {
	for {
		if pr.state == stateSnapshot || pr.waiting || len(pr.inFlight) >= c.config.MaxInFlightAppends {
			return
		}
		before, found := c.log.term(pr.next - 1)
		if !found {
			c.startSnapshot(id, pr)
			return
		}
		entries := c.log.slice(pr.next, c.log.last(), c.config.MaxMessageBytes)
		c.sendNow(Message{Kind: MessageAppend, To: id, Index: pr.next - 1, LogTerm: before, Entries: entries, Commit: c.log.commit})
		if len(pr.inFlight) == 0 {
			pr.movedAt = c.clock.now
		}
		if pr.state == stateProbe {
			pr.waiting = true
			return
		}
		if len(entries) == 0 {
			return
		}
		pr.next += uint64(len(entries))
		pr.inFlight = append(pr.inFlight, pr.next-1)
		if pr.next > c.log.last() {
			return
		}
	}
}

func (c *Core) handleFollowerMessage(m *Message) {
	pr := c.lead.progress[m.From]
	if c.role != RoleLeader || pr == nil {
		return
	}
	pr.heardAt = c.clock.now
	switch m.Kind {
	case MessageAppendResponse:
		c.handleAppendResponse(m, pr)
	case MessageHeartbeatResponse:
		c.handleHeartbeatResponse(m, pr)
	case MessageSnapshotResponse:
		c.handleSnapshotResponse(m, pr)
	}
}

func (c *Core) handleAppendResponse(m *Message, pr *progress) {
	if m.Index > c.log.last() {
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
	if c.role == RoleLeader && pr.next <= c.log.last() {
		c.sendAppend(m.From, pr)
	}
}

func (c *Core) handleHeartbeatResponse(m *Message, pr *progress) {
	if m.Round > c.lead.round {
		return
	}
	if m.Round > pr.round {
		pr.round = m.Round
		c.extendLease()
	}
	if pr.match >= c.log.last() {
		return
	}
	if c.clock.now.Sub(pr.movedAt) < c.config.ElectionTimeout/2 {
		return
	}
	// Nothing moved for long: what was sent is taken as lost.
	pr.movedAt = c.clock.now
	if pr.state == stateSnapshot {
		c.sendChunk(m.From, pr)
		return
	}
	pr.probe(pr.match + 1)
	c.sendAppend(m.From, pr)
}

// advanceCommit commits what a majority has synced. Entries of earlier terms
// are committed only together with one of this term.
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
