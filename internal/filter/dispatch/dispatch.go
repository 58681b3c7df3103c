// Package dispatch sends one attempt of a call to the backend server of its
// placement. It cancels an attempt of an idempotent call when that server fails, so
// that the call can be retried. Placement and retries are left to the place filter.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// bodyDrainTimeout bounds the wait for the end of a response body after the
// answer is complete. A body that is read to its end leaves the connection
// reusable.
const bodyDrainTimeout = 20 * time.Millisecond

// Liveness tells which incarnations of backend servers are alive.
type Liveness interface {
	// IsAlive reports whether the server sends heartbeats and still runs the given
	// incarnation. A draining server is alive until its heartbeats stop.
	IsAlive(serverID string, incarnation uint64, now time.Time) bool
}

// Reclaimer frees the engine memory of attempts that ended early.
type Reclaimer interface {
	// Begin records that an attempt is in progress on an engine.
	Begin(server place.Server, attempt string)
	// End records that an attempt ended. Unless released is true, the engine
	// is asked to cancel the attempt until it confirms.
	End(server place.Server, attempt string, released bool)
}

// Config holds the dependencies of the filter.
type Config struct {
	// PooledTransport sends idempotent calls over reused connections.
	PooledTransport http.RoundTripper
	// FreshTransport opens a connection for each request and never resends a
	// request by itself. It sends calls that are not idempotent, and probes.
	FreshTransport http.RoundTripper
	Liveness       Liveness
	Reclaimer      Reclaimer
}

// Filter sends each attempt to its backend server.
type Filter struct {
	Config
}

// New returns the filter.
func New(config Config) *Filter { return &Filter{Config: config} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "dispatch" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call.Attempt.ResetStallTimer = func() {}
	endHelpers, err := f.prepareGroup(ctx, call)
	defer endHelpers()
	if err != nil {
		return err
	}
	if call.Idempotent() {
		stop := f.watch(ctx, cancel, call)
		defer stop()
	}
	if !call.Kind.ForEngine() {
		return f.send(ctx, call, next)
	}
	server := call.Attempt.Placement.Server()
	f.Reclaimer.Begin(server, call.Attempt.ID)
	err = f.send(ctx, call, next)
	f.Reclaimer.End(server, call.Attempt.ID, err == nil || heldNoMemory(err))
	return err
}

// heldNoMemory reports whether err shows that the engine did not run the attempt
// and so allocated no memory for it.
func heldNoMemory(err error) bool {
	var failure *request.AttemptError
	return errors.As(err, &failure) && !failure.MayHaveRun()
}

func (f *Filter) send(ctx context.Context, call *filter.Call, next filter.Next) error {
	tracker := newTracker()
	outgoing, err := newRequest(httptrace.WithClientTrace(ctx, tracker.clientTrace()), call)
	if err != nil {
		return &request.AttemptError{Step: request.StepResolve, Permanent: true, Cause: err}
	}
	response, err := f.transport(call).RoundTrip(outgoing)
	step, sent := tracker.state()
	sent = sent || call.Attempt.Sent // true when the prefill helpers of a group have run
	call.Attempt.Sent = sent
	if err != nil {
		return &request.AttemptError{Step: step, Sent: sent, Cause: attemptCause(ctx, err)}
	}
	defer response.Body.Close()
	call.Attempt.Response = response
	if err := next(ctx, call); err != nil {
		return completeFailure(ctx, call, err)
	}
	drainBody(response.Body)
	return nil
}

func (f *Filter) transport(call *filter.Call) http.RoundTripper {
	if call.Idempotent() {
		return f.PooledTransport
	}
	return f.FreshTransport
}

// attemptCause wraps err with the cause for which ctx was cancelled, if any: an
// error of the watch explains more than the resulting "context canceled".
func attemptCause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && !errors.Is(err, reason) {
		return fmt.Errorf("%w: %w", reason, err)
	}
	return err
}

// completeFailure adds what the filters after dispatch cannot know to their
// AttemptError: why the attempt was cancelled, and whether it used helpers.
func completeFailure(ctx context.Context, call *filter.Call, err error) error {
	var failure *request.AttemptError
	if errors.As(err, &failure) {
		failure.Cause = attemptCause(ctx, failure.Cause)
		if _, grouped := call.Attempt.Placement.(place.GroupPlacement); grouped {
			failure.Refused = false // the refusal is by the last engine only; the helpers have run
		}
	}
	return err
}

// drainBody waits up to bodyDrainTimeout for the end of a body after its answer.
// Closing a body that was not read to its end also closes the connection.
func drainBody(body io.ReadCloser) {
	timer := time.AfterFunc(bodyDrainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	var rest [64]byte
	_, _ = body.Read(rest[:])
}

// newRequest builds the request to the backend server. It carries the caller's
// body unchanged.
func newRequest(ctx context.Context, call *filter.Call) (*http.Request, error) {
	server := call.Attempt.Placement.Server()
	target := url.URL{Scheme: "http", Host: server.Address, Path: serverPath(call)}
	if !call.Kind.ForEngine() {
		target.RawQuery = call.HTTP.URL.RawQuery
	}
	outgoing, err := http.NewRequestWithContext(ctx, call.HTTP.Method, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("build the request: %w", err)
	}
	if call.Body.Len() > 0 {
		outgoing.Body = call.Body.Reader()
		outgoing.ContentLength = call.Body.Len()
	}
	setHeaders(outgoing.Header, call, time.Now())
	return outgoing, nil
}

// serverPath returns the path on the backend server that serves the call.
func serverPath(call *filter.Call) string {
	switch call.Kind {
	case request.KindChat:
		return backendapi.PathChat
	case request.KindCompletion:
		return backendapi.PathCompletions
	}
	return call.Path
}

// forwardedHeaders returns the names of the caller's headers that are sent on to
// plain services. Engines receive none of them.
func forwardedHeaders() []string {
	return []string{"Accept", "Accept-Language", "Content-Type", request.IdempotencyKeyHeader}
}

// priority returns the value of backendapi.HeaderPriority, from 0 (lowest) to 9
// (highest). For engines, short prompts rank above all others.
func priority(call *filter.Call) int {
	if !call.Kind.ForEngine() {
		return call.Team.Priority
	}
	return place.EnginePriority(call.Inference.Class.Short, call.Team.Priority)
}

func setHeaders(header http.Header, call *filter.Call, now time.Time) {
	header.Set(backendapi.HeaderAttempt, call.Attempt.ID)
	header.Set(request.RequestIDHeader, call.ID)
	header.Set(backendapi.HeaderPriority, fmt.Sprint(priority(call)))
	header.Set(backendapi.HeaderBudget, fmt.Sprint(max(call.Deadline.Sub(now).Milliseconds(), 1)))
	if !call.Kind.ForEngine() {
		for _, name := range forwardedHeaders() {
			if values := call.HTTP.Header.Values(name); len(values) > 0 {
				header.Set(name, strings.Join(values, ", "))
			}
		}
		return
	}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(backendapi.HeaderPromptTokens, fmt.Sprint(call.Inference.PromptTokens))
	header.Set(backendapi.HeaderMemoryTokens, fmt.Sprint(call.Inference.PromptTokens+call.Inference.AnswerTokens))
	header.Set(backendapi.HeaderResumeFrom, fmt.Sprint(call.VerifiedTokens))
	if grouped, ok := call.Attempt.Placement.(place.GroupPlacement); ok {
		segments := grouped.Segments()
		last := len(segments) - 1
		setSegment(header, segments[last], kvHandles(segments[last], last))
	}
	if call.Inference.Adapter != "" {
		header.Set(backendapi.HeaderAdapter, call.Inference.Adapter)
	}
}
