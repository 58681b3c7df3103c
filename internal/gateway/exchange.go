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
	// usualStart is how long a VM takes from its start to its first route table
	// when all VMs start together, an election included.
	usualStart = 1200 * time.Millisecond
	// shortestNotReady bounds from below when a request may come back that met a
	// VM without a route table.
	shortestNotReady = 300 * time.Millisecond
	// streamNeeds and plainNeeds are the times that a stream and a plain request
	// usually take to their end.
	streamNeeds = 5 * time.Second
	plainNeeds  = time.Second
	// stopRetry is when a request may come back that met a stopping VM; it then
	// comes to another one.
	stopRetry = 10 * time.Millisecond
	// overloadRetry is when a request may come back that found no scheduler.
	overloadRetry = time.Second
	// maxSends bounds the sendings of one request, those included that servers
	// rejected without running it.
	maxSends = 3
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 8 << 20
	// firstEventFactor times the aim is how long a stream may take to begin
	// before its server is taken for stuck; callers leave at four times the aim.
	firstEventFactor = 3
	// stallFactor times the pause bound is the silence after which a stream that
	// was running is taken up at another server.
	stallFactor = 4
	// shortestStall bounds that silence from below.
	shortestStall = 1200 * time.Millisecond
)

var (
	// errNoBudget refuses a repeat.
	errNoBudget = errors.New("the retry budget is used up")
	// errSilent gives up a server that does not begin to answer.
	errSilent = errors.New("the server does not begin to answer")
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

	sends int
	// arrivals counts the sendings that reached a server, as the retry budget
	// does.
	arrivals int
	// runs counts the servers on which the request may have run.
	runs     int
	excluded []string
	// begun is set once the head of a stream was passed on.
	begun     bool
	lastEvent uint64
	events    int
	// timing is what the log says of the time that the request took.
	timing timing
}

// result is what became of one attempt.
type result struct {
	// done is set when the caller has the final answer.
	done bool
	err  *AttemptError
	// errored is set when that answer is an error of the server's own.
	errored bool
}

// run sends the request until it is answered or may not be sent again.
func (x *exchange) run(ctx context.Context) {
	for {
		id := schedule.JobID{VM: x.gateway.options.Incarnation, Seq: x.gateway.last.Add(1)}
		asked := time.Now()
		placement, err := x.gateway.options.Placer.Place(ctx, x.ask(id))
		x.timing.waited += time.Since(asked)
		if err != nil {
			x.unplaced(ctx, err.Error(), overloadRetry)
			return
		}
		if placement.Server == "" {
			x.unplaced(ctx, placement.Reason, placement.RetryAfter)
			return
		}
		if x.arrivals > 0 && !x.gateway.options.Budget.TryRetry(x.service) {
			x.gateway.options.Placer.Ended(id, schedule.OutcomeDone)
			x.unplaced(ctx, errNoBudget.Error(), overloadRetry)
			return
		}
		x.sends++
		if placement.Local {
			x.timing.local++
		}
		x.logPlacement(placement, time.Since(asked))
		outcome := x.attempt(ctx, id, placement)
		if outcome.done {
			return
		}
		if ctx.Err() != nil || !x.mayRepeat(outcome.err) {
			x.fail(ctx, outcome.err)
			return
		}
		x.excluded = append(x.excluded, placement.Server)
	}
}

// mayRepeat tells whether the request may be sent again after err.
func (x *exchange) mayRepeat(err *AttemptError) bool {
	if x.sends >= maxSends {
		return false
	}
	if err.Delivery != DeliveryUnknown {
		return true
	}
	return x.route.IsRetryable() && x.runs < x.route.MaxAttempts
}

func (x *exchange) ask(id schedule.JobID) schedule.PlacementRequest {
	now := time.Now()
	ask := schedule.PlacementRequest{
		ID: id, Service: x.service, Zone: x.gateway.options.Zone,
		PromptTokens: x.request.PromptTokens, AnswerTokens: x.request.AnswerTokens,
		TargetAt: x.request.ArrivedAt.Add(x.route.TargetLatency), StartDeadline: x.placementDeadline(), MaxGap: x.route.TargetGap,
		Weight: x.weight(), Priority: x.priority(), Excluded: x.excluded,
	}
	if x.begun { // what was begun goes first: its caller has a part of the answer
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
	return x.gateway.sizes.weight(x.route.Name, x.route.TargetLatency, x.request.PromptTokens, x.request.AnswerTokens)
}

// placementDeadline is when the caller no longer waits for a first sign of the answer.
func (x *exchange) placementDeadline() time.Time {
	if x.route.Kind != routes.KindStream {
		return x.deadline
	}
	wait := max(2*time.Second, 4*x.route.TargetLatency, 8*x.route.TargetGap)
	at := x.request.ArrivedAt.Add(wait)
	if x.begun {
		at = time.Now().Add(wait / 2)
	}
	if at.After(x.deadline) {
		return x.deadline
	}
	return at
}

// unplaced answers a request for which no server was found.
func (x *exchange) unplaced(ctx context.Context, reason string, retryAfter time.Duration) {
	switch {
	case x.begun:
		x.log("no server to go on at: " + reason)
		x.caller.Abort()
	case x.runs > 0:
		x.log(reason)
		x.caller.Fail(failureOf(ctx))
	default:
		x.count(outcomeRefused)
		x.gateway.refuse(x.request, x.caller, RefusedOverload, retryAfter, reason)
	}
}

// fail answers after the last attempt.
func (x *exchange) fail(ctx context.Context, err *AttemptError) {
	switch {
	case x.begun:
		x.log(err.Error())
		x.caller.Abort()
	case x.runs > 0:
		x.log(err.Error())
		x.caller.Fail(failureOf(ctx))
	default:
		x.count(outcomeRefused)
		x.gateway.refuse(x.request, x.caller, RefusedOverload, overloadRetry, err.Error())
	}
}

func failureOf(ctx context.Context) FailureCode {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return FailedTimeout
	}
	return FailedServer
}

// attempt sends the request to one server and passes its answer on.
func (x *exchange) attempt(ctx context.Context, id schedule.JobID, placement schedule.Placement) result {
	placer := x.gateway.options.Placer
	attempt, err := x.prepare(placement)
	if err != nil {
		placer.Ended(id, schedule.OutcomeDone)
		return result{err: err}
	}
	tickets, err := x.reserve(ctx, attempt, placement)
	if err != nil {
		placer.Ended(id, schedule.OutcomeDone)
		return result{err: err}
	}
	defer tickets.release()
	sentAt := time.Now()
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopSilence := x.limitSilence(cancel)
	answer, sendErr := x.gateway.options.Backend.Send(sending, attempt)
	stopSilence()
	outcome := result{}
	if sendErr != nil {
		outcome.err = asAttemptError(sendErr)
		outcome.err.Unresponsive = outcome.err.Unresponsive || errors.Is(context.Cause(sending), errSilent)
	} else {
		outcome = x.relay(id, attempt, answer)
		_ = answer.Body.Close()
	}
	placer.Ended(id, x.endOf(ctx, outcome))
	if outcome.err != nil {
		if outcome.err.Delivery != DeliveryNotSent {
			x.arrivals++
		}
		if outcome.err.Delivery == DeliveryUnknown {
			x.runs++
		}
		observe.Log(x.gateway.options.Logger, observe.ServerAttemptFailed).Str("request", x.request.ID).
			Str("server", attempt.Server.ID).Str("address", attempt.Server.Address).Int("helpers", len(attempt.Helpers)).
			Dur("after", time.Since(sentAt)).Int("events", x.events).Err(outcome.err).Send()
	}
	return outcome
}

// limitSilence gives a server up that does not begin to answer, where the
// request may run elsewhere and has time for it. A request whose own time ends
// says nothing of the server.
func (x *exchange) limitSilence(cancel context.CancelCauseFunc) (stop func() bool) {
	at := x.eventDeadline(false)
	if !x.route.IsRetryable() || x.deadline.Sub(at) < shortestStall/2 {
		return func() bool { return true }
	}
	return time.AfterFunc(time.Until(at), func() { cancel(errSilent) }).Stop
}

func (x *exchange) endOf(ctx context.Context, outcome result) schedule.Outcome {
	switch {
	case outcome.errored, outcome.err != nil && outcome.err.ServerError:
		return schedule.OutcomeServerError
	case outcome.err == nil, ctx.Err() != nil:
		return schedule.OutcomeDone
	case outcome.err.Delivery == DeliveryRejected:
		return schedule.OutcomeRejected
	case outcome.err.Delivery == DeliveryNotSent && !outcome.err.Unresponsive:
		return schedule.OutcomeUnreachable
	case outcome.err.Unresponsive:
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

func (x *exchange) prepare(placement schedule.Placement) (*Attempt, *AttemptError) {
	server, found := x.gateway.options.Servers.Find(placement.Server)
	if !found {
		return nil, &AttemptError{Delivery: DeliveryNotSent, Err: fmt.Errorf("server %s is unknown here", placement.Server)}
	}
	attempt := &Attempt{
		Request: x.request, Server: server, Remaining: time.Until(x.deadline),
		ResumeAfter: x.lastEvent, NewConnection: !x.route.IsRetryable(),
	}
	if x.team != nil {
		attempt.Team = x.team.Name
	}
	return attempt, nil
}

// relay passes an answer on, as a stream or as a whole.
func (x *exchange) relay(id schedule.JobID, attempt *Attempt, answer *Response) result {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case success && !answer.Verified:
		return result{err: &AttemptError{Delivery: DeliveryUnknown, Err: errors.New("the answer carries no signature")}}
	case success && x.route.Kind == routes.KindStream:
		return x.relayStream(id, attempt, answer)
	}
	return x.relayWhole(attempt, answer, success)
}

func (x *exchange) relayWhole(attempt *Attempt, answer *Response, success bool) result {
	if err := answer.Body.SetReadDeadline(x.deadline); err != nil {
		return result{err: &AttemptError{Delivery: DeliveryUnknown, Err: err}}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		return result{err: &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read the answer: %w", err)}}
	}
	serverFault := answer.Status >= http.StatusInternalServerError
	if serverFault {
		err := &AttemptError{Delivery: DeliveryUnknown, ServerError: true, Err: fmt.Errorf("the server answered %d", answer.Status)}
		if x.begun || x.route.IsRetryable() && x.runs+1 < x.route.MaxAttempts && x.sends < maxSends {
			return result{err: err}
		}
	}
	x.runs++
	if err := x.caller.WriteResponse(answer.Status, answer.Header, body); err != nil {
		x.log(err.Error())
	}
	x.finish(attempt, answer.Status, success)
	return result{done: true, errored: serverFault}
}
