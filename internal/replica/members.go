package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
)

var (
	// ErrUnknownMember tells that the group has no member of this name.
	ErrUnknownMember = consensus.ErrUnknownMember
	// ErrMemberExists tells that the group has a member of this name, address or id.
	ErrMemberExists = consensus.ErrMemberExists
	// ErrLastVoter refuses to remove the only voting member.
	ErrLastVoter = consensus.ErrLastVoter
	// ErrQuorumAtRisk refuses a removal that would leave no reachable majority.
	ErrQuorumAtRisk = consensus.ErrQuorumAtRisk
	// ErrOtherGroup tells that the VM to add belongs to another group.
	ErrOtherGroup = errors.New("the VM belongs to another control group")
	// ErrNameMismatch tells that another VM answers at the address.
	ErrNameMismatch = errors.New("another VM answers at this address")
)

type change struct {
	change consensus.Change
	reply  chan outcome
}

// Members returns the members of the control group, as this one knows them.
func (r *Replica) Members() []consensus.Member {
	return r.status.Load().Membership.Members
}

// AddLearner adds the control VM that answers at address as a learner, and
// returns its id when that is committed. With ErrMemberExists the id is that
// of the VM at address. Only the leader does it.
func (r *Replica) AddLearner(ctx context.Context, name, address string) (consensus.MemberID, error) {
	description, err := r.network.describe(ctx, address)
	if err != nil {
		return 0, fmt.Errorf("VM %s at %s: %w", name, address, err)
	}
	if description.name != name {
		return 0, fmt.Errorf("VM %s at %s: %w: %s", name, address, ErrNameMismatch, description.name)
	}
	if group := description.group; group != 0 && group != r.status.Load().Group {
		return 0, fmt.Errorf("VM %s: %w", name, ErrOtherGroup)
	}
	member := consensus.Member{ID: description.member, Name: name, Address: address}
	return member.ID, r.change(ctx, consensus.Change{Kind: consensus.ChangeAddLearner, Member: member})
}

// AddMember adds the control VM that answers at address, waits until it holds
// the whole state, synced, and lets it vote. Repeated after an error, it goes
// on where it stopped. Only the leader does it.
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

// Promote lets a learner vote. It waits until the learner holds the whole
// state, synced, and returns when the promotion is committed.
func (r *Replica) Promote(ctx context.Context, name string) error {
	return r.changeNamed(ctx, consensus.ChangePromote, name)
}

// Remove takes a member out of the group and returns when that is committed.
// It refuses with ErrQuorumAtRisk when the rest would have no majority.
func (r *Replica) Remove(ctx context.Context, name string) error {
	return r.changeNamed(ctx, consensus.ChangeRemove, name)
}

func (r *Replica) changeNamed(ctx context.Context, kind consensus.ChangeKind, name string) error {
	for _, member := range r.Members() {
		if member.Name == name {
			return r.change(ctx, consensus.Change{Kind: kind, Member: member})
		}
	}
	return fmt.Errorf("%w: %s", ErrUnknownMember, name)
}

// change proposes until the change is taken: another one may be in progress,
// or the learner not have caught up.
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
	c := &change{change: wanted, reply: make(chan outcome, 1)}
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

func (r *Replica) startChange(c *change) {
	index, term, err := r.loop.core.ProposeChange(c.change, time.Now())
	if err != nil {
		c.reply <- outcome{err: fromCore(err)}
		return
	}
	r.await(index, term, c.reply)
}
