// Package routing joins the decision logic with a process: it places queries
// by the policy of the settings, serves engine-memory leases to the other
// entry VMs of the zone, and holds teams to their limits over the zone.
package routing

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/limit"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/prefix"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/settings"
)

// Routing is the part of an entry VM that decides where requests run. It
// implements process.Part.
type Routing struct {
	host    *process.Host
	zone    []settings.Peer
	limiter *limit.Limiter
	demand  *demand
	// service and holder are nil unless the policy is settings.PolicyLeases.
	service *capacity.Service
	holder  *capacity.Holder
	// lastLimit is the sum that was exported last.
	lastLimit  int64
	background sync.WaitGroup
	cancel     context.CancelFunc
}

// Build is a process.Builder for the role entry.
func Build(host *process.Host) (process.Part, error) {
	if !host.Settings.HasRole(settings.RoleEntry) {
		return nil, nil
	}
	r := &Routing{host: host, zone: zonePeers(host.Settings), cancel: func() {}}
	r.limiter = limit.New(len(r.zone))
	host.Limiter = r.limiter
	r.demand = newDemand(r)
	if host.Settings.Routing.Policy == settings.PolicyLeases {
		r.buildLeases()
	}
	placer, err := r.placer()
	if err != nil {
		return nil, fmt.Errorf("routing: %w", err)
	}
	host.Engines = placer
	return r, nil
}

// zonePeers returns the entry VMs of this VM's zone, itself included.
func zonePeers(config *settings.Settings) []settings.Peer {
	var peers []settings.Peer
	self := false
	for _, peer := range config.EntryVMs {
		if peer.Zone == config.VM.Zone {
			peers = append(peers, peer)
			self = self || peer.Name == config.VM.Name
		}
	}
	if !self {
		peers = append(peers, settings.Peer{Name: config.VM.Name, Zone: config.VM.Zone})
	}
	return peers
}

func (r *Routing) names() []string {
	names := make([]string, len(r.zone))
	for i, peer := range r.zone {
		names[i] = peer.Name
	}
	return names
}

func (r *Routing) buildLeases() {
	host := r.host
	r.service = capacity.NewService(capacity.ServiceOptions{
		VM:      host.Settings.VM.Name,
		Zone:    r.names(),
		Config:  r.leaseConfig,
		Live:    r.engines,
		Engines: &loggedEngines{engines: capacity.NewHTTPEngines(http.DefaultTransport), logger: host.Logger},
		Clock:   time.Now,
	})
	r.service.Register(host.GRPC)
	r.holder = capacity.NewHolder(capacity.HolderOptions{
		VM:      host.Settings.VM.Name,
		Peers:   r.otherNames(),
		Service: r.service,
		Dial:    r.dialCapacity,
		Timeout: host.Settings.Routing.LeaseTimeout.Std(),
		Term:    host.Settings.Routing.LeaseTerm.Std(),
		Clock:   time.Now,
	})
}

func (r *Routing) otherNames() []string {
	var names []string
	for _, name := range r.names() {
		if name != r.host.Settings.VM.Name {
			names = append(names, name)
		}
	}
	return names
}

func (r *Routing) placer() (place.Placer, error) {
	host := r.host
	options := place.Options{
		Policy:              host.Settings.Routing.Policy,
		View:                host.Fleet,
		VM:                  host.Settings.VM.Name,
		Seed:                seed(host.Settings.VM.Name),
		Clock:               time.Now,
		MaxEjectedPercent:   r.maxEjectedPercent,
		ShortReservePercent: func() float64 { return r.leaseConfig().ShortReservePercent },
		Listener:            r.limiter,
		OnEject: func(server place.Server) {
			observe.Log(host.Logger, observe.EngineEjected).Str("server", server.ID).Uint64("incarnation", server.Incarnation).Send()
		},
	}
	if r.holder != nil {
		index := prefix.New(prefix.DefaultBlocks)
		host.Fleet.SetCacheListener(index)
		options.Index = index
		options.Leases = &countedLeases{holder: r.holder, metrics: host.Metrics}
	}
	return place.New(options)
}

// seed differs between VMs, so that their random choices do.
func seed(vm string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm))
	return hash.Sum64()
}

func (r *Routing) maxEjectedPercent() float64 {
	if accepted := r.host.Bundles.Current(); accepted != nil {
		return accepted.Bundle.Limits.MaxEjectedPercent
	}
	return 0
}

// Start implements process.Part.
func (r *Routing) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	r.background.Go(func() { r.demand.run(ctx) })
	if r.service != nil {
		r.background.Go(func() { r.service.Run(ctx) })
		r.background.Go(func() { r.holder.Run(ctx) })
		r.background.Go(func() { r.exportUsage(ctx) })
	}
	return nil
}

// Ready implements process.Part. A VM without leases places by two choices.
func (r *Routing) Ready() error { return nil }

// Stop implements process.Part. The releases of ended requests are sent first.
func (r *Routing) Stop(ctx context.Context) error {
	if r.holder != nil {
		r.holder.Flush(ctx)
	}
	r.cancel()
	r.background.Wait()
	return nil
}
