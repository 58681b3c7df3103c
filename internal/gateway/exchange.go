package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// typicalStartup is how long a VM takes from its start to its first route table
	// when all VMs start together, an election included.
	typicalStartup = 1200 * time.Millisecond
	// minNotReadyRetryAfter bounds from below when a request may come back that met a
	// VM without a route table.
	minNotReadyRetryAfter = 300 * time.Millisecond
	// typicalStreamTime and plainNeeds are the times that a stream and a plain request
	// usually take to their end.
	typicalStreamTime = 5 * time.Second
	typicalPlainTime  = time.Second
	// stoppingRetryAfter is when a request may come back that met a stopping VM; it then
	// comes to another one.
	stoppingRetryAfter = 10 * time.Millisecond
	// overloadRetryAfter is when a request may come back that found no scheduler.
	overloadRetryAfter = time.Second
	// maxAttempts bounds the sendings of one request, those included that servers
	// rejected without running it.
	maxAttempts = 3
	// maxResponseBytes bounds a whole answer.
	maxResponseBytes = 8 << 20
	// firstEventFactor times the aim is how long a stream may take to begin
	// before its server is taken for stuck; callers leave at four times the aim.
	firstEventFactor = 3
	// stallFactor times the pause bound is the silence after which a stream that
	// was running is taken up at another server.
	stallFactor = 4
	// minStallTimeout bounds that silence from below.
	minStallTimeout = 1200 * time.Millisecond
)

var (
	// errRetryBudgetSpent refuses a repeat.
	errRetryBudgetSpent = errors.New("the retry budget is used up")
	// errUnresponsive gives up a server that does not begin to answer.
	errUnresponsive = errors.New("the server does not begin to answer")
)

// exchange is one request on its way.
type exchange struct {
	gateway  *Gateway
	request  *Request
	caller   Caller
	table    *routes.Table
	route    *routes.Route
	team     *routes.Team
	service  string
	deadline time.Time

	attempts int
	// deliveries counts the sendings that reached a server, as the retry budget
	// does.
	deliveries int
	// possibleRuns counts the servers on which the request may have run.
	possibleRuns int
	excluded     []string
	// headSent is set once the head of a stream was passed on.
	headSent    bool
	lastEventID uint64
	eventsSent  int
	// timing is what the log says of the time that the request took.
	timing timing
}

// attemptResult is what became of one attempt.
type attemptResult struct {
	// done is set when the caller has the final answer.
	done bool
	err  *AttemptError
	// serverError is set when that answer is an error of the server's own.
	serverError bool
}

// run sends the request until it is answered or may not be sent again.
func (x *exchange) run(ctx context.Context) {
	for {
		id := schedule.JobID{VM: x.gateway.options.Incarnation, Seq: x.gateway.lastSeq.Add(1)}
		requestedAt := time.Now()
		placement, err := x.gateway.options.Placer.Place(ctx, x.placementRequest(id))
		x.timing.waited += time.Since(requestedAt)
		if err != nil {
			x.failUnplaced(ctx, err.Error(), overloadRetryAfter)
			return
		}
		if placement.Server == "" {
			x.failUnplaced(ctx, placement.Reason, placement.RetryAfter)
			return
		}
		if x.deliveries > 0 && !x.gateway.options.Budget.TryRetry(x.service) {
			x.gateway.options.Placer.Ended(id, schedule.OutcomeDone)
			x.failUnplaced(ctx, errRetryBudgetSpent.Error(), overloadRetryAfter)
			return
		}
		x.attempts++
		if placement.Local {
			x.timing.localPlacements++
		}
		x.logPlacement(placement, time.Since(requestedAt))
		result := x.attempt(ctx, id, placement)
		if result.done {
			return
		}
		if ctx.Err() != nil || !x.canRetry(result.err) {
			x.failAttempted(ctx, result.err)
			return
		}
		x.excluded = append(x.excluded, placement.Server)
	}
}

// canRetry tells whether the request may be sent again after err.
func (x *exchange) canRetry(err *AttemptError) bool {
	if x.attempts >= maxAttempts {
		return false
	}
	if err.Delivery != DeliveryUnknown {
		return true
	}
	return x.route.IsRetryable() && x.possibleRuns < x.route.MaxAttempts
}

func (x *exchange) placementRequest(id schedule.JobID) schedule.PlacementRequest {
	now := time.Now()
	ask := schedule.PlacementRequest{
		ID: id, Service: x.service, Zone: x.gateway.options.Zone,
		PromptTokens: x.request.PromptTokens, AnswerTokens: x.request.AnswerTokens,
		TargetAt: x.request.ArrivedAt.Add(x.route.TargetLatency), StartDeadline: x.placementDeadline(), MaxGap: x.route.TargetGap,
		Weight: x.weight(), Priority: x.priority(), Excluded: x.excluded,
	}
	if x.headSent { // what was begun goes first: its caller has a part of the answer
		ask.TargetAt = now.Add(x.route.TargetGap)
		ask.Priority = min(ask.Priority, 0) - 1
	}
	return ask
}

func (x *exchange) priority() int {
	if x.team != nil && x.team.Priority >= 0 {
		return x.team.Priority
	}
	return x.route.Priority
}

// weight weighs the request against others.
func (x *exchange) weight() float64 {
	if x.route.Kind != routes.KindStream {
		return 1
	}
	return x.gateway.meanSizes.weight(x.route.Name, x.route.TargetLatency, x.request.PromptTokens, x.request.AnswerTokens)
}

// placementDeadline is when the caller no longer waits for a first sign of the answer.
func (x *exchange) placementDeadline() time.Time {
	if x.route.Kind != routes.KindStream {
		return x.deadline
	}
	wait := max(2*time.Second, 4*x.route.TargetLatency, 8*x.route.TargetGap)
	at := x.request.ArrivedAt.Add(wait)
	if x.headSent {
		at = time.Now().Add(wait / 2)
	}
	if at.After(x.deadline) {
		return x.deadline
	}
	return at
}

// failUnplaced answers a request for which no server was found.
func (x *exchange) failUnplaced(ctx context.Context, reason string, retryAfter time.Duration) {
	switch {
	case x.headSent:
		x.logBroken("no server to go on at: " + reason)
		x.caller.Abort()
	case x.possibleRuns > 0:
		x.logBroken(reason)
		x.caller.Fail(failureCode(ctx))
	default:
		x.countOutcome(outcomeRefused)
		x.gateway.refuse(x.request, x.caller, RefusedOverload, retryAfter, reason)
	}
}

// failAttempted answers after the last attempt.
func (x *exchange) failAttempted(ctx context.Context, err *AttemptError) {
	switch {
	case x.headSent:
		x.logBroken(err.Error())
		x.caller.Abort()
	case x.possibleRuns > 0:
		x.logBroken(err.Error())
		x.caller.Fail(failureCode(ctx))
	default:
		x.countOutcome(outcomeRefused)
		x.gateway.refuse(x.request, x.caller, RefusedOverload, overloadRetryAfter, err.Error())
	}
}

func failureCode(ctx context.Context) FailureCode {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return FailedTimeout
	}
	return FailedServer
}

// attempt sends the request to one server and passes its answer on.
func (x *exchange) attempt(ctx context.Context, id schedule.JobID, placement schedule.Placement) attemptResult {
	placer := x.gateway.options.Placer
	attempt, err := x.newAttempt(placement)
	if err != nil {
		placer.Ended(id, schedule.OutcomeDone)
		return attemptResult{err: err}
	}
	tickets, err := x.reserve(ctx, attempt, placement)
	if err != nil {
		placer.Ended(id, schedule.OutcomeDone)
		return attemptResult{err: err}
	}
	defer tickets.release()
	sentAt := time.Now()
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopTimer := x.startResponseTimer(cancel)
	answer, sendErr := x.gateway.options.Backend.Send(sendCtx, attempt)
	stopTimer()
	result := attemptResult{}
	if sendErr != nil {
		result.err = asAttemptError(sendErr)
		result.err.Unresponsive = result.err.Unresponsive || errors.Is(context.Cause(sendCtx), errUnresponsive)
	} else {
		result = x.relay(id, attempt, answer)
		_ = answer.Body.Close()
	}
	placer.Ended(id, x.placementEnd(ctx, result))
	if result.err != nil {
		if result.err.Delivery != DeliveryNotSent {
			x.deliveries++
		}
		if result.err.Delivery == DeliveryUnknown {
			x.possibleRuns++
		}
		observe.Log(x.gateway.options.Logger, observe.ServerAttemptFailed).Str("request", x.request.ID).
			Str("server", attempt.Server.ID).Str("address", attempt.Server.Address).Int("helpers", len(attempt.Helpers)).
			Dur("after", time.Since(sentAt)).Int("events", x.eventsSent).Err(result.err).Send()
	}
	return result
}

// startResponseTimer gives a server up that does not begin to answer, where the
// request may run elsewhere and has time for it. A request whose own time ends
// says nothing of the server.
func (x *exchange) startResponseTimer(cancel context.CancelCauseFunc) (stop func() bool) {
	at := x.eventDeadline(false)
	if !x.route.IsRetryable() || x.deadline.Sub(at) < minStallTimeout/2 {
		return func() bool { return true }
	}
	return time.AfterFunc(time.Until(at), func() { cancel(errUnresponsive) }).Stop
}

func (x *exchange) placementEnd(ctx context.Context, result attemptResult) schedule.Outcome {
	switch {
	case result.serverError, result.err != nil && result.err.ServerError:
		return schedule.OutcomeServerError
	case result.err == nil, ctx.Err() != nil:
		return schedule.OutcomeDone
	case result.err.Delivery == DeliveryRejected:
		return schedule.OutcomeRejected
	case result.err.Delivery == DeliveryNotSent && !result.err.Unresponsive:
		return schedule.OutcomeUnreachable
	case result.err.Unresponsive:
		return schedule.OutcomeStalled
	}
	return schedule.OutcomeFailed
}

func asAttemptError(err error) *AttemptError {
	var attemptError *AttemptError
	if errors.As(err, &attemptError) {
		return attemptError
	}
	return &AttemptError{Delivery: DeliveryUnknown, Err: err}
}

func (x *exchange) newAttempt(placement schedule.Placement) (*Attempt, *AttemptError) {
	server, found := x.gateway.options.Servers.Find(placement.Server)
	if !found {
		return nil, &AttemptError{Delivery: DeliveryNotSent, Err: fmt.Errorf("server %s is unknown here", placement.Server)}
	}
	attempt := &Attempt{
		Request: x.request, Server: server, Remaining: time.Until(x.deadline),
		ResumeAfter: x.lastEventID, NewConnection: !x.route.IsRetryable(),
	}
	if x.team != nil {
		attempt.Team = x.team.Name
	}
	return attempt, nil
}

// relay passes an answer on, as a stream or as a whole.
func (x *exchange) relay(id schedule.JobID, attempt *Attempt, answer *Response) attemptResult {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case success && !answer.Verified:
		return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: errors.New("the answer carries no signature")}}
	case success && x.route.Kind == routes.KindStream:
		return x.relayStream(id, attempt, answer)
	}
	return x.relayWhole(attempt, answer, success)
}

func (x *exchange) relayWhole(attempt *Attempt, answer *Response, success bool) attemptResult {
	if err := answer.Body.SetReadDeadline(x.deadline); err != nil {
		return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: err}}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read the answer: %w", err)}}
	}
	isServerError := answer.Status >= http.StatusInternalServerError
	if isServerError {
		err := &AttemptError{Delivery: DeliveryUnknown, ServerError: true, Err: fmt.Errorf("the server answered %d", answer.Status)}
		if x.headSent || x.route.IsRetryable() && x.possibleRuns+1 < x.route.MaxAttempts && x.attempts < maxAttempts {
			return attemptResult{err: err}
		}
	}
	x.possibleRuns++
	if err := x.caller.WriteResponse(answer.Status, answer.Header, body); err != nil {
		x.logBroken(err.Error())
	}
	x.recordAnswered(attempt, answer.Status, success)
	return attemptResult{done: true, serverError: isServerError}
}
