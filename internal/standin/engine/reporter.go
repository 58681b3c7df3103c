package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

const (
	// sampleInterval is the time between load samples.
	sampleInterval = 50 * time.Millisecond
	// maxPendingEvents bounds the cache events that wait to be sent.
	maxPendingEvents = 4096
)

// reporter delays load reports and cache events, and loses some events.
type reporter struct {
	mu      sync.Mutex
	reports Reports
	random  *rand.Rand
	loads   []loadSample
	events  []timedEvent
}

type loadSample struct {
	at   time.Time
	load backendapi.LoadReport
}

type timedEvent struct {
	at    time.Time
	event backendapi.CacheEvent
}

func newReporter(reports Reports) *reporter {
	return &reporter{reports: reports, random: rand.New(rand.NewPCG(1, 2))}
}

// add records a load sample and new cache events.
func (r *reporter) add(now time.Time, load backendapi.LoadReport, events []backendapi.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, loadSample{at: now, load: load})
	for _, event := range events {
		if r.random.IntN(100) >= r.reports.CacheEventLossPercent {
			r.events = append(r.events, timedEvent{at: now, event: event})
		}
	}
	if excess := len(r.events) - maxPendingEvents; excess > 0 {
		r.events = r.events[excess:]
	}
	for len(r.loads) > 1 && now.Sub(r.loads[1].at) >= r.reports.LoadLag {
		r.loads = r.loads[1:]
	}
}

// take returns the load as of the lag ago, and the cache events that are due.
func (r *reporter) take(now time.Time) (backendapi.LoadReport, []backendapi.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var load backendapi.LoadReport
	if len(r.loads) > 0 {
		load = r.loads[0].load
		load.AgeMillis = now.Sub(r.loads[0].at).Milliseconds()
	}
	var due []backendapi.CacheEvent
	for len(r.events) > 0 && now.Sub(r.events[0].at) >= r.reports.CacheEventDelay {
		due = append(due, r.events[0].event)
		r.events = r.events[1:]
	}
	return load, due
}

func (s *Server) sample(ctx context.Context) {
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
