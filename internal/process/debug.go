package process

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
)

// httpServerLog logs each error line of net/http servers as an HTTPServerError event.
type httpServerLog struct {
	logger zerolog.Logger
}

// Write implements io.Writer.
func (l httpServerLog) Write(line []byte) (int, error) {
	observe.Log(l.logger, observe.HTTPServerError).Str("text", strings.TrimSpace(string(line))).Send()
	return len(line), nil
}

// addDebugRoutes adds the profiling, debug, metrics and health endpoints to the
// operators' listener. They must not be reachable for callers.
func (p *Process) addDebugRoutes() {
	routes := p.host.OperatorMux
	routes.HandleFunc("/debug/pprof/", pprof.Index)
	routes.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	routes.HandleFunc("/debug/pprof/profile", pprof.Profile)
	routes.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	routes.HandleFunc("/debug/pprof/trace", pprof.Trace)
	routes.HandleFunc("GET /debug/requests", p.listRequests)
	routes.HandleFunc("GET /debug/servers", p.listServers)
	routes.HandleFunc("GET /metrics", p.writeMetrics)
	routes.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	routes.HandleFunc("GET /readyz", p.writeReadiness)
}

// listRequests writes the requests in progress on this VM, as JSON.
func (p *Process) listRequests(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if p.entry == nil {
		_, _ = w.Write([]byte("[]\n"))
		return
	}
	_ = json.NewEncoder(w).Encode(p.entry.registry.List()) // a failed write means that the client disconnected
}

// listServers writes the backend servers that accept new work from this VM, as JSON.
func (p *Process) listServers(w http.ResponseWriter, _ *http.Request) {
	servers := []place.Server{}
	if p.host.Fleet != nil {
		servers = append(servers, p.host.Fleet.All(time.Now())...)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(servers) // a failed write means that the client disconnected
}

func (p *Process) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", observe.PrometheusContentType)
	_ = p.host.Metrics.WritePrometheus(w) // a failed write means that the collector disconnected
}

func (p *Process) writeReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := p.CheckReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
