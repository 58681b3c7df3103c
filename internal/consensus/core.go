package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

var (
	// ErrNotLeader is returned by calls that only a leader serves.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrBusy refuses a proposal while more than Config.MaxPendingBytes of this
	// term's entries are uncommitted.
	ErrBusy = errors.New("too many bytes wait for commit")
	// ErrTooLarge refuses a command of more than Config.MaxCommandBytes.
	ErrTooLarge = errors.New("the command is too large")
	// ErrChangeInProgress refuses a membership change until the previous change
	// and an entry of the current term are committed.
	ErrChangeInProgress = errors.New("another member change is in progress")
	// ErrNotCaughtUp refuses to promote a learner that is not known to hold the
	// committed entries, and to transfer leadership while no reachable voter is
	// known to hold the whole log.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrUnknownMember refuses to remove a member that is not in the group, and
	// to promote one that is no learner of the group.
	ErrUnknownMember = errors.New("no such member")
	// ErrMemberExists refuses to add a member whose id, name or address the group
	// already has.
	ErrMemberExists = errors.New("the group has a member with this id, name or address")
	// ErrLastVoter refuses to remove the only voter.
	ErrLastVoter = errors.New("the last voting member cannot be removed")
	// ErrMessageRefused is wrapped by the errors for messages that are malformed
	// or not addressed to this member.
	ErrMessageRefused = errors.New("message refused")
)

// Config holds the parameters of a member. HeartbeatInterval and ElectionTimeout
// must be the same at all members: the safety of leader leases depends on it.
type Config struct {
	ID MemberID
	// HeartbeatInterval is the time between the heartbeat rounds of a leader.
	// Tick should be called more often than that.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a message from a leader after
	// which a member starts an election; the actual timeout is random, between
	// one and two times this value. For one ElectionTimeout after a message from
	// the leader a member grants no votes.
	ElectionTimeout time.Duration
	// MaxClockDriftPercent is an upper bound of how much faster the clock of one
	// member runs than that of another.
	MaxClockDriftPercent float64
	// MaxMessageBytes limits the entries or the snapshot data in one message. A
	// single entry may exceed it.
	MaxMessageBytes int
	// MaxCommandBytes limits the size of one command.
	MaxCommandBytes int
	// MaxInFlightAppends limits the unacknowledged appends to one member.
	MaxInFlightAppends int
	// MaxPendingBytes limits the size of the entries of this term that are not
	// yet committed. The last accepted proposal may exceed it.
	MaxPendingBytes int
	// MaxSnapshotBytes limits the size of a snapshot that a member accepts.
	MaxSnapshotBytes uint64
	// KeepEntries is the number of entries before the end of a snapshot that stay
	// in the log, so that a follower that lags by less needs no snapshot.
	KeepEntries uint64
	// Rand is the source of the random election timeouts.
	Rand *rand.Rand
}

// StoredState is the state that a member has read from its data folder.
type StoredState struct {
	HardState HardState
	// Snapshot is nil if none was stored.
	Snapshot *Snapshot
	// Entries have consecutive indexes. They may begin before the end of the
	// snapshot.
	Entries []Entry
}

// Core is the consensus state machine of one member. It is not safe for
// concurrent use.
type Core struct {
	config Config
	clock  clock
	log    memoryLog

	// group, term and vote are as in HardState.
	group uint64
	term  uint64
	vote  MemberID
	role  Role
	// leader is the leader of term; 0 if unknown.
	leader MemberID

	// membership is the newest one in the log, committed or not; membershipIndex is
	// the index of its entry, or that of the snapshot that contains it.
	membership      Membership
	membershipIndex uint64

	// This member grants no vote before noVoteBefore and starts an election at
	// electionDeadline. Both are points on the scale of clock.monotonic.
	noVoteBefore     time.Duration
	electionDeadline time.Duration
	// endedTerm is a term of which this member knows that no leader of it or of an earlier
	// one holds a lease, 0 if it knows of none. lastLeader is the other member that led the
	// last term in the log that this member had stored, 0 if unknown. retryPreVoteUntil is the end of the time in which it
	// repeats its pre-vote, on the scale of clock.monotonic.
	endedTerm         uint64
	lastLeader        MemberID
	retryPreVoteUntil time.Duration
	// votes holds the votes, or the pre-votes, of the current election: true if
	// granted, false if refused.
	votes map[MemberID]bool

	// lead is the state of a leader; the zero value in other roles.
	lead leaderState
	// snapshot is the last snapshot that this member loaded, received or stored.
	snapshot Snapshot
	// incoming is the snapshot that this member is receiving; nil if none.
	incoming *incomingSnapshot
	// removedEmitted is set once EventRemoved has been emitted.
	removedEmitted bool
	output         output
}

// New returns a member with the state that it had stored. The member grants no
// vote for one election timeout, because before its restart it may have extended
// the lease of a leader, unless it led its last term itself. The error says how the
// stored state is inconsistent.
func New(config Config, stored StoredState, now time.Time) (*Core, error) {
	c := &Core{
		config: config,
		clock:  clock{now: now, maxAdvance: config.HeartbeatInterval},
		group:  stored.HardState.Group,
		term:   stored.HardState.Term,
		vote:   stored.HardState.Vote,
	}
	if stored.Snapshot != nil {
		c.snapshot = *stored.Snapshot
		c.log.reset(c.snapshot.Index, c.snapshot.Term)
		c.log.applied = c.snapshot.Index
		c.output.restore = stored.Snapshot
	}
	if err := c.loadEntries(stored); err != nil {
		return nil, err
	}
	c.output.stored = c.hardState()
	c.raiseTermToLog()
	c.loadMembership()
	c.noVoteBefore = c.clock.monotonic + config.ElectionTimeout
	c.resetElectionDeadline()
	c.recallLeadership(stored.Entries)
	return c, nil
}

// raiseTermToLog raises the term to that of the last log entry. The stored term
// is lower after a crash between storing a received snapshot and storing the hard
// state. The vote can be cleared, because a vote in the higher term would have
// been synced with that term.
func (c *Core) raiseTermToLog() {
	if term := c.log.lastTerm(); term > c.term {
		c.term = term
		c.vote = 0
	}
}

func (c *Core) loadEntries(stored StoredState) error {
	for _, entry := range stored.Entries {
		if entry.Index <= c.log.offset {
			continue
		}
		if entry.Index != c.log.lastIndex()+1 {
			return fmt.Errorf("stored entry %d does not follow entry %d", entry.Index, c.log.lastIndex())
		}
		c.log.append(entry)
	}
	c.log.stable = c.log.lastIndex()
	c.log.commit = max(c.log.commit, stored.HardState.Commit)
	if c.log.commit > c.log.lastIndex() {
		return fmt.Errorf("the stored log ends at entry %d, but entry %d was committed", c.log.lastIndex(), c.log.commit)
	}
	return nil
}

// Status returns the state of the member. Its Membership shares memory with the
// core and must not be modified.
func (c *Core) Status() Status {
	return Status{
		ID:            c.config.ID,
		Group:         c.group,
		Role:          c.role,
		Term:          c.term,
		Leader:        c.leader,
		LeaseUntil:    c.lead.leaseUntil,
		Commit:        c.log.commit,
		Applied:       c.log.applied,
		SnapshotIndex: c.snapshot.Index,
		LastIndex:     c.log.lastIndex(),
		Membership:    c.membership,
		Progress:      c.memberProgress(),
	}
}

func (c *Core) memberProgress() []MemberProgress {
	if c.role != RoleLeader {
		return nil
	}
	list := make([]MemberProgress, 0, len(c.lead.progress))
	for _, member := range c.membership.Members {
		if pr := c.lead.progress[member.ID]; pr != nil {
			list = append(list, MemberProgress{ID: member.ID, MatchIndex: pr.match, Reachable: c.isReachable(member.ID)})
		}
	}
	return list
}

// Tick advances the time to now: it starts an election whose deadline has
// passed, sends due heartbeats, and steps down when the lease has expired, the
// clock went back, or a write takes longer than an election timeout. A member
// that may not start an election forgets the leader instead.
func (c *Core) Tick(now time.Time) {
	c.advanceClock(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	switch {
	case c.clock.monotonic < c.electionDeadline:
	case c.isRepeatingPreVote():
		c.repeatPreVote()
	case c.canCampaign():
		c.campaign(RolePreCandidate, false)
	default:
		c.setLeader(0)
	}
}

// Step handles a message from another member. After an error, which wraps
// ErrMessageRefused, the state is unchanged.
func (c *Core) Step(m Message, now time.Time) error {
	if err := c.validate(&m); err != nil {
		return err
	}
	c.advanceClock(now)
	if m.Term > c.term && !c.handleHigherTerm(&m) {
		return nil
	}
	if m.Term < c.term {
		c.rejectLowerTerm(&m)
		return nil
	}
	c.dispatch(&m)
	return nil
}

func (c *Core) dispatch(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVote(m)
	case MessageVote:
		c.handleVote(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.handleLeaderMessage(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow(m)
	case MessageAppendResponse, MessageHeartbeatResponse, MessageSnapshotResponse:
		c.handleFollowerMessage(m)
	}
}

// advanceClock sets the time of the current call. A leader steps down when its
// clock went back, since that would prolong its lease, or when its lease has
// expired.
func (c *Core) advanceClock(now time.Time) {
	if wentBack := c.clock.advance(now); wentBack && c.role == RoleLeader {
		c.stepDown(ReasonClockWentBack)
	}
	if c.role == RoleLeader {
		c.checkLease()
	}
}

func (c *Core) hardState() HardState {
	return HardState{Group: c.group, Term: c.term, Vote: c.vote, Commit: c.log.commit}
}

// loadMembership sets the membership to the newest one in the log, committed or
// not, as single-step membership changes require.
func (c *Core) loadMembership() {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if entry := &c.log.entries[i]; entry.Membership != nil {
			c.membership = *entry.Membership
			c.membershipIndex = entry.Index
			return
		}
	}
	c.membership = c.snapshot.Membership
	c.membershipIndex = c.snapshot.Index
}

// membershipAt returns the membership as of the entry at index.
func (c *Core) membershipAt(index uint64) Membership {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if entry := &c.log.entries[i]; entry.Index <= index && entry.Membership != nil {
			return *entry.Membership
		}
	}
	return c.snapshot.Membership
}
