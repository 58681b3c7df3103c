package control

import (
	"context"
	"slices"

	"godwityoke.example/godwityoke/internal/replica"
)

// ReplicaGroup implements Group on a running replica.
type ReplicaGroup struct {
	*replica.Replica
}

// Members implements Group.
func (g *ReplicaGroup) Members() []Member {
	replicaMembers := g.Replica.Members()
	members := make([]Member, 0, len(replicaMembers))
	for _, member := range replicaMembers {
		members = append(members, Member{
			ID: uint64(member.ID), Name: member.Name, Address: member.Address, Learner: member.Learner,
		})
	}
	return members
}

// AddMember implements Group. A VM that is a member already is only promoted.
func (g *ReplicaGroup) AddMember(ctx context.Context, name, address string) error {
	isMember := slices.ContainsFunc(g.Members(), func(member Member) bool { return member.Name == name })
	if !isMember {
		if _, err := g.AddLearner(ctx, name, address); err != nil {
			return err
		}
	}
	return g.Promote(ctx, name)
}

// RemoveMember implements Group.
func (g *ReplicaGroup) RemoveMember(ctx context.Context, name string) error {
	return g.Remove(ctx, name)
}
