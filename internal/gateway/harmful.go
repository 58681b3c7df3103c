package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
)

const (
	// maxEventsBeforeCrash is the maximum number of events of an attempt after which the end of its connection may be a
	// crash under its request: a server that begins to run a harmful request may still send its first event.
	maxEventsBeforeCrash = 1
	// minEventsOfSoundPrompt is the number of events of an attempt that show that its request does not crash servers.
	minEventsOfSoundPrompt = maxEventsBeforeCrash + 2
	// quarantineRetryAfter is the retry delay announced for a quarantined request.
	quarantineRetryAfter = 5 * time.Minute
)

// recordCrash records a failed attempt as evidence against the request and the parts of its prompt if the server closed
// or reset the connection before any server had answered. A timeout or an error response is no evidence, nor
// is the end of a connection over a broken path or through another VM.
func (x *exchange) recordCrash(ctx context.Context, attempt *Attempt, result attemptResult) {
	lost := result.err != nil && result.err.Delivery == DeliveryUnknown && isConnectionLost(result.err)
	if lost && x.isPathAtFault(attempt, result) {
		return
	}
	if !lost || ctx.Err() != nil || result.events > maxEventsBeforeCrash || x.eventsSent >= minEventsOfSoundPrompt {
		return
	}
	x.identity.Subject() // outside of the lock: it reads the whole body
	run := quarantine.NewServerRun(attempt.Server.ID, attempt.Server.StartedAt)
	var crashed, suspects, evicted int
	x.gateway.options.Evidence.Do(func(t *quarantine.Tracker) {
		now := time.Now()
		t.RecordCrash(now, run, x.identity, x.request.Parts)
		x.mayCrashServers = t.Suspected(now, x.identity, x.request.Parts)
		crashed = t.CrashedServers(now, x.identity, x.request.Parts)
		suspects, evicted = t.Stats()
	})
	observe.Log(x.gateway.options.Logger, observe.ConnectionLostBeforeAnswer).Str("request", x.request.ID).
		Stringer("identity", x.identity.Subject()).Str("server", attempt.Server.ID).Str("run", fmt.Sprintf("%016x", uint64(run))).
		Int("events", result.events).Int("parts", len(x.request.Parts)).Int("crashed", crashed).
		Bool("suspected", x.mayCrashServers).Int("suspects", suspects).Int("evicted", evicted).Err(result.err).Send()
}

// recordSound records that a server has answered the request, and its prompt if success is set.
func (x *exchange) recordSound(success bool) {
	var parts []quarantine.Subject
	if success {
		parts = x.request.Parts
	}
	x.gateway.options.Evidence.RecordSound(time.Now(), x.identity, parts)
}

// hasRun tells whether a response with the given status shows that the server ran the request and is still there: a
// success, or an error of the request itself, such as a missing object.
func hasRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusOK && status < http.StatusMultipleChoices ||
		status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// isConnectionLost tells whether err means that the server closed or reset the connection within a response.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// refuseQuarantined ends a request that is quarantined, or whose prompt has a quarantined part.
func (x *exchange) refuseQuarantined(subject quarantine.Subject) {
	reason := fmt.Sprintf("%v crashes backend servers", subject)
	if x.headSent || x.possibleRuns > 0 {
		x.failUnplaced(context.Background(), reason, 0)
		return
	}
	x.countOutcome(outcomeRefused)
	x.gateway.refuse(x.request, x.caller, RefusedQuarantine, quarantineRetryAfter, reason)
}
