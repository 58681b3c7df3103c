package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/platform/standin"
)

// Ending is a way in which a worker ends its answers. In each of them, an answer that was cut off ends as a complete one
// does, at least for a receiver that sees nothing but this connection.
type Ending int

// Endings. A step of KindWorkerEnding has one of them as its Variant, except EndAtDeadline and EndWithoutHelper.
const (
	// EndComplete is the ending in chunks, after the last event.
	EndComplete Ending = iota
	// EndBeforeDeadline works slowly and stops when the next step would end after the deadline.
	EndBeforeDeadline
	// EndByClosing sends complete answers without a length or chunks.
	EndByClosing
	// EndByClosingEarly is EndByClosing, but every second answer is cut off by a worker that lives on.
	EndByClosingEarly
	// EndByDeath is EndByClosing by a worker that crashes at the end of the step.
	EndByDeath
	// EndAtStop works slowly. When the worker stops as planned, its listener closes and its handlers return.
	EndAtStop
	// EndAtStopListening is EndAtStop, but the handlers return before the listener closes.
	EndAtStopListening
	// EndEmptyResume answers resumed requests without an event.
	EndEmptyResume
	// EndAtDeadline is the end at the deadline, which all workers have.
	EndAtDeadline
	// EndWithoutHelper is the end of a stream that has lost a prefill helper which held a part of its memory.
	EndWithoutHelper
)

// plannedEndings are not faults: they leave all events to be had in time, or the whole time to the entry VM.
var plannedEndings = map[Ending]bool{EndBeforeDeadline: true, EndByClosing: true, EndAtStop: true, EndAtStopListening: true}

// String returns the name of the ending for reports.
func (e Ending) String() string {
	return [...]string{
		"complete", "before the deadline", "by closing", "by closing early", "by death", "at the stop", "at the stop, still listening",
		"empty resume", "at the deadline", "without a helper",
	}[e]
}

const (
	// slowEventGap is the time between two events of a slow worker. A stream reaches the deadline of its route.
	slowEventGap = 110 * time.Millisecond
	// shortDrainTime is the time for which a worker with EndAtStop serves after it has stated that it leaves. It is shorter
	// than its streams.
	shortDrainTime = time.Second
	// stopTime bounds the time in which handlers return when a worker stops, listeningTime is the time from the return of
	// handlers to the closing of the listener.
	stopTime      = 500 * time.Millisecond
	listeningTime = 200 * time.Millisecond
	// helperStallTime is the time for which a stream stalls after the loss of a helper, before it is cut off.
	helperStallTime = 600 * time.Millisecond
)

func (w *worker) setEnding(ending Ending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ending = ending
}

// nextEnding returns the ending of the next answer and whether that is cut off in the middle.
func (w *worker) nextEnding() (ending Ending, isCut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ending, w.ending == EndByClosingEarly && w.requests%2 == 0
}

// gapAfter returns the time between an event and the next one. That of a slow worker varies by a fifth.
func (e Ending) gapAfter(event int) time.Duration {
	switch e {
	case EndBeforeDeadline, EndAtStop, EndAtStopListening:
		return slowEventGap + time.Duration(event%3-1)*slowEventGap/5
	}
	return eventGap
}

// omitsLength reports whether an answer has neither a length nor chunks.
func (e Ending) omitsLength() bool {
	return e == EndByClosing || e == EndByClosingEarly || e == EndByDeath
}

// cause returns how a stream was cut off that has to stop, EndComplete if its end does not look like a proper one. sender
// ends with the connection.
func (w *worker) cause(sender context.Context, ending Ending) Ending {
	select {
	case <-w.died:
		if ending.omitsLength() {
			return EndByDeath
		}
		return EndComplete
	default:
	}
	switch {
	case sender.Err() != nil:
		return EndComplete
	case w.stopping.Err() != nil:
		return ending
	}
	return EndAtDeadline
}

// lacksHelper reports whether a helper does not hold the memory that a request needs.
func (w *worker) lacksHelper(received standin.ReceivedRequest) bool {
	if w.options.holds == nil {
		return false
	}
	for _, helper := range received.Tickets {
		if !w.options.holds(helper.Address, helper.Ticket) {
			return true
		}
	}
	return false
}

// holds reports whether the worker at an address holds a reservation.
func (s *soak) holds(address, ticket string) bool {
	held := false
	s.workers.Range(func(_, value any) bool {
		supervisor := value.(*workerSupervisor)
		if supervisor.options.server.Address != address {
			return true
		}
		supervisor.mu.Lock()
		holder := supervisor.worker
		supervisor.mu.Unlock()
		if holder != nil {
			holder.mu.Lock()
			_, held = holder.tickets[ticket]
			holder.mu.Unlock()
		}
		return false
	})
	return held
}

// leave ends the worker as planned, in the time of shortDrainTime. It announces that it is draining, or deregisters first if
// silent is set. Its handlers return when it stops.
func (w *worker) leave(ctx context.Context, silent bool) {
	w.mu.Lock()
	w.leaving = !silent
	if !silent {
		w.state = roster.StateDraining
	}
	w.mu.Unlock()
	if silent {
		w.stopHeartbeats() // a heartbeat would register it again
		w.deregister(ctx)
		pause.For(ctx, shortDrainTime)
	} else {
		w.announceDraining(ctx, shortDrainTime)
		w.deregister(ctx)
	}
	w.stop()
	if ending, _ := w.nextEnding(); ending == EndAtStopListening {
		w.stopStreams()
		pause.For(ctx, listeningTime)
	} else {
		w.server.RegisterOnShutdown(w.stopStreams) // after the listener has closed
		limit, cancel := context.WithTimeout(ctx, stopTime)
		_ = w.server.Shutdown(limit) // what is still open is closed by crash
		cancel()
	}
	w.crash()
}

// applyEnding lets a worker end its answers in the way of the step for its duration, and reports whether the worker has ended.
func (w *worker) applyEnding(ctx context.Context, step Step) (ended bool) {
	ending := Ending(step.Variant)
	w.setEnding(ending)
	pause.For(ctx, step.Duration)
	switch ending {
	case EndAtStop, EndAtStopListening:
		w.leave(ctx, step.Duration%2 == 0)
		return true
	case EndByDeath:
		w.crash()
		return true
	}
	w.setEnding(EndComplete)
	return false
}

// describeEndings returns, for each ending that cut off streams or left out lengths, a line on what callers got.
func describeEndings(r *Records) []string {
	type count struct {
		cut, passed, whole int
		broken             []string
	}
	counts := map[Ending]*count{}
	of := func(e Ending) *count {
		if counts[e] == nil {
			counts[e] = &count{}
		}
		return counts[e]
	}
	for id, attempts := range r.Attempts {
		q := r.Requests[id]
		if q == nil || !q.Done {
			continue
		}
		looksComplete := q.Reply.Status == servedStatus && q.Reply.Complete
		last := EndComplete
		for _, a := range attempts {
			switch {
			case a.Cut != EndComplete:
				of(a.Cut).cut++
				last = a.Cut
			case a.Completed && a.Ending.omitsLength():
				of(a.Ending).whole++
				if q.Reply.Status == servedStatus && !looksComplete && !q.Reply.Disconnected {
					of(a.Ending).broken = append(of(a.Ending).broken, id)
				}
			}
		}
		if last != EndComplete && looksComplete && q.Reply.Body != wholeAnswer(q) {
			of(last).passed++
		}
	}
	var lines []string
	for _, ending := range slices.Sorted(maps.Keys(counts)) {
		c := counts[ending]
		lines = append(lines, fmt.Sprintf("ended %v: %d answers cut off, %d of them passed on as complete; %d complete, %d of them broken off %v",
			ending, c.cut, c.passed, c.whole, len(c.broken), slices.Sorted(slices.Values(c.broken))))
	}
	return lines
}
