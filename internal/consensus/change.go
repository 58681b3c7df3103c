package consensus

import (
	"errors"
	"time"
)

// ErrQuorumAtRisk refuses a change after which the reachable voters, not counting
// the promoted or removed member, would not form a quorum.
var ErrQuorumAtRisk = errors.New("too few of the other voters are in reach for this change")

// ErrTooFewVoters refuses a removal after which fewer than Change.MinVoters voters
// would remain.
var ErrTooFewVoters = errors.New("too few voters would remain")

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// Change is a membership change of one member.
type Change struct {
	Kind ChangeKind
	// Member is the member to change. ChangeAddLearner uses its ID, Name and Address,
	// the other kinds only its ID.
	Member Member
	// MinVoters is the number of voters that must remain after a ChangeRemove, 0 for
	// no limit.
	MinVoters int
}

// ProposeChange appends a membership change and returns its index and term. The
// new membership determines quorums as soon as it is in the log; the change is
// accepted when Ready returns that entry as committed. ProposeChange returns
// ErrNotLeader, ErrChangeInProgress or the reason why the change is refused:
// ErrMemberExists, ErrUnknownMember, ErrNotCaughtUp, ErrLastVoter, ErrTooFewVoters
// or ErrQuorumAtRisk.
//
// Safety rests on single-step changes: each adds, promotes or removes one member,
// so that any quorum of the old membership shares a voter with any quorum of the
// new one and only one leader can be elected in a term. Therefore a change waits
// until the previous one is committed, and until an entry of this term is, since
// a leader of an earlier term may have left an uncommitted change elsewhere.
func (c *Core) ProposeChange(change Change, now time.Time) (index, term uint64, err error) {
	c.advanceClock(now)
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if c.log.commit < c.membershipIndex || c.log.commit < c.lead.termStart {
		return 0, 0, ErrChangeInProgress
	}
	next, err := c.membershipAfter(change)
	if err != nil {
		return 0, 0, err
	}
	c.appendAsLeader(Entry{Kind: EntryMembership, Membership: &next})
	c.updateMembership()
	c.refreshProgress()
	return c.log.lastIndex(), c.term, nil
}

// membershipAfter returns the membership that results from change.
func (c *Core) membershipAfter(change Change) (Membership, error) {
	switch change.Kind {
	case ChangeAddLearner:
		return c.withLearner(change.Member)
	case ChangePromote:
		return c.withPromoted(change.Member.ID)
	default:
		return c.withRemoved(change.Member.ID, change.MinVoters)
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

// withPromoted returns the membership in which learner id is a voter. The learner
// must have synced all entries that were committed at the last periodic
// heartbeat, so that it counts for a quorum only when it holds the state. If
// there is more than one voter, the reachable voters must be able to form the new
// quorum without the learner: otherwise the loss of the new voter would stop the
// group. A lost voter therefore has to be removed before its replacement is
// promoted.
func (c *Core) withPromoted(id MemberID) (Membership, error) {
	member, found := c.membership.Find(id)
	if !found || !member.Learner {
		return Membership{}, ErrUnknownMember
	}
	pr := c.lead.progress[id]
	if pr.state != stateReplicate || pr.match < c.lead.commitAtHeartbeat || !c.isReachable(id) {
		return Membership{}, ErrNotCaughtUp
	}
	member.Learner = false
	next := c.membership.with(member)
	voters := c.membership.Voters()
	if len(voters) > 1 && c.countReachable(voters) < next.Quorum() {
		return Membership{}, ErrQuorumAtRisk
	}
	return next, nil
}

// withRemoved returns the membership without member id. The reachable remaining
// voters must form a quorum, and a removed voter must leave minVoters.
func (c *Core) withRemoved(id MemberID, minVoters int) (Membership, error) {
	if _, found := c.membership.Find(id); !found {
		return Membership{}, ErrUnknownMember
	}
	next := c.membership.without(id)
	voters := next.Voters()
	if len(voters) == 0 {
		return Membership{}, ErrLastVoter
	}
	if c.membership.IsVoter(id) && len(voters) < minVoters {
		return Membership{}, ErrTooFewVoters
	}
	if c.countReachable(voters) < next.Quorum() {
		return Membership{}, ErrQuorumAtRisk
	}
	return next, nil
}

// countReachable returns how many of the members are reachable.
func (c *Core) countReachable(ids []MemberID) int {
	reachable := 0
	for _, id := range ids {
		if c.isReachable(id) {
			reachable++
		}
	}
	return reachable
}

// isReachable reports whether a member responded within the last lease duration.
// A member without progress, such as this leader, counts as reachable.
func (c *Core) isReachable(id MemberID) bool {
	pr := c.lead.progress[id]
	return pr == nil || c.clock.now.Sub(pr.lastResponseAt) < c.leaseDuration()
}

// TransferLeadership asks the first reachable voter that is known to hold the
// whole log to start an election, and steps down. Before the request goes out,
// this member gives up its lease for the rest of the term, so that the voters
// need not wait for its expiry. TransferLeadership returns ErrNotLeader if this
// member does not lead, and ErrNotCaughtUp if there is no such voter.
func (c *Core) TransferLeadership(now time.Time) error {
	c.advanceClock(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	for _, id := range c.membership.Voters() {
		pr := c.lead.progress[id]
		if pr == nil || pr.match < c.log.lastIndex() || !c.isReachable(id) {
			continue
		}
		c.sendNow(Message{Kind: MessageTimeoutNow, To: id})
		c.stepDown(ReasonTransfer)
		return nil
	}
	return ErrNotCaughtUp
}
