package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/membudget"
	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// typicalStartup is the typical time from the start of a VM to its first route table when all VMs start
	// together, including a leader election.
	typicalStartup = 1200 * time.Millisecond
	// minNotReadyRetryAfter is the minimum retry delay announced by a VM without a route table.
	minNotReadyRetryAfter = 300 * time.Millisecond
	// typicalStreamTime and typicalWholeTime are the typical total times of a request whose response is streamed and
	// of one whose response is sent as a whole.
	typicalStreamTime = 5 * time.Second
	typicalWholeTime  = time.Second
	// StoppingRetryAfter is the retry delay announced by a stopping VM. It is short because the retry goes to
	// another VM.
	StoppingRetryAfter = 10 * time.Millisecond
	// overloadRetryAfter is the retry delay announced where the scheduler gave none: placement failed, the retry
	// budget is spent, or all attempts failed without the request having run.
	overloadRetryAfter = time.Second
	// maxAttempts limits the attempts of one request, including those that a server rejected without running the
	// request. A stream that has begun may exceed it by attempts that reach no server.
	maxAttempts = 3
	// maxResponseBytes limits the body of a response that is not a stream.
	maxResponseBytes = 8 << 20
	// firstEventFactor times the target latency of the route is the timeout of the first event, counted from the
	// arrival of the request. Callers give a stream four times the target latency to begin (see startDeadline), so
	// the factor must be smaller to leave time for a retry.
	firstEventFactor = 3
	// stallFactor times the target gap of the route is the timeout between two events. A stream that exceeds it is
	// resumed on another server.
	stallFactor = 4
	// minStallTimeout is the least time that a server gets for any event, the first one included, from when the wait
	// for that event begins.
	minStallTimeout = 1200 * time.Millisecond
)

var errRetryBudgetSpent = errors.New("the retry budget is used up")

// exchange is the state of one request while it is served.
type exchange struct {
	gateway  *Gateway
	request  *Request
	caller   Caller
	table    *routes.Table
	route    *routes.Route
	team     *routes.Team
	service  string
	deadline time.Time
	// reach tells where the request may be handled. excludesForeign is set once a placement was turned down by it.
	reach           routes.Reach
	excludesForeign bool
	// writes ends the writes to the caller.
	writes *interruption

	attempts int
	// unsent counts the attempts of a stream that has begun that reached no server. They use up none of maxAttempts: each
	// such server is excluded, which bounds them.
	unsent int
	// hedges counts the attempts that were sent beside a running one before its first event.
	hedges int
	// deliveries counts the failed attempts that may have reached a server. Retries are charged to the retry budget
	// only after the first of them.
	deliveries int
	// possibleRuns counts the servers on which the request may have run.
	possibleRuns int
	// excluded are the ids of the servers at which an attempt failed.
	excluded []string
	// turnedDown counts the placements that were not used because a server wants no requests from this VM.
	turnedDown int
	// excludesEvacuated is set once a placement was turned down because of an evacuated zone.
	excludesEvacuated bool
	// retryCharged is set when the next retry is already counted in the retry budget: that of an attempt turned down.
	retryCharged bool
	// headSent is set once the head of a stream was sent to the caller.
	headSent bool
	// lastEventID is the id of the last event that the caller has, 0 for none.
	lastEventID uint64
	eventsSent  int
	// identity is the whole request in the evidence on crashes.
	identity *quarantine.Request
	// mayCrashServers is set once several servers have crashed under this request or under prompts that share a part with
	// it.
	mayCrashServers bool
	timing          timing
	// lastEnd is what was known when the server of the last attempt ended its response, nil if it did not.
	lastEnd *responseEnd
	// inDoubt is set when the last response was ended by its server and may be complete.
	inDoubt bool
	// endedAtDeadline is set when a server ended the stream after the last event that the caller has, maybe because of the
	// deadline.
	endedAtDeadline bool
	// doubtful is the end of an earlier response that did not show that the stream is complete, nil if there is none after
	// the last event that the caller has. doubtfulAttempt and doubtfulStatus are those of the response.
	doubtful        *responseEnd
	doubtfulAttempt *Attempt
	doubtfulStatus  int
}

// run sends the request until it is answered or must not be retried.
func (x *exchange) run(ctx context.Context) {
	var granted *grant
	for {
		if granted == nil {
			if granted = x.place(ctx); granted == nil {
				return
			}
		}
		if granted.open == nil {
			admitted, ended := x.admit(ctx, granted)
			if ended {
				return
			}
			if !admitted {
				granted = nil
				continue
			}
		}
		server, charged := granted.placement.Server, granted.charged
		result := x.attempt(ctx, granted)
		granted = result.moved
		if result.err != nil {
			x.countUnsent(result.err)
			x.inDoubt = result.err.InDoubt
		}
		if result.err != nil && errors.Is(result.err, errPlacementTurnedDown) {
			x.retryCharged = charged
		}
		if !result.done && errors.Is(result.err, errPlacementTurnedDown) && x.turnedDown < maxTurnedDown {
			continue
		}
		if result.done || x.isOver(ctx) || x.mayCrashServers || granted == nil && !x.canRetry(result.err) {
			if granted != nil {
				x.release(granted)
			}
			if !result.done {
				x.failAttempted(ctx, result.err)
			}
			return
		}
		x.excluded = append(x.excluded, server)
	}
}

// admit charges and counts an attempt that is to be sent to the granted server. If it must not be sent, admit releases the
// placement; the request has then either ended or is to be placed again.
func (x *exchange) admit(ctx context.Context, granted *grant) (admitted, ended bool) {
	if subject, found := x.gateway.options.Evidence.Quarantined(time.Now(), x.identity, x.request.Parts); found {
		x.release(granted)
		x.refuseQuarantined(subject)
		return false, true
	}
	if x.deliveries > 0 && !granted.charged {
		if !x.gateway.options.Budget.TryRetry(x.service) {
			x.release(granted)
			if x.waitForBudget(ctx) {
				return false, false
			}
			x.failUnplaced(ctx, errRetryBudgetSpent.Error(), overloadRetryAfter)
			return false, true
		}
		granted.charged = true
	}
	x.countAttempt(granted)
	return true, false
}

// waitForBudget waits until the retry budget allows a retry of a stream that has begun. It returns false for another
// request, for a stream that has ended and is in doubt, and if too little time would be left for the attempt.
func (x *exchange) waitForBudget(ctx context.Context) bool {
	if x.inDoubt {
		return false
	}
	for x.waitToAskAgain(ctx, minSearchInterval) {
		if x.gateway.options.Budget.CanRetry(x.service) {
			return true
		}
	}
	return false
}

// countAttempt counts and logs an attempt that is about to be sent to the granted server.
func (x *exchange) countAttempt(granted *grant) {
	x.attempts++
	x.timing.placementWait += granted.waited
	if granted.placement.Local {
		x.timing.localPlacements++
	}
	x.logPlacement(granted.placement, granted.waited)
}

// release ends a placement that is not used. An attempt whose response has begun is ended; its server may have run the
// request.
func (x *exchange) release(granted *grant) {
	if granted.open != nil {
		granted.open.close()
		x.possibleRuns++
	}
	x.gateway.options.Placer.Ended(granted.id, schedule.OutcomeUnused)
}

// place waits for a placement whose servers take the request. It returns nil if none is granted; the request has then
// been ended.
func (x *exchange) place(ctx context.Context) *grant {
	requestedAt := time.Now()
	for {
		if _, all := x.evacuatedServers(); all {
			if x.refuseEvacuated(ctx, requestedAt) {
				return nil
			}
			continue
		}
		if first, blocked := x.allBlocked(time.Now()); blocked {
			if x.waitForServer(ctx, first) {
				continue
			}
			x.timing.placementWait += time.Since(requestedAt)
			x.failBlocked(ctx, time.Now(), first)
			return nil
		}
		id := x.gateway.nextID()
		placement, err := x.requestPlacement(ctx, id)
		if err != nil {
			placement.Server, placement.Reason, placement.RetryAfter = "", err.Error(), overloadRetryAfter
		}
		if placement.Server != "" && (x.turnDownForeign(placement) || x.turnDown(time.Now(), placement)) {
			x.gateway.options.Placer.Ended(id, schedule.OutcomeUnused)
			if x.turnedDown < maxTurnedDown {
				continue
			}
			placement.Server, placement.Reason, placement.RetryAfter = "", errPlacementTurnedDown.Error(), overloadRetryAfter
		}
		waited := time.Since(requestedAt)
		if placement.Server == "" {
			if err == nil && x.waitToAskAgain(ctx, placement.RetryAfter) {
				continue
			}
			x.timing.placementWait += time.Since(requestedAt)
			x.failUnplaced(ctx, placement.Reason, placement.RetryAfter)
			return nil
		}
		charged := x.retryCharged
		x.retryCharged = false
		return &grant{id: id, placement: placement, waited: waited, charged: charged}
	}
}

// waitToAskAgain waits before the next placement request of a stream that has begun and was refused a placement or a
// retry. It returns false without a wait for another request, for a stream that is likely complete, and if too little time
// would be left for the attempt.
func (x *exchange) waitToAskAgain(ctx context.Context, retryAfter time.Duration) bool {
	wait := min(max(retryAfter, minSearchInterval), maxSearchInterval)
	if !x.headSent || x.isDoubtSlight() || time.Until(x.deadline) < wait+minStallTimeout/2 {
		return false
	}
	pause.For(ctx, wait)
	return ctx.Err() == nil
}

// isOver tells whether the request was cancelled or its deadline has passed. A read may fail at the deadline before ctx
// is done.
func (x *exchange) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(x.deadline)
}

// canRetry tells whether the request may be sent to another server after the attempt that failed with err.
func (x *exchange) canRetry(err *AttemptError) bool {
	if x.mayCrashServers || !x.isResumable() {
		return false
	}
	if !x.hasAttemptsLeft() || err.AtDeadline && time.Until(x.deadline) < minStallTimeout/2 {
		return false
	}
	if err.Delivery != DeliveryUnknown {
		return true
	}
	return x.route.IsRetryable() && x.possibleRuns < x.route.MaxAttempts
}

// countUnsent counts a failed attempt that reached no server, if that leaves the stream more attempts. A placement that was
// turned down is not counted as an attempt.
func (x *exchange) countUnsent(err *AttemptError) {
	if x.headSent && err.Delivery == DeliveryNotSent && !errors.Is(err, errPlacementTurnedDown) {
		x.unsent++
	}
}

// hasAttemptsLeft tells whether another attempt is allowed by maxAttempts.
func (x *exchange) hasAttemptsLeft() bool { return x.attempts-x.unsent < maxAttempts }

// isResumable tells whether another server can go on with the request: nothing was sent to the caller yet, or the event
// to resume after has an id.
func (x *exchange) isResumable() bool { return !x.headSent || x.lastEventID > 0 }

func (x *exchange) placementRequest(id schedule.JobID) schedule.PlacementRequest {
	now := time.Now()
	placementRequest := schedule.PlacementRequest{
		ID: id, Service: x.service, Zone: x.gateway.options.Zone,
		PromptTokens: x.request.PromptTokens, AnswerTokens: x.request.AnswerTokens,
		TargetAt: x.request.ArrivedAt.Add(x.route.TargetLatency), StartDeadline: x.startDeadline(),
		MaxGap: x.route.TargetGap, Weight: x.weight(), Priority: x.priority(), Excluded: x.excludedServers(now),
		Team: x.teamName(), AllowedZones: x.reach.ServerZones,
	}
	if x.team != nil && x.identity != nil { // an explanation knows no body
		placementRequest.Identity = uint64(x.identity.Subject())
	}
	if x.headSent { // resumed streams take precedence, because their callers already have part of the answer
		placementRequest.TargetAt = now.Add(x.route.TargetGap)
		placementRequest.Priority = min(placementRequest.Priority, 0) - 1
	}
	return placementRequest
}

func (x *exchange) priority() int {
	if x.team != nil && x.team.Priority >= 0 {
		return x.team.Priority
	}
	return x.route.Priority
}

// weight returns the weight of the request against others, for the scheduler.
func (x *exchange) weight() float64 {
	if x.route.Kind != routes.KindStream {
		return 1
	}
	return x.gateway.meanSizes.weight(x.route.Name, x.route.TargetLatency, x.request.PromptTokens, x.request.AnswerTokens)
}

// startDeadline returns the time after which the first event of a stream, or the whole answer otherwise, is of no use
// to the caller: a stream must still end by the deadline of the request. A stream that is to be resumed has half the usual
// time, counted from now, until its next event. The deadline of the request is the upper bound.
func (x *exchange) startDeadline() time.Time {
	if x.route.Kind != routes.KindStream {
		return x.deadline
	}
	timeout := max(2*time.Second, 4*x.route.TargetLatency, 8*x.route.TargetGap)
	latestStart := x.request.ArrivedAt.Add(timeout)
	if x.headSent {
		latestStart = time.Now().Add(timeout / 2)
	}
	latestEnd := x.deadline
	if !x.headSent {
		latestEnd = latestEnd.Add(-x.gateway.streamTimes.least(x.route.Name))
	}
	if latestStart.After(latestEnd) {
		return latestEnd
	}
	return latestStart
}

// failUnplaced ends a request for which no server was found. A stream that has begun is aborted; a request that may
// have run fails; any other is refused, so that the caller may safely retry it after retryAfter.
func (x *exchange) failUnplaced(ctx context.Context, reason string, retryAfter time.Duration) {
	if errors.Is(context.Cause(ctx), errExiting) {
		reason, retryAfter = errExiting.Error(), StoppingRetryAfter
	}
	switch {
	case x.endUnconfirmed(reason):
	case x.headSent:
		x.breakOff(ctx, "no server to go on at: "+reason)
	case x.possibleRuns > 0:
		x.logBroken(reason)
		x.caller.Fail(failureCode(ctx))
	default:
		x.countOutcome(outcomeRefused)
		x.gateway.refuse(x.request, x.caller, RefusedOverload, retryAfter, reason)
	}
}

// failAttempted ends a request whose last attempt failed with err, in the same way as failUnplaced.
func (x *exchange) failAttempted(ctx context.Context, err *AttemptError) {
	reason, retryAfter := err.Error(), overloadRetryAfter
	if cause := context.Cause(ctx); errors.Is(cause, errExiting) {
		reason, retryAfter = fmt.Sprintf("%v: %v", cause, err), StoppingRetryAfter
	}
	switch {
	case x.endUnconfirmed(reason):
	case x.headSent:
		x.breakOff(ctx, reason)
	case x.possibleRuns > 0:
		x.logBroken(reason)
		x.caller.Fail(failureCode(ctx))
	default:
		x.countOutcome(outcomeRefused)
		x.gateway.refuse(x.request, x.caller, RefusedOverload, retryAfter, reason)
	}
}

// breakOff aborts a stream that has begun. One that a server ended near its deadline may be complete and is not broken off before
// the deadline, also if an attempt to resume it has shown nothing since.
func (x *exchange) breakOff(ctx context.Context, reason string) {
	if x.endedAtDeadline {
		pause.For(ctx, time.Until(x.deadline))
	}
	x.logBroken(reason)
	x.caller.Abort()
}

func failureCode(ctx context.Context) FailureCode {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return FailedTimeout
	}
	return FailedServer
}

// responseError returns the error of a response that must not be sent to the caller: a success without the server's
// signature, one that is no stream on a route of streams, and any other response than events once part of a stream was
// sent.
func (x *exchange) responseError(response *Response) *AttemptError {
	success := isSuccess(response.Status)
	switch {
	case success && !response.Verified:
		return &AttemptError{Delivery: DeliveryUnknown, Err: errors.New("the response carries no signature")}
	case success && x.route.Kind == routes.KindStream && !response.IsStream:
		return &AttemptError{
			Delivery: DeliveryUnknown, Err: fmt.Errorf("the response with status %d is not a stream of events", response.Status),
		}
	case x.headSent && !success:
		return &AttemptError{
			Delivery: DeliveryUnknown, ServerError: response.Status >= http.StatusInternalServerError,
			Err: fmt.Errorf("the server responded with status %d to a stream that has begun", response.Status),
		}
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// relay sends a response to the caller, as a stream of events or as a whole.
func (x *exchange) relay(ctx context.Context, id schedule.JobID, open *openAttempt, watch *stallWatch) attemptResult {
	response := open.response
	x.lastEnd = nil
	if err := x.responseError(response); err != nil {
		return attemptResult{err: err}
	}
	success := isSuccess(response.Status)
	if success && x.route.Kind == routes.KindStream {
		return x.relayStream(ctx, id, open, watch)
	}
	return x.relayWhole(ctx, open, success)
}

// relayWhole reads the whole body of a response and sends the response to the caller. A 5xx response is not sent but
// returned as an error while the request may be retried.
func (x *exchange) relayWhole(ctx context.Context, open *openAttempt, success bool) attemptResult {
	attempt, response := open.Attempt, open.response
	if err := response.Body.SetReadDeadline(x.deadline); err != nil {
		return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: err}}
	}
	account := x.gateway.options.Buffers.Account(attempt.Server.Address)
	defer account.Release()
	body, err := membudget.ReadAll(response.Body, maxResponseBytes, account)
	if err != nil {
		return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read the response: %w", err)}}
	}
	if response.Framing == FramedByConnection && time.Until(x.deadline) <= minDeadlineMargin {
		return attemptResult{err: &AttemptError{
			Delivery: DeliveryUnknown, Err: errors.New("the response ended with its connection at the deadline, so that it may be incomplete"),
		}}
	}
	x.lastEnd = x.observeEnd(open, pace{waitingSince: open.sentAt}, time.Now())
	if x.probeEnded(ctx, open.Server); x.lastEnd.isCutWithoutTrace() { // one with a length or chunks is not probed
		return attemptResult{end: x.lastEnd, err: &AttemptError{
			Delivery: DeliveryUnknown, Err: fmt.Errorf("the response of %d bytes ended with its connection and may be incomplete: probe of the server: %v", len(body), x.lastEnd.probe),
		}}
	}
	isServerError := response.Status >= http.StatusInternalServerError
	if success {
		x.recordLatency(open)
	}
	mayRetry := x.route.IsRetryable() && x.possibleRuns+1 < x.route.MaxAttempts && x.hasAttemptsLeft()
	if isServerError && mayRetry {
		return attemptResult{err: &AttemptError{
			Delivery: DeliveryUnknown, ServerError: true,
			Err: fmt.Errorf("the server responded with status %d", response.Status),
		}}
	}
	if hasRun(response.Status) {
		x.recordSound(success)
	}
	x.possibleRuns++
	x.writes.beginWrite()
	err = x.caller.WriteResponse(response.Status, response.Header, body)
	if x.writes.endWrite(); err != nil {
		x.logAbandoned(attempt, err)
		x.caller.Abort()
		return attemptResult{done: true, serverError: isServerError}
	}
	x.recordAnswered(attempt, response.Status, success)
	return attemptResult{done: true, serverError: isServerError}
}
