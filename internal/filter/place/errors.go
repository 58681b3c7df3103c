package place

import (
	"context"
	"errors"
	"time"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// noServerRetryAfter is the Retry-After of a refused placement whose error has none,
// such as place.ErrNoServer.
const noServerRetryAfter = 2 * time.Second

// callError returns the error of a call whose last attempt failed with failure;
// noRetry is the reason why it is not retried.
func callError(ctx context.Context, call *filter.Call, failure *request.AttemptError, noRetry error) error {
	outcome := call.Outcome()
	cause := errors.Join(failure, noRetry)
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

// contextError returns the error of a call whose deadline has passed or whose caller
// disconnected, or nil.
func contextError(ctx context.Context, outcome request.Outcome) *request.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Errorf(request.CodeDeadlineExceeded, outcome, "the request did not finish within its time limit")
	case ctx.Err() != nil:
		return request.Errorf(request.CodeCallerGone, outcome, "the caller closed the connection")
	}
	return nil
}

// placementError returns the error of a call that the placer refused with err. After
// a failed attempt, last, that failure decides the error code.
func placementError(ctx context.Context, call *filter.Call, last *request.AttemptError, err error) error {
	outcome := call.Outcome()
	if expired := contextError(ctx, outcome); expired != nil {
		return expired.WithCause(err)
	}
	if last != nil {
		return callError(ctx, call, last, err)
	}
	var refusal *place.RefusedError
	retryAfter := noServerRetryAfter
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		retryAfter = refusal.RetryAfter
	}
	code, message := request.CodeOverloaded, "no backend server can finish the request in time"
	if errors.Is(err, place.ErrNoServer) {
		code, message = request.CodeNoBackendServer, "no backend server is available"
	}
	return request.Errorf(code, outcome, "%s", message).WithRetryAfter(retryAfter).WithCause(err)
}
