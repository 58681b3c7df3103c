// Package admit limits the number of requests that are in progress on this VM. It
// does not queue: a request above the limit is refused at once.
package admit

import (
	"context"
	"sync/atomic"
	"time"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// retryAfter is the Retry-After of a refusal.
	retryAfter = time.Second
	// shortReservePercent is the percentage of maxInFlight that is reserved for
	// short prompts and calls of plain services, so that long prompts cannot use
	// the whole limit.
	shortReservePercent = 20
)

// Filter refuses requests above the limit of the VM.
type Filter struct {
	maxInFlight int64
	inFlight    atomic.Int64
}

// New returns the filter. At most maxInFlight requests are in progress at a time.
func New(maxInFlight int) *Filter { return &Filter{maxInFlight: int64(maxInFlight)} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "admit" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.maxInFlightFor(call) {
		return request.Errorf(request.CodeOverloaded, request.NotRun, "too many requests are in progress").
			WithRetryAfter(retryAfter)
	}
	return next(ctx, call)
}

// maxInFlightFor returns the number of requests in progress, including call, above
// which call is refused.
func (f *Filter) maxInFlightFor(call *filter.Call) int64 {
	if call.Kind == request.KindService || call.Inference.Class.Short {
		return f.maxInFlight
	}
	return f.maxInFlight * (100 - shortReservePercent) / 100
}
