package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/cluster"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

// LoadArguments are the arguments of "load".
type LoadArguments struct {
	Scenario string  `arg:"--scenario,required" help:"scenario file, JSON with comments"`
	Policies string  `arg:"--policies" default:"two_choices" help:"placement policies to compare, separated by commas"`
	Rounds   int     `arg:"--rounds" default:"1" help:"how often all policies are measured, in turn"`
	Scale    float64 `arg:"--scale" default:"1" help:"factor on the duration of the phases"`
	OnlyLong bool    `arg:"--no-comparison" help:"leave out the runs without long prompts, which give the short slowdown"`
	Faults   string  `arg:"--faults" help:"faults of backend servers to measure under, separated by commas; \"none\" for none, \"all\" for all"`
	Faulty   int     `arg:"--faulty-percent" default:"20" help:"share of the engines of each zone that have the fault"`
	JSON     string  `arg:"--json" help:"file for the report as JSON"`
	Plot     string  `arg:"--plot" help:"file for the report as SVG"`
	LogLevel string  `arg:"--log-level" default:"error" help:"zerolog level of the system's own log"`

	Entry   []string `arg:"--entry,separate" help:"ip:port of a running entry VM's callers' listener; repeatable, in place of a system in this process"`
	Engine  []string `arg:"--engine,separate" help:"ip:port of a running stand-in engine, asked for its counters; repeatable"`
	Service []string `arg:"--service,separate" help:"ip:port of a running stand-in service, asked for its counters; repeatable"`
	Record  []string `arg:"--record,separate" help:"file that a stand-in service wrote its runs to; repeatable"`
	VMsDie  bool     `arg:"--entry-vms-die" help:"entry VMs are killed during the run, so callers may lose connections"`
	RunName string   `arg:"--run" default:"run" help:"makes prompts and keys differ from those of other runs"`
}

// Description is shown by --help.
func (LoadArguments) Description() string {
	return "Offers the load of a scenario and reports the measures and the promises kept. Without --entry it starts " +
		"the whole system in this process."
}

func (a *LoadArguments) run(output Output) int {
	scenario, err := withoutFindings(load.ReadScenario(a.Scenario))
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFindings
	}
	policies, err := parsePolicies(a.Policies)
	faults, faultsErr := parseFaults(a.Faults)
	if err := errors.Join(err, faultsErr); err != nil || a.Scale <= 0 || a.Rounds < 1 {
		fmt.Fprintln(output.Err, "wrong --policies, --faults, --scale or --rounds:", err)
		return ExitUsage
	}
	logger, err := observe.NewLogger(output.Err, observe.LogConsole, a.LogLevel)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	if len(a.Entry) > 0 {
		return a.offer(output, scenario.Scaled(a.Scale))
	}
	comparison := &cluster.Comparison{
		Base: cluster.Options{
			Scenario: scenario.Scaled(a.Scale), Builders: builders(), WithControlVMs: true,
			Fault: cluster.FaultSpec{Percent: a.Faulty}, Logger: logger,
		},
		Policies: policies, Faults: faults, Rounds: a.Rounds, WithoutLong: !a.OnlyLong, Scale: a.Scale,
		Progress: printProgress(output),
	}
	return a.compare(output, comparison)
}

// offer sends the load to a system that runs already.
func (a *LoadArguments) offer(output Output, scenario *load.Scenario) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	progress := printProgress(output)
	arrivals := scenario.Schedule(true)
	started := time.Now()
	samples := load.Offer(ctx, scenario, arrivals, load.Target{EntryAddresses: a.Entry}, a.RunName,
		func(sent, ended, total int) { progress(a.RunName, sent, ended, total) })
	sources := load.EvidenceSources{Engines: a.Engine, Services: a.Service, Records: a.Record, EntryVMsKilled: a.VMsDie}
	evidence, err := sources.Collect(ctx)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFindings
	}
	return a.write(output, &load.Report{
		Scenario: scenario.Name, Seed: scenario.Seed, Scale: a.Scale, StartedAt: started,
		Processors: runtime.GOMAXPROCS(0), Bound: load.ComputeBound(scenario, arrivals),
		Runs: []load.RunReport{{
			Policy: "running system", Round: 1, WithLong: load.Measure(samples),
			Promises: load.CheckPromises(samples, evidence), Engines: evidence.EngineTotals(),
		}},
	})
}

func (a *LoadArguments) compare(output Output, comparison *cluster.Comparison) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := comparison.Run(ctx)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFindings
	}
	return a.write(output, report)
}

func (a *LoadArguments) write(output Output, report *load.Report) int {
	if err := report.WriteTable(output.Out); err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFindings
	}
	if a.JSON != "" {
		if err := report.WriteJSON(a.JSON); err != nil {
			fmt.Fprintln(output.Err, err)
			return ExitFindings
		}
	}
	if a.Plot != "" {
		if err := report.WritePlot(a.Plot); err != nil {
			fmt.Fprintln(output.Err, err)
			return ExitFindings
		}
	}
	if report.BrokenCount() > 0 {
		return ExitFindings
	}
	return ExitOK
}

// printProgress returns a function that writes a line of progress.
func printProgress(output Output) func(name string, sent, ended, total int) {
	return func(name string, sent, ended, total int) {
		fmt.Fprintf(output.Err, "%s: sent %d, ended %d of %d\n", name, sent, ended, total)
	}
}

func parsePolicies(text string) ([]settings.Policy, error) {
	var policies []settings.Policy
	for _, name := range strings.Split(text, ",") {
		policy := settings.Policy(name)
		switch policy {
		case settings.PolicyRoundRobin, settings.PolicyLeastInFlight, settings.PolicyTwoChoices, settings.PolicyLeases:
			policies = append(policies, policy)
		default:
			return nil, fmt.Errorf("unknown policy %q", name)
		}
	}
	return policies, nil
}

func parseFaults(text string) ([]fault.Kind, error) {
	switch text {
	case "":
		return nil, nil
	case "all":
		return append([]fault.Kind{""}, fault.Kinds...), nil
	}
	var kinds []fault.Kind
	for _, name := range strings.Split(text, ",") {
		kind := fault.Kind(name)
		switch {
		case name == "none":
			kinds = append(kinds, "")
		case slices.Contains(fault.Kinds, kind):
			kinds = append(kinds, kind)
		default:
			return nil, fmt.Errorf("unknown fault %q, allowed: none, all, %v", name, fault.Kinds)
		}
	}
	return kinds, nil
}
