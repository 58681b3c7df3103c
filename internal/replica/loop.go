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
	// waiting holds the callers of accepted proposals and changes by index.
	waiting map[uint64]waiter
	// reading holds barriers by request until a quorum answered, applying
	// those that wait until an index is applied.
	reading  map[uint64]*barrier
	applying []appliedBarrier
	term     uint64
	leading  bool
	// snapshotEntries is how many applied entries trigger a snapshot.
	snapshotEntries uint64
}

type appliedBarrier struct {
	index   uint64
	barrier *barrier
}

func newControlLoop(r *Replica, core *consensus.Core) controlLoop {
	return controlLoop{
		core:            core,
		waiting:         map[uint64]waiter{},
		reading:         map[uint64]*barrier{},
		snapshotEntries: uint64(r.settings.Control.SnapshotEntries),
	}
}

// run is the control goroutine: it alone touches the core and the machine.
func (r *Replica) run() {
	ticker := time.NewTicker(time.Duration(r.settings.Control.HeartbeatInterval) / ticksPerHeartbeat)
	defer ticker.Stop()
	err := r.advance()
	for err == nil && r.stopping.Err() == nil {
		err = r.turn(ticker.C)
	}
	r.end(err)
}

// turn waits for one input, takes what else has arrived, and acts on it.
func (r *Replica) turn(ticks <-chan time.Time) error {
	select {
	case <-r.stopping.Done():
		return nil
	case <-ticks:
		r.loop.core.Tick(time.Now())
	case m := <-r.inbox:
		r.step(m)
	case p := <-r.proposals:
		r.propose(p)
	case b := <-r.barriers:
		r.startBarrier(b)
	case c := <-r.changes:
		r.startChange(c)
	case reply := <-r.transfers:
		reply <- r.loop.core.TransferLeadership(time.Now())
	case f := <-r.formed:
		r.form(f)
	case err := <-r.written:
		if err != nil {
			return err
		}
		r.loop.core.ConfirmWrite()
	}
	r.takeMore()
	r.loop.core.Flush()
	return r.advance()
}

// takeMore takes messages, proposals and barriers that already wait, so that
// they share one write and one round of messages.
func (r *Replica) takeMore() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case b := <-r.barriers:
			r.startBarrier(b)
		default:
			return
		}
	}
}

func (r *Replica) step(m consensus.Message) {
	r.inboxSize.Add(-int64(m.Size()))
	if err := r.loop.core.Step(m, time.Now()); err != nil {
		r.logRefusal(err)
	}
}

func (r *Replica) logRefusal(err error) {
	if r.refusals.Allow() {
		observe.Log(r.logger, observe.MessageRefused).Err(err).Send()
	}
}

// advance does what the core asks for until it asks for nothing more.
func (r *Replica) advance() error {
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
		r.awaitApplied(ready.ReadStates)
	}
	r.afterAdvance()
	return nil
}

// afterAdvance publishes the new status and answers who waits for it.
func (r *Replica) afterAdvance() {
	status := r.publish()
	leading := status.Role == consensus.RoleLeader
	if r.loop.leading && (!leading || status.Term != r.loop.term) {
		r.failWaiters(ErrOutcomeUnknown, ErrNotLeader)
	}
	r.loop.leading, r.loop.term = leading, status.Term
	r.serveBarriers(status.Applied)
	r.snapshotWhenDue()
}

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
		r.answer(entry, result)
	}
	return nil
}

func (r *Replica) snapshotWhenDue() {
	if r.loop.core.EntriesSinceSnapshot() < r.loop.snapshotEntries {
		return
	}
	data, err := r.machine.Snapshot()
	if err != nil || len(data) > maxSnapshotBytes {
		if r.refusals.Allow() {
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
			observe.Log(r.logger, observe.ElectionStarted).Uint64("term", event.Term).Send()
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
			r.handleMembership()
		}
	}
}

func (r *Replica) handleMembership() {
	membership := r.loop.core.Status().Membership
	names := make([]string, 0, len(membership.Members))
	for _, member := range membership.Members {
		names = append(names, member.Name)
	}
	observe.Log(r.logger, observe.MembershipChanged).Strs("members", names).Send()
	r.network.update(membership)
}

const (
	// handOverWait is how long a leader whose disk failed waits for another
	// member to have all entries.
	handOverWait = 150 * time.Millisecond
	// farewellWait is the time that the last message has to leave.
	farewellWait = 20 * time.Millisecond
)

// handOver lets a leader whose disk failed give leadership to a member that has
// all entries, so that the others need not wait for the end of its lease.
func (r *Replica) handOver() {
	limit := time.After(handOverWait)
	for {
		err := r.loop.core.TransferLeadership(time.Now())
		ready := r.loop.core.Ready()
		for i := range ready.Messages {
			r.network.send(&ready.Messages[i])
		}
		if !errors.Is(err, consensus.ErrNotCaughtUp) {
			break // leadership is on its way, or was not here
		}
		select {
		case m := <-r.inbox:
			r.step(m)
		case <-limit:
			return
		}
	}
	time.Sleep(farewellWait)
}

// end stops all that the member runs and answers all callers.
func (r *Replica) end(err error) {
	if err != nil {
		r.handOver()
	}
	r.stop()
	r.failWaiters(ErrOutcomeUnknown, ErrStopped)
	if err != nil {
		observe.Log(r.logger, observe.ReplicaFailed).Err(err).Send()
		r.failure = err
	}
	r.network.close()
	close(r.writes)
	for range r.written {
	}
	observe.Log(r.logger, observe.ReplicaStopped).Send()
	close(r.done)
}
