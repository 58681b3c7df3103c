package place

import (
	"context"
	"sync"
	"time"
)

// noServerRetry is the time after which a query without a live server may be
// sent again: a few heartbeats of a backend server.
const noServerRetry = 2 * time.Second

// localPlacer places queries by what this VM knows, without a word to any
// other VM.
type localPlacer struct {
	view  View
	clock func() time.Time

	mu       sync.Mutex
	policy   policy
	inFlight *inFlightTable
	buffer   []candidate
}

func newLocalPlacer(options Options, policy policy) *localPlacer {
	return &localPlacer{view: options.View, clock: options.Clock, policy: policy, inFlight: newInFlightTable()}
}

// Place implements Placer. It never waits.
func (p *localPlacer) Place(ctx context.Context, query Query) (Placement, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	servers := p.view.Engines(query.Model, query.Adapter, p.clock())
	server, err := p.choose(servers, &query)
	if err != nil {
		return nil, err
	}
	return &localPlacement{placer: p, server: *server}, nil
}

func (p *localPlacer) choose(servers []Server, query *Query) (*Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buffer = appendCandidates(p.buffer[:0], servers, query, p.inFlight)
	if len(p.buffer) == 0 {
		return nil, &RefusedError{Reason: ErrNoServer, RetryAfter: noServerRetry}
	}
	chosen := p.buffer[p.policy.pick(p.buffer)].server
	p.inFlight.begin(chosen.ID)
	return chosen, nil
}

func (p *localPlacer) finish(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight.end(server)
}

// localPlacement is a Placement of localPlacer.
type localPlacement struct {
	placer *localPlacer
	server Server
	once   sync.Once
}

// Server implements Placement.
func (l *localPlacement) Server() Server { return l.server }

// FirstToken implements Placement.
func (l *localPlacement) FirstToken(time.Time) {}

// Finish implements Placement.
func (l *localPlacement) Finish(AttemptResult) {
	l.once.Do(func() { l.placer.finish(l.server.ID) })
}
