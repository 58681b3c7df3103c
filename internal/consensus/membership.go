package consensus

import (
	"cmp"
	"slices"
)

// Member is a control VM in the control group.
type Member struct {
	ID MemberID
	// Name is the VM name from its settings.
	Name string
	// Address is the "ip:port" of its gRPC listener.
	Address string
	// Learner is set for a member that receives the log but neither votes nor
	// counts for a quorum.
	Learner bool
}

// Membership is the list of all members of the control group.
type Membership struct {
	// Members is sorted by ID.
	Members []Member
}

// NewMembership returns a membership of the given members, in any order.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: sorted}
}

// Find returns the member with the given id, and false if there is none.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the member with the given id is in the group and no
// learner.
func (m Membership) IsVoter(id MemberID) bool {
	member, found := m.Find(id)
	return found && !member.Learner
}

// Voters returns the ids of the members that vote and count for a quorum.
func (m Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range m.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Quorum returns the number of voters that form a majority of all voters.
func (m Membership) Quorum() int {
	return len(m.Voters())/2 + 1
}

// with returns a copy in which member is added, or replaces the one with its id.
func (m Membership) with(member Member) Membership {
	members := m.without(member.ID).Members
	return NewMembership(append(members, member)...)
}

func (m Membership) without(id MemberID) Membership {
	var members []Member
	for _, member := range m.Members {
		if member.ID != id {
			members = append(members, member)
		}
	}
	return Membership{Members: members}
}

// quorumValue returns the highest value that a majority of the voters has
// reached, 0 without voters. The argument value returns the value of one voter.
func (m Membership) quorumValue(value func(MemberID) uint64) uint64 {
	voters := m.Voters()
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-m.Quorum()]
}
