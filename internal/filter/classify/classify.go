// Package classify reads and validates a request, and sets its model or operation,
// its prompt-length class and its deadline. It does not decode the prompt, apart from
// the beginning that is needed to find cached prefixes.
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

// noMemoryRetryAfter is the Retry-After when the memory for request bodies is used up.
const noMemoryRetryAfter = time.Second

// Filter sets Call.Body, Call.Inference or Call.Service, and Call.Deadline.
type Filter struct {
	pool *bodybuf.Pool
}

// New returns the filter. Bodies are read into buffers of pool. The filter sets no
// timeout for reading: the server that accepted the request has set one.
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
	timeout, err := classify(call)
	if err != nil {
		return err
	}
	if err := setDeadline(call, timeout); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return next(ctx, call)
}

// checkHeader refuses requests that are invalid by their header alone, before the
// body is read. For plain services it sets the operation.
func checkHeader(call *filter.Call) error {
	limits := call.Bundle.Bundle.Limits
	if call.HTTP.ContentLength > int64(limits.MaxBody) {
		return bodyTooLargeError(call)
	}
	if call.Kind == request.KindService {
		return setOperation(call)
	}
	mediaType, _, err := mime.ParseMediaType(call.HTTP.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "the content type must be application/json")
	}
	return nil
}

func bodyTooLargeError(call *filter.Call) error {
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

// bodyError returns the request error for an error of reading the body.
func bodyError(call *filter.Call, err error) error {
	switch {
	case errors.Is(err, bodybuf.ErrTooLarge):
		return bodyTooLargeError(call)
	case errors.Is(err, bodybuf.ErrNoMemory):
		return request.Errorf(request.CodeOverloaded, request.NotRun, "too many large requests are in progress").
			WithRetryAfter(noMemoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return request.Errorf(request.CodeBodyTimeout, request.NotRun, "the body did not arrive in time").WithCause(err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "the body ended early").WithCause(err)
	}
	return request.Errorf(request.CodeInvalidRequest, request.NotRun, "the body could not be read").WithCause(err)
}

// classify sets the model and the class of a call to an engine. It returns the time
// limit of the class or, for plain services, of the operation.
func classify(call *filter.Call) (time.Duration, error) {
	if call.Kind == request.KindService {
		return call.Service.Operation.TimeLimit.Std(), nil
	}
	if err := setModel(call); err != nil {
		return 0, err
	}
	return call.Inference.Class.TimeLimit.Std(), nil
}

// setDeadline sets the deadline to maxTimeout after the arrival of the request, or to
// the caller's shorter timeout. The caller's timeout must be at least the minimum of
// the bundle.
func setDeadline(call *filter.Call, maxTimeout time.Duration) error {
	timeout := maxTimeout
	if text := call.HTTP.Header.Get(request.DeadlineHeader); text != "" {
		requested, err := time.ParseDuration(text)
		minTimeout := call.Bundle.Bundle.Limits.MinTimeLimit.Std()
		if err != nil || requested < minTimeout || requested > maxTimeout {
			return request.Errorf(request.CodeDeadlineOutOfRange, request.NotRun,
				"%s must be a duration between %s and %s", request.DeadlineHeader, minTimeout, maxTimeout)
		}
		timeout = requested
	}
	call.Deadline = call.Received.Add(timeout)
	return nil
}
