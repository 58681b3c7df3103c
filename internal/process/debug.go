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

// libraryLog turns the lines of the HTTP library into numbered events.
type libraryLog struct {
	logger zerolog.Logger
}

// Write implements io.Writer.
func (l libraryLog) Write(line []byte) (int, error) {
	observe.Log(l.logger, observe.HTTPServerError).Str("text", strings.TrimSpace(string(line))).Send()
	return len(line), nil
}

// addDebugRoutes adds what only operators may see to their listener.
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
	routes.HandleFunc("GET /readyz", p.writeReady)
}

func (p *Process) listRequests(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if p.entry == nil {
		_, _ = w.Write([]byte("[]\n"))
		return
	}
	_ = json.NewEncoder(w).Encode(p.entry.registry.List()) // the operator asks again
}

// listServers shows the backend servers that may get new work from this VM.
func (p *Process) listServers(w http.ResponseWriter, _ *http.Request) {
	servers := []place.Server{}
	if p.host.Fleet != nil {
		servers = append(servers, p.host.Fleet.All(time.Now())...)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(servers) // the operator asks again
}

func (p *Process) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", observe.PrometheusContentType)
	_ = p.host.Metrics.WritePrometheus(w) // the collector asks again
}

func (p *Process) writeReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.CheckReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
