package replica

import "errors"

var (
	// ErrNotLeader is returned if this member does not lead. The command was not
	// proposed.
	ErrNotLeader = errors.New("this control VM is not the leader")
	// ErrOutcomeUnknown is returned if this member lost leadership, or the caller's
	// context ended, after the command was proposed. The command may still be committed.
	ErrOutcomeUnknown = errors.New("leadership was lost before the command was committed")
	// ErrStopped is returned if the replica has stopped, by Stop, by Abort or by a
	// failure.
	ErrStopped = errors.New("the replica is stopped")
)
