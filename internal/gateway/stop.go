package gateway

import (
	"context"
	"errors"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

var (
	// errStopping is the cause with which the wait for a placement ends when this VM is about to exit.
	errStopping = errors.New("this VM stops before the request could finish")
	// errExiting is the cause with which the requests in progress end when this VM exits.
	errExiting = errors.New("this VM exits")
)

// BeginStop reports that a planned stop has begun. Requests that wait for their first server are refused once the time
// that Options.StopsIn returns is too short for them.
func (g *Gateway) BeginStop() {
	now := time.Now()
	g.stopBegan.Store(&now)
	g.beginStop()
}

// isLateInStop tells whether a planned stop began at least Options.LateInStop ago.
func (g *Gateway) isLateInStop(now time.Time) bool {
	began := g.stopBegan.Load()
	return began != nil && now.Sub(*began) >= g.options.LateInStop
}

// stopTime returns the time that must be left of a planned stop for a request with the given time until its deadline to
// be taken: its typical time at first, while refusals would meet many requests, and its deadline late in the stop.
func stopTime(route *routes.Route, untilDeadline time.Duration, late bool) time.Duration {
	if late {
		return untilDeadline
	}
	return min(typicalTime(route), untilDeadline)
}

// BeginExit ends the requests in progress: those that have not run are refused, those that may have run fail, and streams
// that have begun are aborted.
func (g *Gateway) BeginExit() { g.beginExit() }

// Exiting returns a context that is done once BeginExit was called.
func (g *Gateway) Exiting() context.Context { return g.exiting }

// requestPlacement waits for a placement. A request that has not run is refused while it waits if a planned stop leaves
// too little time for it.
func (x *exchange) requestPlacement(ctx context.Context, id schedule.JobID) (schedule.Placement, error) {
	request := x.placementRequest(id)
	if x.headSent || x.possibleRuns > 0 {
		return x.gateway.options.Placer.Place(ctx, request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(x.gateway.stopping, func() {
		left, _ := x.gateway.options.StopsIn()
		select {
		case <-time.After(left - typicalTime(x.route)):
			cancel(errStopping)
		case <-ctx.Done():
		}
	})()
	placement, err := x.gateway.options.Placer.Place(ctx, request)
	if err != nil && errors.Is(context.Cause(ctx), errStopping) {
		return schedule.Placement{Reason: errStopping.Error(), RetryAfter: StoppingRetryAfter}, nil
	}
	return placement, err
}
