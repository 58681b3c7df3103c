package pipeline_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/filter/claim"
	filterplace "godwityoke.example/godwityoke/internal/filter/place"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pipeline"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// sleepingFilter is a filter that sets Attempt.Sent to sent, sleeps for delay and then
// continues.
type sleepingFilter struct {
	sent  bool
	delay time.Duration
}

// Name implements filter.Filter.
func (s sleepingFilter) Name() string { return "stage" }

// Process implements filter.Filter.
func (s sleepingFilter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	call.Attempt.Sent = s.sent
	time.Sleep(s.delay)
	return next(ctx, call)
}

// fixedPlacer places each attempt on the server "one" and records the results of
// the attempts.
type fixedPlacer struct{ results []place.AttemptResult }

// Place implements place.Placer.
func (p *fixedPlacer) Place(context.Context, place.Query) (place.Placement, error) { return p, nil }

// Server implements place.Placement.
func (p *fixedPlacer) Server() place.Server { return place.Server{ID: "one"} }

// FirstToken implements place.Placement.
func (p *fixedPlacer) FirstToken(time.Time) {}

// Finish implements place.Placement.
func (p *fixedPlacer) Finish(result place.AttemptResult) { p.results = append(p.results, result) }

// TestDeadlineBetweenFilters lets the deadline pass between two filters, before
// and after the request was sent. The outcome in the caller's error must be the
// outcome that is recorded for the idempotency key.
func TestDeadlineBetweenFilters(t *testing.T) {
	for name, c := range map[string]struct {
		sent    bool
		outcome request.Outcome
	}{"before sending": {false, request.NotRun}, "after sending": {true, request.Unknown}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				claims, placer := newMemoryClaims(), &fixedPlacer{}
				httpRequest, err := http.NewRequest(http.MethodPost, bookPath, nil)
				require.NoError(t, err)
				httpRequest.Header.Set(request.IdempotencyKeyHeader, "k")
				call := &filter.Call{
					Kind: request.KindService, HTTP: httpRequest, Path: "/voyages", Deadline: time.Now().Add(time.Second),
					Bundle: &bundle.AcceptedBundle{Bundle: &bundle.Bundle{}}, Team: &bundle.Team{Name: "families"},
					Service: filter.Service{Name: "booking", Operation: &bundle.Operation{Name: "book"}},
				}
				path := pipeline.New(
					claim.New(claims, nil),
					filterplace.New(filterplace.Config{
						ServicePlacer: placer, AttemptIDs: request.NewIDGenerator(), Budget: filterplace.NewBudget(),
						Metrics: observe.NewMetrics(), Logger: zerolog.Nop(),
					}),
					sleepingFilter{sent: c.sent, delay: 2 * time.Second}, sleepingFilter{sent: c.sent},
				)
				var failure *request.Error
				require.ErrorAs(t, path.Run(t.Context(), call), &failure)
				require.Equal(t, request.CodeDeadlineExceeded, failure.Code)
				require.Equal(t, c.outcome, failure.Outcome)
				require.Len(t, placer.results, 1)
				for _, recorded := range claims.entries {
					require.Equal(t, c.outcome, recorded.record.Outcome)
				}
			})
		})
	}
}
