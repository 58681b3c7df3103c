package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// ErrNoScheduler is returned if the scheduler cannot be reached, does not reply in time, or
// can grant leases on none of the engines at present. The caller can place the request
// without a lease.
var ErrNoScheduler = errors.New("no scheduler grants leases now")

// RefusedError is returned if a scheduler refused a request. Kind is the reason.
type RefusedError struct {
	Kind DecisionKind
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the scheduler refused the request (%d)", e.Kind)
}

// HolderOptions holds the parameters and dependencies of a Holder.
type HolderOptions struct {
	// VM is the name of this VM, and Peers the other entry VMs of its zone.
	VM    string
	Peers []string
	// Service runs the schedulers of this VM and provides its view of the zone.
	Service *Service
	// Dial returns the client for a peer.
	Dial func(vm string) (capacitypb.CapacityClient, error)
	// Timeout is the maximum time to the first reply of a scheduler.
	Timeout time.Duration
	// LeaseTerm is the time after which a lease that is not renewed expires, and
	// the maximum time between two replies of a scheduler for a queued request.
	LeaseTerm time.Duration
	Clock     func() time.Time
}

// Holder acquires, renews and releases the leases for the requests of this VM. It is
// safe for concurrent use.
type Holder struct {
	options HolderOptions

	mu       sync.Mutex
	held     map[string]*Lease
	outboxes map[string]*outbox
}

// outbox holds the unsent messages for one VM.
type outbox struct {
	releases []release
	// prefillChanged lists the leases whose prefill has begun or ended since the
	// last message.
	prefillChanged []*Lease
	wake           chan struct{}
}

// NewHolder returns a holder. It sends renewals and releases while Run is active.
func NewHolder(options HolderOptions) *Holder {
	h := &Holder{options: options, held: map[string]*Lease{}, outboxes: map[string]*outbox{}}
	for _, vm := range append([]string{options.VM}, options.Peers...) {
		h.outboxes[vm] = &outbox{wake: make(chan struct{}, 1)}
	}
	return h
}

// Lease is engine memory held for one attempt.
type Lease struct {
	holder *Holder
	server string
	group  string
	// granter is the VM that granted the lease. It is empty for an attempt that
	// was placed without a grant.
	granter     string
	request     Request
	aheadTokens int64
	prefilling  bool
}

// AheadTokens returns the number of prompt tokens that the engine had to prefill before
// those of the request when the lease was granted.
func (l *Lease) AheadTokens() int64 { return l.aheadTokens }

// Server returns the ID of the engine that the lease is for.
func (l *Lease) Server() string { return l.server }

// Acquire requests a lease on one of choices, which belong to group, and waits for the
// decision. The error is ErrNoScheduler, a *RefusedError or the error of ctx.
func (h *Holder) Acquire(ctx context.Context, group string, request Request, choices []Choice) (*Lease, error) {
	vm := Scheduler(group, h.options.Service.View())
	var decision ServerDecision
	var err error
	if vm == h.options.VM {
		decision, err = h.acquireLocal(ctx, request, choices)
	} else {
		decision, err = h.acquireRemote(ctx, vm, request, choices)
	}
	if err != nil {
		if ctx.Err() != nil {
			h.releaseAbandoned(vm, request.Attempt)
		}
		return nil, err
	}
	for _, choice := range choices {
		if choice.Server == decision.Server {
			request.PrefillTokens = choice.PrefillTokens
		}
	}
	granted := &Lease{holder: h, server: decision.Server, aheadTokens: decision.AheadTokens, group: group, granter: vm, request: request, prefilling: true}
	return h.track(granted), nil
}

// releaseAbandoned sends a release, for any engine, of an attempt whose caller stopped
// waiting. The scheduler may have granted the lease already.
func (h *Holder) releaseAbandoned(vm, attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.post(vm, func(o *outbox) { o.releases = append(o.releases, release{attempt: attempt}) })
}

// Adopt registers an attempt that was placed on server without a grant. Its renewals let
// a scheduler create a lease for it as soon as one is reachable.
func (h *Holder) Adopt(group, server string, request Request) *Lease {
	return h.track(&Lease{holder: h, server: server, group: group, request: request, prefilling: true})
}

// track adds a lease to those that are renewed.
func (h *Holder) track(l *Lease) *Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[l.request.Attempt] = l
	return l
}

func (h *Holder) acquireLocal(ctx context.Context, request Request, choices []Choice) (ServerDecision, error) {
	pending, err := h.options.Service.startRequest(request, choices)
	if err != nil {
		return ServerDecision{}, ErrNoScheduler
	}
	select {
	case decision := <-pending.decision:
		return decision, decisionError(decision.Kind)
	case <-ctx.Done():
		pending.withdraw()
		return ServerDecision{}, ctx.Err()
	case <-h.options.Service.stopped:
		return ServerDecision{}, ErrNoScheduler
	}
}

// decisionError returns nil for a grant, and otherwise the error of Holder.Acquire.
func decisionError(kind DecisionKind) error {
	switch kind {
	case Granted:
		return nil
	case RefusedNotScheduler, 0:
		return ErrNoScheduler
	}
	return &RefusedError{Kind: kind}
}

// acquireRemote requests a lease from another VM. It returns ErrNoScheduler if the VM
// sends no reply within Timeout, or, while the request is queued, within LeaseTerm.
func (h *Holder) acquireRemote(ctx context.Context, vm string, request Request, choices []Choice) (ServerDecision, error) {
	client, err := h.options.Dial(vm)
	if err != nil {
		return ServerDecision{}, ErrNoScheduler
	}
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(h.options.Timeout, cancel)
	defer watchdog.Stop()
	stream, err := client.Acquire(ctx, &capacitypb.AcquireRequest{
		Holder: h.options.VM, Lease: leaseToProto(request, h.options.Clock()), Choices: choicesToProto(choices),
	})
	if err != nil {
		return ServerDecision{}, h.acquireError(callerCtx)
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return ServerDecision{}, h.acquireError(callerCtx)
		}
		if reply.GetStatus() != capacitypb.Status_STATUS_QUEUED {
			decision := ServerDecision{Server: reply.GetServer()}
			decision.AheadTokens = reply.GetAheadTokens()
			return decision, decisionError(kindFromProto(reply.GetStatus()))
		}
		watchdog.Reset(h.options.LeaseTerm)
	}
}

// acquireError returns the error of ctx if the caller has cancelled, and ErrNoScheduler
// if the call to the scheduler failed.
func (h *Holder) acquireError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return ErrNoScheduler
}

// EndPrefill reports to the scheduler that the engine has finished the prefill.
func (l *Lease) EndPrefill() {
	h := l.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.prefilling {
		l.prefilling = false
		h.post(h.schedulerOf(l), func(o *outbox) { o.prefillChanged = append(o.prefillChanged, l) })
	}
}

// BeginPrefill reports to the scheduler that the engine starts to prefill the given number
// of prompt tokens. It is for a lease that is granted long before its use.
func (l *Lease) BeginPrefill(tokens int64) {
	h := l.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	l.request.PrefillTokens = tokens
	l.prefilling = true
	h.post(h.schedulerOf(l), func(o *outbox) { o.prefillChanged = append(o.prefillChanged, l) })
}

// Release releases the lease. memoryHeld tells that the engine has not confirmed that the
// memory is free. It must be called exactly once. The release goes to the present
// scheduler and, if that is another VM, also to the granter.
func (l *Lease) Release(memoryHeld bool) {
	h := l.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, l.request.Attempt)
	message := release{server: l.server, attempt: l.request.Attempt, memoryHeld: memoryHeld}
	scheduler := h.schedulerOf(l)
	h.post(scheduler, func(o *outbox) { o.releases = append(o.releases, message) })
	if l.granter != "" && l.granter != scheduler {
		h.post(l.granter, func(o *outbox) { o.releases = append(o.releases, message) })
	}
}

// schedulerOf returns the VM that schedules the engine of a lease at present.
func (h *Holder) schedulerOf(l *Lease) string { return Scheduler(l.group, h.options.Service.View()) }

// post adds to the outbox of a VM and wakes its sender. It ignores an unknown VM. The
// caller must hold h.mu.
func (h *Holder) post(vm string, add func(o *outbox)) {
	box, found := h.outboxes[vm]
	if !found {
		return
	}
	add(box)
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

// HeldCount returns the number of leases of this VM, including adopted attempts.
func (h *Holder) HeldCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}
