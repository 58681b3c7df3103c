package consensus

import "time"

// maxUnansweredRounds limits the heartbeat rounds that are kept until a quorum
// responds. Dropping the oldest can only shorten the lease.
const maxUnansweredRounds = 1024

// leaderState is the state that only a leader has.
type leaderState struct {
	progress map[MemberID]*progress
	// termStart is the index of the first entry of this leader's term, an
	// EntryNoOp.
	termStart uint64
	// markIndex is the index of the last EntryNoOp of this leader.
	markIndex uint64
	// round is the number of the newest heartbeat round. rounds holds the newest
	// round that a quorum has answered, if there is one, and all later rounds.
	round           uint64
	rounds          []sentRound
	electedAt       time.Time
	nextHeartbeatAt time.Time
	// leaseUntil is the end of the lease; zero until a quorum has answered a round.
	leaseUntil time.Time
	// commitAtHeartbeat is the commit index at the last periodic heartbeat.
	commitAtHeartbeat uint64
	// pendingBytes is the size of the uncommitted entries of this term.
	pendingBytes int
	// reads are the unanswered read index requests in ascending order of round.
	reads      []pendingRead
	lastReadID uint64
	// readNeedsHeartbeat is set while a read waits for a heartbeat round that is
	// not yet sent.
	readNeedsHeartbeat bool
}

// sentRound is a heartbeat round and the time at which it was sent.
type sentRound struct {
	round  uint64
	sentAt time.Time
}

// pendingRead is a read index request that is answered once a quorum has
// responded to round or a later one.
type pendingRead struct {
	requestID uint64
	round     uint64
}

// leaseDuration returns the election timeout, reduced by the maximum clock drift
// and by clock.maxAdvance, the most by which a clock step can shorten the time in
// which a follower grants no vote. So a lease ends before any of the followers
// that granted it votes again.
func (c *Core) leaseDuration() time.Duration {
	drifted := float64(c.config.ElectionTimeout) * (1 - c.config.MaxClockDriftPercent/100)
	return time.Duration(drifted) - c.clock.maxAdvance
}

// checkLease steps down when the lease has expired, or when a new leader has
// obtained none within an election timeout.
func (c *Core) checkLease() {
	end := c.lead.leaseUntil
	if end.IsZero() {
		end = c.lead.electedAt.Add(c.config.ElectionTimeout)
	}
	if !c.clock.now.Before(end) {
		c.stepDown(ReasonLeaseExpired)
	}
}

// tickLeader sends the periodic heartbeat. It steps down instead if the write in
// progress has taken longer than an election timeout, so that a member with a
// working disk can lead.
func (c *Core) tickLeader() {
	if c.output.writing != nil && c.clock.now.Sub(c.output.writeStartedAt) > c.config.ElectionTimeout {
		c.stepDown(ReasonDiskStalled)
		return
	}
	if !c.clock.now.Before(c.lead.nextHeartbeatAt) {
		c.broadcastHeartbeat()
		c.lead.commitAtHeartbeat = c.log.commit
	}
}

// broadcastHeartbeat starts a heartbeat round. The commit index that a member gets
// is limited to the entries that are known to match there.
func (c *Core) broadcastHeartbeat() {
	c.lead.round++
	c.lead.readNeedsHeartbeat = false
	c.lead.nextHeartbeatAt = c.clock.now.Add(c.config.HeartbeatInterval)
	if len(c.lead.rounds) == maxUnansweredRounds {
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

// extendLease extends the lease after responses to heartbeats. The lease lasts
// leaseDuration from the sending of the newest round that a quorum has answered:
// each of these followers received it later than that and grants no vote for an
// election timeout.
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
		until := c.lead.rounds[0].sentAt.Add(c.leaseDuration())
		if until.After(c.lead.leaseUntil) {
			c.lead.leaseUntil = until
		}
	}
	c.completeReads(answered)
}

// RequestReadIndex starts a linearizable read and returns its number, which
// ReadState.RequestID repeats. The read is answered once a quorum has responded
// to a heartbeat round that starts after the call; it is dropped without an answer
// when this member steps down.
func (c *Core) RequestReadIndex(now time.Time) (uint64, error) {
	c.advanceClock(now)
	if c.role != RoleLeader {
		return 0, ErrNotLeader
	}
	c.lead.lastReadID++
	c.lead.readNeedsHeartbeat = true
	c.lead.reads = append(c.lead.reads, pendingRead{requestID: c.lead.lastReadID, round: c.lead.round + 1})
	return c.lead.lastReadID, nil
}

// completeReads answers the reads whose heartbeat round a quorum has answered. It
// waits until an entry of this term is committed, since before that the commit
// index may lag behind what an earlier leader committed.
func (c *Core) completeReads(answered uint64) {
	if c.log.commit < c.lead.termStart {
		return
	}
	completed := 0
	for _, read := range c.lead.reads {
		if read.round > answered {
			break
		}
		c.output.reads = append(c.output.reads, ReadState{RequestID: read.requestID, Index: c.log.commit})
		completed++
	}
	c.lead.reads = c.lead.reads[completed:]
}
