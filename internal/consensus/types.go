// Package consensus is the replicated log of the control group: a pure state
// machine in the manner of Raft. Messages, proposals and the time go in, and
// Ready says what to send, to store and to apply. It does no input or output,
// starts no goroutine and reads no clock.
package consensus

import "time"

// MemberID identifies one data folder. It is random and made at first start,
// so an empty folder never has the id of an earlier member. Zero is no member.
type MemberID uint64

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryNoOp opens the term of a new leader.
	EntryNoOp EntryKind = iota
	// EntryCommand holds a command of the state machine.
	EntryCommand
	// EntryMembership holds a new Membership.
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command of an EntryCommand.
	Data []byte
	// Membership is set in an EntryMembership.
	Membership *Membership
}

// entryOverheadBytes is added to the data of an entry to bound messages.
const entryOverheadBytes = 64

func (e *Entry) size() int {
	size := len(e.Data) + entryOverheadBytes
	if e.Membership != nil {
		size += len(e.Membership.Members) * entryOverheadBytes
	}
	return size
}

// HardState is what a member must not forget over a restart.
type HardState struct {
	// Group identifies the control group, zero before the member has one.
	Group uint64
	Term  uint64
	// Vote is the member that got this member's vote in Term.
	Vote MemberID
	// Commit is an index that was committed; a later one may be too.
	Commit uint64
}

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages. Responses are sent only after the state that they
// acknowledge is synced.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
	MessageSnapshotResponse
	// MessageTimeoutNow asks the receiver to campaign at once: the sender has
	// given up leadership and its lease.
	MessageTimeoutNow
)

// Message is one message between members.
type Message struct {
	Kind  MessageKind
	Group uint64
	From  MemberID
	To    MemberID
	Term  uint64
	// Index is the entry before Entries in an append, the last entry of a
	// candidate in a vote, the acknowledged entry in a response.
	Index uint64
	// LogTerm is the term of the entry at Index in an append or a vote.
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is where a rejected append may go on, or the next offset in a
	// snapshot response.
	Hint uint64
	// Round numbers the heartbeats of a leader; responses repeat it.
	Round uint64
	// Transfer tells that the leader of the term before gave up its lease in
	// favour of this candidate.
	Transfer bool
	// Removed tells a candidate that it is no longer in the group.
	Removed  bool
	Snapshot *SnapshotChunk
}

// Size returns about how many bytes the message takes.
func (m *Message) Size() int {
	size := entryOverheadBytes
	for i := range m.Entries {
		size += m.Entries[i].size()
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// SnapshotChunk is a part of a snapshot in transfer.
type SnapshotChunk struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// Total is the size of the whole data in bytes.
	Total uint64
	// Offset is where Data begins, in bytes.
	Offset uint64
	Data   []byte
}

// Role is what a member is in its term.
type Role uint8

// Roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status is the view of one member.
type Status struct {
	ID     MemberID
	Group  uint64
	Role   Role
	Term   uint64
	Leader MemberID
	// LeaseUntil is when the leader lease of this member ends unless renewed;
	// zero when it holds none.
	LeaseUntil time.Time
	Commit     uint64
	Applied    uint64
	// SnapshotIndex is the last entry in the stored snapshot.
	SnapshotIndex uint64
	// LastIndex is the last entry of the log.
	LastIndex  uint64
	Membership Membership
	// Progress tells, at a leader only, how far each other member is.
	Progress []MemberProgress
}

// MemberProgress is how far a member is, as the leader knows it.
type MemberProgress struct {
	ID MemberID
	// MatchIndex is the last entry that the member is known to have on disk.
	MatchIndex uint64
	// Reachable is false when the member did not answer within a lease.
	Reachable bool
}
