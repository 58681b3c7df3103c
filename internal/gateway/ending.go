package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/serverstate"
)

const (
	// minDeadlineMargin is the time before the deadline of a request from which the end of a response does not show that it
	// is complete: servers stop at the deadline that they were sent, which is rounded down to milliseconds. A timer may be
	// as much out.
	minDeadlineMargin = 2 * time.Millisecond
	// gapMargin times the expected time between two events of a stream is the same time for a stream, since a server that works in
	// steps stops when its next step would end after the deadline; steps vary. A longer silence before the end of a stream
	// leaves the stream in doubt.
	gapMargin = 2
	// minSilence is the least time of such a silence.
	minSilence = 250 * time.Millisecond
	// maxEndDelay is the time from the last event of a complete response to its end, apart from the delays of the network.
	maxEndDelay = time.Millisecond
	// closeWait is the time for which the end of a stream between two events is held back to see whether the server closes its
	// connection: a process that stops may end a while after its handlers.
	closeWait = 100 * time.Millisecond
	// endProbeTimeout limits the time for which the end of a response is held back until its server has answered a probe.
	endProbeTimeout = 500 * time.Millisecond
)

// Framing is how a response shows where its body ends.
type Framing uint8

// Values of Framing.
const (
	// FramedByChunks is the zero value: the body ends with its last chunk.
	FramedByChunks Framing = iota
	FramedByLength
	// FramedByConnection means that the body ends where the server closes the connection.
	FramedByConnection
)

// String returns the name of the framing for logs.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByConnection:
		return "connection"
	}
	return "chunks"
}

// serverCondition is what this VM knows of the server of an attempt, by its announcements and its answers.
type serverCondition uint8

// Values of serverCondition.
const (
	serverReady serverCondition = iota
	serverDraining
	// serverGone means that the server has deregistered.
	serverGone
	// serverReplaced means that another process is known under the server's id.
	serverReplaced
	// serverUnknown means that this VM has had no announcement of the server for a while.
	serverUnknown
)

// String returns the name of the condition for logs.
func (c serverCondition) String() string {
	switch c {
	case serverDraining:
		return "draining"
	case serverGone:
		return "gone"
	case serverReplaced:
		return "replaced"
	case serverUnknown:
		return "unknown"
	}
	return "ready"
}

// responseEnd is what is known when a server has ended the response to a request.
type responseEnd struct {
	framing Framing
	relayed bool
	// events is the number of events of the response, lastEventID the id of the last event that the caller has, 0 for
	// none.
	events      int
	lastEventID uint64
	// resumedNothing is set when the response was to go on after lastEventID and had no event with an id.
	resumedNothing bool
	// repeatedNothing is set when the response was to begin with an event that the caller has, and had none with an id.
	repeatedNothing bool
	// left is the time until the deadline of the request.
	left time.Duration
	// gap is the time in which the next event could be expected.
	gap time.Duration
	// sinceEvent is the time for which the end was awaited once the last event was passed on; of a whole response, the time
	// since the request was sent.
	sinceEvent time.Duration
	// suspended is set if this VM did not run for a while before the end, so that sinceEvent and gap may be too short.
	suspended bool
	server    serverCondition
	// closed is set when the server has closed the connection right after the response, without having announced it.
	closed bool
	// probe is what a probe of the server has shown after the end of the response.
	probe serverstate.ProbeResult
	// lostHolders is the number of prefill helpers that have lost the memory which the request needs.
	lostHolders int
	// unconfirmed is the reason why no other server confirmed the end of a stream in doubt that was passed on as complete
	// nevertheless, empty otherwise.
	unconfirmed string
}

// observeEnd returns what is known of a response that has ended now. Of a response with a single event the next one was due
// within the target gap of the route, and so it is if this VM was suspended: events that it then reads together show no gaps.
func (x *exchange) observeEnd(open *openAttempt, pace pace, now time.Time) *responseEnd {
	gap := pace.expectedGap()
	suspended := x.gateway.options.WasSuspended(pace.mayBeBufferedSince(now, gap))
	if pace.events < 2 || suspended {
		gap = max(gap, x.route.TargetGap/gapMargin)
	}
	return &responseEnd{
		framing: open.response.Framing, relayed: open.response.Relayed, events: pace.events, lastEventID: x.lastEventID,
		left: x.deadline.Sub(now), gap: gap, sinceEvent: now.Sub(pace.waitingSince), server: x.serverCondition(open.Server, now),
		suspended: suspended, lostHolders: x.lostHolders(open.tickets, now),
	}
}

// serverCondition returns the condition of one incarnation of a server.
func (x *exchange) serverCondition(server roster.Server, now time.Time) serverCondition {
	known, found := x.gateway.options.Servers.Find(server.ID)
	switch {
	case !found:
		return serverUnknown
	case !known.StartedAt.Equal(server.StartedAt):
		return serverReplaced
	case known.State == roster.StateGone:
		return serverGone
	}
	if block, blocked := x.gateway.options.Statements.Check(now, server); known.State == roster.StateDraining || blocked && block.Until.IsZero() {
		return serverDraining
	}
	return serverReady
}

// lostHolders counts the reservations that their servers have lost. A server that goes on renewing one still holds it,
// whatever the announcements say; one that does not answer may have carried the order out.
func (x *exchange) lostHolders(held *tickets, now time.Time) int {
	lost := 0
	for _, item := range held.list {
		switch item.renewal() {
		case renewalRefused:
			lost++
		case renewalUnanswered:
			if condition := x.serverCondition(item.server, now); condition == serverGone || condition == serverReplaced {
				lost++
			}
		}
	}
	return lost
}

// isAtDeadline tells whether the server may have ended the stream because the next event would have come after the
// deadline.
func (e *responseEnd) isAtDeadline() bool {
	return e.left <= max(gapMargin*e.gap, minDeadlineMargin)
}

// isAfterSilence tells whether the server was silent for longer than between its events before it ended the stream. A server
// that waits for another one ends its work after a while.
func (e *responseEnd) isAfterSilence() bool {
	return e.events > 0 && e.sinceEvent > max(gapMargin*e.gap, minSilence)
}

// needsProbe tells whether it matters for the end of the response whether the server's process is still there.
func (e *responseEnd) needsProbe() bool {
	return !e.relayed && (e.framing == FramedByConnection || e.isBetweenEvents() || e.events > 0 && e.server != serverReady)
}

// isLikelyComplete tells whether the stream ended in its framing and right after an event, as a complete one does.
func (e *responseEnd) isLikelyComplete() bool {
	return e.framing != FramedByConnection && !e.isBetweenEvents() && !e.resumedNothing
}

// mayHaveStoppedWithin tells whether the server may have ended the stream because it stopped, although it is likely complete:
// a stop may fall right after an event, and an event that is read late is read together with the end.
func (e *responseEnd) mayHaveStoppedWithin() bool {
	return e.events > 0 && e.server != serverReady && e.probe != serverstate.ProbeAnswered
}

// isBetweenEvents tells whether the response ended a while after its last event. A complete one ends right after it, while a
// server that stops ends its responses at any time, and this VM may not know yet that it was to stop. One that ends its
// process once its last stream is complete closes the connection at once, too. A VM that was suspended finds the last events
// and the end together, whatever time was between them.
func (e *responseEnd) isBetweenEvents() bool {
	return e.events > 0 && (e.sinceEvent > maxEndDelay || e.suspended)
}

// isCutWithoutTrace tells whether the response would have ended in the same way if its server, or the VM that relayed it,
// had stopped within it: the kernel closes the connections of a process that ends.
func (e *responseEnd) isCutWithoutTrace() bool {
	return e.framing == FramedByConnection && e.probe != serverstate.ProbeAnswered
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (e responseEnd) MarshalZerologObject(line *zerolog.Event) {
	line.Stringer("framing", e.framing).Bool("relayed", e.relayed).Uint64("last_event", e.lastEventID).Int("events", e.events).
		Dur("left", e.left).Dur("since_event", e.sinceEvent).Bool("suspended", e.suspended).Dur("event_gap", e.gap).
		Stringer("server_state", e.server).Bool("closed", e.closed).Stringer("probe", e.probe).Int("lost_holders", e.lostHolders)
	if e.unconfirmed != "" {
		line.Str("unconfirmed", e.unconfirmed)
	}
}

// awaitClose finds out whether the server closes the connection of a stream that has ended between two events, without
// having announced that.
func (x *exchange) awaitClose(body Body) {
	x.lastEnd.closed = x.lastEnd.isBetweenEvents() && body.ClosedByServer(closeWait)
}

// probeEnded finds out whether the server's process is still there, where that matters for the end of the last response.
func (x *exchange) probeEnded(ctx context.Context, server roster.Server) {
	if x.lastEnd.needsProbe() {
		x.lastEnd.probe = x.probe(ctx, server)
		x.lastEnd.server = x.serverCondition(server, time.Now())
	}
}

// probe finds out whether the process of a server is still there. An answer of another process at its address shows that it
// is not.
func (x *exchange) probe(ctx context.Context, server roster.Server) serverstate.ProbeResult {
	if x.gateway.options.Paths.IsBroken(server.Address) {
		return serverstate.ProbeUnclear
	}
	probed := make(chan serverstate.Presence, 1)
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	go func() { probed <- x.gateway.options.Paths.Probe(ctx, server.Address) }()
	var presence serverstate.Presence
	select {
	case presence = <-probed:
	case <-ctx.Done():
	}
	isOther := x.serverCondition(server, time.Now()) == serverReplaced ||
		!presence.StartedAt.IsZero() && !server.StartedAt.IsZero() && !presence.StartedAt.Equal(server.StartedAt)
	if presence.Result == serverstate.ProbeAnswered && isOther {
		return serverstate.ProbeRefused
	}
	return presence.Result
}

// checkHolders finds out, after the end of a stream, whether a prefill helper has lost the memory: it has if it refuses to renew
// the reservation now, or if no process is there. It asks those that did not answer the last order, and after a silence all,
// since the loss may be more recent than the last order.
func (x *exchange) checkHolders(ctx context.Context, held *tickets) {
	var checks sync.WaitGroup
	for _, item := range held.list {
		if item.renewal() == renewalRefused || item.renewal() == renewalAnswered && !x.lastEnd.isAfterSilence() {
			continue
		}
		checks.Go(func() {
			orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			if held.reserveOne(orderCtx, item) != nil && x.probe(ctx, item.server) == serverstate.ProbeRefused {
				item.lastRenewal.Store(renewalRefused)
			}
		})
	}
	checks.Wait()
	x.lastEnd.lostHolders = x.lostHolders(held, time.Now())
}

// contradiction returns what speaks against the server having ended the stream because it was complete, empty for nothing.
func (e *responseEnd) contradiction() string {
	switch {
	case e.isCutWithoutTrace():
		return "it ended with its connection; probe of the server: " + e.probe.String()
	case e.closed && e.probe != serverstate.ProbeAnswered:
		return "the connection was closed after it; probe of the server: " + e.probe.String()
	case e.isBetweenEvents() && e.probe == serverstate.ProbeRefused:
		return fmt.Sprintf("it ended %v after its last event, and the server has ended", e.sinceEvent)
	case e.server == serverReplaced:
		return "another process is known under the server's id"
	case e.lostHolders > 0 && e.isBetweenEvents():
		return fmt.Sprintf("%d prefill helpers had lost its memory, and it ended %v after its last event", e.lostHolders, e.sinceEvent)
	}
	return ""
}

// resumeAfter returns the id of the event after which the next response is to begin, 0 for its first one. A response that is to
// confirm an end begins with the last event before it: one without events shows nothing of the stream.
func (x *exchange) resumeAfter() uint64 {
	if x.doubtful != nil && x.lastEventID > 0 {
		return x.lastEventID - 1
	}
	return x.lastEventID
}

// doubt returns why the end of the last response does not show that the stream is complete, empty if it does. Two servers
// that have ended the stream after the same event confirm each other.
func (x *exchange) doubt() string {
	end := x.lastEnd
	if contradiction := end.contradiction(); contradiction != "" {
		return contradiction
	}
	switch {
	case end.repeatedNothing:
		return fmt.Sprintf("the server did not send event %d again", end.lastEventID)
	case x.doubtful != nil:
		return ""
	case end.resumedNothing:
		return "the server went on with no event"
	case end.server != serverReady && end.isBetweenEvents() && x.mayBeConfirmed():
		return fmt.Sprintf("the server was %v and ended it %v after its last event", end.server, end.sinceEvent)
	case end.mayHaveStoppedWithin() && x.mayBeConfirmed():
		return fmt.Sprintf("the server was %v; probe of the server: %v", end.server, end.probe)
	case end.isAfterSilence():
		return fmt.Sprintf("the server had been silent for %v", end.sinceEvent.Round(time.Millisecond))
	case end.framing == FramedByConnection && end.isBetweenEvents():
		return fmt.Sprintf("it ended with its connection, %v after its last event", end.sinceEvent)
	case end.framing == FramedByConnection && !x.gateway.closings.isTrusted(time.Now(), x.service, x.mayBeConfirmed()):
		return "it ended with its connection"
	}
	return ""
}

// mayBeConfirmed tells whether another server could show whether the stream is complete.
func (x *exchange) mayBeConfirmed() bool {
	return x.route.IsRetryable() && x.lastEventID > 0 && x.hasAttemptsLeft() && x.possibleRuns+1 < x.route.MaxAttempts
}

// recordDoubt remembers the end of the last response, which leaves the stream in doubt, unless something speaks against it.
func (x *exchange) recordDoubt(open *openAttempt) {
	if x.lastEnd.contradiction() == "" {
		x.doubtful, x.doubtfulAttempt, x.doubtfulStatus = x.lastEnd, open.Attempt, open.response.Status
	}
}

// isDoubtSlight tells whether the stream is in doubt only because its server may have stopped within it.
func (x *exchange) isDoubtSlight() bool { return x.doubtful != nil && x.doubtful.isLikelyComplete() }

// endUnconfirmed ends a stream that could not be confirmed although nothing speaks against its end: it ended right after an
// event, and if a live server closed the connection there, no stream of the service was cut in this way lately. It tells
// whether it did; reason is why there is no confirmation.
func (x *exchange) endUnconfirmed(reason string) bool {
	end := x.doubtful
	if end == nil || end.resumedNothing || end.isBetweenEvents() || !x.headSent ||
		end.framing == FramedByConnection && !x.gateway.closings.isTrusted(time.Now(), x.service, false) {
		return false
	}
	end.unconfirmed = reason
	x.lastEnd = end
	x.recordAnswered(x.doubtfulAttempt, x.doubtfulStatus, true)
	return true
}

// recordContinued records that the caller was sent an event after a response that had ended.
func (x *exchange) recordContinued() {
	if x.doubtful != nil && x.doubtful.framing == FramedByConnection {
		x.gateway.closings.record(time.Now(), x.service, false)
	}
	x.doubtful, x.endedAtDeadline = nil, false
}

// recordConfirmed records that another server has no more events either.
func (x *exchange) recordConfirmed() {
	if x.doubtful != nil && x.doubtful.framing == FramedByConnection {
		x.gateway.closings.record(time.Now(), x.service, true)
	}
}

// pace measures the time between the events of one response.
type pace struct {
	// waitingSince is when the wait for the next event began.
	waitingSince time.Time
	// emptySince is when the last wait began that found nothing to read, at first when the request was sent.
	emptySince      time.Time
	events          int
	firstAt, lastAt time.Time
	lastGap         time.Duration
}

// record counts an event that has arrived at now.
func (p *pace) record(now time.Time) {
	if p.events == 0 {
		p.firstAt = now
	} else {
		p.lastGap = now.Sub(p.lastAt)
	}
	p.events++
	p.lastAt = now
	if now.Sub(p.waitingSince) > maxEndDelay {
		p.emptySince = p.waitingSince
	}
}

// mayBeBufferedSince returns the time from which on the last events and what followed them may have waited to be read.
func (p *pace) mayBeBufferedSince(now time.Time, gap time.Duration) time.Time {
	since := now.Add(-gap)
	if p.events > 0 && p.emptySince.Before(since) {
		return p.emptySince
	}
	return since
}

// expectedGap returns the time in which the next event could be expected: the mean of the gaps or the last one, whichever is
// longer. It is 0 before the second event.
func (p *pace) expectedGap() time.Duration {
	if p.events < 2 {
		return 0
	}
	return max(p.lastGap, p.lastAt.Sub(p.firstAt)/time.Duration(p.events-1))
}
