package consensus

import (
	"errors"
	"time"
)

// ErrQuorumAtRisk refuses a change after which the voters heard lately, without
// the changed one, would be no majority.
var ErrQuorumAtRisk = errors.New("too few of the other voters are in reach for this change")

// ChangeKind is a kind of member change.
type ChangeKind uint8

// Kinds of member changes.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// Change alters the membership by one member.
type Change struct {
	Kind ChangeKind
	// Member is complete for ChangeAddLearner; else only its ID counts.
	Member Member
}

// ProposeChange appends a member change, one at a time. It is in force for
// quorums from now on, and accepted when committed. A change from one majority
// system to the next shares a member with both, so no two leaders can be
// elected.
func (c *Core) ProposeChange(change Change, now time.Time) (index, term uint64, err error) {
	c.observe(now)
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if c.log.commit < c.membershipIndex || c.log.commit < c.lead.termStart {
		return 0, 0, ErrChangeInProgress
	}
	next, err := c.changed(change)
	if err != nil {
		return 0, 0, err
	}
	c.appendOwn(Entry{Kind: EntryMembership, Membership: &next})
	c.updateMembership()
	c.refreshProgress()
	return c.log.last(), c.term, nil
}

func (c *Core) changed(change Change) (Membership, error) {
	switch change.Kind {
	case ChangeAddLearner:
		return c.withLearner(change.Member)
	case ChangePromote:
		return c.withPromoted(change.Member.ID)
	default:
		return c.withRemoved(change.Member.ID)
	}
}

func (c *Core) withLearner(added Member) (Membership, error) {
	for _, member := range c.membership.Members {
		if member.ID == added.ID || member.Name == added.Name || member.Address == added.Address {
			return Membership{}, ErrMemberExists
		}
	}
	added.Learner = true
	return c.membership.with(added), nil
}

// withPromoted lets a learner vote once it has synced all that was committed
// one heartbeat ago, so that a repair counts only when it holds the state. The
// old voters must suffice for the new majority: else the loss of the new one
// would stop the group, and a lost member has to be removed first.
func (c *Core) withPromoted(id MemberID) (Membership, error) {
	member, found := c.membership.Find(id)
	if !found || !member.Learner {
		return Membership{}, ErrUnknownMember
	}
	pr := c.lead.progress[id]
	if pr.state != stateReplicate || pr.match < c.lead.commitBefore || !c.heard(id) {
		return Membership{}, ErrNotCaughtUp
	}
	member.Learner = false
	next := c.membership.with(member)
	voters := c.membership.Voters()
	if len(voters) > 1 && c.heardOf(voters) < next.Quorum() {
		return Membership{}, ErrQuorumAtRisk
	}
	return next, nil
}

func (c *Core) withRemoved(id MemberID) (Membership, error) {
	if _, found := c.membership.Find(id); !found {
		return Membership{}, ErrUnknownMember
	}
	next := c.membership.without(id)
	voters := next.Voters()
	if len(voters) == 0 {
		return Membership{}, ErrLastVoter
	}
	if c.heardOf(voters) < next.Quorum() {
		return Membership{}, ErrQuorumAtRisk
	}
	return next, nil
}

// heardOf counts the members that answered within the last lease.
func (c *Core) heardOf(ids []MemberID) int {
	heard := 0
	for _, id := range ids {
		if c.heard(id) {
			heard++
		}
	}
	return heard
}

// heard tells whether a member answered within the last lease.
func (c *Core) heard(id MemberID) bool {
	pr := c.lead.progress[id]
	return pr == nil || c.clock.now.Sub(pr.heardAt) < c.leaseTerm()
}

// TransferLeadership hands leadership to a voter that has all entries. This member gives
// up its lease before the other may campaign, and for the rest of its term.
func (c *Core) TransferLeadership(now time.Time) error {
	c.observe(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	for _, id := range c.membership.Voters() {
		pr := c.lead.progress[id]
		if pr == nil || pr.match < c.log.last() || !c.heard(id) {
			continue
		}
		c.sendNow(Message{Kind: MessageTimeoutNow, To: id})
		c.stepDown(ReasonTransfer)
		return nil
	}
	return ErrNotCaughtUp
}
