// Package control is the control role of a process: it takes the operators'
// requests, keeps the registry of the control group, hands accepted bundles to
// the distribution and runs the orders to backend servers while this VM leads.
package control

import (
	"context"

	"godwityoke.example/godwityoke/internal/replica"
)

// Member is a member of the control group.
type Member struct {
	ID   uint64
	Name string
	// Address is the "ip:port" of its gRPC listener.
	Address string
	// Learner is true for a member that does not vote yet.
	Learner bool
	// BehindEntries is how much of the log the member lacks, as the leader
	// knows it.
	BehindEntries uint64
}

// Group is this VM's membership of the control group.
type Group interface {
	replica.Proposer
	// Members lists the members as of the last applied change.
	Members() []Member
	// AddMember adds a VM as a learner and returns once it holds the whole
	// state and votes. It fails when ctx ends before.
	AddMember(ctx context.Context, name, address string) error
	// RemoveMember removes the VM called name.
	RemoveMember(ctx context.Context, name string) error
}
