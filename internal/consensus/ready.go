package consensus

import "time"

// Write is what must be synced before anything that acknowledges it is sent.
type Write struct {
	// HardState replaces the stored one.
	HardState HardState
	// Entries replace what is stored from the index of the first one on.
	Entries []Entry
	// Snapshot is stored first, nil when there is none.
	Snapshot *Snapshot
	// Reset drops the whole stored log in favour of Snapshot.
	Reset bool
	// KeepFrom lets the storage drop entries before this index after Snapshot
	// is synced.
	KeepFrom uint64
}

// ReadState answers a RequestReadIndex call.
type ReadState struct {
	// RequestID repeats the number that RequestReadIndex returned.
	RequestID uint64
	// Index must be applied before the read is served.
	Index uint64
}

// EventKind tells what happened to a member.
type EventKind uint8

// Kinds of events.
const (
	EventElectionStarted EventKind = iota + 1
	EventBecameLeader
	EventSteppedDown
	EventLeaderKnown
	EventSnapshotReceived
	EventMembershipChanged
	// EventRemoved tells that this member is no longer in the group, once.
	EventRemoved
)

// Reason tells why a leader stepped down.
type Reason string

// Reasons to step down.
const (
	ReasonHigherTerm    Reason = "higher_term"
	ReasonLeaseExpired  Reason = "lease_expired"
	ReasonClockWentBack Reason = "clock_went_back"
	ReasonTransfer      Reason = "transfer"
	ReasonRemoved       Reason = "removed"
	ReasonDiskStalled   Reason = "disk_stalled"
)

// Event is something an operator may want to know.
type Event struct {
	Kind   EventKind
	Term   uint64
	Leader MemberID
	// Reason is set in EventSteppedDown.
	Reason Reason
}

// Ready is what the caller must do next, in this order of fields.
type Ready struct {
	// Messages may be sent at once.
	Messages []Message
	// Write must be stored and synced, then ConfirmWrite be called. It is nil while
	// there is nothing to store or an earlier write is in progress.
	Write *Write
	// Restore replaces the state machine by a synced snapshot, before
	// Committed is applied. It is nil when there is none.
	Restore *Snapshot
	// Committed entries are to be applied in order.
	Committed  []Entry
	ReadStates []ReadState
	Events     []Event
}

// output collects what the next Ready returns.
type output struct {
	now []Message
	// afterSync waits for the next write, inWrite for the one in progress.
	afterSync []Message
	inWrite   []Message
	events    []Event
	reads     []ReadState
	restore   *Snapshot

	// stored is the hard state of the last finished write.
	stored HardState
	// writing is set between Ready and ConfirmWrite; writeLast is the last entry in
	// it that was not truncated since.
	writing    *Write
	writeLast  uint64
	writeSince time.Time
	// snapshotDue goes into the next write; resetDue is Write.Reset of it.
	snapshotDue *Snapshot
	resetDue    bool
}

func (c *Core) sendNow(m Message) {
	c.output.now = append(c.output.now, c.stamp(m))
}

// sendAfterSync sends m when all state up to now is synced.
func (c *Core) sendAfterSync(m Message) {
	c.output.afterSync = append(c.output.afterSync, c.stamp(m))
}

func (c *Core) stamp(m Message) Message {
	m.Group = c.group
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

func (c *Core) emit(event Event) {
	event.Term = c.term
	c.output.events = append(c.output.events, event)
}

// dirty tells whether anything must be synced. A new commit index alone need
// not be.
func (c *Core) dirty() bool {
	state := c.hardState()
	state.Commit = c.output.stored.Commit
	return state != c.output.stored || c.log.stable < c.log.last() || c.output.snapshotDue != nil
}

// Ready returns what to do since the call before. It never blocks.
func (c *Core) Ready() Ready {
	var ready Ready
	ready.Write = c.takeWrite()
	ready.Messages, c.output.now = c.output.now, nil
	ready.Restore, c.output.restore = c.output.restore, nil
	ready.Committed = c.takeCommitted()
	ready.ReadStates, c.output.reads = c.output.reads, nil
	ready.Events, c.output.events = c.output.events, nil
	return ready
}

func (c *Core) takeWrite() *Write {
	if c.output.writing != nil {
		return nil
	}
	if !c.dirty() {
		c.output.now = append(c.output.now, c.output.afterSync...)
		c.output.afterSync = nil
		return nil
	}
	write := &Write{HardState: c.hardState(), Snapshot: c.output.snapshotDue, Reset: c.output.resetDue}
	if from := c.log.stable + 1; from <= c.log.last() {
		write.Entries = append([]Entry(nil), c.log.entries[from-c.log.offset-1:]...)
	}
	if write.Snapshot != nil {
		write.KeepFrom = c.keepFrom(write.Snapshot.Index)
	}
	c.output.writing = write
	c.output.writeLast = c.log.last()
	c.output.snapshotDue = nil
	c.output.resetDue = false
	c.output.inWrite, c.output.afterSync = c.output.afterSync, nil
	c.output.writeSince = c.clock.now
	return write
}

func (c *Core) takeCommitted() []Entry {
	// While a received snapshot is being stored, what follows it is not in
	// reach of applied, and slice returns nothing.
	to := min(c.log.commit, c.log.stable)
	entries := c.log.slice(c.log.applied+1, to, c.config.MaxMessageBytes)
	if len(entries) > 0 {
		c.log.applied = entries[len(entries)-1].Index
	}
	return entries
}

// ConfirmWrite tells that the write of the last Ready is synced. Its
// acknowledgements go out with the next Ready.
func (c *Core) ConfirmWrite() {
	write := c.output.writing
	if write == nil {
		return
	}
	c.output.writing = nil
	c.output.stored = write.HardState
	c.output.now = append(c.output.now, c.output.inWrite...)
	c.output.inWrite = nil
	if write.Snapshot != nil {
		c.finishSnapshot(write)
	}
	c.log.stable = max(c.log.stable, min(c.output.writeLast, c.log.last()))
	c.countOwnVote()
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}
