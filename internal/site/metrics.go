package site

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/tcp"
)

// serveMetrics serves metrics in the Prometheus text format, and operators' calls by their paths, until ctx ends. The
// process runs without metrics if the listener can't be opened, for example because
// the port is in use; the error is only logged.
func serveMetrics(ctx context.Context, address string, metrics *observe.Metrics, operatorCalls map[string]http.Handler, logger zerolog.Logger) {
	listener, err := tcp.Listen(ctx, address)
	if err != nil {
		observe.Log(logger, observe.MetricsUnavailable).Str("address", address).Err(err).Send()
		return
	}
	mux := http.NewServeMux()
	for path, handler := range operatorCalls {
		mux.Handle(path, handler)
	}
	mux.HandleFunc(MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", observe.PrometheusContentType)
		if err := metrics.WritePrometheus(w); err != nil {
			observe.Log(logger, observe.MetricsUnavailable).Str("address", address).Err(err).Send()
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener) // returns when ctx ends
}
