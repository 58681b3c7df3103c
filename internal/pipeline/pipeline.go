// Package pipeline runs the filters of the request path in order.
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

// link returns a step that checks the deadline and runs one filter.
func link(f filter.Filter, next filter.Next) filter.Next {
	return func(ctx context.Context, call *filter.Call) error {
		if err := deadlineError(call, time.Now()); err != nil {
			return err
		}
		return f.Process(ctx, call, next)
	}
}

func deadlineError(call *filter.Call, now time.Time) error {
	if call.Deadline.IsZero() || now.Before(call.Deadline) {
		return nil
	}
	return request.Errorf(request.CodeDeadlineExceeded, call.Outcome(), "the request did not finish within its time limit")
}

// Run passes call through all filters.
func (p *Pipeline) Run(ctx context.Context, call *filter.Call) error {
	return p.first(ctx, call)
}
