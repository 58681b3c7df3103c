package load

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTick is how often the process checks that it runs.
	stallTick = 10 * time.Millisecond
	// stallNoise is the delay of a tick that is not counted.
	stallNoise = 10 * time.Millisecond
)

// stallWatch records when this process was not run by a busy machine: spans in
// which a short timer came late. Such time is not the system's under test.
type stallWatch struct {
	mu    sync.Mutex
	spans []stallSpan
}

type stallSpan struct {
	from time.Time
	to   time.Time
}

// run watches until ctx ends.
func (w *stallWatch) run(ctx context.Context) {
	ticker := time.NewTimer(stallTick)
	defer ticker.Stop()
	for {
		due := time.Now().Add(stallTick)
		ticker.Reset(stallTick)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.add(due, time.Now())
		}
	}
}

// add records that a timer due at one time came at another.
func (w *stallWatch) add(due, came time.Time) {
	if came.Sub(due) <= stallNoise {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spans = append(w.spans, stallSpan{from: due, to: came})
}

// between returns for how long the process stood still between two times.
func (w *stallWatch) between(from, to time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var stalled time.Duration
	for _, span := range w.spans {
		start, end := later(span.from, from), span.to
		if end.After(to) {
			end = to
		}
		stalled += max(0, end.Sub(start))
	}
	return stalled
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
