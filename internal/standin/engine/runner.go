package engine

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// maxLag is the maximum time that the runner catches up when it is behind the simulated time: it runs
// the following steps without waiting. If it is further behind, the simulated time is set to the
// current time.
const maxLag = 50 * time.Millisecond

// stream carries the emissions of one attempt from the runner to the HTTP handler.
type stream struct {
	// emissions has room for the complete answer, so that the runner never blocks on it.
	emissions chan Emission
	// cancelled is closed when the attempt is cancelled.
	cancelled chan struct{}
}

// runner drives a Core in real time: it runs steps, waits for their simulated duration and
// delivers their emissions to the streams. mu guards core, streams and paused.
type runner struct {
	mu      sync.Mutex
	core    *Core
	streams map[string]*stream
	paused  bool
	// wake has a value when a runner with an empty batch should try another step. stop is closed by close.
	wake chan struct{}
	stop chan struct{}
}

func newRunner(core *Core) *runner {
	return &runner{
		core: core, streams: map[string]*stream{},
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// run executes steps until the runner is stopped.
func (r *runner) run() {
	stepEnd := time.Now()
	for {
		step := r.step()
		if step.Duration == 0 {
			select {
			case <-r.stop:
				return
			case <-r.wake:
			}
			stepEnd = time.Now()
			continue
		}
		stepEnd = stepEnd.Add(step.Duration)
		if !r.waitUntil(&stepEnd) {
			return
		}
		r.deliver(step.Emissions)
	}
}

// waitUntil waits until stepEnd. It returns false if the runner was closed. If stepEnd has passed, it
// does not wait; if it has passed by more than maxLag, it sets stepEnd to the current time.
func (r *runner) waitUntil(stepEnd *time.Time) bool {
	remaining := time.Until(*stepEnd)
	if remaining < -maxLag {
		*stepEnd = time.Now()
	}
	if remaining <= 0 {
		select {
		case <-r.stop:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(remaining)
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
	if r.paused {
		return Step{}
	}
	return r.core.Step()
}

// deliver passes emissions to their streams and removes the streams of ended answers.
func (r *runner) deliver(emissions []Emission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, emission := range emissions {
		if out, found := r.streams[emission.Attempt]; found {
			out.emissions <- emission
		}
		if emission.End {
			delete(r.streams, emission.Attempt)
		}
	}
}

// submit queues a job and returns the stream of its emissions.
func (r *runner) submit(job Job) (*stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.core.Submit(job, time.Now()); err != nil {
		return nil, err
	}
	out := &stream{emissions: make(chan Emission, job.AnswerTokens+2), cancelled: make(chan struct{})}
	r.streams[job.Attempt] = out
	r.wakeUp()
	return out, nil
}

// wakeUp makes a runner that waits for work try another step.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// setPaused stops the runner from starting steps, or lets it continue. Emissions of a step in
// progress are still delivered.
func (r *runner) setPaused(paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = paused
	r.wakeUp()
}

// cancel ends attempts and frees their memory, and cancels their streams.
func (r *runner) cancel(attempts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempt := range attempts {
		r.core.Cancel(attempt)
		r.cancelStream(attempt)
	}
}

// abandon ends an attempt whose caller has disconnected. It does nothing if the answer has ended or
// the attempt was cancelled.
func (r *runner) abandon(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, running := r.streams[attempt]; running {
		r.core.Abandon(attempt)
		r.cancelStream(attempt)
	}
}

// cancelStream closes and removes the stream of an attempt, if it has one.
func (r *runner) cancelStream(attempt string) {
	if out, found := r.streams[attempt]; found {
		close(out.cancelled)
		delete(r.streams, attempt)
	}
}

// withCore calls f with the core while it holds the lock, and wakes the runner up.
func (r *runner) withCore(f func(core *Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.core)
	r.wakeUp()
}

// load returns the current load and the cache events since the last call.
func (r *runner) load() (report backendapi.LoadReport, events []backendapi.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Load(), r.core.cache.takeEvents()
}

// isIdle reports whether no attempt has a stream.
func (r *runner) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams) == 0
}

// close stops the runner permanently and discards all attempts of its core.
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
