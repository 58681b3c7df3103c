package place

import (
	"context"
	"errors"
	"time"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// noServerRetry is the Retry-After when no server is known.
const noServerRetry = 2 * time.Second

// ending turns the last failed attempt of a call into its error. WhyLast tells
// why no other attempt follows.
func ending(ctx context.Context, call *filter.Call, failure *request.AttemptError, whyLast error) error {
	outcome := call.Outcome()
	cause := errors.Join(failure, whyLast)
	if err := contextError(ctx, outcome); err != nil {
		return err.WithCause(cause)
	}
	code, message := request.CodeBackendFailed, "the backend server failed"
	switch {
	case outcome == request.Unknown:
		code, message = request.CodeOutcomeUnknown, "the call may or may not have run"
	case failure.Step == request.StepAnswer || failure.Step == request.StepEnd:
		code, message = request.CodeBackendIncomplete, "the answer of the backend server was not whole"
	}
	return request.Errorf(code, outcome, "%s", message).WithCause(cause)
}

// contextError returns the error of a call whose time is over or whose caller
// has left, or nil.
func contextError(ctx context.Context, outcome request.Outcome) *request.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Errorf(request.CodeDeadlineExceeded, outcome, "the request did not finish within its time limit")
	case ctx.Err() != nil:
		return request.Errorf(request.CodeCallerGone, outcome, "the caller closed the connection")
	}
	return nil
}

// refused turns a refusal of the placer into the error of the call.
func refused(ctx context.Context, call *filter.Call, last *request.AttemptError, err error) error {
	outcome := call.Outcome()
	if ended := contextError(ctx, outcome); ended != nil {
		return ended.WithCause(err)
	}
	if last != nil {
		return ending(ctx, call, last, err)
	}
	var refusal *place.RefusedError
	retryAfter := noServerRetry
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		retryAfter = refusal.RetryAfter
	}
	code, message := request.CodeOverloaded, "no backend server can finish the request in time"
	if errors.Is(err, place.ErrNoServer) {
		code, message = request.CodeNoBackendServer, "no backend server is available"
	}
	return request.Errorf(code, outcome, "%s", message).WithRetryAfter(retryAfter).WithCause(err)
}
