package consensus

import "time"

// Write is state that must be synced before any message that acknowledges it is
// sent.
type Write struct {
	// HardState replaces the stored hard state.
	HardState HardState
	// Entries replace the stored entries from the index of the first one on.
	Entries []Entry
	// Snapshot is to be stored before the rest; nil if there is none.
	Snapshot *Snapshot
	// Reset means that Snapshot replaces the whole stored log.
	Reset bool
	// KeepFrom is the first index that the storage must keep. Entries before it
	// may be removed once Snapshot is synced. It is 0 without a Snapshot.
	KeepFrom uint64
}

// ReadState is the answer to a RequestReadIndex call.
type ReadState struct {
	// RequestID is the number that RequestReadIndex returned.
	RequestID uint64
	// Index is the read index: the read may be served once the entry at Index is
	// applied.
	Index uint64
}

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EventElectionStarted is emitted when a pre-vote starts, in the term before
	// that of the election. An election after a leadership transfer has no pre-vote
	// and emits none.
	EventElectionStarted EventKind = iota + 1
	EventBecameLeader
	EventSteppedDown
	EventLeaderKnown
	EventSnapshotReceived
	EventMembershipChanged
	// EventRemoved is emitted once, when another member reports that this member
	// has been removed from the group.
	EventRemoved
)

// Reason is the reason why a leader stepped down.
type Reason string

// Reasons to step down. The values are part of log output.
const (
	ReasonHigherTerm    Reason = "higher_term"
	ReasonLeaseExpired  Reason = "lease_expired"
	ReasonClockWentBack Reason = "clock_went_back"
	ReasonTransfer      Reason = "transfer"
	ReasonRemoved       Reason = "removed"
	ReasonDiskStalled   Reason = "disk_stalled"
)

// Event is a change in the state of a member that is of interest to operators.
type Event struct {
	Kind EventKind
	// Term is the term of the member at the event.
	Term uint64
	// Leader is set in EventBecameLeader and EventLeaderKnown.
	Leader MemberID
	// Reason is set in EventSteppedDown.
	Reason Reason
}

// Ready is the work that the caller must do, in the order of the fields.
type Ready struct {
	// Messages are to be sent. State that they acknowledge is synced already.
	Messages []Message
	// Write must be stored and synced; then ConfirmWrite must be called. It is nil
	// while there is nothing to store or an earlier write is in progress. The caller
	// need not wait for the sync before it goes on.
	Write *Write
	// Restore is a synced snapshot that replaces the state of the replicated state
	// machine before Committed is applied; nil if there is none.
	Restore *Snapshot
	// Committed holds the committed entries to be applied, in the order of their
	// indexes.
	Committed  []Entry
	ReadStates []ReadState
	Events     []Event
}

// output collects what the next Ready returns.
type output struct {
	immediate []Message
	// afterSync holds messages to be sent after the next write, awaitingWrite those
	// to be sent after the write in progress.
	afterSync     []Message
	awaitingWrite []Message
	events        []Event
	reads         []ReadState
	restore       *Snapshot

	// stored is the hard state of the last finished write.
	stored HardState
	// writing is the write in progress, set between Ready and ConfirmWrite.
	// writeLastIndex is the last log index at the start of that write, lowered when
	// the log is truncated meanwhile.
	writing        *Write
	writeLastIndex uint64
	writeStartedAt time.Time
	// pendingSnapshot and pendingReset become Write.Snapshot and Write.Reset of the
	// next write.
	pendingSnapshot *Snapshot
	pendingReset    bool
}

func (c *Core) sendNow(m Message) {
	c.output.immediate = append(c.output.immediate, c.stamp(m))
}

// sendAfterSync sends m once all state that m may acknowledge is synced.
func (c *Core) sendAfterSync(m Message) {
	c.output.afterSync = append(c.output.afterSync, c.stamp(m))
}

// stamp fills in the group, the sender and, unless it is set, the term.
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

// hasUnsyncedState reports whether a write is needed. A new commit index alone
// needs none, since a restarted member learns it from the leader.
func (c *Core) hasUnsyncedState() bool {
	state := c.hardState()
	state.Commit = c.output.stored.Commit
	return state != c.output.stored || c.log.stable < c.log.lastIndex() || c.output.pendingSnapshot != nil
}

// Ready returns the work that has come up since the last call. Callers repeat it
// until it returns none.
func (c *Core) Ready() Ready {
	var ready Ready
	ready.Write = c.nextWrite()
	ready.Messages, c.output.immediate = c.output.immediate, nil
	ready.Restore, c.output.restore = c.output.restore, nil
	ready.Committed = c.nextCommitted()
	ready.ReadStates, c.output.reads = c.output.reads, nil
	ready.Events, c.output.events = c.output.events, nil
	return ready
}

// nextWrite returns the next write, or nil if there is none or one is in
// progress. Without a need for a write, the messages that wait for one are sent.
func (c *Core) nextWrite() *Write {
	if c.output.writing != nil {
		return nil
	}
	if !c.hasUnsyncedState() {
		c.output.immediate = append(c.output.immediate, c.output.afterSync...)
		c.output.afterSync = nil
		return nil
	}
	write := &Write{HardState: c.hardState(), Snapshot: c.output.pendingSnapshot, Reset: c.output.pendingReset}
	if from := c.log.stable + 1; from <= c.log.lastIndex() {
		write.Entries = append([]Entry(nil), c.log.entries[from-c.log.offset-1:]...)
	}
	if write.Snapshot != nil {
		write.KeepFrom = c.keepFrom(write.Snapshot.Index)
	}
	c.output.writing = write
	c.output.writeLastIndex = c.log.lastIndex()
	c.output.pendingSnapshot = nil
	c.output.pendingReset = false
	c.output.awaitingWrite, c.output.afterSync = c.output.afterSync, nil
	c.output.writeStartedAt = c.clock.now
	return write
}

// nextCommitted returns committed entries that are synced at this member, up to
// Config.MaxMessageBytes.
func (c *Core) nextCommitted() []Entry {
	// While a received snapshot is being stored, the entry after applied is
	// compacted, so slice returns nothing.
	to := min(c.log.commit, c.log.stable)
	entries := c.log.slice(c.log.applied+1, to, c.config.MaxMessageBytes)
	if len(entries) > 0 {
		c.log.applied = entries[len(entries)-1].Index
	}
	return entries
}

// ConfirmWrite reports that the write in progress is synced. The messages that
// waited for it are returned by the next Ready.
func (c *Core) ConfirmWrite() {
	write := c.output.writing
	if write == nil {
		return
	}
	c.output.writing = nil
	c.output.stored = write.HardState
	c.output.immediate = append(c.output.immediate, c.output.awaitingWrite...)
	c.output.awaitingWrite = nil
	if write.Snapshot != nil {
		c.finishSnapshot(write)
	}
	c.log.stable = max(c.log.stable, min(c.output.writeLastIndex, c.log.lastIndex()))
	c.countOwnVote()
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}
