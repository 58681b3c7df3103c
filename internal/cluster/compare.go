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

// Comparison is a run of one scenario under several policies.
type Comparison struct {
	// Base holds all but the policy.
	Base     Options
	Policies []settings.Policy
	// Faults measures each policy once under each of these faults, the empty
	// one standing for none. Nil is the same as one empty fault.
	Faults []fault.Kind
	// Rounds repeats all policies, in turn.
	Rounds int
	// WithoutLong measures each policy a second time without long prompts.
	WithoutLong bool
	Scale       float64
	// Progress is told how far each run is, with its name. It may be nil.
	Progress func(name string, sent, ended, total int)
}

// Run measures every policy with the same arrivals, each on a new system.
func (c *Comparison) Run(ctx context.Context) (*load.Report, error) {
	scenario := c.Base.Scenario
	report := &load.Report{
		Scenario: scenario.Name, Seed: scenario.Seed, Scale: c.Scale, Started: time.Now(),
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

func (c *Comparison) runPolicy(ctx context.Context, policy settings.Policy, round int) (*load.RunReport, error) {
	report := &load.RunReport{Policy: string(policy), Round: round}
	samples, evidence, err := c.measure(ctx, policy, round, true)
	if err != nil {
		return nil, err
	}
	report.WithLong = load.Measure(samples)
	report.Promises = load.Judge(samples, evidence)
	report.Engines = evidence.Total()
	if !c.WithoutLong {
		return report, nil
	}
	samples, evidence, err = c.measure(ctx, policy, round, false)
	if err != nil {
		return nil, err
	}
	without := load.Measure(samples)
	report.WithoutLong = &without
	report.Promises = load.MergePromises(report.Promises, load.Judge(samples, evidence))
	if without.Short.P95 > 0 {
		report.ShortSlowdown = report.WithLong.Short.P95 / without.Short.P95
	}
	return report, nil
}

func (c *Comparison) measure(ctx context.Context, policy settings.Policy, round int, withLong bool) ([]load.Sample, load.Evidence, error) {
	name := fmt.Sprintf("%s-%d", policy, round)
	if c.Base.Fault.Kind != "" {
		name += "-" + string(c.Base.Fault.Kind)
	}
	if !withLong {
		name += "-without-long"
	}
	options := c.Base
	options.Policy = policy
	var progress load.Progress
	if c.Progress != nil {
		progress = func(sent, ended, total int) { c.Progress(name, sent, ended, total) }
	}
	samples, evidence, err := RunLoad(ctx, options, withLong, name, progress)
	if err != nil {
		return nil, load.Evidence{}, fmt.Errorf("run %s: %w", name, err)
	}
	return samples, evidence, nil
}
