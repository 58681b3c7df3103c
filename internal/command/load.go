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
	Scenario      string  `arg:"--scenario,required" help:"scenario file, JSON with comments"`
	Policies      string  `arg:"--policies" default:"two_choices" help:"placement policies to compare, comma-separated: round_robin, least_inflight, two_choices, leases"`
	Rounds        int     `arg:"--rounds" default:"1" help:"number of times that all policies are measured"`
	Scale         float64 `arg:"--scale" default:"1" help:"factor on the duration of the scenario's phases"`
	NoComparison  bool    `arg:"--no-comparison" help:"skip the runs without long prompts, which show how much long prompts slow down short ones"`
	Faults        string  `arg:"--faults" help:"faults of the backend servers, comma-separated; \"none\": a run without a fault, \"all\": none and every fault [default: none]"`
	FaultyPercent int     `arg:"--faulty-percent" default:"20" help:"percentage of the model engines of each availability zone that have the fault, at least one"`
	JSON          string  `arg:"--json" help:"file to write the report to, as JSON"`
	Plot          string  `arg:"--plot" help:"file to write the report to, as an SVG plot"`
	LogLevel      string  `arg:"--log-level" default:"error" help:"minimum level of the system's log lines, as named by zerolog"`

	Entry       []string `arg:"--entry,separate" help:"ip:port at which a running entry VM listens for callers; can be repeated. With it, no system is started"`
	Engine      []string `arg:"--engine,separate" help:"ip:port of a running stand-in engine whose counters are read; can be repeated"`
	Service     []string `arg:"--service,separate" help:"ip:port of a running stand-in service whose counters are read; can be repeated"`
	Record      []string `arg:"--record,separate" help:"file written by standin service --record, for a stand-in that was killed and lost its counters; can be repeated"`
	EntryVMsDie bool     `arg:"--entry-vms-die" help:"entry VMs are killed during the run: a lost connection of a caller breaks no promise"`
	RunName     string   `arg:"--run" default:"run" help:"name of the run; prompts and idempotency keys differ between runs of different names"`
}

// Description implements arg.Described.
func (LoadArguments) Description() string {
	return "Sends the load of a scenario and reports the measurements and which promises were kept. Without --entry, it starts " +
		"the whole system in this process."
}

func (a *LoadArguments) run(output Output) int {
	scenario, err := findingsAsError(load.ReadScenario(a.Scenario))
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	policies, err := parsePolicies(a.Policies)
	faults, faultsErr := parseFaults(a.Faults)
	if err := errors.Join(err, faultsErr); err != nil || a.Scale <= 0 || a.Rounds < 1 {
		fmt.Fprintln(output.Err, "invalid --policies, --faults, --scale or --rounds:", err)
		return ExitUsage
	}
	logger, err := observe.NewLogger(output.Err, observe.LogConsole, a.LogLevel)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	if len(a.Entry) > 0 {
		return a.runAgainstEntryVMs(output, scenario.Scaled(a.Scale))
	}
	comparison := &cluster.Comparison{
		Base: cluster.Options{
			Scenario: scenario.Scaled(a.Scale), Builders: builders(), WithControlVMs: true,
			Fault: cluster.FaultSpec{Percent: a.FaultyPercent}, Logger: logger,
		},
		Policies: policies, Faults: faults, Rounds: a.Rounds, WithoutLong: !a.NoComparison, Scale: a.Scale,
		Progress: newProgressPrinter(output),
	}
	return a.compare(output, comparison)
}

// runAgainstEntryVMs sends the load to the entry VMs of a running system and writes the
// report.
func (a *LoadArguments) runAgainstEntryVMs(output Output, scenario *load.Scenario) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	progress := newProgressPrinter(output)
	arrivals := scenario.Schedule(true)
	started := time.Now()
	samples := load.Offer(ctx, scenario, arrivals, load.Target{EntryAddresses: a.Entry}, a.RunName,
		func(sent, ended, total int) { progress(a.RunName, sent, ended, total) })
	sources := load.EvidenceSources{Engines: a.Engine, Services: a.Service, Records: a.Record, EntryVMsKilled: a.EntryVMsDie}
	evidence, err := sources.Collect(ctx)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	return a.writeReport(output, &load.Report{
		Scenario: scenario.Name, Seed: scenario.Seed, Scale: a.Scale, StartedAt: started,
		Processors: runtime.GOMAXPROCS(0), Bound: load.ComputeBound(scenario, arrivals),
		Runs: []load.RunReport{{
			Policy: "running system", Round: 1, WithLong: load.Measure(samples),
			Promises: load.CheckPromises(samples, evidence), Engines: evidence.SumCounters(),
		}},
	})
}

// compare measures all policies and faults, each on a system that it starts in this
// process, and writes the report.
func (a *LoadArguments) compare(output Output, comparison *cluster.Comparison) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := comparison.Run(ctx)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	return a.writeReport(output, report)
}

// writeReport writes the report in all requested formats. It returns ExitFailure if a
// promise was broken.
func (a *LoadArguments) writeReport(output Output, report *load.Report) int {
	if err := report.WriteTable(output.Out); err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	if a.JSON != "" {
		if err := report.WriteJSON(a.JSON); err != nil {
			fmt.Fprintln(output.Err, err)
			return ExitFailure
		}
	}
	if a.Plot != "" {
		if err := report.WritePlot(a.Plot); err != nil {
			fmt.Fprintln(output.Err, err)
			return ExitFailure
		}
	}
	if report.BrokenCount() > 0 {
		return ExitFailure
	}
	return ExitOK
}

// newProgressPrinter returns a function that prints the progress of a run.
func newProgressPrinter(output Output) func(name string, sent, ended, total int) {
	return func(name string, sent, ended, total int) {
		fmt.Fprintf(output.Err, "%s: sent %d, ended %d of %d\n", name, sent, ended, total)
	}
}

// parsePolicies parses a comma-separated list of placement policies.
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

// parseFaults parses a comma-separated list of faults. In the result, an empty Kind
// stands for a run without a fault.
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
