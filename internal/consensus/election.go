package consensus

import "time"

// promised tells whether this member may not vote: it leads, or it heard from
// a leader less than an election timeout ago.
func (c *Core) promised() bool {
	return c.role == RoleLeader || c.clock.patience < c.promiseUntil
}

// mayCampaign tells whether this member may ask for votes. One that is removed
// by a change which is not yet committed still may: it can be the only one
// with that entry, and then nobody else could win.
func (c *Core) mayCampaign() bool {
	voter := c.membership.IsVoter(c.config.ID)
	if !voter && c.membershipIndex > c.log.commit {
		voter = c.membershipAt(c.log.commit).IsVoter(c.config.ID)
	}
	return c.group != 0 && voter && !c.promised()
}

func (c *Core) resetElectionDue() {
	spread := c.config.Rand.Int64N(int64(c.config.ElectionTimeout))
	c.electionDue = c.clock.patience + c.config.ElectionTimeout + time.Duration(spread)
}

// campaign asks for votes. As a pre-candidate it changes no term: it asks who
// would vote, so that a member that was cut off disturbs nobody.
func (c *Core) campaign(role Role, transfer bool) {
	c.role = role
	c.leader = 0
	c.votes = map[MemberID]bool{}
	c.resetElectionDue()
	if role == RolePreCandidate {
		c.emit(Event{Kind: EventElectionStarted})
		c.requestVotes(Message{Kind: MessagePreVote, Term: c.term + 1})
		c.countVote(c.config.ID, true)
		return
	}
	c.term++
	c.vote = c.config.ID
	c.requestVotes(Message{Kind: MessageVote, Transfer: transfer})
}

func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, id := range c.membership.Voters() {
		if id == c.config.ID {
			continue
		}
		m.To = id
		c.sendAfterSync(m)
	}
}

// countOwnVote counts the vote for oneself once it is synced.
func (c *Core) countOwnVote() {
	stored := &c.output.stored
	if c.role == RoleCandidate && stored.Term == c.term && stored.Vote == c.config.ID {
		c.countVote(c.config.ID, true)
	}
}

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
		c.campaign(RoleCandidate, false)
	case grants >= quorum:
		c.becomeLeader()
	case refusals >= quorum:
		c.becomeFollower(c.term, 0)
	}
}

// raiseTerm meets a message of a later term and tells whether to go on with it.
func (c *Core) raiseTerm(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if c.promised() && !m.Transfer {
			return false
		}
	}
	var leader MemberID
	if fromLeader(m.Kind) {
		leader = m.From
	}
	if c.role == RoleLeader {
		c.emit(Event{Kind: EventSteppedDown, Reason: ReasonHigherTerm})
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// answerOldTerm tells an old leader or a candidate the current term.
func (c *Core) answerOldTerm(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.sendAfterSync(Message{Kind: MessageAppendResponse, To: m.From, Index: m.Index, Reject: true})
	case MessagePreVote:
		c.sendAfterSync(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

func (c *Core) handlePreVote(m *Message) {
	granted := m.Term > c.term && !c.promised() && c.log.upToDate(m.Index, m.LogTerm)
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Reject: !granted}
	if granted {
		response.Term = m.Term
	}
	response.Removed = c.removed(m)
	c.sendAfterSync(response)
}

// removed tells whether the candidate lacks a committed change that left it out.
func (c *Core) removed(m *Message) bool {
	return !c.knows(m.From) && c.membershipIndex <= c.log.commit && m.Index < c.membershipIndex
}

func (c *Core) handleVote(m *Message) {
	free := c.vote == m.From || c.vote == 0 && c.leader == 0
	allowed := m.Transfer || !c.promised()
	granted := free && allowed && c.log.upToDate(m.Index, m.LogTerm)
	if granted {
		c.vote = m.From
		c.resetElectionDue()
	}
	c.sendAfterSync(Message{Kind: MessageVoteResponse, To: m.From, Reject: !granted})
}

func (c *Core) handleVoteResponse(m *Message) {
	if m.Removed && !c.toldRemoved {
		c.toldRemoved = true
		c.emit(Event{Kind: EventRemoved})
	}
	switch {
	case m.Kind == MessagePreVoteResponse && c.role == RolePreCandidate && (m.Reject || m.Term == c.term+1):
		c.countVote(m.From, !m.Reject)
	case m.Kind == MessageVoteResponse && c.role == RoleCandidate:
		c.countVote(m.From, !m.Reject)
	}
}

// handleTimeoutNow campaigns in spite of the promise to the leader, which has
// given up its lease before it sent the message.
func (c *Core) handleTimeoutNow(m *Message) {
	if c.role == RoleFollower && c.leader == m.From && c.membership.IsVoter(c.config.ID) {
		c.campaign(RoleCandidate, true)
	}
}

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.term {
		c.term = term
		c.vote = 0
		c.output.afterSync = nil
	}
	c.role = RoleFollower
	c.lead = leadership{}
	c.votes = nil
	c.resetElectionDue()
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

// stepDown gives up leadership and the lease in the same term.
func (c *Core) stepDown(reason Reason) {
	c.emit(Event{Kind: EventSteppedDown, Reason: reason})
	c.becomeFollower(c.term, 0)
}
