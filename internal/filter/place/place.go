// Package place obtains a placement for each attempt of a call, runs the rest of
// the pipeline for the attempt, and decides whether a failed attempt is retried.
// Which server a placement names is decided by a place.Placer; this package
// contains a simple one, LeastInFlight.
package place

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// maxAttempts is the maximum number of attempts of one call.
	maxAttempts = 8
	// retryDelay is the wait before a server is tried again after an attempt on
	// every available server failed.
	retryDelay = 100 * time.Millisecond
)

// Reasons why a failed attempt is not retried. They are logged as the cause.
var (
	errMaxAttempts   = errors.New("the maximum number of attempts is reached")
	errPermanent     = errors.New("another attempt would fail the same way")
	errNotIdempotent = errors.New("the call is not idempotent and may have run")
	errRetryBudget   = errors.New("the retry budget is used up")
)

// Config holds the dependencies of the filter.
type Config struct {
	EnginePlacer  place.Placer
	ServicePlacer place.Placer
	AttemptIDs    *request.IDGenerator
	Budget        *Budget
	Metrics       *observe.Metrics
	Logger        zerolog.Logger
}

// Filter runs the rest of the pipeline once for each attempt of a call.
type Filter struct {
	Config
}

// New returns the filter.
func New(config Config) *Filter { return &Filter{Config: config} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "place" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	var failed []string
	var last *request.AttemptError
	for number := 1; ; number++ {
		attempt := f.AttemptIDs.Next()
		placement, err := f.place(ctx, call, attempt, failed)
		if err != nil {
			return placementError(ctx, call, last, err)
		}
		call.Attempt = &filter.Attempt{ID: attempt, Number: number, Placement: placement, Started: time.Now(), VerifiedBefore: call.VerifiedTokens}
		err = next(ctx, call)
		failure := asAttemptError(err)
		mayHaveRun := recordAttemptEnd(call, failure)
		f.finishPlacement(ctx, call, err, mayHaveRun)
		if failure == nil {
			return f.finishCall(call, err)
		}
		f.logFailure(call, failure)
		if err := f.checkRetry(ctx, call, failure, number); err != nil {
			return callError(ctx, call, failure, err)
		}
		last = failure
		failed = append(failed, placement.Server().ID)
	}
}

// asAttemptError returns the AttemptError in err, or nil.
func asAttemptError(err error) *request.AttemptError {
	var failure *request.AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return nil
}

// recordAttemptEnd updates call.MayHaveRun at the end of an attempt, and reports
// whether a backend server may have run the attempt.
func recordAttemptEnd(call *filter.Call, failure *request.AttemptError) bool {
	mayHaveRun := call.Attempt.Sent
	if failure != nil {
		mayHaveRun = failure.MayHaveRun()
	}
	call.Attempt.Sent = false
	call.MayHaveRun = call.MayHaveRun || mayHaveRun
	return mayHaveRun
}

// place obtains a placement on a server that has not failed the call. When there is
// none, it waits for retryDelay and accepts any server. The time until it returns
// is measured as the time in queue.
func (f *Filter) place(ctx context.Context, call *filter.Call, attempt string, failed []string) (place.Placement, error) {
	placer := f.ServicePlacer
	if call.Kind.ForEngine() {
		placer = f.EnginePlacer
	}
	queuedAt := time.Now()
	defer func() {
		f.Metrics.Observe(observe.QueueTime, call.TeamName(), call.ClassName(), time.Since(queuedAt))
	}()
	placement, err := placer.Place(ctx, newQuery(call, attempt, failed))
	if len(failed) == 0 || !errors.Is(err, place.ErrNoServer) {
		return placement, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(retryDelay):
	}
	return placer.Place(ctx, newQuery(call, attempt, nil))
}

// newQuery describes an attempt of call to the placer; failed lists the servers to
// exclude. For plain services, Model is the name of the service.
func newQuery(call *filter.Call, attempt string, failed []string) place.Query {
	query := place.Query{Attempt: attempt, Team: call.Team.Name, Priority: call.Team.Priority, Deadline: call.Deadline, Exclude: failed}
	if !call.Kind.ForEngine() {
		query.Model = call.Service.Name
		return query
	}
	inference := call.Inference
	query.Model, query.Adapter = inference.Model.Name, inference.Adapter
	query.PromptTokens, query.AnswerTokens = inference.PromptTokens, inference.AnswerTokens
	query.Short = inference.Class.Short
	query.Blocks = backendapi.PrefixBlocks(inference.Model.Name, inference.Prefix, max(inference.Model.BytesPerToken, 1))
	return query
}

// finishPlacement reports the result of the attempt and releases its placement.
// Engine memory that an attempt still holds after it ended early is freed by the
// reclaimer, not here.
func (f *Filter) finishPlacement(ctx context.Context, call *filter.Call, err error, mayHaveRun bool) {
	attempt := call.Attempt
	result := place.AttemptResult{
		At: time.Now(), PromptTokens: attempt.PromptTokens, CachedTokens: attempt.CachedTokens,
		AnswerTokens: call.VerifiedTokens - attempt.VerifiedBefore,
	}
	if err != nil {
		result.Failed = ctx.Err() == nil && asAttemptError(err) != nil
		result.MemoryHeld = call.Kind.ForEngine() && mayHaveRun
	}
	attempt.Placement.Finish(result)
}

// finishCall ends a call whose last attempt did not fail. It records an answered call
// in the retry budget; an error, which is not the backend server's, is returned.
func (f *Filter) finishCall(call *filter.Call, err error) error {
	if err != nil {
		return err
	}
	f.Budget.RecordSuccess(call.Team.Name, call.Bundle.Bundle.Limits.RetryBudgetPercent)
	return nil
}

// checkRetry returns the reason why the call must not be retried, or nil. A retry
// after an attempt that sent nothing, or that delivered verified tokens, is not
// taken from the budget: neither can repeat work without bound.
func (f *Filter) checkRetry(ctx context.Context, call *filter.Call, failure *request.AttemptError, number int) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case number >= maxAttempts:
		return errMaxAttempts
	case failure.Permanent:
		return errPermanent
	case failure.MayHaveRun() && !call.Idempotent():
		return errNotIdempotent
	case !failure.Sent || failure.MadeProgress:
		return nil
	case !f.spendRetry(call):
		return errRetryBudget
	}
	return nil
}

// spendRetry takes one retry from the budget and reports whether there was one.
func (f *Filter) spendRetry(call *filter.Call) bool {
	allowed := f.Budget.TrySpend(call.Team.Name, time.Now())
	result := "refused"
	if allowed {
		result = "spent"
	}
	f.Metrics.Counter("godwityoke_retry_budget_total", observe.Label{Name: "result", Value: result}).Inc(1)
	return allowed
}

func (f *Filter) logFailure(call *filter.Call, failure *request.AttemptError) {
	f.Metrics.Counter("godwityoke_attempt_failures_total", observe.Label{Name: "step", Value: string(failure.Step)}).Inc(1)
	observe.Log(f.Logger, observe.AttemptFailed).
		Str("request", call.ID).Str("attempt", call.Attempt.ID).Int("number", call.Attempt.Number).
		Str("server", call.Attempt.Placement.Server().ID).Str("step", string(failure.Step)).
		Bool("sent", failure.Sent).Bool("refused", failure.Refused).
		Int64("verified_tokens", call.VerifiedTokens).Err(failure.Cause).Send()
}
