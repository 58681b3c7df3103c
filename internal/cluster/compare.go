package cluster

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

// Comparison runs one scenario under several placement policies.
type Comparison struct {
	// Base holds the options of all runs, except for the policy and the kind of fault.
	Base     Options
	Policies []settings.Policy
	// Faults lists the faults under each of which every policy is measured. The empty
	// kind means no fault. Nil is the same as a list of one empty kind.
	Faults []fault.Kind
	// Rounds is the number of times that the list of policies is run through.
	Rounds int
	// WithoutLong adds to each run a second run without long prompts, for comparison.
	WithoutLong bool
	// Scale is the factor of the durations in the scenario, for the report only.
	Scale float64
	// Progress receives the name of a run and the numbers of its requests that were sent,
	// have ended and are in the schedule. It may be nil.
	Progress func(name string, sent, ended, total int)
}

// Run measures every policy with the same schedule of requests, each on a new cluster.
func (c *Comparison) Run(ctx context.Context) (*load.Report, error) {
	scenario := c.Base.Scenario
	report := &load.Report{
		Scenario: scenario.Name, Seed: scenario.Seed, Scale: c.Scale, StartedAt: time.Now(),
		Processors: runtime.GOMAXPROCS(0), Bound: load.ComputeBound(scenario, scenario.Schedule(true)),
	}
	for round := range c.Rounds {
		for _, policy := range c.Policies {
			runs, err := c.runFaults(ctx, policy, round+1)
			if err != nil {
				return nil, err
			}
			report.Runs = append(report.Runs, runs...)
		}
	}
	return report, nil
}

// runFaults measures a policy once under each fault.
func (c *Comparison) runFaults(ctx context.Context, policy settings.Policy, round int) ([]load.RunReport, error) {
	faults := c.Faults
	if len(faults) == 0 {
		faults = []fault.Kind{""}
	}
	var runs []load.RunReport
	for _, kind := range faults {
		c.Base.Fault.Kind = kind
		run, err := c.runPolicy(ctx, policy, round)
		if err != nil {
			return nil, err
		}
		if kind != "" {
			run.Policy += ", fault " + string(kind)
		}
		runs = append(runs, *run)
	}
	return runs, nil
}

// runPolicy measures a policy under the fault that Base holds, with long prompts and, if
// WithoutLong is set, also without long prompts.
func (c *Comparison) runPolicy(ctx context.Context, policy settings.Policy, round int) (*load.RunReport, error) {
	report := &load.RunReport{Policy: string(policy), Round: round}
	samples, evidence, err := c.runOnce(ctx, policy, round, true)
	if err != nil {
		return nil, err
	}
	report.WithLong = load.Measure(samples)
	report.Promises = load.CheckPromises(samples, evidence)
	report.Engines = evidence.SumCounters()
	if !c.WithoutLong {
		return report, nil
	}
	samples, evidence, err = c.runOnce(ctx, policy, round, false)
	if err != nil {
		return nil, err
	}
	without := load.Measure(samples)
	report.WithoutLong = &without
	report.Promises = load.MergePromises(report.Promises, load.CheckPromises(samples, evidence))
	if without.Short.P95 > 0 {
		report.ShortSlowdown = report.WithLong.Short.P95 / without.Short.P95
	}
	return report, nil
}

func (c *Comparison) runOnce(ctx context.Context, policy settings.Policy, round int, withLong bool) ([]load.Sample, load.Evidence, error) {
	name := fmt.Sprintf("%s-%d", policy, round)
	if c.Base.Fault.Kind != "" {
		name += "-" + string(c.Base.Fault.Kind)
	}
	if !withLong {
		name += "-without-long"
	}
	options := c.Base
	options.Policy = policy
	var progress load.ProgressFunc
	if c.Progress != nil {
		progress = func(sent, ended, total int) { c.Progress(name, sent, ended, total) }
	}
	samples, evidence, err := RunLoad(ctx, options, withLong, name, progress)
	if err != nil {
		return nil, load.Evidence{}, fmt.Errorf("run %s: %w", name, err)
	}
	return samples, evidence, nil
}
