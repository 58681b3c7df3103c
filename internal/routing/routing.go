// Package routing connects the decision packages place, capacity and limit with the
// process of an entry VM: it sets up the placement policy of the settings, serves
// engine-memory leases to the other entry VMs of the zone, and exchanges the demand of
// teams, so that the limits of the teams hold over the zone. The decisions themselves are
// made in place, capacity and limit.
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

// Routing runs the placement, lease and limit components of an entry VM. It implements
// process.Component.
type Routing struct {
	host      *process.Host
	zonePeers []settings.Peer
	limiter   *limit.Limiter
	demand    *demandExchanger
	// service and holder are nil unless the policy is settings.PolicyLeases.
	service *capacity.Service
	holder  *capacity.Holder
	// lastLimitTokens is the last exported sum of the lease limits.
	lastLimitTokens int64
	background      sync.WaitGroup
	cancel          context.CancelFunc
}

// Build is a process.Builder for the role entry. It returns nil for other roles.
func Build(host *process.Host) (process.Component, error) {
	if !host.Settings.HasRole(settings.RoleEntry) {
		return nil, nil
	}
	r := &Routing{host: host, zonePeers: entryVMsInZone(host.Settings), cancel: func() {}}
	r.limiter = limit.New(len(r.zonePeers))
	host.Limiter = r.limiter
	r.demand = newDemandExchanger(r)
	if host.Settings.Routing.Policy == settings.PolicyLeases {
		r.buildLeases()
	}
	placer, err := r.newPlacer()
	if err != nil {
		return nil, fmt.Errorf("routing: %w", err)
	}
	host.EnginePlacer = placer
	return r, nil
}

// entryVMsInZone returns the entry VMs of this VM's zone, including this VM.
func entryVMsInZone(config *settings.Settings) []settings.Peer {
	var peers []settings.Peer
	includesSelf := false
	for _, peer := range config.EntryVMs {
		if peer.Zone == config.VM.Zone {
			peers = append(peers, peer)
			includesSelf = includesSelf || peer.Name == config.VM.Name
		}
	}
	if !includesSelf {
		peers = append(peers, settings.Peer{Name: config.VM.Name, Zone: config.VM.Zone})
	}
	return peers
}

// vmNames returns the names of the entry VMs of the zone, including this VM.
func (r *Routing) vmNames() []string {
	names := make([]string, len(r.zonePeers))
	for i, peer := range r.zonePeers {
		names[i] = peer.Name
	}
	return names
}

func (r *Routing) buildLeases() {
	host := r.host
	r.service = capacity.NewService(capacity.ServiceOptions{
		VM:      host.Settings.VM.Name,
		Zone:    r.vmNames(),
		Config:  r.leaseConfig,
		Live:    r.liveEngines,
		Engines: &loggingEngineClient{engines: capacity.NewHTTPEngineClient(http.DefaultTransport), logger: host.Logger},
		Clock:   time.Now,
	})
	r.service.Register(host.GRPCServer)
	r.holder = capacity.NewHolder(capacity.HolderOptions{
		VM:        host.Settings.VM.Name,
		Peers:     r.otherVMNames(),
		Service:   r.service,
		Dial:      r.dialCapacity,
		Timeout:   host.Settings.Routing.LeaseTimeout.Std(),
		LeaseTerm: host.Settings.Routing.LeaseTerm.Std(),
		Clock:     time.Now,
	})
}

// otherVMNames returns the names of the other entry VMs of the zone.
func (r *Routing) otherVMNames() []string {
	var names []string
	for _, name := range r.vmNames() {
		if name != r.host.Settings.VM.Name {
			names = append(names, name)
		}
	}
	return names
}

func (r *Routing) newPlacer() (place.Placer, error) {
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
		options.Leases = &countingLeaseHolder{holder: r.holder, metrics: host.Metrics}
	}
	return place.New(options)
}

// seed derives a random seed from the VM name, so that VMs draw different candidates.
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

// Start implements process.Component.
func (r *Routing) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	r.background.Go(func() { r.demand.run(ctx) })
	if r.service != nil {
		r.background.Go(func() { r.service.Run(ctx) })
		r.background.Go(func() { r.holder.Run(ctx) })
		r.background.Go(func() { r.runUsageExport(ctx) })
	}
	return nil
}

// CheckReady implements process.Component. It always succeeds, because placement also works
// without leases.
func (r *Routing) CheckReady() error { return nil }

// Stop implements process.Component. It sends the pending lease releases before it stops the
// background work.
func (r *Routing) Stop(ctx context.Context) error {
	if r.holder != nil {
		r.holder.Flush(ctx)
	}
	r.cancel()
	r.background.Wait()
	return nil
}
