package consensus

import "time"

// maxRounds bounds the heartbeats whose answers are awaited. Forgetting the
// oldest can only shorten the lease.
const maxRounds = 1024

// leadership is what only a leader keeps.
type leadership struct {
	progress map[MemberID]*progress
	// termStart is the empty entry that opened the term.
	termStart uint64
	// round is the last heartbeat round sent, rounds those that are not yet
	// answered by a quorum, with the newest answered one first.
	round        uint64
	rounds       []sentRound
	electedAt    time.Time
	heartbeatDue time.Time
	leaseUntil   time.Time
	// commitBefore is the commit index one heartbeat ago.
	commitBefore uint64
	pendingBytes int
	reads        []pendingRead
	lastRequest  uint64
	readDue      bool
}

type sentRound struct {
	round  uint64
	sentAt time.Time
}

type pendingRead struct {
	request uint64
	round   uint64
}

// leaseTerm is the election timeout less the bound on clock drift, and less
// what a step of a follower's clock takes off its promise, so that a lease ends
// before any follower that granted it votes again.
func (c *Core) leaseTerm() time.Duration {
	drifted := float64(c.config.ElectionTimeout) * (1 - c.config.MaxClockDriftPercent/100)
	return time.Duration(drifted) - c.clock.maxAdvance
}

// checkLease steps down at the end of the lease, or when a new leader has not
// got one in time.
func (c *Core) checkLease() {
	end := c.lead.leaseUntil
	if end.IsZero() {
		end = c.lead.electedAt.Add(c.config.ElectionTimeout)
	}
	if !c.clock.now.Before(end) {
		c.stepDown(ReasonLeaseExpired)
	}
}

func (c *Core) tickLeader() {
	if c.output.writing != nil && c.clock.now.Sub(c.output.writeSince) > c.config.ElectionTimeout {
		c.stepDown(ReasonDiskStalled)
		return
	}
	if !c.clock.now.Before(c.lead.heartbeatDue) {
		c.broadcastHeartbeat()
		c.lead.commitBefore = c.log.commit
	}
}

func (c *Core) broadcastHeartbeat() {
	c.lead.round++
	c.lead.readDue = false
	c.lead.heartbeatDue = c.clock.now.Add(c.config.HeartbeatInterval)
	if len(c.lead.rounds) == maxRounds {
		c.lead.rounds = c.lead.rounds[1:]
	}
	c.lead.rounds = append(c.lead.rounds, sentRound{round: c.lead.round, sentAt: c.clock.now})
	for _, member := range c.membership.Members {
		if pr := c.lead.progress[member.ID]; pr != nil {
			commit := min(pr.match, c.log.commit)
			c.sendNow(Message{Kind: MessageHeartbeat, To: member.ID, Commit: commit, Round: c.lead.round})
		}
	}
	c.extendLease()
}

// extendLease counts the answers to heartbeats: the lease runs from when the
// newest round that a quorum answered was sent.
func (c *Core) extendLease() {
	answered := c.membership.quorumValue(func(id MemberID) uint64 {
		if pr := c.lead.progress[id]; pr != nil {
			return pr.round
		}
		return c.lead.round
	})
	for len(c.lead.rounds) > 0 && c.lead.rounds[0].round < answered {
		c.lead.rounds = c.lead.rounds[1:]
	}
	if len(c.lead.rounds) > 0 && c.lead.rounds[0].round == answered {
		until := c.lead.rounds[0].sentAt.Add(c.leaseTerm())
		if until.After(c.lead.leaseUntil) {
			c.lead.leaseUntil = until
		}
	}
	c.answerReads(answered)
}

// RequestReadIndex starts a linearizable read and returns the number that its ReadState
// will repeat. It is dropped without an answer when leadership ends.
func (c *Core) RequestReadIndex(now time.Time) (uint64, error) {
	c.observe(now)
	if c.role != RoleLeader {
		return 0, ErrNotLeader
	}
	c.lead.lastRequest++
	c.lead.readDue = true
	c.lead.reads = append(c.lead.reads, pendingRead{request: c.lead.lastRequest, round: c.lead.round + 1})
	return c.lead.lastRequest, nil
}

// answerReads serves reads whose round a quorum answered, once an entry of
// this term is committed: only then the commit index is known to be current.
func (c *Core) answerReads(answered uint64) {
	if c.log.commit < c.lead.termStart {
		return
	}
	served := 0
	for _, read := range c.lead.reads {
		if read.round > answered {
			break
		}
		c.output.reads = append(c.output.reads, ReadState{RequestID: read.request, Index: c.log.commit})
		served++
	}
	c.lead.reads = c.lead.reads[served:]
}
