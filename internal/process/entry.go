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
	// sweepInterval is the interval of the checks for unresponsive backend servers and of
	// the gauge updates.
	sweepInterval = 250 * time.Millisecond
	// drainTimeout bounds the wait for engines to confirm cancellations during a graceful
	// stop.
	drainTimeout = 5 * time.Second
)

var errNoBundle = errors.New("no bundle is in force yet")

// entryRole is the request path of an entry VM: the handlers for callers and for
// announcements of backend servers, and their background work.
type entryRole struct {
	host           *Host
	registry       *callers.Registry
	callerHandler  http.Handler
	backendHandler http.Handler
	reclaimer      *reclaim.Reclaimer
	bodies         *bodybuf.Pool
	transports     []*http.Transport
	background     sync.WaitGroup
}

// prepareEntryRole sets the fields of host that builders may use or replace. Until a builder
// replaces it, the limiter assumes that this is the only entry VM of its zone.
func prepareEntryRole(host *Host) {
	host.Fleet = fleet.NewTable(host.Settings.VM.Zone, host.Settings.Entry.UnresponsiveAfter.Std())
	host.EnginePlacer = filterplace.NewEnginePlacer(host.Fleet)
	host.Limiter = limit.New(1)
}

func newEntryRole(host *Host, checkReady func() error) *entryRole {
	config := host.Settings.Entry
	idGenerator := request.NewIDGenerator()
	pooledTransport := dispatch.NewTransport(config.ConnectTimeout.Std(), false)
	freshTransport := dispatch.NewTransport(config.ConnectTimeout.Std(), true)
	e := &entryRole{host: host, registry: callers.NewRegistry(), transports: []*http.Transport{pooledTransport, freshTransport}}
	e.bodies = bodybuf.NewPool(int64(config.MaxBodyMemory))
	e.reclaimer = reclaim.New(reclaim.NewClient(freshTransport), host.Fleet, idGenerator, host.Logger)
	requestPath := pipeline.NewRequestPath(pipeline.Config{
		Limiter:         host.Limiter,
		Bodies:          e.bodies,
		MaxInFlight:     config.MaxInFlight,
		Claims:          host.Claims,
		EnginePlacer:    host.EnginePlacer,
		ServicePlacer:   filterplace.NewServicePlacer(host.Fleet),
		IDGenerator:     idGenerator,
		PooledTransport: pooledTransport,
		FreshTransport:  freshTransport,
		Liveness:        host.Fleet,
		Reclaimer:       e.reclaimer,
		Metrics:         host.Metrics,
		Logger:          host.Logger,
	})
	e.callerHandler = callers.NewHandler(callers.Config{
		Bundles: host.Bundles, Pipeline: requestPath, IDGenerator: idGenerator, Claims: host.Claims,
		CheckReady: checkReady, BodyTimeout: config.BodyTimeout.Std(), Metrics: host.Metrics, Logger: host.Logger, Registry: e.registry,
	})
	e.backendHandler = e.newBackendHandler()
	return e
}

// newBackendHandler returns the handler for announcements of backend servers. Its replies
// list the entry VMs of the zone that a server has to announce itself to.
func (e *entryRole) newBackendHandler() http.Handler {
	config := e.host.Settings
	peers := make([]settings.Peer, 0, len(config.EntryVMs))
	for _, peer := range config.EntryVMs {
		if peer.Name == config.VM.Name {
			peer.Backends = e.host.Addresses.Backends // differs if the settings give port 0
		}
		peers = append(peers, peer)
	}
	subset := fleet.NewSubset(peers, config.VM.Zone, 0)
	routes := http.NewServeMux()
	routes.Handle(backendapi.PathAnnounce,
		fleet.NewAnnouncementHandler(e.host.Fleet, subset, config.Entry.HeartbeatInterval.Std(), e.host.Logger))
	return routes
}

// start loads the bundle file, if there are no control VMs to receive bundles from, and
// begins the background work, which ends with ctx.
func (e *entryRole) start(ctx context.Context) error {
	if err := e.loadBundle(); err != nil {
		return err
	}
	e.background.Go(func() { e.reclaimer.Run(ctx) })
	e.background.Go(func() { e.runSweeps(ctx) })
	return nil
}

// loadBundle puts the bundle file in force as version 1. It does nothing if there are
// control VMs or no bundle file. The error names the findings of an invalid bundle.
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

// runSweeps logs backend servers that became unresponsive and updates the gauges every
// sweepInterval until ctx ends.
func (e *entryRole) runSweeps(ctx context.Context) {
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
			e.updateGauges(now)
		}
	}
}

// updateGauges updates the gauges of the request path.
func (e *entryRole) updateGauges(now time.Time) {
	metrics := e.host.Metrics
	metrics.Gauge("godwityoke_requests_in_progress").Update(int64(e.registry.Len()))
	metrics.Gauge("godwityoke_body_bytes").Update(e.bodies.UsedBytes())
	metrics.Gauge("godwityoke_cancels_unconfirmed").Update(int64(e.reclaimer.Pending()))
	metrics.Gauge("godwityoke_backend_servers").Update(int64(len(e.host.Fleet.All(now))))
}

func (e *entryRole) checkReady() error {
	if e.host.Bundles.Current() == nil {
		return errNoBundle
	}
	return nil
}

// drain waits until all engines that are alive have confirmed their cancellations, at most
// drainTimeout.
func (e *entryRole) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	e.reclaimer.Drain(ctx)
}

// close waits for the background work, whose context must have ended, and closes the idle
// connections to backend servers.
func (e *entryRole) close() {
	e.background.Wait()
	for _, transport := range e.transports {
		transport.CloseIdleConnections()
	}
}
