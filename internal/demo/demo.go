// Package demo shows the whole system at work in one process: three zones of
// entry VMs and stand-ins on loopback, a short mixed load, and incidents while
// it runs. It prints the measures and every promise with its count.
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
	// timeLimit bounds the whole demo.
	timeLimit = 60 * time.Second
	scenario  = "demo.json"
	bundle    = "demo.bundle.json"
)

//go:embed files/*.json
var files embed.FS

// ErrPromiseBroken tells that a promise was broken.
var ErrPromiseBroken = errors.New("a promise was broken")

// Options are what a demo runs with.
type Options struct {
	Out io.Writer
	// Progress receives a line now and then.
	Progress io.Writer
	Policy   settings.Policy
	Builders []process.Builder
	Logger   zerolog.Logger
}

// Run runs the demo. It returns ErrPromiseBroken when a promise was broken.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	folder, err := os.MkdirTemp("", "godwityoke-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	loaded, err := readScenario(folder)
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
	if report.Broken() > 0 {
		return ErrPromiseBroken
	}
	return nil
}

// readScenario writes the embedded files to folder and reads them as any other
// scenario.
func readScenario(folder string) (*load.Scenario, error) {
	for _, name := range []string{scenario, bundle} {
		text, err := files.ReadFile("files/" + name)
		if err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
	}
	loaded, findings, err := load.ReadScenario(filepath.Join(folder, scenario))
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

func (d *demo) run(ctx context.Context) (*load.Report, error) {
	d.say("starting %d zones with %d entry VMs and %d engines each", len(d.scenario.Fleet.Zones),
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
	return d.measure(ctx)
}

// measure offers the load three times: without long prompts, with all, and
// with all while incidents happen.
func (d *demo) measure(ctx context.Context) (*load.Report, error) {
	without, err := d.offer(ctx, "without", "without long prompts", false)
	if err != nil {
		return nil, err
	}
	with, err := d.offer(ctx, "with", "all prompts", true)
	if err != nil {
		return nil, err
	}
	incidents := d.startIncidents(ctx)
	disturbed, err := d.offer(ctx, "incidents", "all prompts, with incidents", true)
	if err != nil {
		return nil, err
	}
	checked := incidents.wait()
	d.say("waiting for the engines to free their memory")
	evidence := d.cluster.Standins.Evidence(ctx)
	checked = append(checked, d.stop(ctx))
	return &load.Report{
		Scenario: d.scenario.Name, Seed: d.scenario.Seed, Scale: 1, Started: d.started, Processors: runtime.GOMAXPROCS(0),
		Bound: load.ComputeBound(d.scenario, d.scenario.Schedule(true)),
		Runs: []load.RunReport{
			d.quietReport(with, without, evidence),
			{
				Policy: string(d.options.Policy) + " with incidents", Round: 1, WithLong: load.Measure(disturbed),
				Engines: evidence.Total(), Promises: append(load.Judge(disturbed, evidence), checked...),
			},
		},
	}, nil
}

// offer offers the load once. Run makes its prompts and keys differ.
func (d *demo) offer(ctx context.Context, run, name string, withLong bool) ([]load.Sample, error) {
	progress := func(sent, ended, total int) { d.say("%s: sent %d, ended %d of %d", name, sent, ended, total) }
	samples := load.Offer(ctx, d.scenario, d.scenario.Schedule(withLong), d.cluster.Target(), run, progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return samples, nil
}

// stop ends all entry VMs in order.
func (d *demo) stop(ctx context.Context) load.Promise {
	d.say("stopping all entry VMs in order")
	promise := load.Promise{Name: "a planned stop of all entry VMs cuts off no request"}
	err := d.cluster.StopEntryVMs(ctx)
	promise.Check(err == nil, "%v", err)
	return promise
}

func (d *demo) quietReport(with, without []load.Sample, evidence load.Evidence) load.RunReport {
	withoutLong := load.Measure(without)
	run := load.RunReport{
		Policy: string(d.options.Policy), Round: 1, WithLong: load.Measure(with), WithoutLong: &withoutLong,
		Engines:  evidence.Total(),
		Promises: load.MergePromises(load.Judge(with, evidence), load.Judge(without, evidence)),
	}
	if withoutLong.Short.P95 > 0 {
		run.ShortSlowdown = run.WithLong.Short.P95 / withoutLong.Short.P95
	}
	return run
}

// say writes a line of progress.
func (d *demo) say(format string, args ...any) {
	if d.options.Progress != nil {
		fmt.Fprintf(d.options.Progress, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	}
}
