package consensus

// CreateSnapshot makes a snapshot of data, the encoded state of the replicated
// state machine after the last applied entry. The snapshot is part of the next
// write; once that write is synced, the log entries that the snapshot covers are
// removed except for the last Config.KeepEntries. The call has no effect while
// another snapshot waits for the next write, or if the last snapshot covers the
// applied entries already.
func (c *Core) CreateSnapshot(data []byte) {
	index := c.log.applied
	term, found := c.log.term(index)
	if !found || index <= c.snapshot.Index || c.output.pendingSnapshot != nil {
		return
	}
	c.output.pendingSnapshot = &Snapshot{Index: index, Term: term, Membership: c.membershipAt(index), Data: data}
}

// EntriesSinceSnapshot returns the number of entries applied after the last
// snapshot, and 0 while a snapshot is being stored.
func (c *Core) EntriesSinceSnapshot() uint64 {
	writing := c.output.writing != nil && c.output.writing.Snapshot != nil
	if writing || c.output.pendingSnapshot != nil || c.log.applied < c.snapshot.Index {
		return 0
	}
	return c.log.applied - c.snapshot.Index
}

// keepFrom returns the first log index to keep after a snapshot at index.
func (c *Core) keepFrom(index uint64) uint64 {
	if c.output.pendingReset || index <= c.log.offset+c.config.KeepEntries {
		return c.log.offset + 1
	}
	return index - c.config.KeepEntries + 1
}

// finishSnapshot handles the snapshot of a synced write: the next Ready returns a
// received one as Restore, and one that this member made compacts the log.
func (c *Core) finishSnapshot(write *Write) {
	if write.Reset {
		c.output.restore = write.Snapshot
		c.log.applied = write.Snapshot.Index
		return
	}
	if write.Snapshot.Index > c.snapshot.Index {
		c.snapshot = *write.Snapshot
		c.log.compact(write.KeepFrom - 1)
	}
	if c.role == RoleLeader && c.lead.markIndex <= c.log.offset {
		c.appendMark()
	}
}

func (c *Core) startSnapshot(id MemberID, pr *progress) {
	pr.state = stateSnapshot
	pr.inFlight = nil
	pr.snapshot = c.snapshot
	pr.snapshotOffset = 0
	pr.lastProgressAt = c.clock.now
	c.sendChunk(id, pr)
}

func (c *Core) sendChunk(id MemberID, pr *progress) {
	data := pr.snapshot.Data
	from := pr.snapshotOffset
	to := min(from+uint64(c.config.MaxMessageBytes), uint64(len(data)))
	c.sendNow(Message{Kind: MessageSnapshot, To: id, Snapshot: &SnapshotChunk{
		Index:      pr.snapshot.Index,
		Term:       pr.snapshot.Term,
		Membership: pr.snapshot.Membership,
		Total:      uint64(len(data)),
		Offset:     from,
		Data:       data[from:to],
	}})
}

func (c *Core) handleSnapshotResponse(m *Message, pr *progress) {
	if pr.state != stateSnapshot || m.Index != pr.snapshot.Index {
		return
	}
	if m.Hint == pr.snapshotOffset || m.Hint > uint64(len(pr.snapshot.Data)) {
		return
	}
	pr.snapshotOffset = m.Hint
	pr.lastProgressAt = c.clock.now
	c.sendChunk(m.From, pr)
}
