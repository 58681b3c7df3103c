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
	// crashCheckTimeout bounds the time for which a retry waits until it is known whether the server still answers. It
	// covers the opening of a connection to another availability zone and a round trip on it.
	crashCheckTimeout = 60 * time.Millisecond
	// quarantineRetryAfter is the retry delay announced for a quarantined request.
	quarantineRetryAfter = 5 * time.Minute
)

// checkLostConnection finds out why the connection of an attempt has ended: a server that answers on a new one, or through
// another VM, has not crashed. It waits at most crashCheckTimeout, so that a retry is not delayed for long; what turns out
// later is recorded for other requests.
func (x *exchange) checkLostConnection(ctx context.Context, attempt *Attempt, result attemptResult) {
	ctx = context.WithoutCancel(ctx)
	if !x.mayBeCrash(attempt, result) {
		go x.checkPath(ctx, attempt.Server)
		return
	}
	x.identity.Subject() // outside of the lock of the evidence: it reads the whole body
	suspected := make(chan bool, 1)
	go func() { suspected <- x.judgeLostConnection(attempt, result, x.checkPath(ctx, attempt.Server)) }()
	select {
	case x.mayCrashServers = <-suspected:
	case <-time.After(crashCheckTimeout):
		// The server may be the second one that crashes under the request.
		x.mayCrashServers = x.crashedServers() > 0
	}
}

// judgeLostConnection records a crash unless the server is still there, which answered or the path to it shows. It tells
// whether the request is suspected.
func (x *exchange) judgeLostConnection(attempt *Attempt, result attemptResult, answered bool) (suspected bool) {
	if !answered && !x.isPathAtFault(attempt, result) {
		return x.recordCrash(attempt, result)
	}
	observe.Log(x.gateway.options.Logger, observe.ConnectionLostBeforeAnswer).Str("request", x.request.ID).
		Str("server", attempt.Server.ID).Int("events", result.events).Bool("server_up", true).Err(result.err).Send()
	return false
}

// crashedServers returns the number of servers that crashed under the request or a part of its prompt.
func (x *exchange) crashedServers() (crashed int) {
	x.gateway.options.Evidence.Do(func(t *quarantine.Tracker) {
		crashed = t.CrashedServers(time.Now(), x.identity, x.request.Parts)
	})
	return crashed
}

// mayBeCrash tells whether an attempt whose connection has ended may have failed because the server crashed under it. A
// timeout or an error response is no evidence, nor is the end of a connection over a broken path or through another VM.
func (x *exchange) mayBeCrash(attempt *Attempt, result attemptResult) bool {
	return result.err.Delivery == DeliveryUnknown && !x.isPathAtFault(attempt, result) &&
		result.events <= maxEventsBeforeCrash && x.eventsSent < minEventsOfSoundPrompt
}

// recordCrash records a failed attempt as evidence against the request and the parts of its prompt. It tells whether they
// are suspected. It is safe for concurrent use.
func (x *exchange) recordCrash(attempt *Attempt, result attemptResult) (suspected bool) {
	run := quarantine.NewServerRun(attempt.Server.ID, attempt.Server.StartedAt)
	var crashed, suspects, evicted int
	x.gateway.options.Evidence.Do(func(t *quarantine.Tracker) {
		now := time.Now()
		t.RecordCrash(now, run, x.identity, x.request.Parts)
		suspected = t.Suspected(now, x.identity, x.request.Parts)
		crashed = t.CrashedServers(now, x.identity, x.request.Parts)
		suspects, evicted = t.Stats()
	})
	observe.Log(x.gateway.options.Logger, observe.ConnectionLostBeforeAnswer).Str("request", x.request.ID).
		Stringer("identity", x.identity.Subject()).Str("server", attempt.Server.ID).Str("run", fmt.Sprintf("%016x", uint64(run))).
		Int("events", result.events).Int("parts", len(x.request.Parts)).Int("crashed", crashed).
		Bool("suspected", suspected).Int("suspects", suspects).Int("evicted", evicted).Err(result.err).Send()
	return suspected
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
