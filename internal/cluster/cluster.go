package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/settings"
)

// startWait bounds the wait until every entry VM is ready and has heard of all
// backend servers of its zone.
const startWait = 20 * time.Second

// Options are what a cluster is started with.
type Options struct {
	Scenario *load.Scenario
	Policy   settings.Policy
	// Builders make the parts of each process beside the callers' side.
	Builders []process.Builder
	Logger   zerolog.Logger
}

// Cluster is a running system.
type Cluster struct {
	Standins *Standins
	Entries  []*process.Process
	options  Options
}

// Start starts a system and returns when it serves.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, Standins: &Standins{}}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	vms, err := openEntryVMs(c.options.Scenario)
	if err != nil {
		return err
	}
	if err := c.startEntries(ctx, vms); err != nil {
		return err
	}
	c.Standins, err = startStandins(c.options.Scenario, seedsByZone(vms), c.options.Logger)
	if err != nil {
		return err
	}
	return c.waitServing(ctx)
}

// entryVM is an entry VM whose listeners are open.
type entryVM struct {
	peer      settings.Peer
	listeners process.Listeners
}

// openEntryVMs opens the listeners of all entry VMs, so that each can be told
// the addresses of the others.
func openEntryVMs(scenario *load.Scenario) ([]entryVM, error) {
	var vms []entryVM
	for _, zone := range scenario.Fleet.Zones {
		for i := range scenario.Fleet.EntryVMsPerZone {
			vm := entryVM{peer: settings.Peer{Name: fmt.Sprintf("entry-%s%d", zone, i+1), Zone: zone}}
			for _, listener := range []*net.Listener{&vm.listeners.Callers, &vm.listeners.Backends, &vm.listeners.Internal} {
				opened, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return nil, fmt.Errorf("entry VM %s: %w", vm.peer.Name, err)
				}
				*listener = opened
			}
			vm.peer.Internal = vm.listeners.Internal.Addr().String()
			vm.peer.Backends = vm.listeners.Backends.Addr().String()
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

func seedsByZone(vms []entryVM) map[string][]string {
	seeds := map[string][]string{}
	for _, vm := range vms {
		seeds[vm.peer.Zone] = append(seeds[vm.peer.Zone], vm.peer.Backends)
	}
	return seeds
}

func (c *Cluster) startEntries(ctx context.Context, vms []entryVM) error {
	peers := make([]settings.Peer, len(vms))
	for i, vm := range vms {
		peers[i] = vm.peer
	}
	for _, vm := range vms {
		started, err := process.Start(ctx, process.Options{
			Settings: c.entrySettings(vm, peers), Logger: c.options.Logger,
			Listeners: vm.listeners, Builders: c.options.Builders,
		})
		if err != nil {
			return fmt.Errorf("entry VM %s: %w", vm.peer.Name, err)
		}
		c.Entries = append(c.Entries, started)
	}
	return nil
}

func (c *Cluster) entrySettings(vm entryVM, peers []settings.Peer) *settings.Settings {
	config := settings.Defaults()
	config.Cluster = c.options.Scenario.Name
	config.VM = settings.VM{Name: vm.peer.Name, Zone: vm.peer.Zone}
	config.Roles = []settings.Role{settings.RoleEntry}
	config.Listen = settings.Listen{
		Callers:  vm.listeners.Callers.Addr().String(),
		Backends: vm.peer.Backends,
		Internal: vm.peer.Internal,
	}
	config.EntryVMs = peers
	config.BundleFile = c.options.Scenario.BundlePath
	config.Routing.Policy = c.options.Policy
	config.Shutdown.BalancerWait = jsonc.Duration(100 * time.Millisecond)
	return &config
}

// waitServing returns once every entry VM is ready and knows the backend
// servers of its zone.
func (c *Cluster) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	scenario := c.options.Scenario
	expected := scenario.Fleet.EnginesPerZone + scenario.Fleet.ServersPerZone*len(scenario.Bundle.Services)
	for _, entry := range c.Entries {
		if err := entry.WaitReady(ctx); err != nil {
			return fmt.Errorf("start of the cluster: %w", err)
		}
		for len(entry.Host().Fleet.All(time.Now())) < expected {
			select {
			case <-ctx.Done():
				return fmt.Errorf("start of the cluster: backend servers were not heard of: %w", ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Target returns where callers send requests.
func (c *Cluster) Target() load.Target {
	var target load.Target
	for _, entry := range c.Entries {
		target.Entries = append(target.Entries, entry.Addresses().Callers)
	}
	return target
}

// Stop ends the system in order: entry VMs first, then the stand-ins. It
// returns an error when work was cut.
func (c *Cluster) Stop(ctx context.Context) error {
	cuts := make(chan int, len(c.Entries))
	for _, entry := range c.Entries {
		go func() { cuts <- len(entry.Stop(ctx)) }()
	}
	cut := 0
	for range c.Entries {
		cut += <-cuts
	}
	c.Standins.Close()
	if cut > 0 {
		return fmt.Errorf("the stop cut %d requests", cut)
	}
	return nil
}

// Close ends everything at once.
func (c *Cluster) Close() {
	for _, entry := range c.Entries {
		entry.Kill()
	}
	c.Standins.Close()
}

var errCancelled = errors.New("the run was cancelled")

// Measure starts a system for the scenario, offers its arrivals, with or
// without long prompts, and returns what became of them.
func Measure(ctx context.Context, options Options, withLong bool, run string, progress load.Progress) ([]load.Sample, load.Evidence, error) {
	c, err := Start(ctx, options)
	if err != nil {
		return nil, load.Evidence{}, err
	}
	defer c.Close()
	samples := load.Offer(ctx, options.Scenario, options.Scenario.Schedule(withLong), c.Target(), run, progress)
	if ctx.Err() != nil {
		return nil, load.Evidence{}, errCancelled
	}
	return samples, c.Standins.Evidence(ctx), nil
}
