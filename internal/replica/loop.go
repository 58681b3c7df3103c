package replica

import (
	"errors"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/observe"
)

// controlLoop is the state that the control goroutine owns.
type controlLoop struct {
	core *consensus.Core
	// pending holds the callers of proposed commands and membership changes by log
	// index, until their entries are applied.
	pending map[uint64]pendingProposal
	// unconfirmedReads holds the read barriers, by request number of the core, for which
	// a quorum has not yet confirmed that this member leads.
	unconfirmedReads map[uint64]*readBarrier
	// confirmedReads holds the read barriers that wait until their read index is applied.
	confirmedReads []confirmedRead
	// term and isLeader are those of the previous call of publishProgress.
	term     uint64
	isLeader bool
	// snapshotEntries is the number of entries applied since the last snapshot at which
	// the next one is made.
	snapshotEntries uint64
}

// confirmedRead is a read barrier with its read index.
type confirmedRead struct {
	index   uint64
	barrier *readBarrier
}

func newControlLoop(r *Replica, core *consensus.Core) controlLoop {
	return controlLoop{
		core:             core,
		pending:          map[uint64]pendingProposal{},
		unconfirmedReads: map[uint64]*readBarrier{},
		snapshotEntries:  uint64(r.settings.Control.SnapshotEntries),
	}
}

// run is the control goroutine. Only it uses the core, the state machine and r.loop.
func (r *Replica) run() {
	ticker := time.NewTicker(time.Duration(r.settings.Control.HeartbeatInterval) / ticksPerHeartbeat)
	defer ticker.Stop()
	r.loop.core.Tick(time.Now()) // a member that led last campaigns at once
	err := r.processReady()
	for err == nil && r.stopping.Err() == nil {
		err = r.handleInputs(ticker.C)
	}
	r.shutDown(err)
}

// handleInputs waits for one input, passes it and the queued ones to the core, and
// processes the result. It returns an error if the member cannot go on.
func (r *Replica) handleInputs(ticks <-chan time.Time) error {
	select {
	case <-r.stopping.Done():
		return nil
	case <-ticks:
		r.loop.core.Tick(time.Now())
	case m := <-r.inbox:
		r.stepMessage(m)
	case p := <-r.proposals:
		r.propose(p)
	case b := <-r.barriers:
		r.startBarrier(b)
	case c := <-r.changes:
		r.startChange(c)
	case reply := <-r.transfers:
		reply <- r.loop.core.TransferLeadership(time.Now())
	case leader := <-r.endedLeaders:
		r.loop.core.ConfirmLeaderEnded(leader.id, leader.term, time.Now())
	case plan := <-r.groupPlans:
		r.formGroup(plan)
	case err := <-r.writeResults:
		if err != nil {
			return err
		}
		r.loop.core.ConfirmWrite()
	}
	r.drainInputs()
	r.loop.core.Flush()
	return r.processReady()
}

// drainInputs takes up to maxBatch queued messages, proposals and read barriers, so
// that they share one write and one round of messages.
func (r *Replica) drainInputs() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.stepMessage(m)
		case p := <-r.proposals:
			r.propose(p)
		case b := <-r.barriers:
			r.startBarrier(b)
		default:
			return
		}
	}
}

func (r *Replica) stepMessage(m consensus.Message) {
	r.inboxSizeBytes.Add(-int64(m.Size()))
	if err := r.loop.core.Step(m, time.Now()); err != nil {
		r.logRefused(err)
	}
}

// logRefused logs a refused message or group plan, at a limited rate.
func (r *Replica) logRefused(err error) {
	if r.logLimiter.Allow() {
		observe.Log(r.logger, observe.MessageRefused).Err(err).Send()
	}
}

// processReady executes the output of the core until there is none, and publishes the
// progress. It returns an error if a snapshot cannot be restored.
//
// The send on r.writes does not block: the core returns no Write before ConfirmWrite has
// acknowledged the previous one. Responses that acknowledge a write are in
// ready.Messages only after ConfirmWrite, so nothing is acknowledged before it is synced.
func (r *Replica) processReady() error {
	for {
		ready := r.loop.core.Ready()
		idle := len(ready.Messages) == 0 && ready.Write == nil && ready.Restore == nil &&
			len(ready.Committed) == 0 && len(ready.ReadStates) == 0 && len(ready.Events) == 0
		if idle {
			break
		}
		for i := range ready.Messages {
			r.network.send(&ready.Messages[i])
		}
		if ready.Write != nil {
			r.writes <- ready.Write
		}
		r.handleEvents(ready.Events)
		if err := r.apply(&ready); err != nil {
			return err
		}
		r.confirmBarriers(ready.ReadStates)
	}
	r.publishProgress()
	return nil
}

// publishProgress publishes the new status and answers callers: all of them if this
// member lost leadership, else those of the read barriers whose read index is applied.
// It then makes a snapshot if one is due.
func (r *Replica) publishProgress() {
	status := r.publish()
	leading := status.Role == consensus.RoleLeader
	if r.loop.isLeader && (!leading || status.Term != r.loop.term) {
		r.failCallers(ErrOutcomeUnknown, ErrNotLeader)
	}
	r.loop.isLeader, r.loop.term = leading, status.Term
	r.releaseBarriers(status.Applied)
	r.snapshotIfDue()
}

// publish stores the status of the core where other goroutines read it.
func (r *Replica) publish() *consensus.Status {
	status := r.loop.core.Status()
	r.status.Store(&status)
	return &status
}

func (r *Replica) apply(ready *consensus.Ready) error {
	if ready.Restore != nil {
		if err := r.machine.Restore(ready.Restore.Data); err != nil {
			return fmt.Errorf("restore snapshot of entry %d: %w", ready.Restore.Index, err)
		}
	}
	for i := range ready.Committed {
		entry := &ready.Committed[i]
		var result []byte
		if entry.Kind == consensus.EntryCommand {
			result = r.machine.Apply(entry.Index, entry.Data)
		}
		r.completeProposal(entry, result)
	}
	return nil
}

// snapshotIfDue passes a snapshot of the state machine to the core if enough entries were
// applied since the last one. If that fails, it tries again after the next input.
func (r *Replica) snapshotIfDue() {
	if r.loop.core.EntriesSinceSnapshot() < r.loop.snapshotEntries {
		return
	}
	data, err := r.machine.Snapshot()
	if err != nil || len(data) > maxSnapshotBytes {
		if r.logLimiter.Allow() {
			observe.Log(r.logger, observe.SnapshotFailed).Err(err).Int("bytes", len(data)).Send()
		}
		return
	}
	r.loop.core.CreateSnapshot(data)
}

func (r *Replica) handleEvents(events []consensus.Event) {
	for _, event := range events {
		switch event.Kind {
		case consensus.EventElectionStarted:
			membership := r.loop.core.Status().Membership
			observe.Log(r.logger, observe.ElectionStarted).Uint64("term", event.Term).
				Int("voters", len(membership.Voters())).Int("quorum", membership.Quorum()).Send()
		case consensus.EventBecameLeader:
			observe.Log(r.logger, observe.BecameLeader).Uint64("term", event.Term).Send()
		case consensus.EventSteppedDown:
			observe.Log(r.logger, observe.SteppedDown).Uint64("term", event.Term).Str("reason", string(event.Reason)).Send()
		case consensus.EventLeaderKnown:
			observe.Log(r.logger, observe.LeaderKnown).Uint64("term", event.Term).Uint64("leader", uint64(event.Leader)).Send()
		case consensus.EventSnapshotReceived:
			observe.Log(r.logger, observe.SnapshotReceived).Uint64("term", event.Term).Send()
		case consensus.EventRemoved:
			observe.Log(r.logger, observe.MemberRemoved).Send()
		case consensus.EventMembershipChanged:
			r.handleMembershipChange()
		}
	}
}

func (r *Replica) handleMembershipChange() {
	membership := r.loop.core.Status().Membership
	names := make([]string, 0, len(membership.Members))
	for _, member := range membership.Members {
		names = append(names, member.Name)
	}
	observe.Log(r.logger, observe.MembershipChanged).Strs("members", names).
		Int("voters", len(membership.Voters())).Int("quorum", membership.Quorum()).Send()
	r.network.update(membership)
}

const (
	// transferOnFailureTimeout is how long a failed leader waits until another voter has
	// all entries.
	transferOnFailureTimeout = 150 * time.Millisecond
	// transferSendDelay is the time for the last messages to be sent before the streams
	// are closed.
	transferSendDelay = 20 * time.Millisecond
)

// transferOnFailure transfers leadership from a failed leader, for example one whose
// disk refuses writes, to a voter that has all entries, so that the others need not wait
// until the lease expires.
func (r *Replica) transferOnFailure() {
	timeout := time.After(transferOnFailureTimeout)
	for {
		err := r.loop.core.TransferLeadership(time.Now())
		ready := r.loop.core.Ready()
		for i := range ready.Messages {
			r.network.send(&ready.Messages[i])
		}
		if !errors.Is(err, consensus.ErrNotCaughtUp) {
			break // the transfer has begun, or this member does not lead
		}
		select {
		case m := <-r.inbox:
			r.stepMessage(m)
		case <-timeout:
			return
		}
	}
	time.Sleep(transferSendDelay)
}

// shutDown stops the goroutines of the member and answers all callers. An err that is
// not nil is the failure that stops the member.
func (r *Replica) shutDown(err error) {
	if err != nil {
		r.transferOnFailure()
	}
	r.stop()
	r.failCallers(ErrOutcomeUnknown, ErrStopped)
	if err != nil {
		observe.Log(r.logger, observe.ReplicaFailed).Err(err).Send()
		r.failure = err
	}
	r.network.close()
	close(r.writes)
	for range r.writeResults {
	}
	observe.Log(r.logger, observe.ReplicaStopped).Send()
	close(r.done)
}
