package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
)

const (
	loadTime      = 4 * time.Second
	previousLease = 4 * time.Second
)

var errAnswerLost = errors.New("the order or its answer was lost")

// fakeEngine carries out orders. If it checks fencing tokens, it rejects those
// of earlier terms.
type fakeEngine struct {
	server         distribute.BackendServer
	fencing        uint64
	loading        string
	acceptedOrders map[string]bool
	executed       int
	// lostReplies is the number of replies, and lostOrders of orders, that are
	// still to be lost.
	lostReplies  int
	lostOrders   int
	unresponsive bool
	// hidesLoading makes the engine's state leave out what it is loading.
	hidesLoading bool
}

// restart starts a new incarnation of the engine with the old version of its
// model. A load in progress is lost.
func (e *fakeEngine) restart() {
	e.server.Incarnation++
	e.loading = ""
	e.server.Models = served("lace", "1")
	e.acceptedOrders = map[string]bool{}
}

// fakeFleet is a set of engines with the entry VM that reports them.
type fakeFleet struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	// leaders holds the leadership of each control VM by its name.
	leaders map[string]replica.Leadership
	content *bundle.Bundle
	// minServing is the lowest number of engines in service so far.
	minServing int
	// loadTime is how long an engine is out of service for an order.
	loadTime time.Duration
	// reportsEndAt is the time of the last report before the reporting VM became
	// unreachable; zero while the VM is reachable.
	reportsEndAt time.Time
	// received counts the orders that were sent, lost and rejected ones included.
	received int
}

func newFakeFleet(count int, checksFencing bool) *fakeFleet {
	f := &fakeFleet{engines: map[string]*fakeEngine{}, leaders: map[string]replica.Leadership{}, minServing: count, loadTime: loadTime}
	f.content = rolledBundle(1, 2, 50)
	for i := range count {
		id := fmt.Sprint("e", i)
		f.engines[id] = &fakeEngine{
			acceptedOrders: map[string]bool{},
			server: distribute.BackendServer{
				ID: id, Address: id, Incarnation: 1, Zone: "a", Kind: backendapi.KindEngine,
				Models: served("lace", "1"), ChecksFencing: checksFencing,
			},
		}
	}
	return f
}

// SendOrder implements EngineClient.
func (f *fakeFleet) SendOrder(_ context.Context, address string, order *backendapi.Order) (*backendapi.OrderReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.engines[address]
	f.received++
	if engine.unresponsive || engine.lostOrders > 0 {
		engine.lostOrders--
		return nil, errAnswerLost
	}
	reply := f.handleOrder(engine, order)
	if engine.lostReplies > 0 {
		engine.lostReplies--
		return nil, errAnswerLost
	}
	return reply, nil
}

func (f *fakeFleet) handleOrder(engine *fakeEngine, order *backendapi.Order) *backendapi.OrderReply {
	switch {
	case engine.server.ChecksFencing && order.Fencing < engine.fencing:
		return &backendapi.OrderReply{Status: backendapi.OrderStale}
	case order.Expired(time.Now()):
		return &backendapi.OrderReply{Status: backendapi.OrderExpired}
	case engine.acceptedOrders[order.ID]:
		return &backendapi.OrderReply{Status: backendapi.OrderAccepted}
	}
	engine.fencing = max(engine.fencing, order.Fencing)
	engine.acceptedOrders[order.ID] = true
	engine.executed++
	engine.loading = order.Model
	f.minServing = min(f.minServing, f.serving())
	incarnation := engine.server.Incarnation
	time.AfterFunc(f.loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if engine.server.Incarnation != incarnation {
			return
		}
		engine.loading = ""
		engine.server.Models = served(order.Model, order.Version)
	})
	return &backendapi.OrderReply{Status: backendapi.OrderAccepted}
}

func (f *fakeFleet) serving() int {
	count := 0
	for _, engine := range f.engines {
		if engine.loading == "" {
			count++
		}
	}
	return count
}

// State implements EngineClient.
func (f *fakeFleet) State(_ context.Context, address string) (*backendapi.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.engines[address]
	if engine.unresponsive {
		return nil, errAnswerLost
	}
	state := &backendapi.EngineState{ServerID: engine.server.ID, Incarnation: engine.server.Incarnation, Models: engine.server.Models}
	if engine.loading != "" && !engine.hidesLoading {
		state.Loading = []string{engine.loading}
	}
	return state, nil
}

// runner returns the runner of one control VM.
func (f *fakeFleet) runner(t testing.TB, name string) *Runner {
	content, err := bundle.Canonical(f.content)
	require.NoError(t, err)
	compressed, err := bundle.Compress(content, nil)
	require.NoError(t, err)
	return NewRunner(Options{
		Leadership: func() replica.Leadership {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.leaders[name]
		},
		CurrentRoll: func() (*registry.AcceptedBundle, *registry.Roll) {
			return &registry.AcceptedBundle{Version: 2, Compressed: compressed}, &registry.Roll{Version: 2}
		},
		Reports: func() []distribute.Report {
			f.mu.Lock()
			defer f.mu.Unlock()
			report := distribute.Report{VM: "entry-1", ConfirmedAt: time.Now()}
			if !f.reportsEndAt.IsZero() && report.ConfirmedAt.After(f.reportsEndAt) {
				report.ConfirmedAt = f.reportsEndAt
			}
			for _, engine := range f.engines {
				report.Servers = append(report.Servers, engine.server)
			}
			return []distribute.Report{report}
		},
		Engines:       f,
		PreviousLease: previousLease,
		Log:           zerolog.Nop(),
	})
}

// elect makes a control VM the leader of a term with a lease that starts now.
func (f *fakeFleet) elect(name string, term uint64, lease time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaders[name] = replica.Leadership{Term: term, IsLeader: true, LeaseUntil: time.Now().Add(lease)}
}

// executedOrders returns how many orders the engines have begun to carry out.
func (f *fakeFleet) executedOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, engine := range f.engines {
		sum += engine.executed
	}
	return sum
}

func (f *fakeFleet) requireRolled(t testing.TB, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, engine := range f.engines {
		require.Equal(t, served("lace", version), engine.server.Models, id)
	}
}
