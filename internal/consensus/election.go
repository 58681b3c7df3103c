package consensus

import "time"

// mustWithholdVote reports whether this member must not vote: it leads, or it
// restarted or received a message from a leader less than an election timeout
// ago. A leader's lease rests on a quorum of members that keep this rule.
func (c *Core) mustWithholdVote() bool {
	return c.role == RoleLeader || c.clock.monotonic < c.noVoteBefore
}

// canCampaign reports whether this member may start an election. A member whose
// removal is not yet committed may: if it is the only one that has the entry of
// its removal, its log is the most up to date and no other member can win.
func (c *Core) canCampaign() bool {
	isVoter := c.membership.IsVoter(c.config.ID)
	if !isVoter && c.membershipIndex > c.log.commit {
		isVoter = c.membershipAt(c.log.commit).IsVoter(c.config.ID)
	}
	return c.group != 0 && isVoter && !c.mustWithholdVote()
}

// resetElectionDeadline sets the deadline to a random point between one and two
// election timeouts from now.
func (c *Core) resetElectionDeadline() {
	jitter := c.config.Rand.Int64N(int64(c.config.ElectionTimeout))
	c.electionDeadline = c.clock.monotonic + c.config.ElectionTimeout + time.Duration(jitter)
}

// campaign starts an election as a candidate, or its pre-vote as a pre-candidate.
// A pre-candidate does not raise its term; it asks which members would vote for
// it, so that a member that was partitioned does not depose a leader on its
// return. A candidate counts its own vote only once that is synced; see
// countOwnVote.
func (c *Core) campaign(role Role, transfer bool) {
	c.role = role
	c.leader = 0
	c.votes = map[MemberID]bool{}
	c.resetElectionDeadline()
	if role == RolePreCandidate {
		c.emit(Event{Kind: EventElectionStarted})
		c.shortenRetry()
		c.requestVotes(Message{Kind: MessagePreVote, Term: c.term + 1, Transfer: c.hasEndedLeases()})
		c.countVote(c.config.ID, true)
		return
	}
	c.term++
	c.vote = c.config.ID
	c.requestVotes(Message{Kind: MessageVote, Transfer: transfer})
}

func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	for _, id := range c.membership.Voters() {
		if id == c.config.ID {
			continue
		}
		m.To = id
		c.sendAfterSync(m)
	}
}

// countOwnVote counts a candidate's vote for itself once it is synced.
func (c *Core) countOwnVote() {
	stored := &c.output.stored
	if c.role == RoleCandidate && stored.Term == c.term && stored.Vote == c.config.ID {
		c.countVote(c.config.ID, true)
	}
}

// countVote records a vote or a pre-vote and acts once a quorum has granted or
// refused it. Only votes of current voters count.
func (c *Core) countVote(from MemberID, granted bool) {
	c.votes[from] = granted
	grants, refusals := 0, 0
	for id, granted := range c.votes {
		switch {
		case !c.membership.IsVoter(id):
		case granted:
			grants++
		default:
			refusals++
		}
	}
	switch quorum := c.membership.Quorum(); {
	case grants >= quorum && c.role == RolePreCandidate:
		c.campaign(RoleCandidate, c.hasEndedLeases())
	case grants >= quorum:
		c.becomeLeader()
	case refusals >= quorum:
		c.becomeFollower(c.term, 0)
	}
}

// handleHigherTerm takes over the term of a message of a later term and reports
// whether the message is to be processed. The term stays for a pre-vote and for a
// granted response to one, which carry a term that is only proposed. A vote
// request is ignored while this member must withhold its vote, so that it cannot
// depose a leader that holds a lease, unless that leader gave up its lease in a
// transfer.
func (c *Core) handleHigherTerm(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if c.mustWithholdVote() && !m.Transfer {
			return false
		}
	}
	var leader MemberID
	if isLeaderMessage(m.Kind) {
		leader = m.From
	}
	if c.role == RoleLeader {
		c.emit(Event{Kind: EventSteppedDown, Reason: ReasonHigherTerm})
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// rejectLowerTerm answers a stale leader, or a pre-candidate that proposes an
// earlier term, with the current term.
func (c *Core) rejectLowerTerm(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.sendAfterSync(Message{Kind: MessageAppendResponse, To: m.From, Index: m.Index, Reject: true})
	case MessagePreVote:
		c.sendAfterSync(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

func (c *Core) handlePreVote(m *Message) {
	c.releaseVote(m)
	granted := m.Term > c.term && !c.mustWithholdVote() && c.log.isUpToDate(m.Index, m.LogTerm)
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Reject: !granted}
	if granted {
		response.Term = m.Term
	}
	response.Removed = c.isRemovedCandidate(m)
	c.sendAfterSync(response)
}

// isRemovedCandidate reports whether the sender of a pre-vote has been removed by
// a committed change that is beyond the end of its log.
func (c *Core) isRemovedCandidate(m *Message) bool {
	return !c.isMember(m.From) && c.membershipIndex <= c.log.commit && m.Index < c.membershipIndex
}

// handleVote grants at most one vote in a term, no new one once the leader of the
// term is known, and only to a candidate whose log is up to date. The response is
// sent once the vote is synced, so that a restart cannot lead to a second vote.
func (c *Core) handleVote(m *Message) {
	canVoteFor := c.vote == m.From || c.vote == 0 && c.leader == 0
	allowed := m.Transfer || !c.mustWithholdVote()
	granted := canVoteFor && allowed && c.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		c.vote = m.From
		c.resetElectionDeadline()
	}
	c.sendAfterSync(Message{Kind: MessageVoteResponse, To: m.From, Reject: !granted})
}

func (c *Core) handleVoteResponse(m *Message) {
	if m.Removed && !c.removedEmitted {
		c.removedEmitted = true
		c.emit(Event{Kind: EventRemoved})
	}
	switch {
	case m.Kind == MessagePreVoteResponse && c.role == RolePreCandidate && (m.Reject || m.Term == c.term+1):
		c.countVote(m.From, !m.Reject)
	case m.Kind == MessageVoteResponse && c.role == RoleCandidate:
		c.countVote(m.From, !m.Reject)
	}
}

// handleTimeoutNow starts an election without a pre-vote, although a message from
// the leader was received lately: the leader gave up its lease before it sent
// MessageTimeoutNow.
func (c *Core) handleTimeoutNow(m *Message) {
	if c.role == RoleFollower && c.leader == m.From && c.membership.IsVoter(c.config.ID) {
		c.campaign(RoleCandidate, true)
	}
}

// becomeFollower enters term as a follower of leader, 0 if unknown. A higher term
// resets the vote and drops the messages that wait for the next write, since they
// belong to the earlier term.
func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.term {
		c.term = term
		c.vote = 0
		c.output.afterSync = nil
	}
	c.role = RoleFollower
	c.lead = leaderState{}
	c.votes = nil
	c.resetElectionDeadline()
	c.setLeader(leader)
}

func (c *Core) setLeader(leader MemberID) {
	if c.leader == leader {
		return
	}
	c.leader = leader
	if leader != 0 {
		c.emit(Event{Kind: EventLeaderKnown, Leader: leader})
	}
}

// stepDown makes this leader a follower in the same term, without a lease.
func (c *Core) stepDown(reason Reason) {
	c.emit(Event{Kind: EventSteppedDown, Reason: reason})
	c.becomeFollower(c.term, 0)
}
