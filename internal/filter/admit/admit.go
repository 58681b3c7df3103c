// Package admit bounds the requests that this VM has in progress.
package admit

import (
	"context"
	"sync/atomic"
	"time"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// retryAfter is the Retry-After of a full VM.
	retryAfter = time.Second
	// reservePercent of the places serve short prompts and calls of plain
	// services only.
	reservePercent = 20
)

// Filter refuses requests beyond the VM's bound.
type Filter struct {
	limit    int64
	inFlight atomic.Int64
}

// New returns the filter with the bound on requests in progress.
func New(limit int) *Filter { return &Filter{limit: int64(limit)} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "admit" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.limitFor(call) {
		return request.Errorf(request.CodeOverloaded, request.NotRun, "too many requests are in progress").
			WithRetryAfter(retryAfter)
	}
	return next(ctx, call)
}

func (f *Filter) limitFor(call *filter.Call) int64 {
	if call.Kind == request.KindService || call.Inference.Class.Short {
		return f.limit
	}
	return f.limit * (100 - reservePercent) / 100
}
