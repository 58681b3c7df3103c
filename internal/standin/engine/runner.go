package engine

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// maxPause bounds how far the runner falls behind the time model before it
// gives up catching up.
const maxPause = 50 * time.Millisecond

// stream is the way from the runner to one HTTP handler.
type stream struct {
	// tokens holds the whole answer, so that the runner never waits.
	tokens chan Emission
	// ended is closed when the attempt is cancelled.
	ended chan struct{}
}

// runner gives the core its time: it runs steps, waits for their duration and
// hands out what they emitted.
type runner struct {
	mu      sync.Mutex
	core    *Core
	streams map[string]*stream
	frozen  bool
	wake    chan struct{}
	stop    chan struct{}
}

func newRunner(core *Core) *runner {
	return &runner{
		core: core, streams: map[string]*stream{},
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// run executes steps until the runner is stopped.
func (r *runner) run() {
	next := time.Now()
	for {
		step := r.step()
		if step.Duration == 0 {
			select {
			case <-r.stop:
				return
			case <-r.wake:
			}
			next = time.Now()
			continue
		}
		next = next.Add(step.Duration)
		if !r.pause(&next) {
			return
		}
		r.deliver(step.Emissions)
	}
}

// pause waits until next and reports whether the runner goes on. Short delays
// of the machine are made up for by the following steps.
func (r *runner) pause(next *time.Time) bool {
	left := time.Until(*next)
	if left < -maxPause {
		*next = time.Now()
	}
	if left <= 0 {
		select {
		case <-r.stop:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-r.stop:
		return false
	case <-timer.C:
		return true
	}
}

func (r *runner) step() Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen {
		return Step{}
	}
	return r.core.Step()
}

func (r *runner) deliver(emissions []Emission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, emission := range emissions {
		if out, found := r.streams[emission.Attempt]; found {
			out.tokens <- emission
		}
		if emission.End {
			delete(r.streams, emission.Attempt)
		}
	}
}

// submit hands a job to the core.
func (r *runner) submit(job Job) (*stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.core.Submit(job, time.Now()); err != nil {
		return nil, err
	}
	out := &stream{tokens: make(chan Emission, job.AnswerTokens+2), ended: make(chan struct{})}
	r.streams[job.Attempt] = out
	r.signal()
	return out, nil
}

// signal wakes the runner up.
func (r *runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// freeze stops all steps, or lets them go on.
func (r *runner) freeze(frozen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = frozen
	r.signal()
}

// cancel ends attempts by order.
func (r *runner) cancel(attempts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempt := range attempts {
		r.core.Cancel(attempt)
		r.endStream(attempt)
	}
}

// abandon ends an attempt whose caller has gone.
func (r *runner) abandon(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, running := r.streams[attempt]; running {
		r.core.Abandon(attempt)
		r.endStream(attempt)
	}
}

func (r *runner) endStream(attempt string) {
	if out, found := r.streams[attempt]; found {
		close(out.ended)
		delete(r.streams, attempt)
	}
}

// with calls f with the core under the runner's lock.
func (r *runner) with(f func(core *Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.core)
	r.signal()
}

func (r *runner) load() (report backendapi.LoadReport, events []backendapi.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Load(), r.core.cache.takeEvents()
}

func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams) == 0
}

// close stops the runner for good. The memory of its engine is gone with it.
func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stop:
	default:
		close(r.stop)
		r.core.Drop()
	}
}
