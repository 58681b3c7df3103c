package replica

import (
	"context"
	"errors"
	"time"

	"godwityoke.example/godwityoke/internal/consensus"
)

var (
	// ErrBusy is returned if too many bytes of commands wait for commit. The command was
	// not proposed.
	ErrBusy = errors.New("too many commands wait for commit")
	// ErrTooLarge is returned if the command exceeds 8 MiB. The command was not proposed.
	ErrTooLarge = errors.New("the command is too large")
)

// outcome is the result or the error of a proposed command or membership change.
type outcome struct {
	result []byte
	err    error
}

// proposal is a command for the control goroutine.
type proposal struct {
	command []byte
	reply   chan outcome
}

// pendingProposal is the caller of an entry that is proposed but not yet applied.
type pendingProposal struct {
	// term is the term in which the entry was proposed.
	term  uint64
	reply chan outcome
}

// readBarrier is the caller of a ReadBarrier.
type readBarrier struct {
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

// awaitOutcome waits for the outcome of a command or change that was passed to the
// control goroutine. That goroutine replies to each one that it took before it closes
// r.done, so ErrStopped means that it did not take this one.
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
		p.reply <- outcome{err: translateError(err)}
		return
	}
	r.registerCaller(index, term, p.reply)
}

// registerCaller registers the caller of the entry proposed at index in term. If a
// caller is registered at this index already, its entry was replaced in the log.
func (r *Replica) registerCaller(index, term uint64, reply chan outcome) {
	if replaced, found := r.loop.pending[index]; found {
		replaced.reply <- outcome{err: ErrOutcomeUnknown}
	}
	r.loop.pending[index] = pendingProposal{term: term, reply: reply}
}

// completeProposal sends the result of an applied entry to its caller, if this member
// proposed it. If the entry has another term than the proposed one, the proposed entry
// was replaced.
func (r *Replica) completeProposal(entry *consensus.Entry, result []byte) {
	p, found := r.loop.pending[entry.Index]
	if !found {
		return
	}
	delete(r.loop.pending, entry.Index)
	if p.term != entry.Term {
		p.reply <- outcome{err: ErrOutcomeUnknown}
		return
	}
	p.reply <- outcome{result: result}
}

// failCallers answers all callers with an error at the end of leadership. The next
// leader may still commit the proposed entries, so their callers get proposalErr, which
// leaves the outcome open. Read barriers change nothing and get readErr.
func (r *Replica) failCallers(proposalErr, readErr error) {
	for _, p := range r.loop.pending {
		p.reply <- outcome{err: proposalErr}
	}
	clear(r.loop.pending)
	for _, b := range r.loop.unconfirmedReads {
		b.reply <- readErr
	}
	clear(r.loop.unconfirmedReads)
	for _, read := range r.loop.confirmedReads {
		read.barrier.reply <- readErr
	}
	r.loop.confirmedReads = nil
}

// ReadBarrier implements Proposer.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	b := &readBarrier{reply: make(chan error, 1)}
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

func (r *Replica) startBarrier(b *readBarrier) {
	request, err := r.loop.core.RequestReadIndex(time.Now())
	if err != nil {
		b.reply <- translateError(err)
		return
	}
	r.loop.unconfirmedReads[request] = b
}

// confirmBarriers notes the read index of each read barrier that a quorum confirmed.
func (r *Replica) confirmBarriers(reads []consensus.ReadState) {
	for _, read := range reads {
		if b, found := r.loop.unconfirmedReads[read.RequestID]; found {
			delete(r.loop.unconfirmedReads, read.RequestID)
			r.loop.confirmedReads = append(r.loop.confirmedReads, confirmedRead{index: read.Index, barrier: b})
		}
	}
}

// releaseBarriers answers the confirmed read barriers whose read index is applied.
func (r *Replica) releaseBarriers(applied uint64) {
	kept := r.loop.confirmedReads[:0]
	for _, read := range r.loop.confirmedReads {
		if read.index <= applied {
			read.barrier.reply <- nil
			continue
		}
		kept = append(kept, read)
	}
	r.loop.confirmedReads = kept
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

// Status returns the consensus state that this member has published last.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// TransferLeadership transfers leadership to another voter that has all entries. It
// returns when the transfer has begun. While no reachable voter has all entries, for
// example because the last one was proposed just now, it waits up to an election timeout:
// without a transfer the others would wait as long. It returns ErrNotLeader if this member
// does not lead, consensus.ErrNotCaughtUp if no other voter has all entries, ErrStopped,
// or the error of ctx.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	timeout := time.NewTimer(time.Duration(r.settings.Control.ElectionTimeout))
	defer timeout.Stop()
	retry := time.NewTicker(time.Duration(r.settings.Control.HeartbeatInterval) / transferRetriesPerHeartbeat)
	defer retry.Stop()
	for {
		err := r.tryTransfer(ctx)
		if !errors.Is(err, consensus.ErrNotCaughtUp) || len(r.status.Load().Membership.Voters()) == 1 {
			return err
		}
		select {
		case <-retry.C:
		case <-timeout.C:
			return err
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func (r *Replica) tryTransfer(ctx context.Context) error {
	reply := make(chan error, 1)
	select {
	case r.transfers <- reply:
		return translateError(<-reply)
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

// translateError replaces errors of the core by those of this package, and returns
// other errors as they are.
func translateError(err error) error {
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
