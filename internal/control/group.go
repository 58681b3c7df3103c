// Package control is the control role of a process. It serves the requests of
// operators, proposes commands to the registry of the control group, passes
// accepted bundles to the distribution node, and sends the orders to backend servers
// while this VM is the leader. Replication is the responsibility of package
// replica, the stored state that of package registry.
package control

import (
	"context"

	"godwityoke.example/godwityoke/internal/replica"
)

// Member is a member of the control group.
type Member struct {
	ID   uint64
	Name string
	// Address is the "ip:port" of the member's gRPC listener.
	Address string
	// Learner is true for a member that doesn't vote yet.
	Learner bool
	// BehindEntries is the number of log entries that the member lacks, as the
	// leader knows it.
	BehindEntries uint64
}

// Group is the control group as this VM's member sees it.
type Group interface {
	replica.Proposer
	// Members returns the members as of the last applied membership change.
	Members() []Member
	// AddMember adds a VM as a learner and returns once it has caught up and is
	// a voter. A call for a learner only promotes it. The call fails if ctx ends
	// first.
	AddMember(ctx context.Context, name, address string) error
	// RemoveMember removes the member called name.
	RemoveMember(ctx context.Context, name string) error
}
