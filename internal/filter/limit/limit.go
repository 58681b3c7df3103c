// Package limit enforces the rate limits of teams. It asks a Limiter, which counts the
// requests and tokens, before the body of a request is read.
package limit

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// assumedBytesPerToken is the token length used to estimate tokens before the model is
// known.
const assumedBytesPerToken = 4

// Limiter decides whether a team may start a request.
type Limiter interface {
	// Admit counts a request of team with the estimated number of tokens at now.
	// If ok is true, the caller must call release at the end of the request.
	// Otherwise retryAfter is the time after which the request may be admitted.
	Admit(team *bundle.Team, tokens int64, now time.Time) (release func(), retryAfter time.Duration, ok bool)
}

// Filter refuses requests that exceed the limits of their team.
type Filter struct {
	limiter Limiter
}

// New returns a filter that asks limiter.
func New(limiter Limiter) *Filter { return &Filter{limiter: limiter} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "limit" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	release, retryAfter, ok := f.limiter.Admit(call.Team, estimateTokens(call), time.Now())
	if !ok {
		return request.Errorf(request.CodeRateLimited, request.NotRun, "the team %s is at its limit", call.Team.Name).
			WithRetryAfter(retryAfter)
	}
	defer release()
	return next(ctx, call)
}

// estimateTokens estimates the tokens of the call from its Content-Length, since the
// body has not been read yet. A body of unknown length counts as one of the maximum
// length.
func estimateTokens(call *filter.Call) int64 {
	length := call.HTTP.ContentLength
	if length < 0 {
		length = int64(call.Bundle.Bundle.Limits.MaxBody)
	}
	return length / assumedBytesPerToken
}
