// Package consensus implements the replicated log of the control group as a
// deterministic state machine that follows Raft, with pre-votes, leader leases,
// read indexes, learners and single-step membership changes. The caller passes
// in messages, proposals and the current time; Core.Ready returns the messages
// to send, the state to sync and the entries to apply. The package does no I/O,
// starts no goroutines and reads no clock; package replica drives it, package
// storage stores its state and package codec encodes it.
package consensus

import "time"

// MemberID identifies a member by its data folder. It is drawn at random when
// the folder is first used: after the loss of a disk, the empty folder must not
// vote under the id whose synced votes and entries are lost. Zero means no
// member.
type MemberID uint64

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of entries. The values are stored and sent.
const (
	// EntryNoOp is the first entry that a leader appends in its term. Its commit
	// also commits the entries of earlier terms. Its data names the leader (see
	// markOf); it is empty in entries of earlier versions.
	EntryNoOp EntryKind = iota
	// EntryCommand carries a command for the replicated state machine.
	EntryCommand
	// EntryMembership carries the complete new Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command of an EntryCommand, or the mark of the leader in an
	// EntryNoOp.
	Data []byte
	// Membership is set in an EntryMembership only.
	Membership *Membership
}

// entryOverheadBytes is the estimated encoded size of an entry without its data,
// and of one member in a Membership.
const entryOverheadBytes = 64

// size returns the estimated encoded size of the entry in bytes.
func (e *Entry) size() int {
	size := len(e.Data) + entryOverheadBytes
	if e.Membership != nil {
		size += len(e.Membership.Members) * entryOverheadBytes
	}
	return size
}

// HardState is the state of a member that must survive a restart.
type HardState struct {
	// Group identifies the control group; 0 until the member joins one.
	Group uint64
	Term  uint64
	// Vote is the member that this member voted for in Term; 0 if none.
	Vote MemberID
	// Commit is a lower bound of the commit index: a new commit index alone
	// causes no write.
	Commit uint64
}

// Snapshot is the state of the replicated state machine after the entry at
// Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages. The values are sent to other members. A response is sent
// only after the state that it acknowledges is synced.
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
	// MessageTimeoutNow tells the receiver to start an election at once. The
	// sender gives up leadership and its lease before the message goes out.
	MessageTimeoutNow
)

// Message is a message from one member to another.
type Message struct {
	Kind  MessageKind
	Group uint64
	From  MemberID
	To    MemberID
	// Term is the term of the sender; in a pre-vote and a granted response to it, the
	// term that the candidate proposes.
	Term uint64
	// Index is the index of the entry before Entries in an append, of the last log
	// entry of the candidate in a vote or pre-vote, of the acknowledged or rejected
	// entry in the response to an append, and of the snapshot in a snapshot response.
	Index uint64
	// LogTerm is the term of the entry at Index in an append, a vote or a
	// pre-vote.
	LogTerm uint64
	Entries []Entry
	// Commit is the leader's commit index in an append. In a heartbeat, it is at most
	// the highest index that the leader knows to match at the receiver.
	Commit uint64
	// Reject is set in a response that rejects an append or refuses a vote or
	// pre-vote.
	Reject bool
	// Hint is the last index at which the logs may still agree, in the rejection
	// of an append, or the next byte offset in a snapshot response.
	Hint uint64
	// Round is the number of a heartbeat round within a leader's term; the
	// response repeats it.
	Round uint64
	// Transfer is set in a vote request or pre-vote whose sender knows that no leader of
	// an earlier term holds a lease, so voters need not wait for its expiry: after a
	// leadership transfer, or if the sender itself led the last term and has restarted, or
	// knows that the process of the last leader has ended.
	Transfer bool
	// Removed is set in a pre-vote response when the candidate has been removed
	// from the group.
	Removed  bool
	Snapshot *SnapshotChunk
}

// Size returns the estimated size of the message in bytes.
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

// SnapshotChunk is a part of the data of a snapshot, with the snapshot's
// metadata.
type SnapshotChunk struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// Total is the size of the snapshot's data in bytes.
	Total uint64
	// Offset is the position of Data in the snapshot's data, in bytes.
	Offset uint64
	Data   []byte
}

// Role is the role of a member in its current term. Learners are followers.
type Role uint8

// Roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status is the state of a member as the member itself knows it.
type Status struct {
	ID    MemberID
	Group uint64
	Role  Role
	Term  uint64
	// Leader is the leader of Term; 0 if unknown.
	Leader MemberID
	// LeaseUntil is when this member's leader lease expires unless renewed; zero
	// if it holds none.
	LeaseUntil time.Time
	// Commit is the commit index.
	Commit uint64
	// Applied is the index of the last entry that Ready returned for applying,
	// or of the snapshot that it returned for restoring.
	Applied uint64
	// SnapshotIndex is the index of the last entry that the latest snapshot
	// covers.
	SnapshotIndex uint64
	// LastIndex is the index of the last log entry.
	LastIndex  uint64
	Membership Membership
	// Progress is the replication progress of the other members; nil unless this
	// member leads.
	Progress []MemberProgress
}

// MemberProgress is the replication progress of a member as the leader knows it.
type MemberProgress struct {
	ID MemberID
	// MatchIndex is the highest index up to which the member is known to have
	// synced the leader's log.
	MatchIndex uint64
	// Reachable reports whether the member responded within the last lease
	// duration.
	Reachable bool
}
