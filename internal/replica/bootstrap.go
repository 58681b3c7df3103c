package replica

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// describeTimeout is the timeout of one Describe call to a listed control VM.
	describeTimeout = time.Second
	// groupWaitLogInterval is the minimum interval between two log lines on why this
	// VM has no group yet.
	groupWaitLogInterval = 10 * time.Second
)

var (
	errNotListed             = errors.New("this VM is not among control_vms")
	errBootstrapDisabled     = errors.New("control.bootstrap is off: add this VM to the group by an operator's command")
	errPeerHasGroup          = errors.New("a listed control VM has a group: add this VM to it by an operator's command")
	errPeerListDiffers       = errors.New("a listed control VM has another list of control VMs")
	errPeerNameMismatch      = errors.New("another VM answers at the address of a listed control VM")
	errPeerBootstrapDisabled = errors.New("control.bootstrap is off at a listed control VM")
)

// groupPlan is the group that the listed control VMs form. Each of them computes the
// same plan, so each starts its log with the same first entry.
type groupPlan struct {
	group      uint64
	membership consensus.Membership
}

// bootstrapGroup retries planGroup once per election timeout until it succeeds or
// this member has a group, and logs why it waits. A VM that lost its disk has a new
// member ID, so the group of the others differs from the one that it plans: it does
// not form a second group but waits until it is added.
func (r *Replica) bootstrapGroup() {
	retry := time.NewTicker(time.Duration(r.settings.Control.ElectionTimeout))
	defer retry.Stop()
	var logged time.Time
	for r.status.Load().Group == 0 {
		plan, err := r.planGroup()
		if err == nil {
			select {
			case r.groupPlans <- plan:
			case <-r.stopping.Done():
			}
			return
		}
		if time.Since(logged) >= groupWaitLogInterval && r.stopping.Err() == nil {
			logged = time.Now()
			observe.Log(r.logger, observe.GroupWaiting).Err(err).Send()
		}
		select {
		case <-retry.C:
		case <-r.stopping.Done():
			return
		}
	}
}

// planGroup asks all listed control VMs for their member IDs and plans the group that
// they form. It returns an error unless control.bootstrap is on, this VM is listed, and
// each listed VM answers and is about to form the same group, or has just formed it.
func (r *Replica) planGroup() (groupPlan, error) {
	if !r.settings.Control.Bootstrap {
		return groupPlan{}, errBootstrapDisabled
	}
	if !slices.Contains(r.listedControlVMs(), r.settings.VM.Name) {
		return groupPlan{}, errNotListed
	}
	answers := make([]memberInfo, 0, len(r.settings.ControlVMs))
	members := make([]consensus.Member, 0, len(r.settings.ControlVMs))
	for _, peer := range r.settings.ControlVMs {
		answer := r.describeSelf()
		if peer.Name != r.settings.VM.Name {
			var err error
			if answer, err = r.describePeer(peer.Internal); err != nil {
				return groupPlan{}, fmt.Errorf("control VM %s: %w", peer.Name, err)
			}
		}
		if answer.name != peer.Name {
			return groupPlan{}, fmt.Errorf("%w: %s instead of %s", errPeerNameMismatch, answer.name, peer.Name)
		}
		answers = append(answers, answer)
		members = append(members, consensus.Member{ID: answer.member, Name: peer.Name, Address: peer.Internal})
	}
	plan := groupPlan{membership: consensus.NewMembership(members...)}
	plan.group = groupID(r.settings.Cluster, plan.membership)
	return plan, r.checkMembers(answers, plan.group)
}

func (r *Replica) describePeer(address string) (memberInfo, error) {
	ctx, cancel := context.WithTimeout(r.stopping, describeTimeout)
	defer cancel()
	return r.network.describe(ctx, address)
}

// checkMembers returns an error unless each VM belongs to group already, or waits to
// form a group with the same list of control VMs.
func (r *Replica) checkMembers(answers []memberInfo, group uint64) error {
	for _, answer := range answers {
		switch {
		case answer.group == group:
		case answer.group != 0:
			return fmt.Errorf("%w: %s", errPeerHasGroup, answer.name)
		case !answer.bootstrap:
			return fmt.Errorf("%w: %s", errPeerBootstrapDisabled, answer.name)
		case !slices.Equal(answer.controlVMs, r.listedControlVMs()):
			return fmt.Errorf("%w: %s", errPeerListDiffers, answer.name)
		}
	}
	return nil
}

func (r *Replica) listedControlVMs() []string {
	names := make([]string, 0, len(r.settings.ControlVMs))
	for _, peer := range r.settings.ControlVMs {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return names
}

// groupID derives the group's ID from the cluster name and the founding members, so
// that all founders compute the same ID and no other set of data folders does. It
// is never zero, which means no group.
func groupID(cluster string, membership consensus.Membership) uint64 {
	hash := sha256.New()
	hash.Write([]byte(cluster))
	for _, member := range membership.Members {
		hash.Write(idBytes(member.ID))
		hash.Write([]byte(member.Name + "\x00"))
	}
	return binary.BigEndian.Uint64(hash.Sum(nil)) | 1
}

// formGroup starts the log of this member with the first entry of the group.
func (r *Replica) formGroup(plan groupPlan) {
	if err := r.loop.core.Bootstrap(plan.group, plan.membership, time.Now()); err != nil {
		r.logRefused(err)
		return
	}
	observe.Log(r.logger, observe.GroupFormed).Uint64("group", plan.group).Send()
}

// idBytes encodes a member ID for groupID.
func idBytes(id consensus.MemberID) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(id))
}
