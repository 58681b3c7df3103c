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
	// planInterval is how often steps are planned and due orders sent. The state
	// of an engine with an order in progress is read as often.
	planInterval = 500 * time.Millisecond
	// stateReadInterval is how often the state of any other engine is read.
	stateReadInterval = 3 * time.Second
	// maxParallelCalls bounds the reads of engine states that run in parallel.
	// Orders are sent beyond it, but count against it.
	maxParallelCalls = 32
	// reportCollectionTime is the time that entry VMs have to report to a new
	// leader before it plans for the first time.
	reportCollectionTime = 5 * time.Second
)

// Options configures a Runner.
type Options struct {
	// Leadership returns whether this VM leads, its term and the end of its lease.
	Leadership func() replica.Leadership
	// CurrentRoll returns the bundle to roll out and the state of the roll. The
	// bundle is nil if there is none.
	CurrentRoll func() (*registry.AcceptedBundle, *registry.Roll)
	// Reports returns the newest report of each VM.
	Reports func() []distribute.Report
	Engines EngineClient
	// PreviousLease is the longest time for which an earlier leader can still
	// consider its lease valid, clock drift included.
	PreviousLease time.Duration
	Log           zerolog.Logger
}

// Runner sends orders to engines while this VM leads the control group. Its
// methods are safe for concurrent use.
type Runner struct {
	options Options

	mu     sync.Mutex
	status *operatorapi.RollStatus
}

// NewRunner returns a runner.
func NewRunner(options Options) *Runner {
	return &Runner{options: options}
}

// Status returns the progress of the roll. It is nil unless Run is in progress
// and has made a plan.
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

// holdsLease reports whether this VM leads in term with a lease valid at now.
func holdsLease(leadership replica.Leadership, term uint64, now time.Time) bool {
	return leadership.IsLeader && leadership.Term == term && now.Before(leadership.LeaseUntil)
}

// Run sends orders as the leader of term until ctx ends or the reply of an
// engine shows that a newer leader exists. While the lease is not valid, it
// sends none. If the lease is valid again in the same term, no other VM has led
// in between.
func (r *Runner) Run(ctx context.Context, term uint64) {
	start := time.Now()
	t := &termRun{
		runner:     r,
		term:       term,
		start:      start,
		book:       newBook(term, start.Add(r.options.PreviousLease+orderValidity)),
		results:    make(chan callResult, maxParallelCalls),
		lastReadAt: map[string]time.Time{},
	}
	defer r.setStatus(nil)
	defer func() { t.calls.Wait() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		if holdsLease(r.options.Leadership(), term, time.Now()) {
			t.planAndSend(ctx, time.Now())
		}
		if !t.handleResults(ctx, ticker.C) {
			return
		}
	}
}

// termRun is the runner's work in one term. It is owned by one goroutine; calls
// to engines run in goroutines of their own, which send to results.
type termRun struct {
	runner *Runner
	term   uint64
	start  time.Time
	book   *book
	// storeFreeAt is Plan.StoreFreeAt of the last plan that was carried out.
	storeFreeAt time.Time
	// bundle is the rolled bundle and version its version; nil and 0 before the first
	// one is decoded.
	version uint64
	bundle  *bundle.Bundle
	// lastReadAt is when the last read of each engine's state started, by engine id.
	lastReadAt    map[string]time.Time
	callsInFlight int
	results       chan callResult
	calls         sync.WaitGroup
}

// callResult is the result of a call to an engine. If err is nil, either reply is
// set, which answers the order in sent, or state, the answer to a read of the state.
type callResult struct {
	engine string
	sent   *orderSend
	reply  *backendapi.OrderReply
	state  *backendapi.EngineState
	err    error
}

// handleResults handles the results of calls until the next planning is due. It
// returns false if the run must end: ctx has ended or a newer leader exists.
func (t *termRun) handleResults(ctx context.Context, due <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case result := <-t.results:
			t.callsInFlight--
			if t.handleResult(result, time.Now()) {
				observe.Log(t.runner.options.Log, observe.OrderStale).Str("server", result.engine).Uint64("term", t.term).Send()
				return false
			}
		}
	}
}

// handleResult records a result. It reports whether a newer leader exists.
func (t *termRun) handleResult(result callResult, now time.Time) bool {
	switch {
	case result.err != nil:
		return false
	case result.state != nil:
		if t.book.applyState(result.engine, result.state, now) {
			observe.Log(t.runner.options.Log, observe.OrderDone).Str("server", result.engine).Uint64("term", t.term).Send()
		}
		return false
	}
	if result.reply.Status == backendapi.OrderRefused {
		observe.Log(t.runner.options.Log, observe.OrderRefused).Str("server", result.engine).
			Str("order", result.sent.order.ID).Str("reason", result.reply.Reason).Send()
	}
	return t.book.handleReply(*result.sent, result.reply, now)
}

// planAndSend starts due reads of engine states, plans, and sends due orders.
func (t *termRun) planAndSend(ctx context.Context, now time.Time) {
	rolled, roll := t.runner.options.CurrentRoll()
	if rolled == nil || !t.loadBundle(rolled) {
		return
	}
	t.book.applyReports(t.runner.options.Reports(), now)
	t.readStates(ctx, now)
	if now.Sub(t.start) < reportCollectionTime {
		return
	}
	plan := MakePlan(PlanInput{Bundle: t.bundle, Engines: t.book.engines(now), StoreFreeAt: t.storeFreeAt, Now: now})
	t.publish(roll, plan)
	if roll.Stopped {
		return
	}
	t.storeFreeAt = plan.StoreFreeAt
	for _, step := range plan.Steps {
		t.book.createOrder(step)
	}
	for _, due := range t.book.takeDueOrders(now) {
		t.send(ctx, due)
	}
}

// loadBundle decodes the rolled bundle if its version has changed. It returns false
// if the bundle cannot be decoded; t.bundle is then not the rolled bundle.
func (t *termRun) loadBundle(rolled *registry.AcceptedBundle) bool {
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

func (t *termRun) publish(roll *registry.Roll, plan Plan) {
	t.runner.setStatus(&operatorapi.RollStatus{
		Version:    roll.Version,
		Stopped:    roll.Stopped,
		Servers:    len(t.book.records),
		Done:       plan.EnginesDone,
		WaitReason: string(plan.WaitReason),
	})
}

// readStates starts reads of the states that are due: every planInterval for an
// engine with an order in progress, else every stateReadInterval.
func (t *termRun) readStates(ctx context.Context, now time.Time) {
	for id, record := range t.book.records {
		interval := stateReadInterval
		if record.order != nil {
			interval = planInterval
		}
		if now.Sub(t.lastReadAt[id]) < interval || t.callsInFlight >= maxParallelCalls {
			continue
		}
		t.lastReadAt[id] = now
		address := record.report.Address
		t.call(ctx, func(ctx context.Context) callResult {
			state, err := t.runner.options.Engines.State(ctx, address)
			return callResult{engine: id, state: state, err: err}
		})
	}
}

// send sends an order unless the lease has ended. If it ends while the order is
// in flight, the order's fencing token or its expiry keeps it from interfering
// with the orders of the next leader.
func (t *termRun) send(ctx context.Context, due orderSend) {
	leadership := t.runner.options.Leadership()
	if !holdsLease(leadership, t.term, time.Now()) {
		return
	}
	observe.Log(t.runner.options.Log, observe.OrderSent).Str("server", due.engine).Str("order", due.order.ID).
		Str("kind", string(due.order.Kind)).Str("model", due.order.Model).Str("version", due.order.Version).
		Uint64("term", t.term).Send()
	t.call(ctx, func(ctx context.Context) callResult {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := t.runner.options.Engines.SendOrder(ctx, due.address, due.order)
		return callResult{engine: due.engine, sent: &due, reply: reply, err: err}
	})
}

// call runs do in a goroutine and sends its result to t.results unless ctx ends.
func (t *termRun) call(ctx context.Context, do func(ctx context.Context) callResult) {
	t.callsInFlight++
	t.calls.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result := do(bounded)
		select {
		case t.results <- result:
		case <-ctx.Done():
		}
	})
}
