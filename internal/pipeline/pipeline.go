// Package pipeline chains the filters of the request path and fixes their
// order. It checks the deadline of a request before each filter; everything
// else about a request is decided by the filters.
package pipeline

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// Pipeline is a chain of filters. It is safe for concurrent use.
type Pipeline struct {
	first filter.Next
}

// New chains filters in the given order.
func New(filters ...filter.Filter) *Pipeline {
	next := func(context.Context, *filter.Call) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		next = link(filters[i], next)
	}
	return &Pipeline{first: next}
}

// link returns a function that checks the deadline of a call and then runs f,
// which continues with next.
func link(f filter.Filter, next filter.Next) filter.Next {
	return func(ctx context.Context, call *filter.Call) error {
		if err := deadlineError(call, time.Now()); err != nil {
			return err
		}
		return f.Process(ctx, call, next)
	}
}

// deadlineError returns an error with the current outcome of call when the deadline
// of call has passed at now, and nil otherwise. A zero deadline never passes.
func deadlineError(call *filter.Call, now time.Time) error {
	if call.Deadline.IsZero() || now.Before(call.Deadline) {
		return nil
	}
	return request.Errorf(request.CodeDeadlineExceeded, call.Outcome(), "the request did not finish within its time limit")
}

// Run passes call through all filters and returns the first error. If the deadline
// of call has passed before a filter, the error is a *request.Error of code
// request.CodeDeadlineExceeded.
func (p *Pipeline) Run(ctx context.Context, call *filter.Call) error {
	return p.first(ctx, call)
}
