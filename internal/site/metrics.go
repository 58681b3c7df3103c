package site

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/tcp"
)

// serveMetrics serves metrics in the Prometheus text format until ctx ends. A
// process works without them: a port that is taken is only logged.
func serveMetrics(ctx context.Context, address string, metrics *observe.Metrics, logger zerolog.Logger) {
	listener, err := tcp.Listen(ctx, address)
	if err != nil {
		observe.Log(logger, observe.MetricsUnavailable).Str("address", address).Err(err).Send()
		return
	}
	routes := http.NewServeMux()
	routes.HandleFunc(MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", observe.PrometheusContentType)
		if err := metrics.WritePrometheus(w); err != nil {
			observe.Log(logger, observe.MetricsUnavailable).Str("address", address).Err(err).Send()
		}
	})
	server := &http.Server{Handler: routes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	_ = server.Serve(listener) // ends with the server
}
