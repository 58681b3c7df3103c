package pipeline

import (
	"net/http"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/bodybuf"
	"godwityoke.example/godwityoke/internal/filter/admit"
	"godwityoke.example/godwityoke/internal/filter/claim"
	"godwityoke.example/godwityoke/internal/filter/classify"
	"godwityoke.example/godwityoke/internal/filter/dispatch"
	"godwityoke.example/godwityoke/internal/filter/identify"
	"godwityoke.example/godwityoke/internal/filter/limit"
	filterplace "godwityoke.example/godwityoke/internal/filter/place"
	"godwityoke.example/godwityoke/internal/filter/reply"
	"godwityoke.example/godwityoke/internal/filter/verify"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// Config are what the filters of the request path work with.
type Config struct {
	Limiter     limit.Limiter
	Bodies      *bodybuf.Pool
	MaxInFlight int
	// Claims may be nil on a system without control VMs.
	Claims      ledger.Claims
	Engines     place.Placer
	Services    place.Placer
	Identifiers *request.IDGenerator
	Reused      http.RoundTripper
	Fresh       http.RoundTripper
	Liveness    dispatch.Liveness
	Reclaimer   dispatch.Reclaimer
	Metrics     *observe.Metrics
	Logger      zerolog.Logger
}

// NewRequestPath declares the order of the filters that each request passes.
// Place runs the filters after it once for each attempt.
func NewRequestPath(parts Config) *Pipeline {
	replier := reply.New(parts.Metrics, parts.Logger)
	return New(
		identify.New(),
		limit.New(parts.Limiter),
		classify.New(parts.Bodies),
		admit.New(parts.MaxInFlight),
		claim.New(parts.Claims, replier),
		filterplace.New(filterplace.Config{
			EnginePlacer: parts.Engines, ServicePlacer: parts.Services, AttemptIDs: parts.Identifiers,
			Budget: filterplace.NewBudget(), Metrics: parts.Metrics, Logger: parts.Logger,
		}),
		dispatch.New(dispatch.Config{
			PooledTransport: parts.Reused, FreshTransport: parts.Fresh, Liveness: parts.Liveness, Reclaimer: parts.Reclaimer,
		}),
		verify.New(),
		replier,
	)
}
