// Package place chooses a backend server for each attempt of a call and
// decides whether a failed attempt is followed by another.
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
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 8
	// retryPause separates attempts once every server failed the call.
	retryPause = 100 * time.Millisecond
)

// Reasons against another attempt.
var (
	errAttempts      = errors.New("the attempts of the request are used up")
	errFinal         = errors.New("another attempt would end the same way")
	errNotIdempotent = errors.New("the call is not idempotent and may have run")
	errBudget        = errors.New("the retry budget is used up")
)

// Config is what the filter works with.
type Config struct {
	EnginePlacer  place.Placer
	ServicePlacer place.Placer
	AttemptIDs    *request.IDGenerator
	Budget        *Budget
	Metrics       *observe.Metrics
	Logger        zerolog.Logger
}

// Filter runs the rest of the pipeline once for each attempt.
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
			return refused(ctx, call, last, err)
		}
		call.Attempt = &filter.Attempt{ID: attempt, Number: number, Placement: placement, Started: time.Now(), VerifiedBefore: call.VerifiedTokens}
		err = next(ctx, call)
		failure := attemptError(err)
		mayHaveRun := closeAttempt(call, failure)
		f.finish(ctx, call, err, mayHaveRun)
		if failure == nil {
			return f.ended(call, err)
		}
		f.logFailure(call, failure)
		if err := f.mayRetry(ctx, call, failure, number); err != nil {
			return ending(ctx, call, failure, err)
		}
		last = failure
		failed = append(failed, placement.Server().ID)
	}
}

func attemptError(err error) *request.AttemptError {
	var failure *request.AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return nil
}

// closeAttempt moves what is known of the attempt to the call, and reports
// whether the attempt may have been run.
func closeAttempt(call *filter.Call, failure *request.AttemptError) bool {
	mayHaveRun := call.Attempt.Sent
	if failure != nil {
		mayHaveRun = failure.MayHaveRun()
	}
	call.Attempt.Sent = false
	call.MayHaveRun = call.MayHaveRun || mayHaveRun
	return mayHaveRun
}

// place asks for a server that has not failed the call, and for any server
// when there is no other.
func (f *Filter) place(ctx context.Context, call *filter.Call, attempt string, failed []string) (place.Placement, error) {
	placer := f.ServicePlacer
	if call.Kind.ForEngine() {
		placer = f.EnginePlacer
	}
	asked := time.Now()
	defer func() { f.Metrics.Observe(observe.TimeInQueue, call.TeamName(), call.ClassName(), time.Since(asked)) }()
	placement, err := placer.Place(ctx, query(call, attempt, failed))
	if len(failed) == 0 || !errors.Is(err, place.ErrNoServer) {
		return placement, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(retryPause):
	}
	return placer.Place(ctx, query(call, attempt, nil))
}

func query(call *filter.Call, attempt string, failed []string) place.Query {
	asked := place.Query{Attempt: attempt, Team: call.Team.Name, Priority: call.Team.Priority, Deadline: call.Deadline, Exclude: failed}
	if !call.Kind.ForEngine() {
		asked.Model = call.Service.Name
		return asked
	}
	model := call.Inference
	asked.Model, asked.Adapter = model.Model.Name, model.Adapter
	asked.PromptTokens, asked.AnswerTokens = model.PromptTokens, model.AnswerTokens
	asked.Short = model.Class.Short
	asked.Blocks = backendapi.PrefixBlocks(model.Model.Name, model.Prefix, max(model.Model.BytesPerToken, 1))
	return asked
}

// finish returns the placement. The reclaimer asks the engine to free what an
// attempt that ended early may hold.
func (f *Filter) finish(ctx context.Context, call *filter.Call, err error, mayHaveRun bool) {
	attempt := call.Attempt
	result := place.AttemptResult{
		At: time.Now(), PromptTokens: attempt.PromptTokens, CachedTokens: attempt.CachedTokens,
		AnswerTokens: call.VerifiedTokens - attempt.VerifiedBefore,
	}
	if err != nil {
		result.Failed = ctx.Err() == nil && attemptError(err) != nil
		result.MemoryHeld = call.Kind.ForEngine() && mayHaveRun
	}
	attempt.Placement.Finish(result)
}

// ended accounts for a call that got its answer, or whose caller's side
// failed.
func (f *Filter) ended(call *filter.Call, err error) error {
	if err != nil {
		return err
	}
	f.Budget.RecordSuccess(call.Team.Name, call.Bundle.Bundle.Limits.RetryBudgetPercent)
	return nil
}

// mayRetry returns the reason against another attempt, or nil. Attempts that
// sent nothing and attempts that brought the answer forward cost nothing of the
// budget: neither can repeat work without bound.
func (f *Filter) mayRetry(ctx context.Context, call *filter.Call, failure *request.AttemptError, number int) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case number >= maxAttempts:
		return errAttempts
	case failure.Permanent:
		return errFinal
	case failure.MayHaveRun() && !call.Idempotent():
		return errNotIdempotent
	case !failure.Sent || failure.MadeProgress:
		return nil
	case !f.spend(call):
		return errBudget
	}
	return nil
}

// spend takes one retry of the budget.
func (f *Filter) spend(call *filter.Call) bool {
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
