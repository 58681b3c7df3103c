// Package verify checks that an answer belongs to its attempt and is complete. No part
// of an answer reaches the reply filter before it is verified: for engines each chunk,
// for plain services the complete answer.
package verify

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

var (
	errOtherAttempt   = errors.New("the answer belongs to another attempt")
	errNoEndMark      = errors.New("the answer ended without an end mark")
	errLengthMismatch = errors.New("the length of the answer differs from the announced length")
)

// Filter verifies answers. It has no state.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "verify" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	if call.Kind.ForEngine() {
		return verifyEngine(ctx, call, next)
	}
	return verifyService(ctx, call, next)
}

// sentFailure returns the error of an attempt that failed after it was sent.
func sentFailure(step request.Step, cause error) *request.AttemptError {
	return &request.AttemptError{Step: step, Sent: true, Cause: cause}
}

// refusalFailure returns the error of a response that states that nothing was run, or
// nil for other responses. AttemptError.Refused is set only if the response names this
// attempt.
func refusalFailure(call *filter.Call) *request.AttemptError {
	response := call.Attempt.Response
	if response.StatusCode < http.StatusBadRequest || response.Header.Get(backendapi.HeaderNotRun) != "1" {
		return nil
	}
	failure := sentFailure(request.StepWait, fmt.Errorf("the backend server refused with status %d", response.StatusCode))
	failure.Refused = response.Header.Get(backendapi.HeaderAttempt) == call.Attempt.ID
	// The first server may refuse because it lacks the model. When a later one
	// refuses too, the request itself is at fault.
	failure.Permanent = isPermanentStatus(response.StatusCode) && call.Attempt.Number > 1
	return failure
}

// isPermanentStatus reports whether another server is expected to refuse the request,
// too: any 4xx status except 408 and 429.
func isPermanentStatus(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
