package site

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/gateway"
	"godwityoke.example/godwityoke/internal/h1"
	"godwityoke.example/godwityoke/internal/hub"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/retrybudget"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/tcp"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// headerTimeout bounds the header of a request on any listener, unless the
	// route table gives callers another bound.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections without a request, unless the route table
	// gives callers another bound.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes and maxBodyBytes bound a caller's request unless the route
	// table does.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// connectTimeout bounds a connection to a backend server: twenty times the
	// way to another zone and back. A lost opening packet is repeated after a
	// second, later than another server answers.
	connectTimeout = 250 * time.Millisecond
	// maxServerIdle is how long a connection to a backend server is kept.
	maxServerIdle = 4 * time.Second
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = time.Second
	// stopMargin is how much sooner than its limit a planned stop ends.
	stopMargin = 400 * time.Millisecond
	// quietBeforeExit is how long a stopping VM must have had no request.
	quietBeforeExit = 700 * time.Millisecond
	// balancerWait is how long callers may still be sent to a VM that is no
	// longer ready.
	balancerWait = 2500 * time.Millisecond
)

// EntryAdapter holds what the platform supplies to an entry VM.
type EntryAdapter struct {
	// NewBackendClient returns the client of backend servers from one HTTP client for
	// requests and one for orders.
	NewBackendClient func(requests, orders *h1.Client) BackendClient
	// EchoHeader is the header that backend servers repeat.
	EchoHeader string
	// NewCallerHandler returns the handler of the callers' listener.
	NewCallerHandler func(CallerOptions) http.Handler
	// NewReadinessHandler returns the handler that tells whether callers may be sent here.
	NewReadinessHandler func(ready func() bool) http.Handler
}

// BackendClient sends requests and orders to backend servers.
type BackendClient interface {
	gateway.Backend
	gateway.Memory
}

// CallerOptions are what the callers' handler works with.
type CallerOptions struct {
	Gateway *gateway.Gateway
	// Limits returns what callers may send now.
	Limits func() routes.Limits
	// BodyTimeout bounds the reading of a body.
	BodyTimeout time.Duration
	// IsStopping reports whether connections are to be closed after their answer.
	IsStopping func() bool
}

// Entry is the process of an entry VM.
type Entry struct {
	settings *Settings
	logger   zerolog.Logger
	link     *hub.Link
	gateway  *gateway.Gateway
	client   *h1.Client
	orders   *h1.Client
	metrics  *observe.Metrics
	stopping atomic.Bool
	// stopAt is when a planned stop ends at the latest, in Unix nanoseconds.
	stopAt atomic.Int64
	// lastRequest is when a request last arrived, in Unix nanoseconds.
	lastRequest atomic.Int64
	running     sync.WaitGroup
}

// RunEntry runs an entry VM until ctx ends.
func RunEntry(ctx context.Context, settings *Settings, codec Codec, parts EntryAdapter, logger zerolog.Logger) error {
	seeds, err := settings.SeedAddresses()
	if err != nil {
		return err
	}
	e := &Entry{settings: settings, logger: logger, metrics: observe.NewMetrics()}
	incarnation := uint64(time.Now().UnixNano())
	pool := transport.NewPool(transport.PoolOptions{Identity: transport.Identity{Cluster: clusterName, VM: settings.VM}, Source: settings.Bind})
	defer pool.Close()
	e.client = h1.NewClient(h1.Options{ConnectTimeout: connectTimeout, SourceIP: settings.Bind, MaxIdleTime: maxServerIdle, EchoHeader: parts.EchoHeader})
	e.orders = h1.NewClient(h1.Options{ConnectTimeout: connectTimeout, SourceIP: settings.Bind, MaxIdleTime: maxServerIdle})
	calls := parts.NewBackendClient(e.client, e.orders)
	e.link = hub.NewLink(hub.LinkOptions{
		VM: settings.VM, Zone: settings.Zone, Incarnation: incarnation, Seeds: seeds, Pool: pool, Decode: codec.DecodeRoutes,
		UnresponsiveAfter: settings.silentAfter(), ExpireAfter: settings.forgetAfter(), Logger: logger, OnServerGone: e.forget,
	})
	e.gateway = gateway.New(gateway.Options{
		Table: e.link.Table, Placer: e.link, Budget: newSharedBudget(settings, e.link.EntryVMCount), Servers: e.link,
		Backend: calls, Memory: calls, Zone: settings.Zone, Incarnation: incarnation, Logger: logger, Metrics: e.metrics,
		StopsIn: e.stopsIn,
	})
	return e.run(ctx, parts)
}

func (e *Entry) run(ctx context.Context, parts EntryAdapter) error {
	callers, err := tcp.Listen(ctx, e.settings.Callers)
	if err != nil {
		return err
	}
	readiness, err := tcp.Listen(ctx, e.settings.Readiness)
	if err != nil {
		_ = callers.Close()
		return err
	}
	handler := parts.NewCallerHandler(CallerOptions{Gateway: e.gateway, Limits: e.limits, BodyTimeout: bodyTimeout, IsStopping: e.stopping.Load})
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.lastRequest.Store(time.Now().UnixNano())
		handler.ServeHTTP(w, r)
	})
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server := newCallerServers(callers, counted, e.limits)
	e.running.Go(func() { server.run(background) })
	ready := e.serve(readiness, parts.NewReadinessHandler(func() bool { return !e.stopping.Load() && e.link.IsReady() }))
	e.running.Go(func() { e.link.Run(background) })
	e.running.Go(func() { e.sweep(background) })
	e.running.Go(func() { serveMetrics(background, e.settings.MetricsAddress(), e.metrics, e.logger) })
	observe.Log(e.logger, observe.ProcessStarted).Str("callers", e.settings.Callers).Strs("seeds", e.settings.Seeds).Send()
	<-ctx.Done()
	observe.Log(e.logger, observe.ProcessStopping).Int("in_progress", e.gateway.InFlight()).Send()
	e.drain(time.Now(), server)
	cut := e.gateway.InFlight()
	server.close()
	_ = ready.Close()
	cancel()
	e.running.Wait()
	observe.Log(e.logger, observe.ProcessStopped).Int("cut", cut).Send()
	return nil
}

func (e *Entry) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	e.running.Go(func() { _ = server.Serve(listener) }) // ends with the server
	return server
}

// limits returns what the route table in force allows to callers, with bounds
// of this program where it gives none.
func (e *Entry) limits() routes.Limits {
	limits := routes.Limits{}
	if table := e.link.Table(); table != nil {
		limits = table.Limits
	}
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = maxHeaderBytes
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = maxBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = headerTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = idleTimeout
	}
	return limits
}

// stopsIn returns how long this VM still runs when it stops.
func (e *Entry) stopsIn() (left time.Duration, stopping bool) {
	if !e.stopping.Load() {
		return 0, false
	}
	return time.Until(time.Unix(0, e.stopAt.Load())), true
}

// drain serves on until nothing has come for a while and nothing is in
// progress, or the limit of the stop is near. Once the balancer sends nobody
// here any more, idle connections are closed, so that no request comes late on
// one of them.
func (e *Entry) drain(begun time.Time, server *callerServers) {
	limit := begun.Add(e.settings.StopLimit - stopMargin)
	e.stopAt.Store(limit.UnixNano())
	e.stopping.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	kept := true
	for now := range ticker.C {
		if kept && now.Sub(begun) > balancerWait {
			kept = false
			server.closeIdle()
		}
		quiet := now.Sub(time.Unix(0, e.lastRequest.Load())) > quietBeforeExit
		if now.After(limit) || !kept && quiet && e.gateway.InFlight() == 0 {
			return
		}
	}
}

// tickInterval is how often a stopping VM looks whether it is drained.
const tickInterval = 50 * time.Millisecond

// forget closes the connections to a server that is gone.
func (e *Entry) forget(address string) {
	e.client.CloseIdleTo(address)
	e.orders.CloseIdleTo(address)
}

// gauge brings the gauges up to date.
func (e *Entry) gauge() {
	e.metrics.Gauge("godwityoke_requests_in_progress").Update(int64(e.gateway.InFlight()))
	e.metrics.Gauge("godwityoke_entry_vms").Update(int64(e.link.EntryVMCount()))
	if table := e.link.Table(); table != nil {
		e.metrics.Gauge("godwityoke_routes_version").Update(int64(table.Version))
	}
}

func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.client.CloseExpired(now)
			e.gauge()
			e.orders.CloseExpired(now)
		}
	}
}

// sharedBudget keeps this VM's part of the retry budget of each service.
type sharedBudget struct {
	options  retrybudget.Options
	vms      func() int
	mu       sync.Mutex
	services map[string]*retrybudget.Budget
}

func newSharedBudget(settings *Settings, vms func() int) *sharedBudget {
	return &sharedBudget{
		options:  retrybudget.Options{Ratio: settings.RetryRatio, Allowance: settings.RetryAllowance, Window: settings.RetryWindow},
		vms:      vms,
		services: map[string]*retrybudget.Budget{},
	}
}

// CountRequest implements gateway.Budget.
func (b *sharedBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).RecordFirstAttempt(time.Now())
}

// TryRetry implements gateway.Budget.
func (b *sharedBudget) TryRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).TryRetry(time.Now(), b.vms())
}

func (b *sharedBudget) of(service string) *retrybudget.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = retrybudget.New(b.options, time.Now())
		b.services[service] = budget
	}
	return budget
}

var _ gateway.Placer = (*hub.Link)(nil)
