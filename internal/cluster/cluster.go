package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/settings"
)

// balancerWait is the time that a planned stop gives the balancer, several
// times as long as it takes to see that an entry VM is not ready.
const balancerWait = 500 * time.Millisecond

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

	mu sync.Mutex
	// stopped holds the numbers of entry VMs that were stopped.
	stopped map[int]bool
}

// Start starts a system and returns when it serves.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, Standins: &Standins{}, stopped: map[int]bool{}}
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
	config.Shutdown.BalancerWait = jsonc.Duration(balancerWait)
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

// StopEntry ends one entry VM in order and returns how many requests were cut.
// An entry VM that was stopped before is left alone.
func (c *Cluster) StopEntry(ctx context.Context, number int) int {
	c.mu.Lock()
	done := c.stopped[number]
	c.stopped[number] = true
	c.mu.Unlock()
	if done {
		return 0
	}
	return len(c.Entries[number].Stop(ctx))
}

// StopEntries ends all entry VMs in order and returns an error when requests
// were cut.
func (c *Cluster) StopEntries(ctx context.Context) error {
	var cut atomic.Int64
	var wait sync.WaitGroup
	for i := range c.Entries {
		wait.Go(func() { cut.Add(int64(c.StopEntry(ctx, i))) })
	}
	wait.Wait()
	if cut.Load() > 0 {
		return fmt.Errorf("the stop cut %d requests", cut.Load())
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
