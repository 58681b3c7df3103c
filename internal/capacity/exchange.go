package capacity

import (
	"context"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// maxUnsentReleases is the maximum number of releases kept for an unreachable VM. Leases
// whose releases are dropped expire at the scheduler, because they are not renewed.
const maxUnsentReleases = 4096

// outgoing is the content of one exchange message.
type outgoing struct {
	renewals []renewal
	releases []release
}

// Run exchanges messages with all VMs of the zone until ctx is cancelled.
func (h *Holder) Run(ctx context.Context) {
	var senders sync.WaitGroup
	for vm, box := range h.outboxes {
		senders.Go(func() { h.runSender(ctx, vm, box) })
	}
	senders.Wait()
}

// Flush sends the unsent releases of all outboxes once. It returns early if ctx is
// cancelled.
func (h *Holder) Flush(ctx context.Context) {
	var senders sync.WaitGroup
	for vm, box := range h.outboxes {
		senders.Go(func() {
			if next := h.takeOutgoing(vm, box, false); len(next.releases) > 0 {
				h.deliver(ctx, vm, next)
			}
		})
	}
	senders.Wait()
}

// runSender sends exchange messages to one VM: at each tick the renewals of all leases that
// the VM schedules and the releases, and between ticks only the changes of prefill and the
// releases. Changes during an exchange are collected for the next message.
func (h *Holder) runSender(ctx context.Context, vm string, box *outbox) {
	ticker := time.NewTicker(h.options.LeaseTerm / ticksPerTerm)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-box.wake:
			h.deliver(ctx, vm, h.takeOutgoing(vm, box, false))
		case <-ticker.C:
			h.deliver(ctx, vm, h.takeOutgoing(vm, box, true))
		}
	}
}

// takeOutgoing empties the outbox and returns its content. With allRenewals it adds the
// renewals of all leases that the VM schedules.
func (h *Holder) takeOutgoing(vm string, box *outbox, allRenewals bool) outgoing {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := outgoing{releases: box.releases}
	for _, l := range box.prefillChanged {
		if h.held[l.request.Attempt] == l && !allRenewals {
			next.renewals = append(next.renewals, l.renewal())
		}
	}
	box.releases, box.prefillChanged = nil, nil
	if !allRenewals {
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

// deliver applies an exchange message at this VM or sends it to another one. If sending
// fails, it puts the releases back into the outbox, unless there would be more than
// maxUnsentReleases.
func (h *Holder) deliver(ctx context.Context, vm string, next outgoing) {
	if vm == h.options.VM {
		h.options.Service.applyExchange(vm, next.renewals, next.releases)
		return
	}
	if err := h.exchange(ctx, vm, next); err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	box := h.outboxes[vm]
	if len(box.releases)+len(next.releases) <= maxUnsentReleases {
		box.releases = append(next.releases, box.releases...)
	}
}

func (h *Holder) exchange(ctx context.Context, vm string, next outgoing) error {
	client, err := h.options.Dial(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.LeaseTerm/2)
	defer cancel()
	requestedAt := h.options.Clock()
	message := &capacitypb.ExchangeRequest{Vm: h.options.VM}
	for _, r := range next.renewals {
		message.Renewals = append(message.Renewals, &capacitypb.Renewal{Server: r.server, Lease: leaseToProto(r.request, requestedAt), Prefilling: r.prefilling})
	}
	for _, r := range next.releases {
		message.Releases = append(message.Releases, &capacitypb.Release{Server: r.server, Attempt: r.attempt, Held: r.memoryHeld})
	}
	reply, err := client.Exchange(ctx, message)
	if err != nil {
		return err
	}
	h.options.Service.recordView(vm, reply.GetView(), requestedAt)
	return nil
}
