package members

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/replica"
)

const (
	// planInterval is how often the leader looks for a change.
	planInterval = 200 * time.Millisecond
	// stepTimeout bounds one change.
	stepTimeout = 4 * time.Second
)

// Reconciler carries out the plan while its member leads.
type Reconciler struct {
	replica func() *replica.Replica
	logger  zerolog.Logger
	mu      sync.Mutex
	joiners map[string]Joiner
	// heard holds when each member last answered, as the leader knows it.
	heard map[consensus.MemberID]time.Time
	term  uint64
}

// NewReconciler returns a reconciler for the member that replica returns, nil while
// there is none.
func NewReconciler(current func() *replica.Replica, logger zerolog.Logger) *Reconciler {
	return &Reconciler{replica: current, logger: logger, joiners: map[string]Joiner{}, heard: map[consensus.MemberID]time.Time{}}
}

// RecordJoinRequest records that a VM requested to become a voter.
func (k *Reconciler) RecordJoinRequest(joiner Joiner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.joiners[joiner.Address] = joiner
}

// Run plans until ctx ends.
func (k *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if member := k.replica(); member != nil && member.Leadership().IsLeader {
			k.carryOut(ctx, member, k.next(member, time.Now()))
		}
	}
}

// next returns the next step of the leader.
func (k *Reconciler) next(member *replica.Replica, now time.Time) Step {
	status := member.Status()
	if status.Term != k.term {
		k.term = status.Term
		clear(k.heard)
	}
	reachable := map[consensus.MemberID]bool{status.ID: true}
	for _, progress := range status.Progress {
		reachable[progress.ID] = reachable[progress.ID] || progress.Reachable
	}
	var all []Member
	for _, one := range status.Membership.Members {
		if _, known := k.heard[one.ID]; !known || reachable[one.ID] {
			k.heard[one.ID] = now
		}
		all = append(all, Member{Member: one, UnresponsiveFor: now.Sub(k.heard[one.ID])})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var joiners []Joiner
	for address, joiner := range k.joiners {
		if now.Sub(joiner.RequestedAt) > joinerFresh {
			delete(k.joiners, address)
			continue
		}
		joiners = append(joiners, joiner)
	}
	return Plan(all, joiners, now)
}

func (k *Reconciler) carryOut(ctx context.Context, member *replica.Replica, step Step) {
	if step.Kind == StepNone {
		return
	}
	observe.Log(k.logger, observe.MembershipPlanned).Str("step", step.Kind.String()).
		Uint64("member", uint64(step.Member.ID)).Str("address", step.Member.Address).Str("reason", step.Reason).Send()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var err error
	switch step.Kind {
	case StepAdd:
		_, err = member.AddLearner(ctx, step.Member.Name, step.Member.Address)
	case StepPromote:
		err = member.Promote(ctx, step.Member.Name)
	case StepRemove:
		err = member.Remove(ctx, step.Member.Name)
	}
	if err != nil {
		observe.Log(k.logger, observe.MembershipFailed).Str("step", step.Kind.String()).
			Str("address", step.Member.Address).Err(err).Send()
	}
}
