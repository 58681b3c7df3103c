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
	"godwityoke.example/godwityoke/internal/hedge"
	"godwityoke.example/godwityoke/internal/hub"
	"godwityoke.example/godwityoke/internal/membudget"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/relay"
	"godwityoke.example/godwityoke/internal/retrybudget"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/serverstate"
	"godwityoke.example/godwityoke/internal/tcp"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// headerTimeout bounds the reading of a request header on any listener. The
	// route table can set another value for callers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may stay open without a request. The
	// route table can set another value for callers.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes and maxBodyBytes bound a caller's request. The route table can
	// set other values. maxHeaderBytes holds for the readiness listener, too.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 10 * time.Second
	// bufferedMemoryDivisor is the ratio of the memory of a process to the part of it that
	// buffers for callers and backend servers may use.
	bufferedMemoryDivisor = 8
	// connectTimeout bounds the opening of a connection to a backend server: 20
	// times the round-trip time to another availability zone. TCP retransmits a lost
	// SYN only after 1 s; an attempt on another server has an answer before that.
	connectTimeout = 250 * time.Millisecond
	// maxServerIdleTime is how long an idle connection to a backend server is kept.
	maxServerIdleTime = 4 * time.Second
	// sweepInterval is how often expired connections are closed and gauges updated.
	sweepInterval = time.Second
	// stopMargin is how long before Settings.StopLimit the draining of a planned stop
	// ends, so that the rest of the stop fits into the limit.
	stopMargin = 400 * time.Millisecond
	// lastAnswersTimeout bounds the sending of the answers to the requests that a stop
	// ends. It is part of stopMargin.
	lastAnswersTimeout = 200 * time.Millisecond
	// idleBeforeExit is the time without a new request after which a stopping VM closes a
	// connection, and after which it exits before the stop limit if no request is in progress.
	idleBeforeExit = 700 * time.Millisecond
	// balancerWait is how long the load balancer may still send requests to a VM
	// after its readiness check fails.
	balancerWait = 2500 * time.Millisecond
)

// EntryAdapter holds what the platform supplies to an entry VM.
type EntryAdapter struct {
	// NewBackendClient returns the client of backend servers.
	NewBackendClient func(BackendClientOptions) BackendClient
	// Probe sends a request that takes no slot to the backend server at address on conn, and returns once it has answered,
	// with the start time that it stated, zero for none.
	Probe func(ctx context.Context, conn net.Conn, address string) (startedAt time.Time, err error)
	// EchoHeader is the request header that backend servers copy into the response.
	EchoHeader string
	// NewCallerHandler returns the handler of the callers' listener.
	NewCallerHandler func(CallerOptions) http.Handler
	// NewReadinessHandler returns the handler of the readiness listener, which answers
	// with the result of ready.
	NewReadinessHandler func(ready func() bool) http.Handler
}

// BackendClientOptions configures the client of backend servers.
type BackendClientOptions struct {
	// Requests sends requests, Orders sends memory orders.
	Requests *h1.Client
	Orders   *h1.Client
	// RecordStatement is called with what a server stated about itself in an answer, from any goroutine. relayedBy is the
	// address of the VM that relayed the answer, empty for none.
	RecordStatement func(server roster.Server, statement serverstate.Statement, relayedBy string)
	Logger          zerolog.Logger
}

// BackendClient sends requests and orders to backend servers.
type BackendClient interface {
	gateway.Backend
	gateway.Memory
}

// CallerOptions configures the handler of the callers' listener.
type CallerOptions struct {
	Gateway *gateway.Gateway
	// Limits returns the current limits of a caller's request.
	Limits func() routes.Limits
	// BodyTimeout bounds the reading of a request body.
	BodyTimeout time.Duration
	// Buffers bounds the bytes of requests that are kept; nil for no bound.
	Buffers *membudget.Budget
	// IsStopping reports whether a connection is to be closed after its response.
	IsStopping func() bool
	Logger     zerolog.Logger
}

// Entry is the process of an entry VM.
type Entry struct {
	settings *Settings
	logger   zerolog.Logger
	link     *hub.Link
	gateway  *gateway.Gateway
	// client sends requests to backend servers, orders sends memory orders.
	client *h1.Client
	orders *h1.Client
	// dialer opens the connections of client and orders, relay those that other entry VMs ask for.
	dialer  *relay.Dialer
	relay   *relay.Server
	metrics *observe.Metrics
	// buffers bounds the bytes that are kept for callers and backend servers; nil for no bound.
	buffers *membudget.Budget
	// hedges decides on second sends of requests. Its limits may be changed at any time (hedgeLimitsHandler).
	hedges *hedge.Controller
	// explainer answers operators where a request would go.
	explainer *explainer
	stopping  atomic.Bool
	// stopAt is the deadline of a planned stop, nil before it.
	stopAt atomic.Pointer[time.Time]
	// lastRequest is the arrival time of the latest request, in Unix nanoseconds.
	lastRequest atomic.Int64
	running     sync.WaitGroup
}

// RunEntry runs an entry VM until ctx ends, drains it within Settings.StopLimit and
// stops it. It returns an error if a seed address is invalid or a listener can't be
// opened.
func RunEntry(ctx context.Context, settings *Settings, codec Codec, adapter EntryAdapter, logger zerolog.Logger) error {
	seeds, err := settings.SeedAddresses()
	if err != nil {
		return err
	}
	e := &Entry{settings: settings, logger: logger, metrics: observe.NewMetrics(), buffers: newBuffers(settings), hedges: hedge.New(hedge.Limits{Share: settings.HedgeShare, Routes: settings.HedgeRoutes})}
	incarnation := newIncarnation(settings.VM, time.Now())
	pool := transport.NewPool(transport.PoolOptions{Identity: transport.Identity{Cluster: clusterName, VM: settings.VM}, SourceIP: settings.Bind})
	defer pool.Close()
	e.dialer = relay.NewDialer(relay.DialerOptions{
		Zone: settings.Zone, SourceIP: settings.Bind, ConnectTimeout: connectTimeout, Peers: e.relayPeers,
		Probe: adapter.Probe, OnPathBroken: e.closeDeadConnections, OnCutOff: func(cutOff bool) { e.link.SetCutOff(cutOff) }, Logger: logger,
	})
	e.client = h1.NewClient(h1.Options{Dial: e.dialer.DialRequest, MaxIdleTime: maxServerIdleTime, EchoHeader: adapter.EchoHeader, Buffers: e.buffers})
	e.orders = h1.NewClient(h1.Options{Dial: e.dialer.Dial, MaxIdleTime: maxServerIdleTime, Buffers: e.buffers})
	e.relay = relay.NewServer(relay.ServerOptions{
		Connect: e.dialer.Direct, Admit: e.admitRelayed, IsEvacuated: e.isEvacuated, RecordStatement: e.recordRelayedStatement, Logger: logger,
	})
	e.link = hub.NewLink(hub.LinkOptions{
		VM: settings.VM, Zone: settings.Zone, Incarnation: incarnation, Seeds: seeds, Pool: pool, Decode: codec.DecodeRoutes,
		UnresponsiveAfter: settings.unresponsiveAfter(), ExpireAfter: settings.expireAfter(), Logger: logger, OnServerGone: e.closeServerConnections,
		RelayAddress: settings.InternalAddress(), WarmUpBounds: settings.warmUpBounds(),
	})
	e.explainer = newExplainer(settings, e.link.Knowledge, e.link.Explain, gateway.PreviewOptions{
		Incarnation: incarnation, Statements: e.link.Statements(), StopsIn: e.stopsIn,
	})
	backend := adapter.NewBackendClient(BackendClientOptions{Requests: e.client, Orders: e.orders, RecordStatement: e.recordStatement, Logger: logger})
	e.gateway = gateway.New(gateway.Options{
		Table: e.link.Table, TableKnown: e.link.TableKnown(), TableSource: func() gateway.TableSource { return gateway.TableSource(e.link.TableSource()) },
		FreshTable: e.link.FreshTable, WasSuspended: e.link.WasSuspended, Placer: e.link, Budget: newServiceBudgets(settings, e.link.EntryVMCount), Servers: e.link, Paths: e.dialer,
		ReportLateEvent: e.link.ReportLateEvent,
		ReadyServers:    e.link.ReadyServers, Statements: e.link.Statements(), Evacuations: e.link,
		Backend: backend, Memory: backend, Buffers: e.buffers, SlowPeers: settings.SlowPeers, Evidence: e.link.Evidence(), Zone: settings.Zone, ZoneRegions: settings.ZoneRegions, Incarnation: incarnation, Logger: logger, Metrics: e.metrics,
		StopsIn: e.stopsIn, LateInStop: balancerWait, Hedges: e.hedges,
	})
	return e.run(ctx, adapter)
}

// newBuffers returns the budget for the buffers of a process, nil if its memory is not
// limited.
func newBuffers(settings *Settings) *membudget.Budget {
	if settings.MemoryBytes <= 0 {
		return nil
	}
	return membudget.New(settings.MemoryBytes / bufferedMemoryDivisor)
}

func (e *Entry) run(ctx context.Context, adapter EntryAdapter) error {
	callers, err := tcp.Listen(ctx, e.settings.Callers)
	if err != nil {
		return err
	}
	readiness, err := tcp.Listen(ctx, e.settings.Readiness)
	if err != nil {
		_ = callers.Close()
		return err
	}
	relayListener, err := tcp.Listen(ctx, e.settings.internalBindAddress())
	if err != nil {
		_ = callers.Close()
		_ = readiness.Close()
		return err
	}
	handler := adapter.NewCallerHandler(CallerOptions{
		Gateway: e.gateway, Limits: e.limits, BodyTimeout: bodyTimeout, Buffers: e.buffers, IsStopping: e.stopping.Load, Logger: e.logger,
	})
	recorded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.lastRequest.Store(time.Now().UnixNano())
		handler.ServeHTTP(w, r)
	})
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server := newCallerServers(callers, recorded, e.limits, e.logger)
	e.running.Go(func() { server.run(background) })
	readinessServer := e.serve(readiness, adapter.NewReadinessHandler(func() bool { return !e.stopping.Load() && e.link.IsReady() }))
	e.running.Go(func() { e.link.Run(background) })
	e.running.Go(func() { e.dialer.Run(background) })
	e.running.Go(func() { e.relay.Serve(relayListener) })
	e.running.Go(func() { e.sweep(background) })
	operatorCalls := map[string]http.Handler{ExplainPath: e.explainer, HedgeLimitsPath: &hedgeLimitsHandler{hedges: e.hedges, logger: e.logger}}
	e.running.Go(func() { serveMetrics(background, e.settings.MetricsAddress(), e.metrics, operatorCalls, e.logger) })
	observe.Log(e.logger, observe.ProcessStarted).Str("callers", e.settings.Callers).Strs("seeds", e.settings.Seeds).Send()
	<-ctx.Done()
	observe.Log(e.logger, observe.ProcessStopping).Int("in_progress", e.gateway.InFlight()).Send()
	aborted := e.stopCallers(server)
	_ = readinessServer.Close()
	_ = relayListener.Close()
	e.relay.Close()
	cancel()
	e.running.Wait()
	observe.Log(e.logger, observe.ProcessStopped).Int("cut", aborted).Send()
	return nil
}

// stopCallers drains the connections of callers, ends the requests that are left, whose
// number it returns, and closes the connections.
func (e *Entry) stopCallers(server *callerServers) (aborted int) {
	e.drain(time.Now(), server)
	aborted = e.gateway.InFlight()
	e.gateway.BeginExit()
	closing, cancel := context.WithTimeout(context.Background(), lastAnswersTimeout)
	defer cancel()
	server.close(closing)
	return aborted
}

func (e *Entry) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	e.running.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	return server
}

// limits returns the limits of the current route table, with the defaults of this
// package for those that the table doesn't set.
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

// stopsIn returns the time until the deadline of a planned stop, and whether a planned
// stop is in progress.
func (e *Entry) stopsIn() (remaining time.Duration, stopping bool) {
	if !e.stopping.Load() {
		return 0, false
	}
	return time.Until(*e.stopAt.Load()), true
}

// drain blocks until no request has arrived for idleBeforeExit, none is in progress and no
// connection of another VM is relayed, but at least for balancerWait and at most for the stop limit less stopMargin. After
// balancerWait the load balancer sends no more requests to this VM; drain then closes
// connections that have been idle for idleBeforeExit, so that no late request arrives on
// one of them.
func (e *Entry) drain(startedAt time.Time, server *callerServers) {
	limit := startedAt.Add(e.settings.StopLimit - stopMargin)
	e.stopAt.Store(&limit)
	e.stopping.Store(true)
	e.gateway.BeginStop()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(limit) {
			return
		}
		if now.Sub(startedAt) <= balancerWait {
			continue
		}
		left := server.closeIdle(now, idleBeforeExit)
		if idle := now.Sub(time.Unix(0, e.lastRequest.Load())) > idleBeforeExit; idle && left == 0 && e.relay.Relayed() == 0 {
			return
		}
	}
}

// drainCheckInterval is how often a stopping VM checks whether it has drained.
const drainCheckInterval = 50 * time.Millisecond

// closeServerConnections closes the idle connections to address, the address of a
// backend server that was removed.
func (e *Entry) closeServerConnections(address string) {
	e.client.CloseIdleTo(address)
	e.orders.CloseIdleTo(address)
	e.dialer.Forget(address)
}

func (e *Entry) updateGauges() {
	e.metrics.Gauge("godwityoke_requests_in_progress").Update(int64(e.gateway.InFlight()))
	e.metrics.Gauge("godwityoke_relayed_connections").Update(int64(e.relay.Relayed()))
	e.metrics.Gauge("godwityoke_evacuated_zones").Update(int64(e.link.EvacuatedZones()))
	e.metrics.Gauge("godwityoke_entry_vms").Update(int64(e.link.EntryVMCount()))
	e.metrics.Gauge("godwityoke_hedge_limit_used_percent").Update(int64(100 * e.hedges.Used(time.Now())))
	if table := e.link.Table(); table != nil {
		e.metrics.Gauge("godwityoke_routes_version").Update(int64(table.Version))
	}
}

// sweep closes expired connections and updates the gauges every sweepInterval, until ctx
// ends.
func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.client.CloseExpired(now)
			e.updateGauges()
			e.orders.CloseExpired(now)
		}
	}
}

// serviceBudgets holds this VM's share of the retry budget of each service.
type serviceBudgets struct {
	options retrybudget.Options
	// entryVMCount returns the number of entry VMs, which share each budget.
	entryVMCount func() int
	mu           sync.Mutex
	// services holds the budgets by the name of the service.
	services map[string]*retrybudget.Budget
}

func newServiceBudgets(settings *Settings, entryVMCount func() int) *serviceBudgets {
	return &serviceBudgets{
		options:      retrybudget.Options{Ratio: settings.RetryRatio, Allowance: settings.RetryAllowance, Window: settings.RetryWindow},
		entryVMCount: entryVMCount,
		services:     map[string]*retrybudget.Budget{},
	}
}

// CountRequest implements gateway.Budget.
func (b *serviceBudgets) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).RecordFirstAttempt(time.Now())
}

// CanRetry implements gateway.Budget.
func (b *serviceBudgets) CanRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).CanRetry(time.Now(), b.entryVMCount())
}

// TryRetry implements gateway.Budget.
func (b *serviceBudgets) TryRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).TryRetry(time.Now(), b.entryVMCount())
}

func (b *serviceBudgets) forService(service string) *retrybudget.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = retrybudget.New(b.options, time.Now())
		b.services[service] = budget
	}
	return budget
}

var _ gateway.Placer = (*hub.Link)(nil)
