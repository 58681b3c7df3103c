package orders

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
)

const (
	// planInterval is how often orders are planned.
	planInterval = 500 * time.Millisecond
	// readInterval is how often each engine is read back while a roll runs.
	readInterval = 3 * time.Second
	// maxCalls bounds the calls of engines that run at one time.
	maxCalls = 32
	// settleTime is the time in which entry VMs report to a new leader.
	settleTime = 5 * time.Second
)

// Options configures a Runner.
type Options struct {
	// Leadership tells whether this VM still leads.
	Leadership func() replica.Leadership
	// CurrentRoll returns the bundle to be rolled and the state of its roll.
	CurrentRoll func() (*registry.AcceptedBundle, *registry.Roll)
	// Reports returns what the VMs report.
	Reports func() []distribute.Report
	Engines EngineClient
	// PreviousLease is the longest time that an earlier leader can still
	// believe that it leads, with the bound on clock drift.
	PreviousLease time.Duration
	Log           zerolog.Logger
}

// Runner gives orders while this VM leads the control group.
type Runner struct {
	options Options

	mu     sync.Mutex
	status *operatorapi.RollStatus
}

// NewRunner returns a runner.
func NewRunner(options Options) *Runner {
	return &Runner{options: options}
}

// Status tells how far the roll is, nil without one.
func (r *Runner) Status() *operatorapi.RollStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == nil {
		return nil
	}
	status := *r.status
	return &status
}

func (r *Runner) setStatus(status *operatorapi.RollStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
}

// leads reports whether the lease of term still holds at now.
func leads(leadership replica.Leadership, term uint64, now time.Time) bool {
	return leadership.IsLeader && leadership.Term == term && now.Before(leadership.LeaseUntil)
}

// Run gives orders as the leader of term until ctx ends or an engine tells of a
// newer leader. While the lease does not hold, it gives none; if it holds again
// in the same term, nobody else has led in between.
func (r *Runner) Run(ctx context.Context, term uint64) {
	start := time.Now()
	t := &turn{
		runner:  r,
		term:    term,
		start:   start,
		book:    newBook(term, start.Add(r.options.PreviousLease+orderLife)),
		results: make(chan result, maxCalls),
		readAt:  map[string]time.Time{},
	}
	defer r.setStatus(nil)
	defer func() { t.calls.Wait() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		if leads(r.options.Leadership(), term, time.Now()) {
			t.step(ctx, time.Now())
		}
		if !t.wait(ctx, ticker.C) {
			return
		}
	}
}

// turn is the runner's work in one term. One goroutine owns it; calls of
// engines run beside it and return by results.
type turn struct {
	runner  *Runner
	term    uint64
	start   time.Time
	book    *book
	storeAt time.Time
	version uint64
	bundle  *bundle.Bundle
	readAt  map[string]time.Time
	running int
	results chan result
	calls   sync.WaitGroup
}

// result is the end of a call of an engine.
type result struct {
	engine string
	sent   *sending
	reply  *backendapi.OrderReply
	state  *backendapi.EngineState
	err    error
}

// wait takes results until the next planning is due.
func (t *turn) wait(ctx context.Context, due <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case end := <-t.results:
			t.running--
			if t.take(end, time.Now()) {
				observe.Log(t.runner.options.Log, observe.OrderStale).Str("server", end.engine).Uint64("term", t.term).Send()
				return false
			}
		}
	}
}

// take records a result. It reports whether a newer leader exists.
func (t *turn) take(end result, now time.Time) bool {
	switch {
	case end.err != nil:
		return false
	case end.state != nil:
		if t.book.readBack(end.engine, end.state, now) {
			observe.Log(t.runner.options.Log, observe.OrderDone).Str("server", end.engine).Uint64("term", t.term).Send()
		}
		return false
	}
	if end.reply.Status == backendapi.OrderRefused {
		observe.Log(t.runner.options.Log, observe.OrderRefused).Str("server", end.engine).
			Str("order", end.sent.order.ID).Str("reason", end.reply.Reason).Send()
	}
	return t.book.answered(*end.sent, end.reply, now)
}

// step plans and sends.
func (t *turn) step(ctx context.Context, now time.Time) {
	rolled, roll := t.runner.options.CurrentRoll()
	if rolled == nil || !t.load(rolled) {
		return
	}
	t.book.report(t.runner.options.Reports(), now)
	t.readBack(ctx, now)
	if now.Sub(t.start) < settleTime {
		return
	}
	plan := MakePlan(PlanInput{Bundle: t.bundle, Engines: t.book.engines(now), StoreFreeAt: t.storeAt, Now: now})
	t.publish(roll, plan)
	if roll.Stopped {
		return
	}
	t.storeAt = plan.StoreFreeAt
	for _, step := range plan.Steps {
		t.book.begin(step)
	}
	for _, due := range t.book.due(now) {
		t.send(ctx, due)
	}
}

// load decodes the rolled bundle when it has changed.
func (t *turn) load(rolled *registry.AcceptedBundle) bool {
	if t.version == rolled.Version {
		return true
	}
	content, err := bundle.Decompress(rolled.Compressed, nil)
	if err != nil {
		return false
	}
	decoded, err := bundle.Decode(content)
	if err != nil {
		return false
	}
	t.version, t.bundle = rolled.Version, decoded
	return true
}

func (t *turn) publish(roll *registry.Roll, plan Plan) {
	t.runner.setStatus(&operatorapi.RollStatus{
		Version:    roll.Version,
		Stopped:    roll.Stopped,
		Servers:    len(t.book.entries),
		Done:       plan.EnginesDone,
		WaitReason: string(plan.WaitReason),
	})
}

// readBack asks engines for their state: often while they have an order, else
// every readInterval.
func (t *turn) readBack(ctx context.Context, now time.Time) {
	for id, known := range t.book.entries {
		interval := readInterval
		if known.order != nil {
			interval = planInterval
		}
		if now.Sub(t.readAt[id]) < interval || t.running >= maxCalls {
			continue
		}
		t.readAt[id] = now
		address := known.report.Address
		t.call(ctx, func(ctx context.Context) result {
			state, err := t.runner.options.Engines.State(ctx, address)
			return result{engine: id, state: state, err: err}
		})
	}
}

// send gives an order, which must reach the engine before the lease ends.
func (t *turn) send(ctx context.Context, s sending) {
	leadership := t.runner.options.Leadership()
	if !leads(leadership, t.term, time.Now()) {
		return
	}
	observe.Log(t.runner.options.Log, observe.OrderSent).Str("server", s.engine).Str("order", s.order.ID).
		Str("kind", string(s.order.Kind)).Str("model", s.order.Model).Str("version", s.order.Version).
		Uint64("term", t.term).Send()
	t.call(ctx, func(ctx context.Context) result {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := t.runner.options.Engines.SendOrder(ctx, s.address, s.order)
		return result{engine: s.engine, sent: &s, reply: reply, err: err}
	})
}

func (t *turn) call(ctx context.Context, do func(ctx context.Context) result) {
	t.running++
	t.calls.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		end := do(bounded)
		select {
		case t.results <- end:
		case <-ctx.Done():
		}
	})
}
