package replica

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// lastLeaderTimeout bounds one question to the address of the last leader: some round trips
	// between availability zones. A VM without power does not answer at all.
	lastLeaderTimeout = 100 * time.Millisecond
	// lastLeaderInterval is the pause after a question that was refused.
	lastLeaderInterval = 25 * time.Millisecond
)

// endedLeader is a leader whose process has ended.
type endedLeader struct {
	id   consensus.MemberID
	term uint64
}

// watchLastLeader finds out, in the first election timeouts after the start of this member, whether the process of the member
// that led last has ended: then another member answers at its address under its name, as after the loss of its disk. Without
// this, a group whose leader has lost its disk together with the power of all VMs waits out its promises to that leader.
func (r *Replica) watchLastLeader(membership consensus.Membership, leader endedLeader) {
	address, name := "", ""
	for _, member := range membership.Members {
		if member.ID == leader.id {
			address, name = member.Address, member.Name
		}
	}
	if address == "" {
		return
	}
	deadline := time.Now().Add(startupElectionTimeouts * time.Duration(r.settings.Control.ElectionTimeout))
	for time.Now().Before(deadline) && r.status.Load().Leader == 0 {
		ctx, cancel := context.WithTimeout(r.stopping, lastLeaderTimeout)
		answer, err := r.network.describe(ctx, address)
		cancel()
		switch {
		case err == nil && answer.member == leader.id:
			return // it campaigns itself
		case err == nil && answer.name == name:
			observe.Log(r.logger, observe.LastLeaderEnded).Uint64("member", uint64(leader.id)).Uint64("by", uint64(answer.member)).
				Str("address", address).Uint64("term", leader.term).Send()
			select {
			case r.endedLeaders <- leader:
			case <-r.stopping.Done():
			}
			return
		}
		select {
		case <-time.After(lastLeaderInterval):
		case <-r.stopping.Done():
			return
		}
	}
}
