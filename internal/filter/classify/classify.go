// Package classify reads and checks a request, and sets its model or
// operation, its prompt-length class and its deadline.
package classify

import (
	"context"
	"errors"
	"io"
	"mime"
	"os"
	"time"

	"godwityoke.example/godwityoke/internal/bodybuf"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// noMemoryRetry is the Retry-After when the memory for bodies is used up.
const noMemoryRetry = time.Second

// Filter fills Call.Body, Call.Inference or Call.Service, and Call.Deadline.
type Filter struct {
	pool *bodybuf.Pool
}

// New returns the filter. Bodies are read into buffers of pool; the callers'
// side has bounded the time.
func New(pool *bodybuf.Pool) *Filter {
	return &Filter{pool: pool}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "classify" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	if err := checkHeader(call); err != nil {
		return err
	}
	if err := f.readBody(call); err != nil {
		return err
	}
	defer call.Body.Release()
	limit, err := classify(call)
	if err != nil {
		return err
	}
	if err := setDeadline(call, limit); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return next(ctx, call)
}

// checkHeader refuses what can be told to be wrong before the body is read.
func checkHeader(call *filter.Call) error {
	limits := call.Bundle.Bundle.Limits
	if call.HTTP.ContentLength > int64(limits.MaxBody) {
		return tooLarge(call)
	}
	if call.Kind == request.KindService {
		return findOperation(call)
	}
	mediaType, _, err := mime.ParseMediaType(call.HTTP.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "the content type must be application/json")
	}
	return nil
}

func tooLarge(call *filter.Call) error {
	return request.Errorf(request.CodeBodyTooLarge, request.NotRun, "the body is larger than %d bytes", call.Bundle.Bundle.Limits.MaxBody)
}

func (f *Filter) readBody(call *filter.Call) error {
	body, err := f.pool.Read(call.HTTP.Body, call.HTTP.ContentLength, int64(call.Bundle.Bundle.Limits.MaxBody))
	if err != nil {
		return bodyError(call, err)
	}
	call.Body = body
	return nil
}

func bodyError(call *filter.Call, err error) error {
	switch {
	case errors.Is(err, bodybuf.ErrTooLarge):
		return tooLarge(call)
	case errors.Is(err, bodybuf.ErrNoMemory):
		return request.Errorf(request.CodeOverloaded, request.NotRun, "too many large requests are in progress").
			WithRetryAfter(noMemoryRetry)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return request.Errorf(request.CodeBodyTimeout, request.NotRun, "the body did not arrive in time").WithCause(err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "the body ended early").WithCause(err)
	}
	return request.Errorf(request.CodeInvalidRequest, request.NotRun, "the body could not be read").WithCause(err)
}

// classify returns the longest time that the call may take.
func classify(call *filter.Call) (time.Duration, error) {
	if call.Kind == request.KindService {
		return call.Service.Operation.TimeLimit.Std(), nil
	}
	if err := setModel(call); err != nil {
		return 0, err
	}
	return call.Inference.Class.TimeLimit.Std(), nil
}

// setDeadline applies the caller's time limit within the allowed range.
func setDeadline(call *filter.Call, longest time.Duration) error {
	limit := longest
	if text := call.HTTP.Header.Get(request.DeadlineHeader); text != "" {
		asked, err := time.ParseDuration(text)
		shortest := call.Bundle.Bundle.Limits.MinTimeLimit.Std()
		if err != nil || asked < shortest || asked > longest {
			return request.Errorf(request.CodeDeadlineOutOfRange, request.NotRun,
				"%s must be a duration between %s and %s", request.DeadlineHeader, shortest, longest)
		}
		limit = asked
	}
	call.Deadline = call.Received.Add(limit)
	return nil
}
