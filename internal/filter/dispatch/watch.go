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
	// watchInterval is how often an attempt in progress is checked.
	watchInterval = 500 * time.Millisecond
	// shortPromptProbeDelay is the time without a first token of a short prompt
	// after which the engine is probed, that is, asked whether it holds the
	// attempt. For other prompts this time is the stall limit of the class, since
	// an engine may receive such a prompt for some time before it lists it.
	shortPromptProbeDelay = time.Second
	// probeTimeout is the timeout of one probe.
	probeTimeout = time.Second
	// maxAttemptListBytes is the maximum size of an engine's list of attempts.
	maxAttemptListBytes = 4 << 20
	// answerStartPercent is the percentage of the time until the deadline within
	// which the answer must begin, so that time is left for a retry. It does not
	// apply to prompts that are not short: their queueing and prefill may take
	// most of the time.
	answerStartPercent = 50
	// maxFailedProbes is the number of failed probes in a row after which the
	// attempt is considered lost.
	maxFailedProbes = 2
)

var (
	errServerGone  = errors.New("the backend server stopped sending heartbeats or was restarted")
	errStalled     = errors.New("no token arrived within the stall limit of the class")
	errAttemptLost = errors.New("the engine does not list the attempt or does not answer probes")
	errStartedLate = errors.New("the answer did not begin early enough to leave time for a retry")
)

// watcher monitors one attempt that may be retried.
type watcher struct {
	filter *Filter
	call   *filter.Call
	server place.Server
	// answerDueAt is when the answer must have begun.
	answerDueAt time.Time
	// probeInterval is the time before the first probe and between probes that
	// succeed. A failed probe is repeated at the next check.
	probeInterval time.Duration

	mu             sync.Mutex
	streaming      bool
	lastProgressAt time.Time
	lastProbeAt    time.Time
	failedProbes   int
}

// watch calls cancel when the server of the attempt is gone, when the answer does
// not begin in time or stalls, or when the engine has lost the attempt. The cause
// is one of the errors above. The returned function stops the watch and waits for
// its goroutine.
func (f *Filter) watch(ctx context.Context, cancel context.CancelCauseFunc, call *filter.Call) func() {
	now := time.Now()
	w := &watcher{
		filter: f, call: call, server: call.Attempt.Placement.Server(),
		answerDueAt: answerDueAt(call, now), probeInterval: probeInterval(call), lastProgressAt: now, lastProbeAt: now,
	}
	call.Attempt.ResetStallTimer = w.resetStallTimer
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

// answerDueAt returns when the answer of an attempt that starts at now must begin.
func answerDueAt(call *filter.Call, now time.Time) time.Time {
	if call.Kind.ForEngine() && !call.Inference.Class.Short {
		return call.Deadline
	}
	return now.Add(call.Deadline.Sub(now) * answerStartPercent / 100)
}

// probeInterval returns the probe interval of the call: 0 for plain services,
// which are not probed.
func probeInterval(call *filter.Call) time.Duration {
	if !call.Kind.ForEngine() {
		return 0
	}
	stallLimit := call.Inference.Class.StallLimit.Std()
	if call.Inference.Class.Short {
		return min(stallLimit, shortPromptProbeDelay)
	}
	return stallLimit
}

// resetStallTimer records that a verified chunk arrived.
func (w *watcher) resetStallTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streaming = true
	w.lastProgressAt = time.Now()
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
	idle, streaming := now.Sub(w.lastProgressAt), w.streaming
	w.mu.Unlock()
	switch {
	case idle < watchInterval:
		return nil
	case !w.filter.Liveness.IsAlive(w.server.ID, w.server.Incarnation, now):
		return errServerGone
	case !streaming && !now.Before(w.answerDueAt):
		return errStartedLate
	case !w.call.Kind.ForEngine():
		return nil
	}
	if streaming && idle >= w.call.Inference.Class.StallLimit.Std() {
		return errStalled
	}
	if !streaming && (w.failedProbes > 0 || now.Sub(w.lastProbeAt) >= w.probeInterval) {
		w.lastProbeAt = now
		return w.probe(ctx)
	}
	return nil
}

// probe asks the engine whether it holds the attempt, and returns errAttemptLost
// after maxFailedProbes failures in a row. It uses a new connection, since the one
// that waits for the first token may be dead without an error.
func (w *watcher) probe(ctx context.Context) error {
	held, err := w.holdsAttempt(ctx)
	w.mu.Lock()
	streaming := w.streaming
	w.mu.Unlock()
	if held || streaming || ctx.Err() != nil {
		w.failedProbes = 0
		return nil
	}
	w.failedProbes++
	if w.failedProbes < maxFailedProbes {
		return nil
	}
	return errors.Join(errAttemptLost, err)
}

// holdsAttempt reports whether the engine lists the attempt.
func (w *watcher) holdsAttempt(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	url := "http://" + w.server.Address + backendapi.PathAttempts
	probeRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, fmt.Errorf("build the probe request: %w", err)
	}
	response, err := w.filter.FreshTransport.RoundTrip(probeRequest)
	if err != nil {
		return false, fmt.Errorf("probe the engine: %w", err)
	}
	defer response.Body.Close()
	var list backendapi.AttemptList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAttemptListBytes)).Decode(&list); err != nil {
		return false, fmt.Errorf("decode the engine's list of attempts: %w", err)
	}
	return slices.ContainsFunc(list.Attempts, func(a backendapi.HeldAttempt) bool { return a.Attempt == w.call.Attempt.ID }), nil
}
