// Package replica runs one member of the control group. It drives the member's
// consensus.Core, stores its log and snapshots through package storage, exchanges its
// messages with the other members over gRPC and applies committed commands to a
// StateMachine. It also forms the group at the first start, and adds, promotes and
// removes members, one per change.
//
// The consensus rules (elections, commits, leases, quorums) are those of package
// consensus. The callers decide when a member is added or removed.
package replica

import (
	"context"
	"time"
)

// StateMachine is the replicated state. Its methods are called from one
// goroutine. Each control VM applies the same commands in the same order.
type StateMachine interface {
	// Apply executes the committed command at the log index and returns its result.
	// It must be deterministic: the result and the new state may depend only on the
	// previous state and on the arguments.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state. If it fails, or returns more than 256 MiB,
	// the log is not compacted and the snapshot is attempted again later.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot. If it fails, the member stops.
	Restore(snapshot []byte) error
}

// Leadership describes who leads the control group, as known to one member.
type Leadership struct {
	// Term is the consensus term. It grows with each election and is the fencing
	// token of orders.
	Term uint64
	// LeaderID is the member ID of the leader, 0 if it is unknown.
	LeaderID uint64
	// LeaderName is the name of the leader in the known membership, empty if the leader
	// is unknown or not in it. A member's name is vm.name of its settings. Package site
	// sets that to the VM's internal address; package hub relies on this and dials the
	// leader by its name.
	LeaderName string
	// IsLeader is true while this member holds the leader lease and is not stopping.
	IsLeader bool
	// LeaseUntil is the time at which this member's leader lease expires unless it is
	// renewed, zero if it holds none.
	LeaseUntil time.Time
}

// Proposer submits commands to the control group.
type Proposer interface {
	// Propose replicates command, and returns the result of Apply once this member
	// has applied it. After ErrNotLeader, ErrBusy, ErrTooLarge and ErrStopped the
	// command was not proposed. After ErrOutcomeUnknown, alone or joined with the error
	// of ctx, the command may still be committed. The error of ctx alone means that ctx
	// ended before the command was proposed.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns nil once a quorum has confirmed that this member leads, and
	// it has applied every command that was committed before the call. Reads of the
	// state machine after it are linearizable. It returns ErrNotLeader if this member
	// does not lead or stops leading meanwhile, ErrStopped, or the error of ctx.
	ReadBarrier(ctx context.Context) error
	// Leadership returns the leadership as known to this member. It does not block.
	Leadership() Leadership
}
