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
	// describeTimeout bounds one question to a listed control VM.
	describeTimeout = time.Second
	// waitingLogInterval is the time between two log lines on why a control VM
	// has no group.
	waitingLogInterval = 10 * time.Second
)

var (
	errNotListed      = errors.New("this VM is not among control_vms")
	errNoBootstrap    = errors.New("control.bootstrap is off: add this VM to the group by an operator's command")
	errGroupExists    = errors.New("a listed VM has a group already: add this VM to it by an operator's command")
	errListsDiffer    = errors.New("a listed VM lists other control VMs")
	errOtherVMAnswers = errors.New("another VM answers at the address of a listed one")
	errBootstrapOff   = errors.New("control.bootstrap is off at a listed VM")
)

// formation is a group that all listed VMs form alike.
type formation struct {
	group      uint64
	membership consensus.Membership
}

// awaitGroup forms the group when every listed control VM answers and none
// holds state, and logs why it waits until then. A VM that lost its disk has a
// new member id, so the group that the others hold is not the one it would
// form, and it waits to be added instead.
func (r *Replica) awaitGroup() {
	retry := time.NewTicker(time.Duration(r.settings.Control.ElectionTimeout))
	defer retry.Stop()
	var logged time.Time
	for r.status.Load().Group == 0 {
		formed, err := r.tryForm()
		if err == nil {
			select {
			case r.formed <- formed:
			case <-r.stopping.Done():
			}
			return
		}
		if time.Since(logged) >= waitingLogInterval && r.stopping.Err() == nil {
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

// tryForm asks all listed VMs who they are.
func (r *Replica) tryForm() (formation, error) {
	if !r.settings.Control.Bootstrap {
		return formation{}, errNoBootstrap
	}
	if !slices.Contains(r.listedNames(), r.settings.VM.Name) {
		return formation{}, errNotListed
	}
	answers := make([]description, 0, len(r.settings.ControlVMs))
	members := make([]consensus.Member, 0, len(r.settings.ControlVMs))
	for _, peer := range r.settings.ControlVMs {
		answer := r.describeSelf()
		if peer.Name != r.settings.VM.Name {
			var err error
			if answer, err = r.ask(peer.Internal); err != nil {
				return formation{}, fmt.Errorf("control VM %s: %w", peer.Name, err)
			}
		}
		if answer.name != peer.Name {
			return formation{}, fmt.Errorf("%w: %s instead of %s", errOtherVMAnswers, answer.name, peer.Name)
		}
		answers = append(answers, answer)
		members = append(members, consensus.Member{ID: answer.member, Name: peer.Name, Address: peer.Internal})
	}
	formed := formation{membership: consensus.NewMembership(members...)}
	formed.group = groupID(r.settings.Cluster, formed.membership)
	return formed, r.checkAnswers(answers, formed.group)
}

func (r *Replica) ask(address string) (description, error) {
	ctx, cancel := context.WithTimeout(r.stopping, describeTimeout)
	defer cancel()
	return r.network.describe(ctx, address)
}

// checkAnswers refuses unless each VM is about to form this group or has just
// formed it.
func (r *Replica) checkAnswers(answers []description, group uint64) error {
	for _, answer := range answers {
		switch {
		case answer.group == group:
		case answer.group != 0:
			return fmt.Errorf("%w: %s", errGroupExists, answer.name)
		case !answer.bootstrap:
			return fmt.Errorf("%w: %s", errBootstrapOff, answer.name)
		case !slices.Equal(answer.listed, r.listedNames()):
			return fmt.Errorf("%w: %s", errListsDiffer, answer.name)
		}
	}
	return nil
}

func (r *Replica) listedNames() []string {
	names := make([]string, 0, len(r.settings.ControlVMs))
	for _, peer := range r.settings.ControlVMs {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return names
}

// groupID derives the group from its founders, so that all of them compute the
// same and no other set of data folders does.
func groupID(cluster string, membership consensus.Membership) uint64 {
	hash := sha256.New()
	hash.Write([]byte(cluster))
	for _, member := range membership.Members {
		hash.Write(idBytes(member.ID))
		hash.Write([]byte(member.Name + "\x00"))
	}
	return binary.BigEndian.Uint64(hash.Sum(nil)) | 1
}

func (r *Replica) form(f formation) {
	if err := r.loop.core.Bootstrap(f.group, f.membership, time.Now()); err != nil {
		r.logRefusal(err)
		return
	}
	observe.Log(r.logger, observe.GroupFormed).Uint64("group", f.group).Send()
}

// idBytes returns a member id for a hash.
func idBytes(id consensus.MemberID) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(id))
}
