package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// ErrNoScheduler tells that no scheduler answered in time or grants now. The
// caller places the request without a lease.
var ErrNoScheduler = errors.New("no scheduler grants leases now")

// RefusedError tells why a scheduler refused a request.
type RefusedError struct {
	Kind DecisionKind
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the scheduler refused the request (%d)", e.Kind)
}

// HolderOptions are what a Holder works with.
type HolderOptions struct {
	// VM is the name of this VM, and Peers the other entry VMs of its zone.
	VM      string
	Peers   []string
	Service *Service
	// Dial returns the client of a peer.
	Dial func(vm string) (capacitypb.CapacityClient, error)
	// Timeout bounds the time to a scheduler's first word.
	Timeout   time.Duration
	LeaseTerm time.Duration
	Clock     func() time.Time
}

// Holder asks for leases on behalf of this VM's requests, renews them and
// gives them back. It is safe for concurrent use.
type Holder struct {
	options HolderOptions

	mu     sync.Mutex
	held   map[string]*Lease
	queues map[string]*outbox
}

// outbox holds what a VM has to be told.
type outbox struct {
	releases []release
	// dirty are leases whose prefill has ended since the last message.
	dirty []*Lease
	wake  chan struct{}
}

// NewHolder returns a holder that renews leases once Run is called.
func NewHolder(options HolderOptions) *Holder {
	h := &Holder{options: options, held: map[string]*Lease{}, queues: map[string]*outbox{}}
	for _, vm := range append([]string{options.VM}, options.Peers...) {
		h.queues[vm] = &outbox{wake: make(chan struct{}, 1)}
	}
	return h
}

// Lease is memory on an engine held for one attempt.
type Lease struct {
	holder *Holder
	server string
	group  string
	// granter is the VM that granted the lease, "" for an attempt placed
	// without one.
	granter    string
	request    Request
	ahead      int64
	prefilling bool
}

// AheadTokens returns the prefill that was in progress on the engine when the
// lease was granted.
func (l *Lease) AheadTokens() int64 { return l.ahead }

// Server returns the engine that the lease is for.
func (l *Lease) Server() string { return l.server }

// Acquire waits for a lease on one of choices, which belong to group. It
// returns ErrNoScheduler, a *RefusedError or the error of ctx.
func (h *Holder) Acquire(ctx context.Context, group string, request Request, choices []Choice) (*Lease, error) {
	vm := Scheduler(group, h.options.Service.View())
	var decision ServerDecision
	var err error
	if vm == h.options.VM {
		decision, err = h.acquireHere(ctx, request, choices)
	} else {
		decision, err = h.acquireFrom(ctx, vm, request, choices)
	}
	if err != nil {
		if ctx.Err() != nil {
			h.forsake(vm, request.Attempt)
		}
		return nil, err
	}
	for _, choice := range choices {
		if choice.Server == decision.Server {
			request.PrefillTokens = choice.PrefillTokens
		}
	}
	granted := &Lease{holder: h, server: decision.Server, ahead: decision.AheadTokens, group: group, granter: vm, request: request, prefilling: true}
	return h.keep(granted), nil
}

// forsake tells a scheduler that nobody waits for an attempt any more, in case
// its grant is on the way.
func (h *Holder) forsake(vm, attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tell(vm, func(o *outbox) { o.releases = append(o.releases, release{attempt: attempt}) })
}

// Adopt notes an attempt that was placed on server without a lease. Its
// renewals let the scheduler count it once there is one.
func (h *Holder) Adopt(group, server string, request Request) *Lease {
	return h.keep(&Lease{holder: h, server: server, group: group, request: request, prefilling: true})
}

func (h *Holder) keep(l *Lease) *Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[l.request.Attempt] = l
	return l
}

func (h *Holder) acquireHere(ctx context.Context, request Request, choices []Choice) (ServerDecision, error) {
	pending, err := h.options.Service.ask(request, choices)
	if err != nil {
		return ServerDecision{}, ErrNoScheduler
	}
	select {
	case decision := <-pending.decided:
		return decision, refusal(decision.Kind)
	case <-ctx.Done():
		pending.withdraw()
		return ServerDecision{}, ctx.Err()
	case <-h.options.Service.stopped:
		return ServerDecision{}, ErrNoScheduler
	}
}

func refusal(kind DecisionKind) error {
	switch kind {
	case Granted:
		return nil
	case RefusedNotScheduler, 0:
		return ErrNoScheduler
	}
	return &RefusedError{Kind: kind}
}

// acquireFrom asks another VM. It gives up when the VM does not answer within
// the timeout, and when a queued request is not heard of for a term.
func (h *Holder) acquireFrom(ctx context.Context, vm string, request Request, choices []Choice) (ServerDecision, error) {
	client, err := h.options.Dial(vm)
	if err != nil {
		return ServerDecision{}, ErrNoScheduler
	}
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(h.options.Timeout, cancel)
	defer watchdog.Stop()
	stream, err := client.Acquire(ctx, &capacitypb.AcquireRequest{
		Holder: h.options.VM, Lease: leaseMessage(request, h.options.Clock()), Choices: choiceMessages(choices),
	})
	if err != nil {
		return ServerDecision{}, h.acquireError(outer)
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return ServerDecision{}, h.acquireError(outer)
		}
		if reply.GetStatus() != capacitypb.Status_STATUS_QUEUED {
			decision := ServerDecision{Server: reply.GetServer()}
			decision.AheadTokens = reply.GetAheadTokens()
			return decision, refusal(kindOf(reply.GetStatus()))
		}
		watchdog.Reset(h.options.LeaseTerm)
	}
}

// acquireError tells the end of the caller's time from that of the scheduler.
func (h *Holder) acquireError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return ErrNoScheduler
}

// EndPrefill tells the scheduler that the prefill has ended.
func (l *Lease) EndPrefill() {
	h := l.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.prefilling {
		l.prefilling = false
		h.tell(h.schedulerOf(l), func(o *outbox) { o.dirty = append(o.dirty, l) })
	}
}

// BeginPrefill tells the scheduler that the engine begins to process tokens of
// the prompt, for a lease that was granted ahead of its use.
func (l *Lease) BeginPrefill(tokens int64) {
	h := l.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	l.request.PrefillTokens = tokens
	l.prefilling = true
	h.tell(h.schedulerOf(l), func(o *outbox) { o.dirty = append(o.dirty, l) })
}

// Release gives the lease back. With held, the engine has not confirmed that
// it freed the memory. It is called once.
func (l *Lease) Release(held bool) {
	h := l.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, l.request.Attempt)
	word := release{server: l.server, attempt: l.request.Attempt, held: held}
	scheduler := h.schedulerOf(l)
	h.tell(scheduler, func(o *outbox) { o.releases = append(o.releases, word) })
	if l.granter != "" && l.granter != scheduler {
		h.tell(l.granter, func(o *outbox) { o.releases = append(o.releases, word) })
	}
}

func (h *Holder) schedulerOf(l *Lease) string { return Scheduler(l.group, h.options.Service.View()) }

// tell adds to the outbox of a VM and wakes its sender.
func (h *Holder) tell(vm string, add func(o *outbox)) {
	queue, found := h.queues[vm]
	if !found {
		return
	}
	add(queue)
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

// HeldCount returns the number of attempts that this VM holds or has placed.
func (h *Holder) HeldCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}
