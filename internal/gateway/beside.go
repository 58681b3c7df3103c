package gateway

import (
	"time"

	"godwityoke.example/godwityoke/internal/schedule"
)

// mayTryBeside tells whether the request may be sent to another server beside the attempt in progress.
func (x *exchange) mayTryBeside() bool {
	return x.hasAttemptsLeft() && !x.mayCrashServers && x.route.IsRetryable() && x.possibleRuns+1 < x.route.MaxAttempts
}

// admitBeside charges the retry of an attempt that is to be sent to the granted servers beside the attempt in progress. It
// returns the reason if there must be none: this VM does not know the server, the request would be refused by quarantine, the
// placement is turned down, or the retry budget is spent.
func (x *exchange) admitBeside(now time.Time, placement schedule.Placement) (reason string) {
	options := &x.gateway.options
	if _, known := options.Servers.Find(placement.Server); !known {
		return "server " + placement.Server + " is not known to this VM"
	}
	if _, found := options.Evidence.Quarantined(now, x.identity, x.request.Parts); found {
		return "the request is quarantined"
	}
	if x.turnDownForeign(placement) || x.turnDown(now, placement) {
		return errPlacementTurnedDown.Error()
	}
	if !x.retryCharged && !options.Budget.TryRetry(x.service) {
		return errRetryBudgetSpent.Error()
	}
	x.retryCharged = false
	return ""
}
