package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	// done is set when the caller has the final answer or disconnected while it was sent. Otherwise err is set.
	done bool
	err  *AttemptError
	// moved is the placement with the attempt that replaces this one, nil if there is none.
	moved *grant
	// events is the number of events that the server sent.
	events int
	// relayed is set when another VM relayed the response.
	relayed bool
	// end is what was known when the server ended the response, nil if it did not.
	end *responseEnd
	// serverError is set when the final answer is a 5xx response of the server.
	serverError bool
}

// openAttempt is an attempt whose server is known and whose memory is reserved. The response is set once it has begun.
type openAttempt struct {
	*Attempt
	tickets *tickets
	sentAt  time.Time
	// endedAt is when the attempt has failed or its response has ended.
	endedAt  time.Time
	response *Response
	// cancel ends the attempt, nil before it is sent.
	cancel context.CancelCauseFunc
}

// open returns the attempt at the granted server. It reserves memory; nothing is sent to the server.
func (x *exchange) open(ctx context.Context, granted *grant) (*openAttempt, *AttemptError) {
	if x.turnDownEvacuated(ctx, granted.placement) {
		return nil, &AttemptError{Delivery: DeliveryNotSent, Err: errPlacementTurnedDown}
	}
	attempt, err := x.newAttempt(granted.placement)
	if err != nil {
		return nil, err
	}
	if x.turnDownForeign(granted.placement) { // a server may have been announced in another zone since
		x.attempts--
		return nil, &AttemptError{Delivery: DeliveryNotSent, Err: errPlacementTurnedDown}
	}
	tickets, err := x.reserve(ctx, attempt, granted.placement)
	if err != nil {
		return nil, err
	}
	open := &openAttempt{Attempt: attempt, tickets: tickets}
	if x.turnDownReserved(time.Now(), attempt, tickets) {
		open.close()
		return nil, &AttemptError{Delivery: DeliveryNotSent, Err: errPlacementTurnedDown}
	}
	return open, nil
}

// send sends the attempt and waits until its response begins. The response ends with ctx, which cancel must end.
func (o *openAttempt) send(ctx context.Context, cancel context.CancelCauseFunc, backend Backend) *AttemptError {
	o.sentAt, o.cancel = time.Now(), cancel
	response, err := backend.Send(ctx, o.Attempt)
	if err != nil {
		return asAttemptError(err)
	}
	o.response = response
	return nil
}

// close ends the attempt and releases what it holds.
func (o *openAttempt) close() {
	if o.response != nil {
		_ = o.response.Body.Close()
	}
	if o.cancel != nil {
		o.cancel(nil)
	}
	o.tickets.release()
}

// attempt sends the request to one server, unless that was done before, and relays the response to the caller.
func (x *exchange) attempt(ctx context.Context, granted *grant) attemptResult {
	open, givenUp, result := granted.open, false, attemptResult{}
	isSent := open != nil
	if !isSent {
		opened, err := x.open(ctx, granted)
		if err != nil {
			x.gateway.options.Placer.Ended(granted.id, schedule.OutcomeUnused)
			return attemptResult{err: err}
		}
		open = opened
		if plan, planned := x.hedgePlan(time.Now()); planned {
			return x.attemptHedged(ctx, granted, open, plan)
		}
	}
	defer open.close()
	watch := x.watchStalls(ctx, open.Server)
	if !isSent {
		sendCtx, cancel := context.WithCancelCause(ctx)
		watch.begin(x.eventDeadline(false), func() { cancel(errUnresponsive) })
		stopLimit := open.tickets.limitUnused(func() { cancel(errUnresponsive) })
		result.err = open.send(sendCtx, cancel, x.gateway.options.Backend)
		isUnused := !stopLimit()
		givenUp = watch.end(result.err == nil) || isUnused
	}
	switch {
	case result.err != nil:
		result.err.Unresponsive = result.err.Unresponsive || givenUp
	case givenUp: // the response began while it was cancelled
		result.err = &AttemptError{Delivery: DeliveryUnknown, Unresponsive: true, Err: errUnresponsive}
	default:
		result = x.relay(ctx, granted.id, open, watch)
	}
	result.moved = watch.grant()
	x.endAttempt(ctx, granted.id, open, result)
	return result
}

// endAttempt reports and counts the result of an attempt that was sent.
func (x *exchange) endAttempt(ctx context.Context, id schedule.JobID, open *openAttempt, result attemptResult) {
	open.endedAt = time.Now()
	result.relayed = open.response != nil && open.response.Relayed || result.err != nil && result.err.Relayed
	if result.err != nil && isConnectionLost(result.err) && ctx.Err() == nil {
		x.checkLostConnection(ctx, open.Attempt, result)
	}
	x.gateway.options.Placer.Ended(id, x.placementOutcome(ctx, open.Attempt, result))
	if result.err == nil {
		return
	}
	if result.err.Delivery != DeliveryNotSent {
		x.deliveries++
	}
	if result.err.Delivery == DeliveryUnknown {
		x.possibleRuns++
	}
	withEnd(observe.Log(x.gateway.options.Logger, observe.ServerAttemptFailed), result.end).Str("request", x.request.ID).
		Str("server", open.Server.ID).Str("address", open.Server.Address).Int("helpers", len(open.Helpers)).
		Dur("after", open.endedAt.Sub(open.sentAt)).Dur("checked", time.Since(open.endedAt)).Dur("left", time.Until(x.deadline)).
		Int("events", x.eventsSent).Int("received", result.events).Bool("relayed", result.relayed).
		Stringer("server_state", x.serverCondition(open.Server, time.Now())).Err(result.err).Send()
}

// placementOutcome returns what the scheduler is told about the attempt. One that failed although the server is most
// likely up says nothing about it.
func (x *exchange) placementOutcome(ctx context.Context, attempt *Attempt, result attemptResult) schedule.Outcome {
	switch {
	case result.serverError, result.err != nil && result.err.ServerError:
		return schedule.OutcomeServerError
	case result.err == nil, result.err.ServerSound:
		return schedule.OutcomeDone
	case x.isOver(ctx):
		return schedule.OutcomeCancelled
	case result.err.Delivery == DeliveryRejected:
		return schedule.OutcomeRejected
	case x.isPathAtFault(attempt, result):
		return schedule.OutcomeUnused
	case result.err.Delivery == DeliveryNotSent && !result.err.Unresponsive:
		return schedule.OutcomeUnreachable
	case result.err.Unresponsive:
		return schedule.OutcomeStalled
	}
	return schedule.OutcomeFailed
}

// isPathAtFault tells whether an attempt may have failed because of the path between this VM and the server, which concerns
// no other VM.
func (x *exchange) isPathAtFault(attempt *Attempt, result attemptResult) bool {
	return !result.err.Confirmed && (result.relayed || x.gateway.options.Paths.IsBroken(attempt.Server.Address))
}

// checkPath finds out whether the path to a server is broken, and tells whether the server has answered on a new
// connection. A server that wants no requests from this VM is not asked.
func (x *exchange) checkPath(ctx context.Context, server roster.Server) (answered bool) {
	if _, blocked := x.gateway.options.Statements.Check(time.Now(), server); blocked {
		return false
	}
	return x.gateway.options.Paths.Check(ctx, server.Address)
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
		return nil, &AttemptError{
			Delivery: DeliveryNotSent, Err: fmt.Errorf("server %s is not known to this VM", placement.Server),
		}
	}
	attempt := &Attempt{
		Request: x.request, Server: server, Remaining: time.Until(x.deadline),
		ResumeAfter: x.resumeAfter(), NewConnection: !x.route.IsRetryable(), Reach: x.reach,
	}
	if x.team != nil {
		attempt.Team = x.team.Name
	}
	return attempt, nil
}
