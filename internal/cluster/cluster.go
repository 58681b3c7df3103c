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

// startWait bounds the wait until every entry VM is ready and has heard of all
// backend servers of its zone.
const startWait = 20 * time.Second

// Options are what a cluster is started with.
type Options struct {
	Scenario *load.Scenario
	Policy   settings.Policy
	// Builders make the parts of each process beside the callers' side.
	Builders []process.Builder
	// WithControlVMs starts a control VM in each zone, to which the scenario's
	// bundle is submitted. Without, entry VMs read the bundle file.
	WithControlVMs bool
	// Fault is switched on once the system serves.
	Fault  FaultSpec
	Logger zerolog.Logger
}

// FaultSpec is a fault of some backend servers. The zero value is none.
type FaultSpec struct {
	Kind fault.Kind
	// Percent of the engines of each zone have the fault, one at least, and
	// the service servers of the first zone.
	Percent int
}

// Cluster is a running system.
type Cluster struct {
	Standins   *Standins
	EntryVMs   []*process.Process
	ControlVMs []*process.Process
	options    Options
	topology   *topology
	folder     string

	mu sync.Mutex
	// stopped holds the numbers of entry VMs that were stopped.
	stopped map[int]bool
}

// Start starts a system and returns when it serves.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, Standins: &Standins{}, stopped: map[int]bool{}}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, fmt.Errorf("start of the cluster: %w", err)
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.folder, err = os.MkdirTemp("", "godwityoke-cluster-"); err != nil {
		return err
	}
	if c.topology, err = openTopology(c.options.Scenario, c.options.WithControlVMs, c.folder); err != nil {
		return err
	}
	if c.ControlVMs, err = c.startVMs(ctx, c.topology.controls); err != nil {
		return err
	}
	if c.EntryVMs, err = c.startVMs(ctx, c.topology.entries); err != nil {
		return err
	}
	if c.Standins, err = startStandins(c.options.Scenario, c.topology.seeds(), c.options.Logger); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	if c.options.WithControlVMs {
		if _, err := c.Submit(ctx, c.options.Scenario.Bundle); err != nil {
			return err
		}
	}
	if err := c.waitServing(ctx); err != nil {
		return err
	}
	return c.Standins.inject(c.options.Fault, c.options.Scenario)
}

func (c *Cluster) startVMs(ctx context.Context, vms []*vm) ([]*process.Process, error) {
	var running []*process.Process
	for _, one := range vms {
		started, err := process.Start(ctx, process.Options{
			Settings: c.topology.settingsOf(one, c.options), Logger: c.options.Logger,
			Listeners: one.listeners, Builders: c.options.Builders,
		})
		if err != nil {
			return running, fmt.Errorf("VM %s: %w", one.peer.Name, err)
		}
		running = append(running, started)
	}
	return running, nil
}

// waitServing returns once every entry VM is ready and knows the backend
// servers of its zone.
func (c *Cluster) waitServing(ctx context.Context) error {
	scenario := c.options.Scenario
	expected := scenario.Fleet.EnginesPerZone + scenario.Fleet.ServersPerZone*len(scenario.Bundle.Services)
	for _, entry := range c.EntryVMs {
		if err := entry.WaitReady(ctx); err != nil {
			return err
		}
		for len(entry.Host().Fleet.All(time.Now())) < expected {
			select {
			case <-ctx.Done():
				return fmt.Errorf("backend servers were not heard of: %w", ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Target returns where callers send requests.
func (c *Cluster) Target() load.Target {
	var target load.Target
	for _, entry := range c.EntryVMs {
		target.Entries = append(target.Entries, entry.Addresses().Callers)
	}
	return target
}

// StopEntryVM ends one entry VM in order and returns how many requests were cut.
// An entry VM that was stopped before is left alone.
func (c *Cluster) StopEntryVM(ctx context.Context, number int) int {
	c.mu.Lock()
	done := c.stopped[number]
	c.stopped[number] = true
	c.mu.Unlock()
	if done {
		return 0
	}
	return len(c.EntryVMs[number].Stop(ctx))
}

// StopEntryVMs ends all entry VMs in order and returns an error when requests
// were cut.
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

// Close ends everything at once.
func (c *Cluster) Close() {
	for _, running := range append(c.EntryVMs, c.ControlVMs...) {
		running.Kill()
	}
	c.Standins.Close()
	if c.topology != nil {
		c.topology.links.close()
	}
	if c.folder != "" {
		_ = os.RemoveAll(c.folder)
	}
}

var errCancelled = errors.New("the run was cancelled")

// RunLoad starts a system for the scenario, offers its arrivals, with or
// without long prompts, and returns what became of them.
func RunLoad(ctx context.Context, options Options, withLong bool, run string, progress load.Progress) ([]load.Sample, load.Evidence, error) {
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
