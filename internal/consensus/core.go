package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

var (
	// ErrNotLeader refuses a call that only a leader serves.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrBusy refuses a proposal while too many bytes wait for commit.
	ErrBusy = errors.New("too many bytes wait for commit")
	// ErrTooLarge refuses a command that does not fit a message.
	ErrTooLarge = errors.New("the command is too large")
	// ErrChangeInProgress refuses a member change until the one before it, and
	// an entry of this term, are committed.
	ErrChangeInProgress = errors.New("another member change is in progress")
	// ErrNotCaughtUp refuses to promote a learner that lacks entries.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrUnknownMember refuses a change of a member that is not in the group.
	ErrUnknownMember = errors.New("no such member")
	// ErrMemberExists refuses to add an id, a name or an address that the group already has.
	ErrMemberExists = errors.New("the group has a member with this id, name or address")
	// ErrLastVoter refuses to remove the only voter.
	ErrLastVoter = errors.New("the last voting member cannot be removed")
	// ErrMessageRefused is wrapped by errors on messages that are not for this member
	// or are malformed.
	ErrMessageRefused = errors.New("message refused")
)

// Config tunes one member. All members must use the same times.
type Config struct {
	ID MemberID
	// HeartbeatInterval is the interval between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest silence before an election, and how long
	// a follower gives no vote after it heard from a leader.
	ElectionTimeout time.Duration
	// MaxClockDriftPercent bounds how much faster one member's clock runs than
	// another's.
	MaxClockDriftPercent float64
	// MaxMessageBytes bounds the entries or snapshot data of one message.
	MaxMessageBytes int
	// MaxCommandBytes bounds one command.
	MaxCommandBytes int
	// MaxInFlightAppends bounds the unacknowledged appends to one member.
	MaxInFlightAppends int
	// MaxPendingBytes bounds the proposals that wait for commit.
	MaxPendingBytes int
	// MaxSnapshotBytes bounds the snapshot that a member accepts.
	MaxSnapshotBytes uint64
	// KeepEntries is how many entries stay in the log behind a snapshot, for
	// followers that are a little behind.
	KeepEntries uint64
	// Rand draws election timeouts.
	Rand *rand.Rand
}

// StoredState is what a member found in its data folder.
type StoredState struct {
	HardState HardState
	// Snapshot is nil when none was stored.
	Snapshot *Snapshot
	// Entries follow the snapshot, or may overlap its end.
	Entries []Entry
}

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	config Config
	clock  clock
	log    memoryLog

	group  uint64
	term   uint64
	vote   MemberID
	role   Role
	leader MemberID

	membership      Membership
	membershipIndex uint64

	// promiseUntil is when this member may vote again, electionDue when it
	// campaigns itself; both on the patience scale.
	promiseUntil time.Duration
	electionDue  time.Duration
	votes        map[MemberID]bool

	lead     leadership
	snapshot Snapshot
	incoming *incomingSnapshot
	// toldRemoved is set once another member said that this one was removed.
	toldRemoved bool
	output      output
}

// New returns a member with the state it had stored. It gives no vote for one
// election timeout, since it may have granted a lease before it stopped.
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
	c.raiseToLogTerm()
	c.refreshMembership()
	c.promiseUntil = c.clock.patience + config.ElectionTimeout
	c.resetElectionDue()
	return c, nil
}

// raiseToLogTerm takes the term of the log when a crash came between storing a
// received snapshot and the hard state. This member has not voted in that term,
// since it would have stored it before.
func (c *Core) raiseToLogTerm() {
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
		if entry.Index != c.log.last()+1 {
			return fmt.Errorf("stored entry %d does not follow entry %d", entry.Index, c.log.last())
		}
		c.log.append(entry)
	}
	c.log.stable = c.log.last()
	c.log.commit = max(c.log.commit, stored.HardState.Commit)
	if c.log.commit > c.log.last() {
		return fmt.Errorf("the log ends at entry %d, but entry %d was committed", c.log.last(), c.log.commit)
	}
	return nil
}

// Status returns the member's view.
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
		LastIndex:     c.log.last(),
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
			list = append(list, MemberProgress{ID: member.ID, MatchIndex: pr.match, Reachable: c.heard(member.ID)})
		}
	}
	return list
}

// Tick lets time pass: elections, heartbeats and the end of leases.
func (c *Core) Tick(now time.Time) {
	c.observe(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.clock.patience >= c.electionDue && c.mayCampaign() {
		c.campaign(RolePreCandidate, false)
	}
}

// Step handles a message. An error tells that it was refused and changed
// nothing.
func (c *Core) Step(m Message, now time.Time) error {
	if err := c.check(&m); err != nil {
		return err
	}
	c.observe(now)
	if m.Term > c.term && !c.raiseTerm(&m) {
		return nil
	}
	if m.Term < c.term {
		c.answerOldTerm(&m)
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

func (c *Core) observe(now time.Time) {
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

// refreshMembership takes the newest membership of the log, committed or not.
func (c *Core) refreshMembership() {
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

// membershipAt returns the membership in force at index.
func (c *Core) membershipAt(index uint64) Membership {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if entry := &c.log.entries[i]; entry.Index <= index && entry.Membership != nil {
			return *entry.Membership
		}
	}
	return c.snapshot.Membership
}
