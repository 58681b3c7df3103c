package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"godwityoke.example/godwityoke/internal/eventstream"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// maxBytesWithoutID limits consecutive events without an id, such as comments. The events of an answer have ids.
const maxBytesWithoutID = 64 << 10

// eventOrder checks the order of the events of one response.
type eventOrder struct {
	// maxID is the highest id so far, 0 for none.
	maxID uint64
	// bytesWithoutID is the size of the events since the last one with an id.
	bytesWithoutID int
}

// record returns an error for an event that is out of order, or if events without an id become too long.
func (o *eventOrder) record(event eventstream.Event) error {
	if !event.HasID {
		if o.bytesWithoutID += len(event.Raw); o.bytesWithoutID > maxBytesWithoutID {
			return fmt.Errorf("events without an id: %w", eventstream.ErrTooLarge)
		}
		return nil
	}
	previous := o.maxID
	o.bytesWithoutID, o.maxID = 0, event.ID
	if event.ID < previous {
		return fmt.Errorf("event %d follows event %d", event.ID, previous)
	}
	return nil
}

// isNew tells whether the caller does not have the event, which was just recorded.
func (x *exchange) isNew(event eventstream.Event, order eventOrder) bool {
	if !event.HasID {
		return order.maxID >= x.lastEventID
	}
	return event.ID > x.lastEventID || event.ID == 0 && x.eventsSent == 0
}

// relayStream sends the events of a response to the caller as they arrive, whole events only. It skips events up to
// lastEventID, which the caller has from an earlier attempt, and events without an id before the first new one.
func (x *exchange) relayStream(ctx context.Context, id schedule.JobID, open *openAttempt, watch *stallWatch) attemptResult {
	attempt, response, pace := open.Attempt, open.response, pace{emptySince: open.sentAt}
	account := x.gateway.options.Buffers.Account(attempt.Server.Address)
	defer account.Release()
	ahead := x.readAhead(open)
	reader := eventstream.NewReader(response.Body, account)
	received, order := 0, eventOrder{}
	if err := response.Body.SetReadDeadline(x.deadline); err != nil {
		return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: err}}
	}
	giveUp := func() {
		_ = response.Body.SetReadDeadline(time.Unix(1, 0)) // ends the pending read; fails only on a closed connection
	}
	for {
		pace.waitingSince = time.Now()
		watch.begin(x.eventDeadline(received > 0), giveUp)
		event, err := reader.Next()
		givenUp := watch.end(err == nil || errors.Is(err, io.EOF)) // the time that the caller needs to read an event does not count
		if errors.Is(err, io.EOF) {
			return x.finishStream(ctx, open, pace, order.maxID)
		}
		if err == nil {
			err = order.record(event)
		}
		if errors.Is(err, errSlowReader) {
			x.logAbandoned(attempt, err)
			x.caller.Abort()
			return attemptResult{done: true}
		}
		if err != nil {
			if givenUp && errors.Is(err, os.ErrDeadlineExceeded) {
				err = errSilent
			}
			return attemptResult{events: received, err: &AttemptError{
				Delivery: DeliveryUnknown, Err: fmt.Errorf("read event %d: %w", x.eventsSent+1, err),
			}}
		}
		received++
		if event.HasID || order.maxID == 0 { // comments between events are no events
			x.reportGap(id, pace, time.Now())
			pace.record(time.Now())
		}
		switch received {
		case 1:
			x.gateway.options.Placer.Started(id)
			x.recordLatency(open)
		case minEventsOfSoundPrompt:
			x.recordSound(true)
		}
		if x.isNew(event, order) {
			ahead.beginWrite()
			x.writes.beginWrite()
			err := x.forwardEvent(response, event)
			x.writes.endWrite()
			ahead.endWrite()
			if err != nil {
				x.logAbandoned(attempt, err)
				x.caller.Abort()
				return attemptResult{done: true}
			}
		}
		if givenUp {
			return attemptResult{events: received, err: &AttemptError{Delivery: DeliveryUnknown, Err: errSilent}}
		}
	}
}

// reportGap reports the gap before an event that arrives at now if it is longer than the route allows.
func (x *exchange) reportGap(id schedule.JobID, pace pace, now time.Time) {
	if gap := now.Sub(pace.lastAt); x.gateway.options.ReportLateEvent != nil && pace.events > 0 && x.route.TargetGap > 0 && gap > x.route.TargetGap {
		x.gateway.options.ReportLateEvent(id, gap)
	}
}

// beginStream sends the head of the response to the caller if that was not done yet. An error means that the caller has
// disconnected.
func (x *exchange) beginStream(response *Response) error {
	if x.headSent {
		return nil
	}
	x.headSent = true
	return x.caller.BeginStream(response.Status, response.Header)
}

// forwardEvent sends an event to the caller, preceded by the head of the response if that was not sent yet. An error
// means that the caller has disconnected.
func (x *exchange) forwardEvent(response *Response, event eventstream.Event) error {
	if err := x.beginStream(response); err != nil {
		return err
	}
	if err := x.caller.WriteEvent(event.Raw); err != nil {
		return err
	}
	if event.HasID {
		x.lastEventID = event.ID
	}
	x.recordContinued()
	x.eventsSent++
	x.timing.recordEvent(time.Now(), x.request.ArrivedAt)
	return nil
}

// finishStream ends a request whose response ended properly; maxID is the highest event id in it, 0 for none. The attempt
// counts as failed if the caller has no event, has a later one than the response, or if the end of the response does not
// show that it is complete.
func (x *exchange) finishStream(ctx context.Context, open *openAttempt, pace pace, maxID uint64) attemptResult {
	resumedAfter := open.ResumeAfter
	x.lastEnd = x.observeEnd(open, pace, time.Now())
	x.lastEnd.resumedNothing = x.lastEventID > 0 && (maxID == 0 || maxID == x.lastEventID && pace.events == 1 && x.lastEventID == resumedAfter)
	x.lastEnd.repeatedNothing = maxID == 0 && resumedAfter < x.lastEventID
	if !x.headSent && x.lastEventID == 0 {
		return attemptResult{err: &AttemptError{
			Delivery: DeliveryUnknown, Err: errors.New("the stream ended without an event"),
		}}
	}
	if maxID > 0 && maxID < x.lastEventID {
		return attemptResult{err: &AttemptError{
			Delivery: DeliveryUnknown, Err: fmt.Errorf("the stream ended at event %d, the caller has event %d", maxID, x.lastEventID),
		}}
	}
	if end := x.lastEnd; end.isAtDeadline() {
		x.endedAtDeadline = true
		return attemptResult{events: pace.events, end: x.lastEnd, err: &AttemptError{
			Delivery: DeliveryUnknown, ServerSound: true, AtDeadline: true,
			Err: fmt.Errorf("the stream ended after event %d, %v before the deadline, so that it may be incomplete", x.lastEventID, end.left.Round(time.Millisecond)),
		}}
	}
	x.awaitClose(open.response.Body)
	x.probeEnded(ctx, open.Server)
	x.checkHolders(ctx, open.tickets)
	if doubt := x.doubt(); doubt != "" {
		x.recordDoubt(open)
		return attemptResult{events: pace.events, end: x.lastEnd, err: &AttemptError{
			Delivery: DeliveryUnknown, ServerSound: x.lastEnd.probe != serverstate.ProbeRefused, InDoubt: x.lastEnd.contradiction() == "",
			Err: fmt.Errorf("the stream ended after event %d and may be incomplete: %s", x.lastEventID, doubt),
		}}
	}
	x.recordConfirmed()
	x.recordSound(true)
	x.possibleRuns++
	if err := x.beginStream(open.response); err != nil { // only a caller that has all events has no head yet
		x.logAbandoned(open.Attempt, err)
		x.caller.Abort()
		return attemptResult{done: true}
	}
	x.recordAnswered(open.Attempt, open.response.Status, true)
	return attemptResult{done: true}
}

// eventDeadline returns the time by which the server must send its next event, or its first one if started is false.
// The timeout of the first event counts from the arrival of the request, but leaves the server at least
// minStallTimeout. The deadline of the request is the upper bound.
func (x *exchange) eventDeadline(started bool) time.Time {
	timeout := max(minStallTimeout, stallFactor*x.route.TargetGap)
	latestArrival := time.Now().Add(timeout)
	if !started {
		latestArrival = x.request.ArrivedAt.Add(firstEventFactor * x.route.TargetLatency)
		if earliest := time.Now().Add(minStallTimeout); latestArrival.Before(earliest) {
			latestArrival = earliest
		}
	}
	if latestArrival.After(x.deadline) {
		return x.deadline
	}
	return latestArrival
}
