// Package dispatch sends one attempt of a call to the backend server chosen
// for it and watches over it until it ends.
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

// drainTimeout bounds the wait for the end of a connection's message after the
// end mark, so that the connection can be used again.
const drainTimeout = 20 * time.Millisecond

// Liveness tells which incarnations of backend servers are alive.
type Liveness interface {
	// IsAlive reports whether the server is heard of and still runs the given
	// incarnation. Leaving servers are alive until they fall silent.
	IsAlive(serverID string, incarnation uint64, now time.Time) bool
}

// Reclaimer frees the engine memory of attempts that ended early.
type Reclaimer interface {
	// Begin notes that an attempt is in progress on an engine.
	Begin(server place.Server, attempt string)
	// End notes that an attempt ended. Unless it is released, the engine is
	// asked to cancel it until it confirms.
	End(server place.Server, attempt string, released bool)
}

// Config is what the filter works with.
type Config struct {
	// PooledTransport carries requests that may be attempted again.
	PooledTransport http.RoundTripper
	// FreshTransport opens a connection for each request. It must never send a request
	// twice by itself.
	FreshTransport http.RoundTripper
	Liveness       Liveness
	Reclaimer      Reclaimer
}

// Filter sends attempts.
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
	endGroup, err := f.prepareGroup(ctx, call)
	defer endGroup()
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
	f.Reclaimer.End(server, call.Attempt.ID, err == nil || neverHeld(err))
	return err
}

// neverHeld reports whether an attempt failed before the engine can have taken
// memory for it.
func neverHeld(err error) bool {
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
	sent = sent || call.Attempt.Sent // the other engines of a group
	call.Attempt.Sent = sent
	if err != nil {
		return &request.AttemptError{Step: step, Sent: sent, Cause: cause(ctx, err)}
	}
	defer response.Body.Close()
	call.Attempt.Response = response
	if err := next(ctx, call); err != nil {
		return withCause(ctx, call, err)
	}
	drain(response.Body)
	return nil
}

func (f *Filter) transport(call *filter.Call) http.RoundTripper {
	if call.Idempotent() {
		return f.PooledTransport
	}
	return f.FreshTransport
}

// cause prefers the reason for which the watch ended an attempt.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && !errors.Is(err, reason) {
		return fmt.Errorf("%w: %w", reason, err)
	}
	return err
}

func withCause(ctx context.Context, call *filter.Call, err error) error {
	var failure *request.AttemptError
	if errors.As(err, &failure) {
		failure.Cause = cause(ctx, failure.Cause)
		if _, grouped := call.Attempt.Placement.(place.GroupPlacement); grouped {
			failure.Refused = false // speaks for the last engine of a group only
		}
	}
	return err
}

// drain reads up to the end of the message for a short time. Closing the body
// earlier closes the connection.
func drain(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	var rest [64]byte
	_, _ = body.Read(rest[:])
}

// newRequest builds the request to the backend server. The body is the
// caller's, unchanged.
func newRequest(ctx context.Context, call *filter.Call) (*http.Request, error) {
	server := call.Attempt.Placement.Server()
	target := url.URL{Scheme: "http", Host: server.Address, Path: path(call)}
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

func path(call *filter.Call) string {
	switch call.Kind {
	case request.KindChat:
		return backendapi.PathChat
	case request.KindCompletion:
		return backendapi.PathCompletions
	}
	return call.Path
}

// forwarded lists the caller's headers that plain services receive.
func forwarded() []string {
	return []string{"Accept", "Accept-Language", "Content-Type", request.IdempotencyKeyHeader}
}

// priority returns the priority for the back end. An engine puts short prompts
// before all others.
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
		for _, name := range forwarded() {
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
		setSegment(header, segments[last], imports(segments[last], last))
	}
	if call.Inference.Adapter != "" {
		header.Set(backendapi.HeaderAdapter, call.Inference.Adapter)
	}
}
