package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

const (
	// sampleInterval is the interval of the load samples.
	sampleInterval = 50 * time.Millisecond
	// maxPendingEvents is the maximum number of cache events that wait for an announcement. If there
	// are more, the oldest are dropped.
	maxPendingEvents = 4096
)

// reporter delays load reports and cache events, and drops some of the cache events, as configured by Reports.
type reporter struct {
	mu      sync.Mutex
	reports Reports
	random  *rand.Rand
	samples []loadSample
	events  []pendingEvent
}

type loadSample struct {
	takenAt time.Time
	load    backendapi.LoadReport
}

type pendingEvent struct {
	recordedAt time.Time
	event      backendapi.CacheEvent
}

func newReporter(reports Reports) *reporter {
	return &reporter{reports: reports, random: rand.New(rand.NewPCG(1, 2))}
}

// add records a load sample and new cache events.
func (r *reporter) add(now time.Time, load backendapi.LoadReport, events []backendapi.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, loadSample{takenAt: now, load: load})
	for _, event := range events {
		if r.random.IntN(100) >= r.reports.CacheEventLossPercent {
			r.events = append(r.events, pendingEvent{recordedAt: now, event: event})
		}
	}
	if excess := len(r.events) - maxPendingEvents; excess > 0 {
		r.events = r.events[excess:]
	}
	for len(r.samples) > 1 && now.Sub(r.samples[1].takenAt) >= r.reports.LoadLag {
		r.samples = r.samples[1:]
	}
}

// take returns the newest load sample that had reached the age Reports.LoadLag at the last call
// of add, or the oldest sample if none had. It also removes and returns the cache events that were
// recorded at least Reports.CacheEventDelay before now.
func (r *reporter) take(now time.Time) (backendapi.LoadReport, []backendapi.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var load backendapi.LoadReport
	if len(r.samples) > 0 {
		load = r.samples[0].load
		load.AgeMillis = now.Sub(r.samples[0].takenAt).Milliseconds()
	}
	var due []backendapi.CacheEvent
	for len(r.events) > 0 && now.Sub(r.events[0].recordedAt) >= r.reports.CacheEventDelay {
		due = append(due, r.events[0].event)
		r.events = r.events[1:]
	}
	return load, due
}

// sampleLoad records load samples and cache events until ctx ends.
func (s *Server) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		load, events := s.runner.load()
		s.reporter.add(time.Now(), load, events)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announcement(now time.Time) backendapi.Announcement {
	load, events := s.reporter.take(now)
	state := s.orders.state()
	return backendapi.Announcement{
		ServerID: s.config.ServerID, Kind: backendapi.KindEngine, Zone: s.config.Zone, Address: s.Address(),
		Models: state.Models, Role: state.Role, MemoryTokens: s.config.Limits.MemoryTokens,
		ChecksFencing: s.config.ChecksFencing, Load: load, CacheEvents: events,
	}
}
