package capacity

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ticksPerTerm is how often in a lease term the control state is brought up to
// date and leases are renewed.
const ticksPerTerm = 4

// errStopped tells that the service has ended.
var errStopped = errors.New("the capacity service has stopped")

// EngineClient reaches engines. Its methods may block.
type EngineClient interface {
	// List returns what holds memory on engine.
	List(ctx context.Context, engine Engine) ([]HeldAttempt, error)
	// Cancel frees the memory of attempts and returns those that hold none
	// any more.
	Cancel(ctx context.Context, engine Engine, attempts []string) ([]string, error)
}

// ServiceOptions are what a Service works with.
type ServiceOptions struct {
	// VM is the name of this VM, and Zone the entry VMs of its zone with it.
	VM   string
	Zone []string
	// Config returns the configuration of the bundle in force.
	Config func() Config
	// Live returns the live engines of the zone.
	Live    func(now time.Time) []Engine
	Engines EngineClient
	Clock   func() time.Time
}

// Service owns the control state of this VM's schedulers. Its goroutine is the
// only one that touches the state; others send it commands.
type Service struct {
	options  ServiceOptions
	config   Config
	commands chan func(now time.Time)
	stopped  chan struct{}
	state    *State
	waiters  map[string]chan ServerDecision
	view     atomic.Pointer[[]string]
	usage    atomic.Pointer[map[string]Usage]
}

// NewService returns a service that works once Run is called.
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

// commandBuffer bounds the commands that wait for the control goroutine.
const commandBuffer = 256

// Run works until ctx ends.
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
		s.deliver()
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

// View returns the live VMs of the zone. The result must not be changed.
func (s *Service) View() []string { return *s.view.Load() }

// Usage returns the use of each engine that this VM schedules, as of the last
// tick. The result must not be changed.
func (s *Service) Usage() map[string]Usage { return *s.usage.Load() }

func (s *Service) list(ctx context.Context, engine Engine, askedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, s.config.LeaseTerm/2)
	defer cancel()
	held, err := s.options.Engines.List(ctx, engine)
	if err != nil {
		return // asked again at the next interval; nothing more is granted meanwhile
	}
	s.do(func(now time.Time) { s.state.ApplyList(engine.Server, engine.Incarnation, held, askedAt, now) })
}

func (s *Service) cancel(ctx context.Context, order CancelOrder) {
	ctx, stop := context.WithTimeout(ctx, s.config.LeaseTerm/2)
	defer stop()
	freed, err := s.options.Engines.Cancel(ctx, order.Engine, order.Attempts)
	if err != nil {
		return // sent again until confirmed
	}
	s.do(func(now time.Time) { s.state.ConfirmFreed(order.Engine.Server, order.Engine.Incarnation, freed, now) })
}

// do runs command on the control goroutine, later. It reports false when the
// service has stopped.
func (s *Service) do(command func(now time.Time)) bool {
	select {
	case s.commands <- command:
		return true
	case <-s.stopped:
		return false
	}
}

// deliver hands decisions to those who wait for them. A grant that nobody
// waits for is given back.
func (s *Service) deliver() {
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

// ask starts a request. The decision comes on the returned channel, which has
// room for it.
func (s *Service) ask(request Request, choices []Choice) (*pendingRequest, error) {
	pending := &pendingRequest{service: s, attempt: request.Attempt, decided: make(chan ServerDecision, 1)}
	sent := s.do(func(now time.Time) {
		s.waiters[request.Attempt] = pending.decided
		s.state.Acquire(request, choices, now)
	})
	if !sent {
		return nil, errStopped
	}
	return pending, nil
}

// pendingRequest is a request that waits for its decision.
type pendingRequest struct {
	service *Service
	attempt string
	decided chan ServerDecision
}

// withdraw ends a request whose decision is no longer wanted, granted or not.
func (p *pendingRequest) withdraw() {
	p.service.do(func(now time.Time) {
		delete(p.service.waiters, p.attempt)
		p.service.state.Release("", p.attempt, false, now)
	})
}

// renewal is a holder's word that it still uses a lease.
type renewal struct {
	server     string
	request    Request
	prefilling bool
}

// release is a holder's word that an attempt has ended.
type release struct {
	server  string
	attempt string
	held    bool
}

// exchange takes a message of another VM, or of this VM as a holder.
func (s *Service) exchange(vm string, renewals []renewal, releases []release) {
	s.do(func(now time.Time) {
		s.state.Members().RecordContact(vm, now)
		for _, r := range renewals {
			s.state.Renew(r.server, r.request, r.prefilling, now)
		}
		for _, r := range releases {
			s.state.Release(r.server, r.attempt, r.held, now)
		}
	})
}

// answered takes another VM's answer to a question of askedAt.
func (s *Service) answered(vm string, view []string, askedAt time.Time) {
	s.do(func(now time.Time) { s.state.Members().RecordView(vm, view, askedAt, now) })
}
