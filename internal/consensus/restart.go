package consensus

import (
	"encoding/binary"
	"time"
)

const (
	// preVoteRetriesPerHeartbeat is how often per heartbeat interval a member that led
	// its last term repeats its pre-vote after a restart, while the others start.
	preVoteRetriesPerHeartbeat = 2
	// preVoteRetryTimeouts is the time since the restart in which it does so, in election
	// timeouts. Later an ordinary election has begun.
	preVoteRetryTimeouts = 2
	// earlyElectionFraction is the part of an election timeout within which a member
	// starts an election that may vote but finds the log of the last leader behind its own.
	earlyElectionFraction = 4
)

// markBytes is the length of the data by which an EntryNoOp names its leader.
const markBytes = 8

// markOf returns the data by which an EntryNoOp names its leader.
func markOf(id MemberID) []byte { return binary.BigEndian.AppendUint64(nil, uint64(id)) }

// appendMark appends an EntryNoOp that names this leader. A member finds in its log
// whether it led its last term by this entry, so a leader appends another one when a
// snapshot has compacted the last one.
func (c *Core) appendMark() {
	c.appendAsLeader(Entry{Kind: EntryNoOp, Data: markOf(c.config.ID)})
	c.lead.markIndex = c.log.lastIndex()
}

// recallLeadership lets a member campaign at once if its stored entries show that it led
// its last term. Entries that a snapshot covers count as well.
//
// No leader of this term or an earlier one can then hold a lease: this member was
// elected in the term, so the leases of earlier terms had ended; no other member can
// lead the same term; and the lease of this member has ended with its previous process,
// because it cannot lead the term again. A promise not to vote that this or another
// member made in one of these terms is therefore void.
func (c *Core) recallLeadership(entries []Entry) {
	for i := len(entries) - 1; i >= 0 && entries[i].Term == c.term; i-- {
		entry := &entries[i]
		if entry.Kind != EntryNoOp || len(entry.Data) != markBytes {
			continue
		}
		if id := MemberID(binary.BigEndian.Uint64(entry.Data)); id != c.config.ID {
			c.lastLeader = id
			return
		}
		c.endLeases(0)
		return
	}
}

// endLeases lets this member vote at once and campaign after wait, because no leader of its
// term or an earlier one holds a lease.
func (c *Core) endLeases(wait time.Duration) {
	c.endedTerm = c.term
	c.noVoteBefore = min(c.noVoteBefore, c.clock.monotonic)
	c.electionDeadline = min(c.electionDeadline, c.clock.monotonic+wait)
	c.retryPreVoteUntil = c.clock.monotonic + preVoteRetryTimeouts*c.config.ElectionTimeout
}

// LastLeader returns the other member that led the last term in the log that this member had
// stored before its start, and the term, as long as no later term has begun. The id is 0 if it
// is not known.
func (c *Core) LastLeader() (id MemberID, term uint64) {
	if c.lastLeader == 0 || c.log.lastTerm() != c.term || c.leader != 0 || c.role != RoleFollower {
		return 0, 0
	}
	return c.lastLeader, c.term
}

// ConfirmLeaderEnded tells this member that the process of the leader of term has ended, and
// with it its lease. The caller must know that from more than a connection that failed, for
// example because another member answers at the address of the leader. See recallLeadership
// for why the promises of earlier terms are void, too.
func (c *Core) ConfirmLeaderEnded(id MemberID, term uint64, now time.Time) {
	c.advanceClock(now)
	if known, current := c.LastLeader(); known != id || current != term || id == 0 {
		return
	}
	c.endLeases(c.campaignRank() * c.config.HeartbeatInterval / 2)
}

// campaignRank returns the number of voters with a lower id. Members that learn at the same time
// that they may campaign do so one after the other, because two candidates at a time split the votes.
func (c *Core) campaignRank() time.Duration {
	rank := time.Duration(0)
	for _, id := range c.membership.Voters() {
		if id < c.config.ID && id != c.lastLeader {
			rank++
		}
	}
	return rank
}

// hasEndedLeases reports whether this member knows that no leader of its term or an
// earlier one holds a lease, see recallLeadership and ConfirmLeaderEnded.
func (c *Core) hasEndedLeases() bool { return c.endedTerm != 0 && c.endedTerm == c.term }

// isRepeatingPreVote reports whether the pre-vote of this member is to be sent again: the
// members that started after it have not received it.
func (c *Core) isRepeatingPreVote() bool {
	return c.role == RolePreCandidate && c.hasEndedLeases() && c.clock.monotonic < c.retryPreVoteUntil
}

func (c *Core) repeatPreVote() {
	c.shortenRetry()
	c.requestVotes(Message{Kind: MessagePreVote, Term: c.term + 1, Transfer: true})
}

// shortenRetry moves the election deadline to the time of the next repeated pre-vote, if
// there is one.
func (c *Core) shortenRetry() {
	if c.isRepeatingPreVote() {
		c.electionDeadline = c.clock.monotonic + c.config.HeartbeatInterval/preVoteRetriesPerHeartbeat
	}
}

// releaseVote ends the time in which this member grants no vote if the sender of a
// pre-vote knows that there is no lease: all promises of this member were made in terms
// before the proposed one. If the sender's log is behind, this member starts an election
// of its own soon.
func (c *Core) releaseVote(m *Message) {
	if !m.Transfer || m.Term <= c.term || c.role != RoleFollower {
		return
	}
	withheld := c.mustWithholdVote()
	c.noVoteBefore = min(c.noVoteBefore, c.clock.monotonic)
	if withheld && !c.log.isUpToDate(m.Index, m.LogTerm) {
		wait := time.Duration(c.config.Rand.Int64N(int64(c.config.ElectionTimeout / earlyElectionFraction)))
		c.electionDeadline = min(c.electionDeadline, c.clock.monotonic+wait)
	}
}
