// Package callers serves callers' HTTP requests on an entry VM: the
// OpenAI-compatible interface, plain services, the lookup of outcomes, and the
// health, readiness and metrics paths. It turns each request into a call, runs
// it through the request pipeline, and writes, logs and counts its result. The
// answers of calls that succeed are written by the pipeline's filters.
package callers

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/filter/identify"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pipeline"
	"godwityoke.example/godwityoke/internal/request"
)

// Config holds the dependencies and bounds of the handler.
type Config struct {
	Bundles     *bundle.Holder
	Pipeline    *pipeline.Pipeline
	IDGenerator *request.IDGenerator
	// Claims looks up the outcomes of idempotency keys. If it is nil, lookups
	// are answered as if the ledger were unreachable.
	Claims ledger.Claimer
	// CheckReady returns why this VM is not ready, or nil.
	CheckReady func() error
	// BodyTimeout bounds the time to read a request's body, also if the request
	// was refused.
	BodyTimeout time.Duration
	Metrics     *observe.Metrics
	Logger      zerolog.Logger
	// Registry holds the calls in progress.
	Registry *Registry
}

// servicesPrefix is the path prefix of plain services. The service's name and
// the path on its servers follow.
const servicesPrefix = "/services/"

type handler struct {
	Config
	identifyPipeline *pipeline.Pipeline
}

// NewHandler returns the handler of all routes for callers.
func NewHandler(config Config) http.Handler {
	h := &handler{Config: config, identifyPipeline: pipeline.New(identify.New())}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Logger.SetOutput(io.Discard)
	e.HTTPErrorHandler = h.routeError
	e.POST("/v1/completions", h.serve(request.KindCompletion))
	e.POST("/v1/chat/completions", h.serve(request.KindChat))
	e.GET("/v1/models", h.models)
	e.GET("/v1/outcomes/:key", h.outcome)
	e.Any(servicesPrefix+"*", h.serve(request.KindService))
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.ready)
	e.GET("/metrics", h.metrics)
	return limitBody(e, config.BodyTimeout)
}

// limitBody bounds the time to read each request's body. The bound also covers
// refused requests, because the HTTP library reads the rest of a body before
// it answers.
func limitBody(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // unsupported by the writers of some tests
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) ready(c echo.Context) error {
	if err := h.CheckReady(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *handler) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, observe.PrometheusContentType)
	return h.Metrics.WritePrometheus(c.Response())
}

// newCall returns the call for an HTTP request, or nil while no bundle is in force.
func (h *handler) newCall(c echo.Context, kind request.Kind) *filter.Call {
	accepted := h.Bundles.Current()
	if accepted == nil {
		return nil
	}
	call := &filter.Call{
		ID:       h.IDGenerator.Next(),
		Kind:     kind,
		Received: time.Now(),
		HTTP:     c.Request(),
		Writer:   c.Response().Writer,
		Bundle:   accepted,
	}
	if kind == request.KindService {
		rest := strings.TrimPrefix(c.Request().URL.Path, servicesPrefix)
		call.Service.Name, call.Path, _ = strings.Cut(rest, "/")
		call.Path = "/" + call.Path
	}
	return call
}

// serve returns the handler that runs calls of one kind through the pipeline.
func (h *handler) serve(kind request.Kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		call := h.newCall(c, kind)
		if call == nil {
			return h.writeNoBundle(c)
		}
		setStandardHeaders(call)
		h.Registry.add(call)
		defer h.Registry.remove(call)
		err := h.Pipeline.Run(c.Request().Context(), call)
		h.finish(call, err)
		return nil
	}
}

func setStandardHeaders(call *filter.Call) {
	header := call.Writer.Header()
	header.Set(request.RequestIDHeader, call.ID)
	header.Set(request.BundleVersionHeader, formatUint(call.Bundle.Version))
}
