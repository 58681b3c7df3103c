package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/roster"
)

const (
	// minDeadlineMargin is the time before the deadline of a request from which the end of a response does not show that it
	// is complete: servers stop at the deadline that they were sent, which is rounded down to milliseconds. A timer may be
	// as much out.
	minDeadlineMargin = 2 * time.Millisecond
	// deadlineMarginGaps is the same time as a multiple of the expected time between two events of a stream: a server that
	// works in steps stops when its next step would end after the deadline, and steps vary.
	deadlineMarginGaps = 2
	// maxEndDelay is the time from the last event of a complete response to its end, apart from the delays of the network.
	maxEndDelay = time.Millisecond
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
	// serverGone means that the server has deregistered, was replaced or is not known any more.
	serverGone
)

// String returns the name of the condition for logs.
func (c serverCondition) String() string {
	switch c {
	case serverDraining:
		return "draining"
	case serverGone:
		return "gone"
	}
	return "ready"
}

// probeResult is what a probe of a server has shown.
type probeResult uint8

// Values of probeResult.
const (
	// notProbed also stands for a probe that shows nothing: this VM does not reach the server itself.
	notProbed probeResult = iota
	probeAnswered
	probeSilent
)

// String returns the result for logs.
func (r probeResult) String() string {
	switch r {
	case probeAnswered:
		return "answered"
	case probeSilent:
		return "not answered"
	}
	return "none"
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
	// left is the time until the deadline of the request.
	left time.Duration
	pace pace
	// sinceEvent is the time since the last event of the response, or since the request was sent.
	sinceEvent time.Duration
	server     serverCondition
	// probe is what a probe of the server has shown after the end of the response.
	probe probeResult
	// lostHolders is the number of prefill helpers that have lost the memory which the request needs, as far as is known.
	lostHolders int
}

// observeEnd returns what is known of a response that has ended now.
func (x *exchange) observeEnd(open *openAttempt, pace pace, now time.Time) *responseEnd {
	return &responseEnd{
		framing: open.response.Framing, relayed: open.response.Relayed, events: pace.events, lastEventID: x.lastEventID,
		left: x.deadline.Sub(now), pace: pace, sinceEvent: now.Sub(pace.lastAt), server: x.serverCondition(open.Server, now),
		lostHolders: open.tickets.lost(),
	}
}

// serverCondition returns the condition of one incarnation of a server.
func (x *exchange) serverCondition(server roster.Server, now time.Time) serverCondition {
	known, found := x.gateway.options.Servers.Find(server.ID)
	if !found || known.State == roster.StateGone || !known.StartedAt.Equal(server.StartedAt) {
		return serverGone
	}
	if block, blocked := x.gateway.options.Statements.Check(now, server); known.State == roster.StateDraining || blocked && block.Until.IsZero() {
		return serverDraining
	}
	return serverReady
}

// lost counts the reservations that their servers have refused to renew.
func (t *tickets) lost() int {
	lost := 0
	for _, item := range t.list {
		if item.isLost.Load() {
			lost++
		}
	}
	return lost
}

// isAtDeadline tells whether the server may have ended the stream because the next event would have come after the
// deadline. An event is expected within targetGap, 0 for any time.
func (e *responseEnd) isAtDeadline(targetGap time.Duration) bool {
	margin := deadlineMarginGaps * e.pace.expectedGap()
	if e.pace.events < 2 || targetGap > 0 && margin > targetGap {
		margin = targetGap
	}
	return e.left <= max(margin, minDeadlineMargin)
}

// needsProbe tells whether it matters for the end of the response whether the server's process is still there.
func (e *responseEnd) needsProbe() bool {
	return !e.relayed && (e.framing == FramedByConnection || e.server != serverReady || e.isBetweenEvents())
}

// isBetweenEvents tells whether the response ended a while after its last event. A complete one ends right after it, while a
// server that stops ends its responses at any time, and this VM may not know yet that it was to stop.
func (e *responseEnd) isBetweenEvents() bool { return e.events > 0 && e.sinceEvent > maxEndDelay }

// isCutWithoutTrace tells whether the response would have ended in the same way if its server, or the VM that relayed it,
// had stopped within it: the kernel closes the connections of a process that ends.
func (e *responseEnd) isCutWithoutTrace() bool {
	return e.framing == FramedByConnection && e.probe != probeAnswered
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (e responseEnd) MarshalZerologObject(line *zerolog.Event) {
	line.Stringer("framing", e.framing).Bool("relayed", e.relayed).Uint64("last_event", e.lastEventID).Int("events", e.events).
		Dur("left", e.left).Dur("since_event", e.sinceEvent).Dur("event_gap", e.pace.expectedGap()).
		Stringer("server_state", e.server).Stringer("probe", e.probe).Int("lost_holders", e.lostHolders)
}

// probeEnded finds out whether the server's process is still there, where that matters for the end of the last response.
func (x *exchange) probeEnded(ctx context.Context, server roster.Server) {
	if x.lastEnd.needsProbe() {
		x.lastEnd.probe = x.probe(ctx, server)
	}
}

// probe finds out whether the process of a server is still there.
func (x *exchange) probe(ctx context.Context, server roster.Server) probeResult {
	if x.gateway.options.Paths.IsBroken(server.Address) {
		return notProbed
	}
	checked, since := make(chan bool, 1), time.Now()
	go func() {
		checked <- x.gateway.options.Paths.CheckSince(context.WithoutCancel(ctx), server.Address, since)
	}()
	answered := false
	select {
	case answered = <-checked:
	case <-time.After(endProbeTimeout):
	case <-ctx.Done():
	}
	switch {
	case answered:
		return probeAnswered
	case x.gateway.options.Paths.IsBroken(server.Address):
		return notProbed
	}
	return probeSilent
}

// isStalled tells whether the response ended later after its last event than the next one was due. A server that has lost
// a prefill helper stalls before it cuts off the stream.
func (e *responseEnd) isStalled() bool {
	return e.events < 2 || e.sinceEvent > deadlineMarginGaps*e.pace.expectedGap()
}

// checkHolders finds out, after the end of a stream, whether prefill helpers have lost memory without this VM knowing it,
// where the stream stalled, an order was not answered or a helper is gone: one that has deregistered serves on for a while. A
// helper that neither renews a reservation nor answers a probe has lost it.
func (x *exchange) checkHolders(ctx context.Context, held *tickets) {
	if x.lastEnd.lostHolders > 0 {
		return
	}
	var lost atomic.Int64
	var checks sync.WaitGroup
	for _, item := range held.list {
		if !x.lastEnd.isStalled() && !item.isUncertain.Load() && x.serverCondition(item.server, time.Now()) != serverGone {
			continue
		}
		checks.Go(func() {
			orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			err := held.reserveOne(orderCtx, item)
			if errors.Is(err, ErrMemoryRefused) || err != nil && x.probe(ctx, item.server) == probeSilent {
				lost.Add(1)
			}
		})
	}
	checks.Wait()
	x.lastEnd.lostHolders = int(lost.Load())
}

// contradiction returns what speaks against the server having ended the stream because it was complete, empty for nothing.
func (e *responseEnd) contradiction() string {
	switch {
	case e.isCutWithoutTrace():
		return "it ended with its connection; probe of the server: " + e.probe.String()
	case e.probe == probeSilent:
		return fmt.Sprintf("the server was %v and has ended", e.server)
	case e.lostHolders > 0:
		return fmt.Sprintf("%d prefill helpers had lost its memory", e.lostHolders)
	}
	return ""
}

// doubt returns why the end of the last response does not show that the stream is complete, empty if it does. Two servers
// that have ended the stream after the same event confirm each other.
func (x *exchange) doubt() string {
	end := x.lastEnd
	if contradiction := end.contradiction(); contradiction != "" {
		return contradiction
	}
	switch {
	case x.doubtful != nil:
		return ""
	case end.resumedNothing:
		return "the server went on with no event"
	case end.server != serverReady && end.isBetweenEvents() && x.mayBeConfirmed():
		return fmt.Sprintf("the server was %v and ended it %v after the last event", end.server, end.sinceEvent)
	case end.framing == FramedByConnection && !x.gateway.closings.isTrusted(x.service, x.mayBeConfirmed()):
		return "it ended with its connection"
	}
	return ""
}

// mayBeConfirmed tells whether another server could show whether the stream is complete.
func (x *exchange) mayBeConfirmed() bool { return x.route.IsRetryable() && x.lastEventID > 0 }

// recordDoubt remembers the end of the last response, which leaves the stream in doubt, unless something speaks against it.
func (x *exchange) recordDoubt() {
	if x.lastEnd.contradiction() == "" {
		x.doubtful = x.lastEnd
	}
}

// recordContinued records that the caller was sent an event after a response that had ended.
func (x *exchange) recordContinued() {
	if x.doubtful != nil && x.doubtful.framing == FramedByConnection {
		x.gateway.closings.record(x.service, false)
	}
	x.doubtful = nil
}

// recordConfirmed records that another server has no more events either.
func (x *exchange) recordConfirmed() {
	if x.doubtful != nil && x.doubtful.framing == FramedByConnection {
		x.gateway.closings.record(x.service, true)
	}
}

// pace measures the time between the events of one response.
type pace struct {
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
}

// expectedGap returns the time in which the next event could be expected: the mean of the gaps or the last one, whichever is
// longer. It is 0 before the second event.
func (p *pace) expectedGap() time.Duration {
	if p.events < 2 {
		return 0
	}
	return max(p.lastGap, p.lastAt.Sub(p.firstAt)/time.Duration(p.events-1))
}
