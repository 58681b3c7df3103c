package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/place"
)

const (
	// watchInterval is how often an attempt in progress is looked at.
	watchInterval = 500 * time.Millisecond
	// shortProbe is the wait for a first token of a short prompt after which
	// the engine is asked whether it holds the attempt. Longer prompts, which
	// an engine may read for some time before it knows of them, wait for the
	// stall limit.
	shortProbe = time.Second
	// probeTimeout bounds that question.
	probeTimeout = time.Second
	// maxListBytes bounds an engine's list of attempts.
	maxListBytes = 4 << 20
	// slowPercent of the time left is what an attempt may take to begin its
	// answer, so that another one can follow. It does not apply to prompts that
	// are not short: their wait and prefill may take most of their time.
	slowPercent = 50
	// missesToLose is the number of probes in a row that must fail.
	missesToLose = 2
)

var (
	errServerGone = errors.New("the backend server fell silent or was restarted")
	errStalled    = errors.New("no token arrived within the stall limit")
	errLost       = errors.New("the engine does not know the attempt any more")
	errSlow       = errors.New("no answer began in the attempt's share of the time")
)

// watcher looks after one attempt that may be followed by another.
type watcher struct {
	filter *Filter
	call   *filter.Call
	server place.Server
	// slowAt is when an answer must have begun.
	slowAt time.Time
	// probeEvery separates questions to an engine that holds the attempt.
	probeEvery time.Duration

	mu        sync.Mutex
	streaming bool
	last      time.Time
	probed    time.Time
	misses    int
}

// watch ends the attempt through cancel when its server is gone, when its
// answer does not begin in time or stalls, or when the engine has lost it. The
// returned function stops the watch.
func (f *Filter) watch(ctx context.Context, cancel context.CancelCauseFunc, call *filter.Call) func() {
	now := time.Now()
	w := &watcher{
		filter: f, call: call, server: call.Attempt.Placement.Server(),
		slowAt: slowAt(call, now), probeEvery: probeEvery(call), last: now, probed: now,
	}
	call.Attempt.ResetStallTimer = w.alive
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx, cancel)
	}()
	return func() {
		stop()
		<-done
	}
}

func slowAt(call *filter.Call, now time.Time) time.Time {
	if call.Kind.ForEngine() && !call.Inference.Class.Short {
		return call.Deadline
	}
	return now.Add(call.Deadline.Sub(now) * slowPercent / 100)
}

func probeEvery(call *filter.Call) time.Duration {
	if !call.Kind.ForEngine() {
		return 0
	}
	stallLimit := call.Inference.Class.StallLimit.Std()
	if call.Inference.Class.Short {
		return min(stallLimit, shortProbe)
	}
	return stallLimit
}

// alive notes a verified token.
func (w *watcher) alive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streaming = true
	w.last = time.Now()
}

func (w *watcher) run(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if err := w.check(ctx, now); err != nil {
				cancel(err)
				return
			}
		}
	}
}

func (w *watcher) check(ctx context.Context, now time.Time) error {
	w.mu.Lock()
	idle, streaming := now.Sub(w.last), w.streaming
	w.mu.Unlock()
	switch {
	case idle < watchInterval:
		return nil
	case !w.filter.Liveness.IsAlive(w.server.ID, w.server.Incarnation, now):
		return errServerGone
	case !streaming && !now.Before(w.slowAt):
		return errSlow
	case !w.call.Kind.ForEngine():
		return nil
	}
	if streaming && idle >= w.call.Inference.Class.StallLimit.Std() {
		return errStalled
	}
	if !streaming && (w.misses > 0 || now.Sub(w.probed) >= w.probeEvery) {
		w.probed = now
		return w.probe(ctx)
	}
	return nil
}

// probe asks the engine over a new connection whether it holds the attempt,
// since the connection that waits for the first token may have gone silent.
func (w *watcher) probe(ctx context.Context) error {
	held, err := w.held(ctx)
	w.mu.Lock()
	streaming := w.streaming
	w.mu.Unlock()
	if held || streaming || ctx.Err() != nil {
		w.misses = 0
		return nil
	}
	w.misses++
	if w.misses < missesToLose {
		return nil
	}
	return errors.Join(errLost, err)
}

func (w *watcher) held(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	url := "http://" + w.server.Address + backendapi.PathAttempts
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, fmt.Errorf("build the probe: %w", err)
	}
	response, err := w.filter.FreshTransport.RoundTrip(question)
	if err != nil {
		return false, fmt.Errorf("probe the engine: %w", err)
	}
	defer response.Body.Close()
	var list backendapi.AttemptList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return false, fmt.Errorf("read the engine's attempts: %w", err)
	}
	return slices.ContainsFunc(list.Attempts, func(a backendapi.HeldAttempt) bool { return a.Attempt == w.call.Attempt.ID }), nil
}
