package place

import (
	"context"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/fleet"
	"godwityoke.example/godwityoke/internal/place"
)

// LeastInFlight is a Placer that takes the server with the fewest requests of
// this VM in progress. It never waits.
type LeastInFlight struct {
	candidates func(query place.Query, now time.Time) []place.Server

	mu       sync.Mutex
	inFlight map[string]int
	turn     int
}

// NewEnginePlacer returns a LeastInFlight over the engines of view.
func NewEnginePlacer(view fleet.View) *LeastInFlight {
	return newLeastInFlight(func(query place.Query, now time.Time) []place.Server {
		return view.Engines(query.Model, query.Adapter, now)
	})
}

// NewServicePlacer returns a LeastInFlight over the plain services of view.
// The query's Model names the service.
func NewServicePlacer(view fleet.View) *LeastInFlight {
	return newLeastInFlight(func(query place.Query, now time.Time) []place.Server {
		return view.Services(query.Model, now)
	})
}

func newLeastInFlight(candidates func(place.Query, time.Time) []place.Server) *LeastInFlight {
	return &LeastInFlight{candidates: candidates, inFlight: map[string]int{}}
}

// Place implements place.Placer.
func (l *LeastInFlight) Place(_ context.Context, query place.Query) (place.Placement, error) {
	servers := l.candidates(query, time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := l.choose(servers, query.Exclude)
	if chosen < 0 {
		return nil, &place.RefusedError{Reason: place.ErrNoServer}
	}
	l.inFlight[servers[chosen].ID]++
	return &leastPlacement{placer: l, server: servers[chosen]}, nil
}

// choose returns the index of the least loaded server, or -1. Equal servers
// take turns.
func (l *LeastInFlight) choose(servers []place.Server, excluded []string) int {
	best := -1
	l.turn++
	for i := range servers {
		at := (i + l.turn) % len(servers)
		id := servers[at].ID
		if slices.Contains(excluded, id) {
			continue
		}
		if best < 0 || l.inFlight[id] < l.inFlight[servers[best].ID] {
			best = at
		}
	}
	return best
}

type leastPlacement struct {
	placer *LeastInFlight
	server place.Server
}

// Server implements place.Placement.
func (p *leastPlacement) Server() place.Server { return p.server }

// FirstToken implements place.Placement.
func (p *leastPlacement) FirstToken(time.Time) {}

// Finish implements place.Placement.
func (p *leastPlacement) Finish(place.AttemptResult) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.placer.inFlight[p.server.ID]--
	if p.placer.inFlight[p.server.ID] == 0 {
		delete(p.placer.inFlight, p.server.ID)
	}
}
