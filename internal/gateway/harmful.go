package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
)

const (
	// maxEventsBeforeCrash is the maximum number of events of an attempt after which the end of its connection may be a
	// crash under its prompt: a server that begins an answer on a harmful part may still send its first event.
	maxEventsBeforeCrash = 1
	// minEventsOfSoundPrompt is the number of events of an attempt that show that its prompt does not crash servers.
	minEventsOfSoundPrompt = maxEventsBeforeCrash + 2
	// quarantineRetryAfter is the retry delay announced for a prompt with a quarantined part.
	quarantineRetryAfter = 5 * time.Minute
)

// recordCrash records a failed attempt as evidence against the parts of its prompt if the server closed or reset the
// connection before it had answered. A timeout or an error response is no evidence.
func (x *exchange) recordCrash(ctx context.Context, attempt *Attempt, result attemptResult) {
	lost := result.err != nil && result.err.Delivery == DeliveryUnknown && isConnectionLost(result.err)
	if !lost || ctx.Err() != nil || result.events > maxEventsBeforeCrash {
		return
	}
	run := quarantine.NewServerRun(attempt.Server.ID, attempt.Server.StartedAt)
	var crashed, suspects, evicted int
	x.gateway.options.Evidence.Do(func(t *quarantine.Tracker) {
		t.RecordCrash(time.Now(), run, quarantine.NewRequestID(x.request.ID), x.request.Parts)
		x.mayCrashServers = t.Suspected(x.request.Parts)
		crashed = t.CrashedServers(x.request.Parts)
		suspects, evicted = t.Stats()
	})
	observe.Log(x.gateway.options.Logger, observe.ConnectionLostBeforeAnswer).Str("request", x.request.ID).
		Stringer("identity", x.identity.Subject()).Str("server", attempt.Server.ID).Str("run", fmt.Sprintf("%016x", uint64(run))).
		Int("events", result.events).Int("parts", len(x.request.Parts)).Int("crashed", crashed).
		Bool("suspected", x.mayCrashServers).Int("suspects", suspects).Int("evicted", evicted).Err(result.err).Send()
}

// recordSound records that a server has answered the prompt.
func (x *exchange) recordSound() {
	if len(x.request.Parts) > 0 {
		x.gateway.options.Evidence.Do(func(t *quarantine.Tracker) { t.RecordSound(time.Now(), x.request.Parts) })
	}
}

// isConnectionLost tells whether err means that the server closed or reset the connection within a response.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// refuseQuarantined ends a request whose prompt has a quarantined part.
func (x *exchange) refuseQuarantined(part quarantine.Subject) {
	reason := fmt.Sprintf("part %016x of the prompt crashes backend servers", uint64(part))
	if x.headSent || x.possibleRuns > 0 {
		x.failUnplaced(context.Background(), reason, 0)
		return
	}
	x.countOutcome(outcomeRefused)
	x.gateway.refuse(x.request, x.caller, RefusedQuarantine, quarantineRetryAfter, reason)
}
