// Package members keeps the control group complete without an operator: VMs
// that ask to vote are added, and those that were lost give up their place to
// them. Plan decides and is pure; Reconciler carries it out on the leader.
package members

import (
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
)

const (
	// lostAfter is the silence after which a voter gives up its place to a VM
	// that asks for one: longer than an election with its retry, and short
	// enough that the place is filled within the time that the platform allows
	// before it takes the next VM away.
	lostAfter = 2500 * time.Millisecond
	// joinerFresh is how long a VM that asked to vote counts as present.
	joinerFresh = 3 * time.Second
	// maxVoters bounds the voters; more make each write slower and no safer.
	maxVoters = 9
)

// Joiner is a VM that asks to vote.
type Joiner struct {
	ID      consensus.MemberID
	Name    string
	Address string
	// RequestedAt is the time of its latest request.
	RequestedAt time.Time
}

// Member is a member as the leader sees it.
type Member struct {
	consensus.Member
	// UnresponsiveFor is the time since the member last answered; 0 for the leader.
	UnresponsiveFor time.Duration
}

// StepKind is a kind of change.
type StepKind uint8

// Kinds of steps.
const (
	StepNone StepKind = iota
	StepAdd
	StepPromote
	StepRemove
)

// String returns the name of the step for logs.
func (k StepKind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[k]
}

// Step is the next change of the members.
type Step struct {
	Kind   StepKind
	Member consensus.Member
	Reason string
}

// Plan returns the next change. A member whose VM lost its disk asks again
// under its address with a new id: the old id goes first, since it would count
// for quorums while nobody can answer for it. A silent voter goes only when
// another VM can take its place.
func Plan(members []Member, joiners []Joiner, now time.Time) Step {
	for _, joiner := range joiners {
		if now.Sub(joiner.RequestedAt) > joinerFresh || isVoter(members, joiner.ID) {
			continue
		}
		if replaced, found := sameAddress(members, joiner); found {
			return Step{Kind: StepRemove, Member: replaced.Member, Reason: "its VM came back without its disk"}
		}
		if learner, found := find(members, joiner.ID); found {
			return Step{Kind: StepPromote, Member: learner.Member, Reason: "the VM asked to vote"}
		}
		if lost, found := silentVoter(members); found {
			return Step{Kind: StepRemove, Member: lost.Member, Reason: "it is silent and another VM takes its place"}
		}
		if len(members) >= maxVoters {
			continue
		}
		added := consensus.Member{ID: joiner.ID, Name: joiner.Name, Address: joiner.Address}
		return Step{Kind: StepAdd, Member: added, Reason: "the VM asked to vote"}
	}
	for _, member := range members {
		if member.Learner && member.UnresponsiveFor > lostAfter {
			return Step{Kind: StepRemove, Member: member.Member, Reason: "the learner is silent"}
		}
	}
	return Step{}
}

func isVoter(members []Member, id consensus.MemberID) bool {
	member, found := find(members, id)
	return found && !member.Learner
}

func find(members []Member, id consensus.MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// sameAddress finds the earlier identity of the VM of a joiner.
func sameAddress(members []Member, joiner Joiner) (Member, bool) {
	for _, member := range members {
		if member.ID != joiner.ID && member.Address == joiner.Address {
			return member, true
		}
	}
	return Member{}, false
}

func silentVoter(members []Member) (Member, bool) {
	for _, member := range members {
		if !member.Learner && member.UnresponsiveFor > lostAfter {
			return member, true
		}
	}
	return Member{}, false
}
