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
	// avoidPerFailure is how long a server is avoided after a failed attempt. Each
	// further failure in a row adds as much, up to maxAvoidTime.
	avoidPerFailure = time.Second
	maxAvoidTime    = 5 * time.Second
)

// LeastInFlight is a Placer that selects the server with the fewest requests of this
// VM in flight. A server whose last attempt failed is avoided for some time: it is
// selected only when there is no other. Place never blocks. LeastInFlight is safe
// for concurrent use.
type LeastInFlight struct {
	candidates func(query place.Query, now time.Time) []place.Server

	mu sync.Mutex
	// inFlight and failures are by server ID; servers without an entry have none.
	inFlight map[string]int
	failures map[string]failureRecord
	// rotation is the offset at which the next search begins.
	rotation int
}

// failureRecord describes a server whose last attempts failed.
type failureRecord struct {
	consecutive int
	avoidUntil  time.Time
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
	return &LeastInFlight{candidates: candidates, inFlight: map[string]int{}, failures: map[string]failureRecord{}}
}

// Place implements place.Placer.
func (l *LeastInFlight) Place(_ context.Context, query place.Query) (place.Placement, error) {
	now := time.Now()
	servers := l.candidates(query, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	picked := l.pickServer(servers, query.Exclude, now)
	if picked < 0 {
		return nil, &place.RefusedError{Reason: place.ErrNoServer}
	}
	l.inFlight[servers[picked].ID]++
	return &leastInFlightPlacement{placer: l, server: servers[picked]}, nil
}

// pickServer returns the index of the preferred server that is not excluded, or -1
// when there is none. Each search begins one server further, so that equal servers
// are used in rotation.
func (l *LeastInFlight) pickServer(servers []place.Server, excluded []string, now time.Time) int {
	best := -1
	l.rotation++
	for i := range servers {
		at := (i + l.rotation) % len(servers)
		if slices.Contains(excluded, servers[at].ID) {
			continue
		}
		if best < 0 || l.isPreferred(servers[at].ID, servers[best].ID, now) {
			best = at
		}
	}
	return best
}

// isPreferred reports whether server a is to be selected rather than b.
func (l *LeastInFlight) isPreferred(a, b string, now time.Time) bool {
	avoidA, avoidB := now.Before(l.failures[a].avoidUntil), now.Before(l.failures[b].avoidUntil)
	if avoidA != avoidB {
		return avoidB
	}
	return l.inFlight[a] < l.inFlight[b]
}

// recordResult updates the failures of a server at the end of an attempt. An attempt
// that did not fail clears them. The caller must hold l.mu.
func (l *LeastInFlight) recordResult(id string, result place.AttemptResult) {
	if !result.Failed {
		delete(l.failures, id)
		return
	}
	consecutive := l.failures[id].consecutive + 1
	l.failures[id] = failureRecord{consecutive: consecutive, avoidUntil: result.At.Add(min(time.Duration(consecutive)*avoidPerFailure, maxAvoidTime))}
}

// leastInFlightPlacement is a placement made by LeastInFlight.
type leastInFlightPlacement struct {
	placer *LeastInFlight
	server place.Server
}

// Server implements place.Placement.
func (p *leastInFlightPlacement) Server() place.Server { return p.server }

// FirstToken implements place.Placement.
func (p *leastInFlightPlacement) FirstToken(time.Time) {}

// Finish implements place.Placement.
func (p *leastInFlightPlacement) Finish(result place.AttemptResult) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.placer.recordResult(p.server.ID, result)
	p.placer.inFlight[p.server.ID]--
	if p.placer.inFlight[p.server.ID] == 0 {
		delete(p.placer.inFlight, p.server.ID)
	}
}
