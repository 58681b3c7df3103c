// Package members maintains the membership of the control group without an operator:
// it adds VMs that request to join, removes the members that they replace, and removes
// unresponsive and stopping members that the group does not need. Plan is a pure function
// that decides on the next single-step change; Reconciler executes it on the leader.
// Consensus itself is in package consensus.
package members

import (
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
)

const (
	// unresponsiveAfter is the time without an answer after which a voter may be
	// replaced by a VM that requests to join, and a learner is removed. It is longer
	// than an election with one retry, and short enough that the replacement is
	// complete before the platform takes the next VM away.
	unresponsiveAfter = 2500 * time.Millisecond
	// joinRequestTTL is how long a join request is valid; a VM repeats it until it is a
	// voter.
	joinRequestTTL = 3 * time.Second
	// maxMembers bounds the members, learners included, up to which a joiner is added.
	// More voters make each write slower but no safer.
	maxMembers = 9
	// defaultMinVoters is the smallest group that survives the loss of a disk.
	defaultMinVoters = 3
)

// Joiner is a VM that requests to become a voter.
type Joiner struct {
	ID      consensus.MemberID
	Name    string
	Address string
	// RequestedAt is the time of the VM's latest join request.
	RequestedAt time.Time
}

// Member is a member with its state as the leader observes it.
type Member struct {
	consensus.Member
	// UnresponsiveFor is the time since the member last answered; 0 for the leader.
	UnresponsiveFor time.Duration
}

// StepKind is a kind of membership change.
type StepKind uint8

// The kinds of steps. StepAdd adds a learner, StepPromote makes a learner a voter.
const (
	StepNone StepKind = iota
	StepAdd
	StepPromote
	StepRemove
)

// String returns the name of the kind for logs.
func (k StepKind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[k]
}

// Step is one membership change, with the reason for logs.
type Step struct {
	Kind   StepKind
	Member consensus.Member
	// MinVoters is the number of voters that must remain after a removal, 0 for no
	// limit.
	MinVoters int
	Reason    string
}

// MinVoters returns the number of voters below which a group does not shrink without a
// replacement. It is the smallest group in which, after the loss of lostDisks disks at the
// same time, the other voters are a quorum and each committed entry is on one of their
// disks.
func MinVoters(lostDisks int) int { return max(2*lostDisks+1, defaultMinVoters) }

// Plan returns the next membership change, or a Step of kind StepNone if none is due.
// Join requests of voters and expired ones are ignored.
//
// A VM that lost its disk requests to join with a new ID under its former address. Its
// former ID is removed before the new one is added, since the former ID counts for
// quorums although no VM can answer for it. An unresponsive voter is removed if another
// VM requests to join. It is removed before that VM is promoted: while it counts, the
// reachable voters may be too few for the promotion, see consensus.ErrQuorumAtRisk.
//
// If no join request needs a change, an unresponsive learner is removed, and an
// unresponsive voter if at least minVoters remain: while it counts, it takes part in no
// quorum but makes it larger. It joins again if it comes back.
func Plan(members []Member, joiners []Joiner, minVoters int, now time.Time) Step {
	for _, joiner := range joiners {
		if now.Sub(joiner.RequestedAt) > joinRequestTTL || isVoter(members, joiner.ID) {
			continue
		}
		if former, found := findFormer(members, joiner); found {
			return Step{Kind: StepRemove, Member: former.Member, Reason: "the VM requested to join with a new ID after the loss of its disk"}
		}
		if voter, found := findUnresponsiveVoter(members); found {
			return Step{Kind: StepRemove, Member: voter.Member, Reason: "the voter is unresponsive and another VM requested to join"}
		}
		if learner, found := findMember(members, joiner.ID); found {
			return Step{Kind: StepPromote, Member: learner.Member, Reason: "the VM requested to join"}
		}
		if len(members) >= maxMembers {
			continue
		}
		added := consensus.Member{ID: joiner.ID, Name: joiner.Name, Address: joiner.Address}
		return Step{Kind: StepAdd, Member: added, Reason: "the VM requested to join"}
	}
	for _, member := range members {
		if member.Learner && member.UnresponsiveFor > unresponsiveAfter {
			return Step{Kind: StepRemove, Member: member.Member, Reason: "the learner is unresponsive"}
		}
	}
	if voter, found := findUnresponsiveVoter(members); found && countVoters(members) > minVoters {
		return Step{
			Kind: StepRemove, Member: voter.Member, MinVoters: minVoters,
			Reason: "the voter is unresponsive and enough others remain",
		}
	}
	return Step{}
}

func countVoters(members []Member) int {
	voters := 0
	for _, member := range members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

func isVoter(members []Member, id consensus.MemberID) bool {
	member, found := findMember(members, id)
	return found && !member.Learner
}

func findMember(members []Member, id consensus.MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// findFormer returns the member with the joiner's address and another ID.
func findFormer(members []Member, joiner Joiner) (Member, bool) {
	for _, member := range members {
		if member.ID != joiner.ID && member.Address == joiner.Address {
			return member, true
		}
	}
	return Member{}, false
}

func findUnresponsiveVoter(members []Member) (Member, bool) {
	for _, member := range members {
		if !member.Learner && member.UnresponsiveFor > unresponsiveAfter {
			return member, true
		}
	}
	return Member{}, false
}
