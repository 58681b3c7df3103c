package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bodybuf"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/callers"
	"godwityoke.example/godwityoke/internal/filter/dispatch"
	filterplace "godwityoke.example/godwityoke/internal/filter/place"
	"godwityoke.example/godwityoke/internal/fleet"
	"godwityoke.example/godwityoke/internal/limit"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pipeline"
	"godwityoke.example/godwityoke/internal/reclaim"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/settings"
)

const (
	// sweepInterval is how often silent backend servers are looked for.
	sweepInterval = 250 * time.Millisecond
	// drainLimit bounds the wait for engines to confirm cancellations in a
	// planned stop.
	drainLimit = 5 * time.Second
)

var errNoBundle = errors.New("no bundle is in force yet")

// entryRole is the callers' side of an entryRole VM.
type entryRole struct {
	host       *Host
	registry   *callers.Registry
	callers    http.Handler
	backends   http.Handler
	reclaimer  *reclaim.Reclaimer
	bodies     *bodybuf.Pool
	transports []*http.Transport
	background sync.WaitGroup
}

// prepareEntry sets what builders may use or replace.
func prepareEntry(host *Host) {
	host.Fleet = fleet.NewTable(host.Settings.VM.Zone, host.Settings.Entry.UnresponsiveAfter.Std())
	host.EnginePlacer = filterplace.NewEnginePlacer(host.Fleet)
	host.Limiter = limit.New(1)
}

func newEntry(host *Host, ready func() error) *entryRole {
	config := host.Settings.Entry
	identifiers := request.NewIDGenerator()
	reused := dispatch.NewTransport(config.ConnectTimeout.Std(), false)
	fresh := dispatch.NewTransport(config.ConnectTimeout.Std(), true)
	e := &entryRole{host: host, registry: callers.NewRegistry(), transports: []*http.Transport{reused, fresh}}
	e.bodies = bodybuf.NewPool(int64(config.MaxBodyMemory))
	e.reclaimer = reclaim.New(reclaim.NewClient(fresh), host.Fleet, identifiers, host.Logger)
	path := pipeline.NewRequestPath(pipeline.Config{
		Limiter:         host.Limiter,
		Bodies:          e.bodies,
		MaxInFlight:     config.MaxInFlight,
		Claims:          host.Claims,
		EnginePlacer:    host.EnginePlacer,
		ServicePlacer:   filterplace.NewServicePlacer(host.Fleet),
		IDGenerator:     identifiers,
		PooledTransport: reused,
		FreshTransport:  fresh,
		Liveness:        host.Fleet,
		Reclaimer:       e.reclaimer,
		Metrics:         host.Metrics,
		Logger:          host.Logger,
	})
	e.callers = callers.NewHandler(callers.Config{
		Bundles: host.Bundles, Pipeline: path, IDGenerator: identifiers, Claims: host.Claims,
		CheckReady: ready, BodyTimeout: config.BodyTimeout.Std(), Metrics: host.Metrics, Logger: host.Logger, Registry: e.registry,
	})
	e.backends = e.announceRoutes()
	return e
}

func (e *entryRole) announceRoutes() http.Handler {
	config := e.host.Settings
	peers := make([]settings.Peer, 0, len(config.EntryVMs))
	for _, peer := range config.EntryVMs {
		if peer.Name == config.VM.Name {
			peer.Backends = e.host.Addresses.Backends // differs where the settings leave the port open
		}
		peers = append(peers, peer)
	}
	subset := fleet.NewSubset(peers, config.VM.Zone, 0)
	routes := http.NewServeMux()
	routes.Handle(backendapi.PathAnnounce,
		fleet.NewAnnouncementHandler(e.host.Fleet, subset, config.Entry.HeartbeatInterval.Std(), e.host.Logger))
	return routes
}

// start loads the bundle file of a VM without control VMs and begins the
// background work, which ends with ctx.
func (e *entryRole) start(ctx context.Context) error {
	if err := e.loadBundle(); err != nil {
		return err
	}
	e.background.Go(func() { e.reclaimer.Run(ctx) })
	e.background.Go(func() { e.sweep(ctx) })
	return nil
}

func (e *entryRole) loadBundle() error {
	config := e.host.Settings
	if len(config.ControlVMs) > 0 || config.BundleFile == "" {
		return nil
	}
	loaded, findings, err := bundle.Load(config.BundleFile)
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return fmt.Errorf("bundle file: %w", findings)
	}
	e.host.Bundles.Advance(&bundle.AcceptedBundle{Version: 1, Bundle: loaded})
	return nil
}

func (e *entryRole) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, server := range e.host.Fleet.Sweep(now) {
				observe.Log(e.host.Logger, observe.ServerSilent).Str("server", server.ID).Uint64("incarnation", server.Incarnation).Send()
			}
			e.gauge(now)
		}
	}
}

// gauge brings the gauges of this VM up to date.
func (e *entryRole) gauge(now time.Time) {
	metrics := e.host.Metrics
	metrics.Gauge("godwityoke_requests_in_progress").Update(int64(e.registry.Len()))
	metrics.Gauge("godwityoke_body_bytes").Update(e.bodies.UsedBytes())
	metrics.Gauge("godwityoke_cancels_unconfirmed").Update(int64(e.reclaimer.Pending()))
	metrics.Gauge("godwityoke_backend_servers").Update(int64(len(e.host.Fleet.All(now))))
}

func (e *entryRole) ready() error {
	if e.host.Bundles.Current() == nil {
		return errNoBundle
	}
	return nil
}

// drain waits until engines have confirmed what was cancelled.
func (e *entryRole) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	e.reclaimer.Drain(ctx)
}

// close waits for the background work, whose context has ended.
func (e *entryRole) close() {
	e.background.Wait()
	for _, transport := range e.transports {
		transport.CloseIdleConnections()
	}
}
