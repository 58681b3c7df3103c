// Package replica runs one member of the control group: it drives the pure
// consensus state machine, stores its log, exchanges its messages and applies
// committed commands to a StateMachine.
package replica

import (
	"context"
	"time"
)

// StateMachine is the replicated state. Its methods are called from one
// goroutine, with the same commands in the same order on each control VM.
type StateMachine interface {
	// Apply executes the committed command at index and returns its result.
	// It must depend on nothing but the state and its arguments.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Leadership tells who leads the control group, as one member knows it.
type Leadership struct {
	// Term grows with each election; it is the fencing number of orders.
	Term uint64
	// LeaderID is the member id of the leader, 0 when unknown.
	LeaderID uint64
	// LeaderName is the name of the leader in the membership, empty if it is
	// unknown. A member's name is vm.name of its settings. Package site sets that to
	// the VM's internal address, so that its callers can dial the leader by name.
	LeaderName string
	// IsLeader is true while this member holds the leader lease.
	IsLeader bool
	// LeaseUntil is when the leader lease of this member ends unless renewed.
	LeaseUntil time.Time
}

// Proposer submits commands to the control group.
type Proposer interface {
	// Propose replicates command and returns the result of Apply. It fails
	// with ErrNotLeader when this member does not lead, and with ErrOutcomeUnknown
	// when leadership was lost before the fate of the command was known.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once this member is known to lead and has applied
	// all that was committed before the call.
	ReadBarrier(ctx context.Context) error
	// Leadership returns the current view.
	Leadership() Leadership
}
