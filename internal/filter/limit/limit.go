// Package limit holds each team to the rates of its bundle.
package limit

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// assumedBytesPerToken converts a body length to tokens before the model is
// known.
const assumedBytesPerToken = 4

// Limiter decides whether a team may start a request.
type Limiter interface {
	// Admit counts a request of about tokens tokens at now. When ok, release
	// is called at the end of the request; otherwise retryAfter tells when
	// the same request may pass.
	Admit(team *bundle.Team, tokens int64, now time.Time) (release func(), retryAfter time.Duration, ok bool)
}

// Filter refuses requests beyond a team's limits.
type Filter struct {
	limiter Limiter
}

// New returns the filter with its limiter.
func New(limiter Limiter) *Filter { return &Filter{limiter: limiter} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "limit" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	release, retryAfter, ok := f.limiter.Admit(call.Team, estimatedTokens(call), time.Now())
	if !ok {
		return request.Errorf(request.CodeRateLimited, request.NotRun, "the team %s is at its limit", call.Team.Name).
			WithRetryAfter(retryAfter)
	}
	defer release()
	return next(ctx, call)
}

// estimatedTokens works from the announced length: the body has not been read
// yet. A body of unknown length counts as the longest one.
func estimatedTokens(call *filter.Call) int64 {
	length := call.HTTP.ContentLength
	if length < 0 {
		length = int64(call.Bundle.Bundle.Limits.MaxBody)
	}
	return length / assumedBytesPerToken
}
