package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
)

var (
	// ErrUnknownMember is returned if the group has no member with the name.
	ErrUnknownMember = consensus.ErrUnknownMember
	// ErrMemberExists is returned if the group has a member with the name, address or ID.
	ErrMemberExists = consensus.ErrMemberExists
	// ErrLastVoter is returned for the removal of the only voter.
	ErrLastVoter = consensus.ErrLastVoter
	// ErrQuorumAtRisk is returned for a removal or a promotion after which the reachable
	// voters, without the changed member, would be no majority of the new membership.
	ErrQuorumAtRisk = consensus.ErrQuorumAtRisk
	// ErrTooFewVoters is returned for a removal after which fewer voters than wanted
	// would remain.
	ErrTooFewVoters = consensus.ErrTooFewVoters
	// ErrOtherGroup is returned if the VM to add belongs to another group.
	ErrOtherGroup = errors.New("the VM belongs to another control group")
	// ErrNameMismatch is returned if the VM at the address has another name than the one
	// to add.
	ErrNameMismatch = errors.New("another VM answers at this address")
)

// changeRequest is a membership change for the control goroutine.
type changeRequest struct {
	change consensus.Change
	reply  chan outcome
}

// Members returns the members of the control group as known to this member.
func (r *Replica) Members() []consensus.Member {
	return r.status.Load().Membership.Members
}

// AddLearner adds the control VM at address as a learner and returns its member ID
// when the change is committed. If the change itself fails, for example with
// ErrMemberExists, the ID is returned with the error. The ID is 0 if the VM does not
// answer, has another name or belongs to another group. Only the leader can add a
// learner; other members return ErrNotLeader.
func (r *Replica) AddLearner(ctx context.Context, name, address string) (consensus.MemberID, error) {
	info, err := r.network.describe(ctx, address)
	if err != nil {
		return 0, fmt.Errorf("VM %s at %s: %w", name, address, err)
	}
	if info.name != name {
		return 0, fmt.Errorf("VM %s at %s: %w: %s", name, address, ErrNameMismatch, info.name)
	}
	if group := info.group; group != 0 && group != r.status.Load().Group {
		return 0, fmt.Errorf("VM %s: %w", name, ErrOtherGroup)
	}
	member := consensus.Member{ID: info.member, Name: name, Address: address}
	return member.ID, r.change(ctx, consensus.Change{Kind: consensus.ChangeAddLearner, Member: member})
}

// AddMember adds the control VM at address as a learner, waits until it has synced the
// complete state, and promotes it to a voter. A call after a failed one continues
// where that one stopped. Only the leader can add a member; others return ErrNotLeader.
func (r *Replica) AddMember(ctx context.Context, name, address string) error {
	id, err := r.AddLearner(ctx, name, address)
	if errors.Is(err, ErrMemberExists) {
		for _, member := range r.Members() {
			if member.ID == id && !member.Learner {
				return nil
			}
			if member.ID == id {
				return r.Promote(ctx, name)
			}
		}
	}
	if err != nil {
		return err
	}
	return r.Promote(ctx, name)
}

// Promote makes a learner a voter. It waits until the learner has synced the complete
// state, and returns when the change is committed.
func (r *Replica) Promote(ctx context.Context, name string) error {
	return r.changeByName(ctx, name, consensus.Change{Kind: consensus.ChangePromote})
}

// Remove removes a member from the group and returns when the change is committed. It
// returns ErrQuorumAtRisk if the remaining reachable voters would be no majority.
func (r *Replica) Remove(ctx context.Context, name string) error {
	return r.RemoveKeeping(ctx, name, 0)
}

// RemoveKeeping removes a member as Remove does. It returns ErrTooFewVoters for a voter
// without which fewer than minVoters would remain.
func (r *Replica) RemoveKeeping(ctx context.Context, name string, minVoters int) error {
	return r.changeByName(ctx, name, consensus.Change{Kind: consensus.ChangeRemove, MinVoters: minVoters})
}

// changeByName makes a change of the member with the name.
func (r *Replica) changeByName(ctx context.Context, name string, change consensus.Change) error {
	for _, member := range r.Members() {
		if member.Name == name {
			change.Member = member
			return r.change(ctx, change)
		}
	}
	return fmt.Errorf("%w: %s", ErrUnknownMember, name)
}

// change proposes a membership change, and retries once per heartbeat interval while
// another change is in progress or the learner has not caught up. It returns when the
// change is committed, at the first other error, or when ctx ends.
func (r *Replica) change(ctx context.Context, wanted consensus.Change) error {
	retry := time.NewTicker(time.Duration(r.settings.Control.HeartbeatInterval))
	defer retry.Stop()
	for {
		err := r.changeOnce(ctx, wanted)
		if !errors.Is(err, consensus.ErrChangeInProgress) && !errors.Is(err, consensus.ErrNotCaughtUp) {
			return err
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func (r *Replica) changeOnce(ctx context.Context, wanted consensus.Change) error {
	c := &changeRequest{change: wanted, reply: make(chan outcome, 1)}
	select {
	case r.changes <- c:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
	_, err := awaitOutcome(ctx, r, c.reply)
	return err
}

func (r *Replica) startChange(c *changeRequest) {
	index, term, err := r.loop.core.ProposeChange(c.change, time.Now())
	if err != nil {
		c.reply <- outcome{err: translateError(err)}
		return
	}
	r.registerCaller(index, term, c.reply)
}
