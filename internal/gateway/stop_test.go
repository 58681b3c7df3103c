package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// fullPlacer has no place for any request.
type fullPlacer struct {
	fakes
	waiting chan struct{}
}

func (p *fullPlacer) Place(ctx context.Context, _ schedule.PlacementRequest) (schedule.Placement, error) {
	close(p.waiting)
	<-ctx.Done()
	return schedule.Placement{}, ctx.Err()
}

func TestWaitingRequestIsRefusedBeforeAPlannedStopEnds(t *testing.T) {
	table, placer := testTable(), &fullPlacer{waiting: make(chan struct{})}
	f := &placer.fakes
	begun := make(chan struct{})
	stopsIn := func() (time.Duration, bool) {
		select {
		case <-begun:
			return time.Second + 50*time.Millisecond, true
		default:
			return 0, false
		}
	}
	g := New(Options{
		Table: func() *routes.Table { return table }, Placer: placer, Budget: f, Servers: f, Backend: f, Memory: f, StopsIn: stopsIn,
		Zone: "a", Incarnation: 1, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
	})
	caller, done := &fakeCaller{}, make(chan struct{})
	go func() {
		defer close(done)
		g.Serve(context.Background(), &Request{ID: "r1", Host: "h", Path: "/safe/x", Key: "key", ArrivedAt: time.Now()}, caller)
	}()
	<-placer.waiting
	close(begun)
	g.BeginStop()
	<-done
	require.Equal(t, RefusedOverload, caller.refusal)
	require.Equal(t, StoppingRetryAfter, caller.retryAfter, "refused at its deadline only")
}

// silentBackend answers no request. sent is closed when it gets the first one.
type silentBackend struct{ sent chan struct{} }

func (b *silentBackend) Send(ctx context.Context, _ *Attempt) (*Response, error) {
	close(b.sent)
	<-ctx.Done()
	return nil, &AttemptError{Delivery: DeliveryUnknown, Err: ctx.Err()}
}

func TestRequestsInProgressAreAnsweredWhenTheVMExits(t *testing.T) {
	table, f := testTable(), &fakes{}
	serve := func(placer Placer, backend Backend, inProgress chan struct{}) *fakeCaller {
		g := New(Options{
			Table: func() *routes.Table { return table }, Placer: placer, Budget: f, Servers: f, Backend: backend, Memory: f,
			StopsIn: func() (time.Duration, bool) { return 0, false },
			Zone:    "a", Incarnation: 1, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
		})
		caller, done := &fakeCaller{}, make(chan struct{})
		go func() {
			defer close(done)
			g.Serve(context.Background(), &Request{ID: "r1", Host: "h", Path: "/unsafe/x", Key: "key", ArrivedAt: time.Now()}, caller)
		}()
		<-inProgress
		g.BeginExit()
		<-done
		return caller
	}
	sent := &silentBackend{sent: make(chan struct{})}
	require.Equal(t, FailedServer, serve(f, sent, sent.sent).failure, "it may have run")
	waiting := &fullPlacer{waiting: make(chan struct{})}
	unplaced := serve(waiting, f, waiting.waiting)
	require.Equal(t, RefusedOverload, unplaced.refusal)
	require.Equal(t, StoppingRetryAfter, unplaced.retryAfter)
}
