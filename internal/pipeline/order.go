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

// Config holds the dependencies and settings of the filters of the request
// path.
type Config struct {
	Limiter limit.Limiter
	// Bodies is the memory pool for request bodies.
	Bodies *bodybuf.Pool
	// MaxInFlight is the maximum number of requests that are processed at the
	// same time.
	MaxInFlight int
	// Claims records idempotency keys. It may be nil on a system without
	// control VMs.
	Claims        ledger.Claimer
	EnginePlacer  place.Placer
	ServicePlacer place.Placer
	// IDGenerator makes the ids of attempts.
	IDGenerator *request.IDGenerator
	// PooledTransport reuses connections and carries the requests that may be
	// retried. FreshTransport opens a connection for each request and must never
	// send a request twice by itself.
	PooledTransport http.RoundTripper
	FreshTransport  http.RoundTripper
	Liveness        dispatch.Liveness
	Reclaimer       dispatch.Reclaimer
	Metrics         *observe.Metrics
	Logger          zerolog.Logger
}

// NewRequestPath returns the pipeline that each request of a caller passes.
// The filter "place" runs the filters after it once for each attempt.
func NewRequestPath(config Config) *Pipeline {
	replier := reply.New(config.Metrics, config.Logger)
	return New(
		identify.New(),
		limit.New(config.Limiter),
		classify.New(config.Bodies),
		admit.New(config.MaxInFlight),
		claim.New(config.Claims, replier),
		filterplace.New(filterplace.Config{
			EnginePlacer: config.EnginePlacer, ServicePlacer: config.ServicePlacer, AttemptIDs: config.IDGenerator,
			Budget: filterplace.NewBudget(), Metrics: config.Metrics, Logger: config.Logger,
		}),
		dispatch.New(dispatch.Config{
			PooledTransport: config.PooledTransport, FreshTransport: config.FreshTransport, Liveness: config.Liveness, Reclaimer: config.Reclaimer,
		}),
		verify.New(),
		replier,
	)
}
