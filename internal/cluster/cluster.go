package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

// startTimeout bounds the submission of the bundle and the wait until every entry VM is
// ready and knows all backend servers of its zone.
const startTimeout = 20 * time.Second

// Options configures a cluster.
type Options struct {
	Scenario *load.Scenario
	Policy   settings.Policy
	// Builders make the components of each process other than the request path of
	// callers.
	Builders []process.Builder
	// WithControlVMs starts a control VM in each zone and submits the scenario's bundle
	// to them. Otherwise entry VMs load the scenario's bundle file.
	WithControlVMs bool
	// Fault is switched on once the cluster is ready for requests.
	Fault  FaultSpec
	Logger zerolog.Logger
}

// FaultSpec selects a fault and the backend servers that have it. The zero value is no fault.
type FaultSpec struct {
	Kind fault.Kind
	// Percent is the percentage of engines of each zone that have the fault, rounded
	// down, but at least one engine. All service servers of the first zone have it, too.
	Percent int
}

// Cluster is a running system of VMs and stand-ins.
type Cluster struct {
	Standins   *Standins
	EntryVMs   []*process.Process
	ControlVMs []*process.Process
	options    Options
	topology   *topology
	// dir is a temporary folder for the data of the VMs.
	dir string

	mu sync.Mutex
	// stopped holds the indexes in EntryVMs of the VMs that were stopped.
	stopped map[int]bool
}

// Start starts a cluster and returns once every entry VM is ready and knows the backend
// servers of its zone, and the fault of the options, if any, is switched on. After an error it
// closes what was started.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, Standins: &Standins{}, stopped: map[int]bool{}}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, fmt.Errorf("start the cluster: %w", err)
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.dir, err = os.MkdirTemp("", "godwityoke-cluster-"); err != nil {
		return err
	}
	if c.topology, err = openTopology(c.options.Scenario, c.options.WithControlVMs, c.dir); err != nil {
		return err
	}
	if c.ControlVMs, err = c.startVMs(ctx, c.topology.controlVMs); err != nil {
		return err
	}
	if c.EntryVMs, err = c.startVMs(ctx, c.topology.entryVMs); err != nil {
		return err
	}
	if c.Standins, err = startStandins(c.options.Scenario, c.topology.seeds(), c.options.Logger); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if c.options.WithControlVMs {
		if _, err := c.Submit(ctx, c.options.Scenario.Bundle); err != nil {
			return err
		}
	}
	if err := c.waitUntilServing(ctx); err != nil {
		return err
	}
	return c.Standins.injectFault(c.options.Fault, c.options.Scenario)
}

func (c *Cluster) startVMs(ctx context.Context, vms []*vm) ([]*process.Process, error) {
	var running []*process.Process
	for _, v := range vms {
		started, err := process.Start(ctx, process.Options{
			Settings: c.topology.settingsOf(v, c.options), Logger: c.options.Logger,
			Listeners: v.listeners, Builders: c.options.Builders,
		})
		if err != nil {
			return running, fmt.Errorf("VM %s: %w", v.peer.Name, err)
		}
		running = append(running, started)
	}
	return running, nil
}

// waitUntilServing waits until every entry VM is ready and knows all backend servers of its
// zone, or ctx ends.
func (c *Cluster) waitUntilServing(ctx context.Context) error {
	scenario := c.options.Scenario
	expected := scenario.Fleet.EnginesPerZone + scenario.Fleet.ServersPerZone*len(scenario.Bundle.Services)
	for _, entry := range c.EntryVMs {
		if err := entry.WaitReady(ctx); err != nil {
			return err
		}
		for len(entry.Host().Fleet.All(time.Now())) < expected {
			select {
			case <-ctx.Done():
				return fmt.Errorf("backend servers did not announce themselves in time: %w", ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Target returns the addresses of the entry VMs for callers.
func (c *Cluster) Target() load.Target {
	var target load.Target
	for _, entry := range c.EntryVMs {
		target.EntryAddresses = append(target.EntryAddresses, entry.Addresses().Callers)
	}
	return target
}

// StopEntryVM stops the entry VM with the given index in EntryVMs gracefully. It returns the
// number of caller requests that were cut off; zero if the VM was stopped before.
func (c *Cluster) StopEntryVM(ctx context.Context, index int) int {
	c.mu.Lock()
	alreadyStopped := c.stopped[index]
	c.stopped[index] = true
	c.mu.Unlock()
	if alreadyStopped {
		return 0
	}
	return len(c.EntryVMs[index].Stop(ctx))
}

// StopEntryVMs stops all entry VMs gracefully, at the same time. It returns an error if caller
// requests were cut off.
func (c *Cluster) StopEntryVMs(ctx context.Context) error {
	var cut atomic.Int64
	var wait sync.WaitGroup
	for i := range c.EntryVMs {
		wait.Go(func() { cut.Add(int64(c.StopEntryVM(ctx, i))) })
	}
	wait.Wait()
	if cut.Load() > 0 {
		return fmt.Errorf("the stop cut %d requests", cut.Load())
	}
	return nil
}

// Close kills all VMs and stand-ins, without a graceful stop, and deletes their data.
func (c *Cluster) Close() {
	for _, running := range append(c.EntryVMs, c.ControlVMs...) {
		running.Kill()
	}
	c.Standins.Close()
	if c.topology != nil {
		c.topology.links.close()
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

var errCancelled = errors.New("the run was cancelled")

// RunLoad starts a cluster for the scenario, sends the requests of its schedule, with or
// without long prompts, and returns the result of each request and the counters of the
// stand-ins. The name run makes prompts and keys differ from those of other runs. RunLoad
// returns an error if the cluster does not start or ctx ends.
func RunLoad(ctx context.Context, options Options, withLong bool, run string, progress load.ProgressFunc) ([]load.Sample, load.Evidence, error) {
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
