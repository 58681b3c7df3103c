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

// stage is a filter that sets the Sent mark of the attempt and then sleeps for
// a while.
type stage struct {
	sent  bool
	delay time.Duration
}

// Name implements filter.Filter.
func (s stage) Name() string { return "stage" }

// Process implements filter.Filter.
func (s stage) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	call.Attempt.Sent = s.sent
	time.Sleep(s.delay)
	return next(ctx, call)
}

// onePlacer places each attempt on the server "one" and records the results of
// the attempts.
type onePlacer struct{ results []place.AttemptResult }

// Place implements place.Placer.
func (p *onePlacer) Place(context.Context, place.Query) (place.Placement, error) { return p, nil }

// Server implements place.Placement.
func (p *onePlacer) Server() place.Server { return place.Server{ID: "one"} }

// FirstToken implements place.Placement.
func (p *onePlacer) FirstToken(time.Time) {}

// Finish implements place.Placement.
func (p *onePlacer) Finish(result place.AttemptResult) { p.results = append(p.results, result) }

// TestDeadlineBetweenFilters lets the deadline pass between two filters, before
// and after the request was sent. The outcome in the caller's error must be the
// one that is recorded for the key.
func TestDeadlineBetweenFilters(t *testing.T) {
	for name, c := range map[string]struct {
		sent    bool
		outcome request.Outcome
	}{"before sending": {false, request.NotRun}, "after sending": {true, request.Unknown}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				claims, placer := newMemoryClaims(), &onePlacer{}
				outgoing, err := http.NewRequest(http.MethodPost, bookPath, nil)
				require.NoError(t, err)
				outgoing.Header.Set(request.IdempotencyKeyHeader, "k")
				call := &filter.Call{
					Kind: request.KindService, HTTP: outgoing, Path: "/voyages", Deadline: time.Now().Add(time.Second),
					Bundle: &bundle.AcceptedBundle{Bundle: &bundle.Bundle{}}, Team: &bundle.Team{Name: "families"},
					Service: filter.Service{Name: "booking", Operation: &bundle.Operation{Name: "book"}},
				}
				path := pipeline.New(
					claim.New(claims, nil),
					filterplace.New(filterplace.Config{
						ServicePlacer: placer, AttemptIDs: request.NewIDGenerator(), Budget: filterplace.NewBudget(),
						Metrics: observe.NewMetrics(), Logger: zerolog.Nop(),
					}),
					stage{sent: c.sent, delay: 2 * time.Second}, stage{sent: c.sent},
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
