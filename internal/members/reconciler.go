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
	// planInterval is how often the leader plans a membership change.
	planInterval = 200 * time.Millisecond
	// stepTimeout bounds one membership change.
	stepTimeout = 4 * time.Second
)

// Reconciler executes the steps of Plan while the local member is the leader.
// RecordJoinRequest and Leave may be called concurrently with Run.
type Reconciler struct {
	options Options
	mu      sync.Mutex
	// joiners holds the latest join request of each VM by its address.
	joiners map[string]Joiner
	// lastSeen is when the leader last saw each member reachable, or first saw it in the
	// membership, during term. Only Run uses both.
	lastSeen map[consensus.MemberID]time.Time
	term     uint64
	// margin is the last reported one. Only Run uses it.
	margin quorumMargin
}

// quorumMargin tells how many voters the leader reaches, and how many of these may
// fail before there is no quorum.
type quorumMargin struct{ voters, reachable, quorum, margin int }

// Options configure a Reconciler.
type Options struct {
	// Replica returns the local member; nil while there is none.
	Replica func() *replica.Replica
	// MinVoters is the number of voters below which the group does not shrink without a
	// replacement.
	MinVoters int
	Logger    zerolog.Logger
	Metrics   *observe.Metrics
}

// NewReconciler returns a reconciler with the given options.
func NewReconciler(options Options) *Reconciler {
	return &Reconciler{options: options, joiners: map[string]Joiner{}, lastSeen: map[consensus.MemberID]time.Time{}}
}

// RecordJoinRequest records the latest join request of a VM, by its address.
func (r *Reconciler) RecordJoinRequest(joiner Joiner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joiners[joiner.Address] = joiner
}

// Leave removes a voter that stops, if at least MinVoters others remain. It returns when
// the removal is committed, or nil at once if the voter has to stay. A voter that stops
// may not come back, and counts for quorums as long as it is a member.
func (r *Reconciler) Leave(ctx context.Context, leaver Joiner) error {
	r.mu.Lock()
	delete(r.joiners, leaver.Address)
	r.mu.Unlock()
	member := r.options.Replica()
	if member == nil {
		return replica.ErrNotLeader
	}
	membership := member.Status().Membership
	left, found := membership.Find(leaver.ID)
	if !found || len(membership.Voters()) <= r.options.MinVoters {
		return nil
	}
	return r.execute(ctx, member, Step{
		Kind: StepRemove, Member: left, MinVoters: r.options.MinVoters, Reason: "the VM stops and enough other voters remain",
	})
}

// Run plans and executes membership changes until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if member := r.options.Replica(); member != nil && member.Leadership().IsLeader {
			// execute logs a failure; the next plan repeats the step if it is still due.
			_ = r.execute(ctx, member, r.nextStep(member, time.Now()))
		}
	}
}

// nextStep updates lastSeen, discards expired join requests and returns the next step.
func (r *Reconciler) nextStep(member *replica.Replica, now time.Time) Step {
	status := member.Status()
	if status.Term != r.term {
		r.term, r.margin = status.Term, quorumMargin{}
		clear(r.lastSeen)
	}
	reachable := map[consensus.MemberID]bool{status.ID: true}
	for _, progress := range status.Progress {
		reachable[progress.ID] = reachable[progress.ID] || progress.Reachable
	}
	var observed []Member
	for _, m := range status.Membership.Members {
		if _, seen := r.lastSeen[m.ID]; !seen || reachable[m.ID] {
			r.lastSeen[m.ID] = now
		}
		observed = append(observed, Member{Member: m, UnresponsiveFor: now.Sub(r.lastSeen[m.ID])})
	}
	r.reportMargin(status.Membership, reachable)
	r.mu.Lock()
	defer r.mu.Unlock()
	var joiners []Joiner
	for address, joiner := range r.joiners {
		if now.Sub(joiner.RequestedAt) > joinRequestTTL {
			delete(r.joiners, address)
			continue
		}
		joiners = append(joiners, joiner)
	}
	return Plan(observed, joiners, r.options.MinVoters, now)
}

// reportMargin logs the quorum margin and updates its metrics if it has changed.
func (r *Reconciler) reportMargin(membership consensus.Membership, reachable map[consensus.MemberID]bool) {
	current := quorumMargin{voters: len(membership.Voters()), quorum: membership.Quorum()}
	for _, id := range membership.Voters() {
		if reachable[id] {
			current.reachable++
		}
	}
	current.margin = current.reachable - current.quorum
	if current == r.margin {
		return
	}
	r.margin = current
	r.options.Metrics.Gauge("godwityoke_control_voters").Update(int64(current.voters))
	r.options.Metrics.Gauge("godwityoke_control_voters_reachable").Update(int64(current.reachable))
	r.options.Metrics.Gauge("godwityoke_control_quorum_margin").Update(int64(current.margin))
	observe.Log(r.options.Logger, observe.QuorumMargin).Int("voters", current.voters).Int("reachable", current.reachable).
		Int("quorum", current.quorum).Int("margin", current.margin).Send()
}

// execute carries out a step within stepTimeout and logs its failure.
func (r *Reconciler) execute(ctx context.Context, member *replica.Replica, step Step) error {
	if step.Kind == StepNone {
		return nil
	}
	observe.Log(r.options.Logger, observe.MembershipPlanned).Str("step", step.Kind.String()).
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
		err = member.RemoveKeeping(ctx, step.Member.Name, step.MinVoters)
	}
	if err != nil {
		observe.Log(r.options.Logger, observe.MembershipFailed).Str("step", step.Kind.String()).
			Str("address", step.Member.Address).Err(err).Send()
	}
	return err
}
