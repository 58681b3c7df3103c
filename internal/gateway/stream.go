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
func (x *exchange) relayStream(id schedule.JobID, attempt *Attempt, answer *Response) result {
	reader := eventstream.NewReader(answer.Body)
	started := false
	for {
		if err := answer.Body.SetReadDeadline(x.eventDeadline(started)); err != nil {
			return result{err: &AttemptError{Delivery: DeliveryUnknown, Err: err}}
		}
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return x.endStream(attempt, answer)
		}
		if err != nil {
			return result{err: &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read event %d: %w", x.events+1, err)}}
		}
		if !started {
			started = true
			x.gateway.options.Placer.Started(id)
		}
		if event.HasID && event.ID <= x.lastEvent {
			continue // the caller has it already
		}
		if err := x.pass(answer, event); err != nil {
			return result{done: true}
		}
	}
}

func (x *exchange) pass(answer *Response, event eventstream.Event) error {
	if !x.begun {
		if err := x.caller.BeginStream(answer.Status, answer.Header); err != nil {
			return err
		}
		x.begun = true
	}
	if err := x.caller.WriteEvent(event.Raw); err != nil {
		return err
	}
	if event.HasID {
		x.lastEvent = event.ID
	}
	x.events++
	x.timing.event(time.Now(), x.request.ArrivedAt)
	return nil
}

// endStream ends the answer after the server's last event.
func (x *exchange) endStream(attempt *Attempt, answer *Response) result {
	if !x.begun {
		return result{err: &AttemptError{Delivery: DeliveryUnknown, Err: errors.New("the stream ended without an event")}}
	}
	x.runs++
	x.finish(attempt, answer.Status, true)
	return result{done: true}
}

// eventDeadline is when the server of a stream is taken for stuck.
func (x *exchange) eventDeadline(started bool) time.Time {
	wait := max(shortestStall, stallFactor*x.route.TargetGap)
	at := time.Now().Add(wait)
	if !started {
		at = x.request.ArrivedAt.Add(firstEventFactor * x.route.TargetLatency)
		if floor := time.Now().Add(shortestStall); at.Before(floor) {
			at = floor
		}
	}
	if at.After(x.deadline) {
		return x.deadline
	}
	return at
}
