package capacity

import (
	"context"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// maxUnsent bounds the releases kept for a VM that cannot be reached. Beyond
// it the scheduler finds out by the missing renewals.
const maxUnsent = 4096

// outgoing is one message to a VM.
type outgoing struct {
	renewals []renewal
	releases []release
}

// Run exchanges messages with all VMs of the zone until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var senders sync.WaitGroup
	for vm, queue := range h.queues {
		senders.Go(func() { h.send(ctx, vm, queue) })
	}
	senders.Wait()
}

// Flush sends what the outboxes hold, once, or until ctx ends.
func (h *Holder) Flush(ctx context.Context) {
	var senders sync.WaitGroup
	for vm, queue := range h.queues {
		senders.Go(func() {
			if next := h.take(vm, queue, false); len(next.releases) > 0 {
				h.deliver(ctx, vm, next)
			}
		})
	}
	senders.Wait()
}

// send keeps one VM informed: at each tick of all leases that it schedules,
// and between ticks of what has changed. What changes during a message goes
// into the next one.
func (h *Holder) send(ctx context.Context, vm string, queue *outbox) {
	ticker := time.NewTicker(h.options.LeaseTerm / ticksPerTerm)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-queue.wake:
			h.deliver(ctx, vm, h.take(vm, queue, false))
		case <-ticker.C:
			h.deliver(ctx, vm, h.take(vm, queue, true))
		}
	}
}

// take empties the outbox, with all renewals if asked for.
func (h *Holder) take(vm string, queue *outbox, all bool) outgoing {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := outgoing{releases: queue.releases}
	for _, l := range queue.dirty {
		if h.held[l.request.Attempt] == l && !all {
			next.renewals = append(next.renewals, l.renewal())
		}
	}
	queue.releases, queue.dirty = nil, nil
	if !all {
		return next
	}
	for _, l := range h.held {
		if h.schedulerOf(l) == vm {
			next.renewals = append(next.renewals, l.renewal())
		}
	}
	return next
}

func (l *Lease) renewal() renewal {
	return renewal{server: l.server, request: l.request, prefilling: l.prefilling}
}

func (h *Holder) deliver(ctx context.Context, vm string, next outgoing) {
	if vm == h.options.VM {
		h.options.Service.exchange(vm, next.renewals, next.releases)
		return
	}
	if err := h.exchange(ctx, vm, next); err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	queue := h.queues[vm]
	if len(queue.releases)+len(next.releases) <= maxUnsent {
		queue.releases = append(next.releases, queue.releases...)
	}
}

func (h *Holder) exchange(ctx context.Context, vm string, next outgoing) error {
	client, err := h.options.Dial(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.LeaseTerm/2)
	defer cancel()
	askedAt := h.options.Clock()
	message := &capacitypb.ExchangeRequest{Vm: h.options.VM}
	for _, r := range next.renewals {
		message.Renewals = append(message.Renewals, &capacitypb.Renewal{Server: r.server, Lease: leaseMessage(r.request, askedAt), Prefilling: r.prefilling})
	}
	for _, r := range next.releases {
		message.Releases = append(message.Releases, &capacitypb.Release{Server: r.server, Attempt: r.attempt, Held: r.held})
	}
	reply, err := client.Exchange(ctx, message)
	if err != nil {
		return err
	}
	h.options.Service.answered(vm, reply.GetView(), askedAt)
	return nil
}
