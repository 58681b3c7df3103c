package gateway

import (
	"time"

	"godwityoke.example/godwityoke/internal/observe"
)

// stalledCheckInterval is how often a stalled attempt asks again whether a retry is allowed.
const stalledCheckInterval = 250 * time.Millisecond

// stallTimer gives up an attempt whose server is silent. The zero value never does.
type stallTimer struct{ timer *time.Timer }

// startStallTimer returns a timer that calls giveUp once the server has been silent until deadline and a retry is
// allowed. While none is, giving the attempt up would only lose what the server may still send; the deadline of the
// request ends it then. The timer of a request that must not be retried never calls giveUp.
func (x *exchange) startStallTimer(deadline time.Time, responding bool, giveUp func()) stallTimer {
	mayRetry := x.attempts < maxAttempts && !x.mayCrashServers && x.route.IsRetryable() && x.possibleRuns+1 < x.route.MaxAttempts
	if !mayRetry {
		return stallTimer{}
	}
	var timer *time.Timer
	timeout, logged := time.Until(deadline), false
	started := make(chan struct{})
	timer = time.AfterFunc(time.Until(deadline), func() {
		<-started
		allowed := x.gateway.options.Budget.TryRetry(x.service)
		if !logged || allowed {
			logged = true
			observe.Log(x.gateway.options.Logger, observe.BackendServerSilent).Str("request", x.request.ID).Dur("timeout", timeout).
				Bool("responding", responding).Dur("held", time.Since(x.request.ArrivedAt)).Bool("retry", allowed).Send()
		}
		if !allowed {
			timer.Reset(stalledCheckInterval)
			return
		}
		x.retryAllowed.Store(true)
		giveUp()
	})
	close(started)
	return stallTimer{timer}
}

// stop stops the timer.
func (s stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// restart starts the timer again with a new deadline.
func (s stallTimer) restart(deadline time.Time) {
	if s.timer != nil {
		s.timer.Reset(time.Until(deadline))
	}
}
