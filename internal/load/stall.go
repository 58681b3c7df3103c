package load

import (
	"context"
	"sync"
	"time"
)

const (
	// stallCheckInterval is the time between two checks that the process runs.
	stallCheckInterval = 10 * time.Millisecond
	// minStall is the delay of the check timer above which the delay counts as a
	// stall.
	minStall = 10 * time.Millisecond
)

// stallMonitor records when a busy machine did not run this process: periods in
// which a short timer fired late. Such delays are not due to the system under
// test.
type stallMonitor struct {
	mu     sync.Mutex
	stalls []stallPeriod
}

type stallPeriod struct {
	from time.Time
	to   time.Time
}

// run records stalls until ctx ends.
func (m *stallMonitor) run(ctx context.Context) {
	timer := time.NewTimer(stallCheckInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(stallCheckInterval)
		timer.Reset(stallCheckInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			m.record(due, time.Now())
		}
	}
}

// record adds a stall if the timer fired more than minStall after its due time.
func (m *stallMonitor) record(due, firedAt time.Time) {
	if firedAt.Sub(due) <= minStall {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalls = append(m.stalls, stallPeriod{from: due, to: firedAt})
}

// stalledBetween returns the sum of the stalls between from and to.
func (m *stallMonitor) stalledBetween(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var stalled time.Duration
	for _, period := range m.stalls {
		start, end := later(period.from, from), period.to
		if end.After(to) {
			end = to
		}
		stalled += max(0, end.Sub(start))
	}
	return stalled
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
