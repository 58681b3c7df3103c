package capacity

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ticksPerTerm is the number of times per lease term that the scheduler state is updated
// and leases are renewed.
const ticksPerTerm = 4

// errStopped is returned after the service has stopped.
var errStopped = errors.New("the capacity service has stopped")

// EngineClient sends requests to engines. Its methods may block and are called
// concurrently.
type EngineClient interface {
	// List returns the attempts that hold memory on engine.
	List(ctx context.Context, engine Engine) ([]HeldAttempt, error)
	// Cancel cancels attempts on engine and returns those that hold no memory
	// any more.
	Cancel(ctx context.Context, engine Engine, attempts []string) ([]string, error)
}

// ServiceOptions holds the parameters and dependencies of a Service.
type ServiceOptions struct {
	// VM is the name of this VM. Zone lists the entry VMs of its zone, including
	// VM.
	VM   string
	Zone []string
	// Config returns the configuration of the bundle in force.
	Config func() Config
	// Live returns the live engines of the zone.
	Live    func(now time.Time) []Engine
	Engines EngineClient
	Clock   func() time.Time
}

// Service runs the schedulers of this VM. Only the goroutine of Run accesses state and
// waiters; other goroutines send it commands. The methods are safe for concurrent use.
type Service struct {
	options  ServiceOptions
	config   Config
	commands chan func(now time.Time)
	stopped  chan struct{}
	state    *State
	// waiters holds, by attempt, the channels for the decisions on pending requests.
	waiters map[string]chan ServerDecision
	// view and usage are copies of the state as of the last tick.
	view  atomic.Pointer[[]string]
	usage atomic.Pointer[map[string]Usage]
}

// NewService returns a service. It processes requests while Run is active.
func NewService(options ServiceOptions) *Service {
	config := options.Config()
	s := &Service{
		options:  options,
		config:   config,
		commands: make(chan func(now time.Time), commandBuffer),
		stopped:  make(chan struct{}),
		state:    NewState(options.VM, options.Zone, config),
		waiters:  map[string]chan ServerDecision{},
	}
	s.publish()
	return s
}

// commandBuffer is the capacity of the command channel.
const commandBuffer = 256

// Run processes commands and ticks until ctx is cancelled. It is called once.
func (s *Service) Run(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(s.config.LeaseTerm / ticksPerTerm)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-s.commands:
			command(s.options.Clock())
		case <-ticker.C:
			s.tick(ctx, s.options.Clock())
		}
		s.deliverDecisions()
	}
}

func (s *Service) tick(ctx context.Context, now time.Time) {
	if config := s.options.Config(); config != s.config {
		s.config = config
		s.state.SetConfig(config, now)
	}
	work := s.state.Tick(s.options.Live(now), now)
	for _, engine := range work.Lists {
		go s.list(ctx, engine, now)
	}
	for _, order := range work.Cancels {
		go s.cancel(ctx, order)
	}
	s.publish()
}

func (s *Service) publish() {
	view := s.state.Members().View()
	s.view.Store(&view)
	usage := s.state.Usage()
	s.usage.Store(&usage)
}

// View returns the VMs of the zone that this VM considers alive, as of the last tick. The
// result must not be changed.
func (s *Service) View() []string { return *s.view.Load() }

// Usage returns the memory usage of each engine that this VM schedules, by server ID, as
// of the last tick. The result must not be changed.
func (s *Service) Usage() map[string]Usage { return *s.usage.Load() }

func (s *Service) list(ctx context.Context, engine Engine, requestedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, s.config.LeaseTerm/2)
	defer cancel()
	held, err := s.options.Engines.List(ctx, engine)
	if err != nil {
		return // Tick requests a list again after half a lease term; the limit is not raised before
	}
	s.enqueueCommand(func(now time.Time) { s.state.ApplyList(engine.Server, engine.Incarnation, held, requestedAt, now) })
}

func (s *Service) cancel(ctx context.Context, order CancelOrder) {
	ctx, stop := context.WithTimeout(ctx, s.config.LeaseTerm/2)
	defer stop()
	freed, err := s.options.Engines.Cancel(ctx, order.Engine, order.Attempts)
	if err != nil {
		return // the cancel request is sent again until the engine confirms the freed memory
	}
	s.enqueueCommand(func(now time.Time) { s.state.ConfirmFreed(order.Engine.Server, order.Engine.Incarnation, freed, now) })
}

// enqueueCommand sends command to the goroutine of Run. It blocks while the command
// buffer is full, and returns false if the service has stopped.
func (s *Service) enqueueCommand(command func(now time.Time)) bool {
	select {
	case s.commands <- command:
		return true
	case <-s.stopped:
		return false
	}
}

// deliverDecisions sends the decisions to their waiters. A grant without a waiter is
// released.
func (s *Service) deliverDecisions() {
	for {
		decided := s.state.TakeDecisions()
		if len(decided) == 0 {
			return
		}
		for _, decision := range decided {
			waiter, found := s.waiters[decision.Attempt]
			if !found {
				if decision.Kind == Granted {
					s.state.Release(decision.Server, decision.Attempt, false, s.options.Clock())
				}
				continue
			}
			delete(s.waiters, decision.Attempt)
			waiter <- decision
		}
	}
}

// startRequest starts a lease request. The decision is sent to the channel of the returned
// pendingRequest, which is buffered. The error is errStopped.
func (s *Service) startRequest(request Request, choices []Choice) (*pendingRequest, error) {
	pending := &pendingRequest{service: s, attempt: request.Attempt, decision: make(chan ServerDecision, 1)}
	sent := s.enqueueCommand(func(now time.Time) {
		s.waiters[request.Attempt] = pending.decision
		s.state.Acquire(request, choices, now)
	})
	if !sent {
		return nil, errStopped
	}
	return pending, nil
}

// pendingRequest is a lease request without a decision.
type pendingRequest struct {
	service  *Service
	attempt  string
	decision chan ServerDecision
}

// withdraw cancels the request and releases the lease if it was granted already.
func (p *pendingRequest) withdraw() {
	p.service.enqueueCommand(func(now time.Time) {
		delete(p.service.waiters, p.attempt)
		p.service.state.Release("", p.attempt, false, now)
	})
}

// renewal is a holder's message that it still uses a lease.
type renewal struct {
	server     string
	request    Request
	prefilling bool
}

// release is a holder's message that an attempt has ended.
type release struct {
	// server is empty if the holder does not know the engine.
	server  string
	attempt string
	// memoryHeld tells that the engine has not confirmed that the memory is
	// free.
	memoryHeld bool
}

// applyExchange applies an exchange message of an entry VM, which can be this VM.
func (s *Service) applyExchange(vm string, renewals []renewal, releases []release) {
	s.enqueueCommand(func(now time.Time) {
		s.state.Members().RecordContact(vm, now)
		for _, r := range renewals {
			s.state.Renew(r.server, r.request, r.prefilling, now)
		}
		for _, r := range releases {
			s.state.Release(r.server, r.attempt, r.memoryHeld, now)
		}
	})
}

// recordView records the view that another VM replied to an exchange message sent at
// requestedAt.
func (s *Service) recordView(vm string, view []string, requestedAt time.Time) {
	s.enqueueCommand(func(now time.Time) { s.state.Members().RecordView(vm, view, requestedAt, now) })
}
