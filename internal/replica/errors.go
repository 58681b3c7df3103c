package replica

import "errors"

var (
	// ErrNotLeader tells that the command was not replicated: another member
	// leads, or none does.
	ErrNotLeader = errors.New("this control VM is not the leader")
	// ErrOutcomeUnknown tells that the command may or may not be accepted later.
	ErrOutcomeUnknown = errors.New("leadership was lost before the command was committed")
	// ErrStopped tells that the replica has been stopped.
	ErrStopped = errors.New("the replica is stopped")
)
