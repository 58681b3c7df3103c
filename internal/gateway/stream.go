package gateway

import (
	"errors"
	"fmt"
	"io"
	"time"

	"godwityoke.example/godwityoke/internal/eventstream"
	"godwityoke.example/godwityoke/internal/schedule"
)

// relayStream passes events on as they arrive, each of them whole and once.
func (x *exchange) relayStream(id schedule.JobID, attempt *Attempt, answer *Response) attemptResult {
	reader := eventstream.NewReader(answer.Body)
	started := false
	for {
		if err := answer.Body.SetReadDeadline(x.eventDeadline(started)); err != nil {
			return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: err}}
		}
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return x.finishStream(attempt, answer)
		}
		if err != nil {
			return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read event %d: %w", x.eventsSent+1, err)}}
		}
		if !started {
			started = true
			x.gateway.options.Placer.Started(id)
		}
		if event.HasID && event.ID <= x.lastEventID {
			continue // the caller has it already
		}
		if err := x.forwardEvent(answer, event); err != nil {
			return attemptResult{done: true}
		}
	}
}

func (x *exchange) forwardEvent(answer *Response, event eventstream.Event) error {
	if !x.headSent {
		if err := x.caller.BeginStream(answer.Status, answer.Header); err != nil {
			return err
		}
		x.headSent = true
	}
	if err := x.caller.WriteEvent(event.Raw); err != nil {
		return err
	}
	if event.HasID {
		x.lastEventID = event.ID
	}
	x.eventsSent++
	x.timing.recordEvent(time.Now(), x.request.ArrivedAt)
	return nil
}

// finishStream ends the answer after the server's last event.
func (x *exchange) finishStream(attempt *Attempt, answer *Response) attemptResult {
	if !x.headSent {
		return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: errors.New("the stream ended without an event")}}
	}
	x.possibleRuns++
	x.recordAnswered(attempt, answer.Status, true)
	return attemptResult{done: true}
}

// eventDeadline is when the server of a stream is taken for stuck.
func (x *exchange) eventDeadline(started bool) time.Time {
	timeout := max(minStallTimeout, stallFactor*x.route.TargetGap)
	at := time.Now().Add(timeout)
	if !started {
		at = x.request.ArrivedAt.Add(firstEventFactor * x.route.TargetLatency)
		if earliest := time.Now().Add(minStallTimeout); at.Before(earliest) {
			at = earliest
		}
	}
	if at.After(x.deadline) {
		return x.deadline
	}
	return at
}
