package replica

import (
	"context"
	"errors"
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
)

var (
	// ErrBusy tells that the command was not taken: too many wait for commit.
	ErrBusy = errors.New("too many commands wait for commit")
	// ErrTooLarge tells that the command was not taken: it is too large.
	ErrTooLarge = errors.New("the command is too large")
)

type outcome struct {
	result []byte
	err    error
}

type proposal struct {
	command []byte
	reply   chan outcome
}

// waiter is the caller of an entry that is not yet applied.
type waiter struct {
	term  uint64
	reply chan outcome
}

type barrier struct {
	reply chan error
}

// Propose implements Proposer.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, reply: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, ErrStopped
	}
	return awaitOutcome(ctx, r, p.reply)
}

// awaitOutcome waits for the fate of what the control goroutine has taken.
func awaitOutcome(ctx context.Context, r *Replica, reply chan outcome) ([]byte, error) {
	select {
	case o := <-reply:
		return o.result, o.err
	case <-ctx.Done():
		return nil, errors.Join(ErrOutcomeUnknown, ctx.Err())
	case <-r.done:
	}
	select {
	case o := <-reply:
		return o.result, o.err
	default:
		return nil, ErrStopped
	}
}

func (r *Replica) propose(p *proposal) {
	index, term, err := r.loop.core.Propose(p.command, time.Now())
	if err != nil {
		p.reply <- outcome{err: fromCore(err)}
		return
	}
	r.await(index, term, p.reply)
}

// await registers a caller. A caller already registered at index belongs to an
// entry that was replaced.
func (r *Replica) await(index, term uint64, reply chan outcome) {
	if old, found := r.loop.waiting[index]; found {
		old.reply <- outcome{err: ErrOutcomeUnknown}
	}
	r.loop.waiting[index] = waiter{term: term, reply: reply}
}

// answer tells the caller of an applied entry its result.
func (r *Replica) answer(entry *consensus.Entry, result []byte) {
	w, found := r.loop.waiting[entry.Index]
	if !found {
		return
	}
	delete(r.loop.waiting, entry.Index)
	if w.term != entry.Term {
		w.reply <- outcome{err: ErrOutcomeUnknown}
		return
	}
	w.reply <- outcome{result: result}
}

// failWaiters answers all callers at the end of leadership: the entries may
// still be committed by the next leader, the barriers are simply void.
func (r *Replica) failWaiters(entries, barriers error) {
	for _, w := range r.loop.waiting {
		w.reply <- outcome{err: entries}
	}
	clear(r.loop.waiting)
	for _, b := range r.loop.reading {
		b.reply <- barriers
	}
	clear(r.loop.reading)
	for _, waiting := range r.loop.applying {
		waiting.barrier.reply <- barriers
	}
	r.loop.applying = nil
}

// ReadBarrier implements Proposer.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	b := &barrier{reply: make(chan error, 1)}
	select {
	case r.barriers <- b:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
	select {
	case err := <-b.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

func (r *Replica) startBarrier(b *barrier) {
	request, err := r.loop.core.RequestReadIndex(time.Now())
	if err != nil {
		b.reply <- fromCore(err)
		return
	}
	r.loop.reading[request] = b
}

func (r *Replica) awaitApplied(reads []consensus.ReadState) {
	for _, read := range reads {
		if b, found := r.loop.reading[read.RequestID]; found {
			delete(r.loop.reading, read.RequestID)
			r.loop.applying = append(r.loop.applying, appliedBarrier{index: read.Index, barrier: b})
		}
	}
}

func (r *Replica) serveBarriers(applied uint64) {
	kept := r.loop.applying[:0]
	for _, waiting := range r.loop.applying {
		if waiting.index <= applied {
			waiting.barrier.reply <- nil
			continue
		}
		kept = append(kept, waiting)
	}
	r.loop.applying = kept
}

// Leadership implements Proposer.
func (r *Replica) Leadership() Leadership {
	status := r.status.Load()
	leader, _ := status.Membership.Find(status.Leader)
	leading := status.Role == consensus.RoleLeader && time.Now().Before(status.LeaseUntil)
	return Leadership{
		Term:       status.Term,
		LeaderID:   uint64(status.Leader),
		LeaderName: leader.Name,
		IsLeader:   leading && r.stopping.Err() == nil,
		LeaseUntil: status.LeaseUntil,
	}
}

// Status returns the view of this member.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// TransferLeadership hands leadership to another voter that has all entries.
// It fails with ErrNotLeader when this member does not lead.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	reply := make(chan error, 1)
	select {
	case r.transfers <- reply:
		return fromCore(<-reply)
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

// fromCore turns errors of the core into those of this package.
func fromCore(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return ErrNotLeader
	case errors.Is(err, consensus.ErrBusy):
		return ErrBusy
	case errors.Is(err, consensus.ErrTooLarge):
		return ErrTooLarge
	}
	return err
}
