package consensus

// CreateSnapshot hands over the state after the last applied entry. It goes
// out with the next write; then the log behind it is dropped, but for
// Config.KeepEntries. It is ignored while another snapshot waits.
func (c *Core) CreateSnapshot(data []byte) {
	index := c.log.applied
	term, found := c.log.term(index)
	if !found || index <= c.snapshot.Index || c.output.snapshotDue != nil {
		return
	}
	c.output.snapshotDue = &Snapshot{Index: index, Term: term, Membership: c.membershipAt(index), Data: data}
}

// EntriesSinceSnapshot tells how many entries were applied after the last snapshot, and
// 0 while one is being stored.
func (c *Core) EntriesSinceSnapshot() uint64 {
	writing := c.output.writing != nil && c.output.writing.Snapshot != nil
	if writing || c.output.snapshotDue != nil || c.log.applied < c.snapshot.Index {
		return 0
	}
	return c.log.applied - c.snapshot.Index
}

func (c *Core) keepFrom(index uint64) uint64 {
	if c.output.resetDue || index <= c.log.offset+c.config.KeepEntries {
		return c.log.offset + 1
	}
	return index - c.config.KeepEntries + 1
}

// finishSnapshot goes on after a snapshot is synced.
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
}

func (c *Core) startSnapshot(id MemberID, pr *progress) {
	pr.state = stateSnapshot
	pr.inFlight = nil
	pr.snapshot = c.snapshot
	pr.snapshotOffset = 0
	pr.movedAt = c.clock.now
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
	pr.movedAt = c.clock.now
	c.sendChunk(m.From, pr)
}
