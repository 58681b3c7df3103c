package place

import (
	"context"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/fleet"
	"godwityoke.example/godwityoke/internal/place"
)

const (
	// avoidStep is how long a server is the last choice after a failed
	// attempt; each further failure in a row adds as much, up to avoidMost.
	avoidStep = time.Second
	avoidMost = 5 * time.Second
)

// LeastInFlight is a Placer that takes the server with the fewest requests of
// this VM in progress, and one whose last attempt failed only when there is no
// other. It never waits.
type LeastInFlight struct {
	candidates func(query place.Query, now time.Time) []place.Server

	mu       sync.Mutex
	inFlight map[string]int
	failing  map[string]failing
	turn     int
}

// failing is a server whose last attempts failed.
type failing struct {
	inARow     int
	avoidUntil time.Time
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
	return &LeastInFlight{candidates: candidates, inFlight: map[string]int{}, failing: map[string]failing{}}
}

// Place implements place.Placer.
func (l *LeastInFlight) Place(_ context.Context, query place.Query) (place.Placement, error) {
	now := time.Now()
	servers := l.candidates(query, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := l.choose(servers, query.Exclude, now)
	if chosen < 0 {
		return nil, &place.RefusedError{Reason: place.ErrNoServer}
	}
	l.inFlight[servers[chosen].ID]++
	return &leastPlacement{placer: l, server: servers[chosen]}, nil
}

// choose returns the index of the least loaded server, or -1. Equal servers
// take turns.
func (l *LeastInFlight) choose(servers []place.Server, excluded []string, now time.Time) int {
	best := -1
	l.turn++
	for i := range servers {
		at := (i + l.turn) % len(servers)
		if slices.Contains(excluded, servers[at].ID) {
			continue
		}
		if best < 0 || l.better(servers[at].ID, servers[best].ID, now) {
			best = at
		}
	}
	return best
}

// better reports whether server a is to be taken before b.
func (l *LeastInFlight) better(a, b string, now time.Time) bool {
	avoidA, avoidB := now.Before(l.failing[a].avoidUntil), now.Before(l.failing[b].avoidUntil)
	if avoidA != avoidB {
		return avoidB
	}
	return l.inFlight[a] < l.inFlight[b]
}

// record notes the end of an attempt.
func (l *LeastInFlight) record(id string, result place.AttemptResult) {
	if !result.Failed {
		delete(l.failing, id)
		return
	}
	inARow := l.failing[id].inARow + 1
	l.failing[id] = failing{inARow: inARow, avoidUntil: result.At.Add(min(time.Duration(inARow)*avoidStep, avoidMost))}
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
func (p *leastPlacement) Finish(result place.AttemptResult) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.placer.record(p.server.ID, result)
	p.placer.inFlight[p.server.ID]--
	if p.placer.inFlight[p.server.ID] == 0 {
		delete(p.placer.inFlight, p.server.ID)
	}
}
