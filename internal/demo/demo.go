// Package demo runs a complete system in one process for less than a minute: entry VMs,
// control VMs and stand-ins for backend servers in three availability zones, on loopback.
// It sends a short mixed load, causes incidents during its last run, and prints the measured
// values and how often each promise was checked and broken. Package cluster starts the
// system; package load generates the load and judges the results.
package demo

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/cluster"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/settings"
)

const (
	// runTimeout bounds the whole demo.
	runTimeout = 60 * time.Second
	// scenarioFile and bundleFile are the names of the embedded files.
	scenarioFile = "demo.json"
	bundleFile   = "demo.bundle.json"
)

//go:embed files/*.json
var files embed.FS

// ErrPromiseBroken is returned when at least one promise was broken.
var ErrPromiseBroken = errors.New("a promise was broken")

// Options configures a demo.
type Options struct {
	// Out receives the report.
	Out io.Writer
	// Progress receives lines on the progress of the demo. It may be nil.
	Progress io.Writer
	Policy   settings.Policy
	Builders []process.Builder
	Logger   zerolog.Logger
}

// Run runs the demo and writes its report to options.Out. It returns ErrPromiseBroken if at
// least one promise was broken, and another error if the demo could not be completed.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "godwityoke-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	loaded, err := readScenario(dir)
	if err != nil {
		return err
	}
	d := &demo{options: options, scenario: loaded, started: time.Now()}
	report, err := d.run(ctx)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := report.WriteTable(options.Out); err != nil {
		return err
	}
	fmt.Fprintf(options.Out, "demo ended after %.0f s\n", time.Since(d.started).Seconds())
	if report.BrokenCount() > 0 {
		return ErrPromiseBroken
	}
	return nil
}

// readScenario writes the embedded files to dir and reads the scenario from there. An
// invalid scenario is returned as findings.
func readScenario(dir string) (*load.Scenario, error) {
	for _, name := range []string{scenarioFile, bundleFile} {
		text, err := files.ReadFile("files/" + name)
		if err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
	}
	loaded, findings, err := load.ReadScenario(filepath.Join(dir, scenarioFile))
	if err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return loaded, nil
}

type demo struct {
	options  Options
	scenario *load.Scenario
	cluster  *cluster.Cluster
	started  time.Time
}

// run starts the cluster, runs the loads, and returns the report.
func (d *demo) run(ctx context.Context) (*load.Report, error) {
	d.printProgress("starting %d zones with %d entry VMs and %d engines each", len(d.scenario.Fleet.Zones),
		d.scenario.Fleet.EntryVMsPerZone, d.scenario.Fleet.EnginesPerZone)
	var err error
	d.cluster, err = cluster.Start(ctx, cluster.Options{
		Scenario: d.scenario, Policy: d.options.Policy, Builders: d.options.Builders,
		WithControlVMs: true, Logger: d.options.Logger,
	})
	if err != nil {
		return nil, err
	}
	defer d.cluster.Close()
	return d.runLoads(ctx)
}

// runLoads sends the load three times: without long prompts, with all prompts, and with all
// prompts during incidents. The report has one run for the first two and one for the third.
func (d *demo) runLoads(ctx context.Context) (*load.Report, error) {
	without, err := d.runLoad(ctx, "without", "without long prompts", false)
	if err != nil {
		return nil, err
	}
	with, err := d.runLoad(ctx, "with", "all prompts", true)
	if err != nil {
		return nil, err
	}
	incidents := d.startIncidents(ctx)
	disturbed, err := d.runLoad(ctx, "incidents", "all prompts, with incidents", true)
	if err != nil {
		return nil, err
	}
	checked := incidents.wait()
	d.printProgress("waiting for the engines to free their memory")
	evidence := d.cluster.Standins.Evidence(ctx)
	checked = append(checked, d.stopAllEntryVMs(ctx))
	return &load.Report{
		Scenario: d.scenario.Name, Seed: d.scenario.Seed, Scale: 1, StartedAt: d.started, Processors: runtime.GOMAXPROCS(0),
		Bound: load.ComputeBound(d.scenario, d.scenario.Schedule(true)),
		Runs: []load.RunReport{
			d.undisturbedReport(with, without, evidence),
			{
				Policy: string(d.options.Policy) + " with incidents", Round: 1, WithLong: load.Measure(disturbed),
				Engines: evidence.SumCounters(), Promises: append(load.CheckPromises(disturbed, evidence), checked...),
			},
		},
	}, nil
}

// runLoad sends the load once. Run makes prompts and keys differ from those of other runs;
// name is for progress lines.
func (d *demo) runLoad(ctx context.Context, run, name string, withLong bool) ([]load.Sample, error) {
	progress := func(sent, ended, total int) { d.printProgress("%s: sent %d, ended %d of %d", name, sent, ended, total) }
	samples := load.Offer(ctx, d.scenario, d.scenario.Schedule(withLong), d.cluster.Target(), run, progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return samples, nil
}

// stopAllEntryVMs stops all entry VMs gracefully and returns the promise that this checks.
func (d *demo) stopAllEntryVMs(ctx context.Context) load.Promise {
	d.printProgress("stopping all entry VMs gracefully")
	promise := load.Promise{Name: "a planned stop of all entry VMs cuts off no request"}
	err := d.cluster.StopEntryVMs(ctx)
	promise.Check(err == nil, "%v", err)
	return promise
}

// undisturbedReport returns the report of the runs without incidents.
func (d *demo) undisturbedReport(with, without []load.Sample, evidence load.Evidence) load.RunReport {
	withoutLong := load.Measure(without)
	run := load.RunReport{
		Policy: string(d.options.Policy), Round: 1, WithLong: load.Measure(with), WithoutLong: &withoutLong,
		Engines:  evidence.SumCounters(),
		Promises: load.MergePromises(load.CheckPromises(with, evidence), load.CheckPromises(without, evidence)),
	}
	if withoutLong.Short.P95 > 0 {
		run.ShortSlowdown = run.WithLong.Short.P95 / withoutLong.Short.P95
	}
	return run
}

// printProgress writes a progress line with the time since the start of the demo.
func (d *demo) printProgress(format string, args ...any) {
	if d.options.Progress != nil {
		fmt.Fprintf(d.options.Progress, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	}
}
