// Package verify checks that an answer is whole and belongs to its attempt
// before any of it is handed on.
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
	errOtherAttempt = errors.New("the answer belongs to another attempt")
	errNoEnd        = errors.New("the answer ended without its end mark")
	errLength       = errors.New("the length of the answer is not the announced one")
)

// Filter verifies answers.
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

// broken is an attempt that failed after it was sent.
func broken(step request.Step, cause error) *request.AttemptError {
	return &request.AttemptError{Step: step, Sent: true, Cause: cause}
}

// refusal returns the error of an answer that states that nothing was run, or
// nil. The statement counts only when it names this attempt.
func refusal(call *filter.Call) *request.AttemptError {
	response := call.Attempt.Response
	if response.StatusCode < http.StatusBadRequest || response.Header.Get(backendapi.HeaderNotRun) != "1" {
		return nil
	}
	failure := broken(request.StepWait, fmt.Errorf("the backend server refused with status %d", response.StatusCode))
	failure.Refused = response.Header.Get(backendapi.HeaderAttempt) == call.Attempt.ID
	// One server may lack the model; what two find wrong is the request.
	failure.Permanent = finalStatus(response.StatusCode) && call.Attempt.Number > 1
	return failure
}

// finalStatus reports whether another server would refuse the request too.
func finalStatus(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
