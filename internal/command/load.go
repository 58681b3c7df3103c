package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/cluster"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/settings"
)

// LoadArguments are the arguments of "load".
type LoadArguments struct {
	Scenario string  `arg:"--scenario,required" help:"scenario file, JSON with comments"`
	Policies string  `arg:"--policies" default:"two_choices" help:"placement policies to compare, separated by commas"`
	Rounds   int     `arg:"--rounds" default:"1" help:"how often all policies are measured, in turn"`
	Scale    float64 `arg:"--scale" default:"1" help:"factor on the duration of the phases"`
	OnlyLong bool    `arg:"--no-comparison" help:"leave out the runs without long prompts, which give the short slowdown"`
	JSON     string  `arg:"--json" help:"file for the report as JSON"`
	Plot     string  `arg:"--plot" help:"file for the report as SVG"`
	LogLevel string  `arg:"--log-level" default:"error" help:"zerolog level of the system's own log"`
}

// Description is shown by --help.
func (LoadArguments) Description() string {
	return "Starts the system of a scenario in this process, offers its load and reports the measures and the promises kept."
}

func (a *LoadArguments) run(output Output) int {
	scenario, findings, err := load.ReadScenario(a.Scenario)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFindings
	}
	if len(findings) > 0 {
		fmt.Fprintln(output.Err, findings.Error())
		return ExitFindings
	}
	policies, err := parsePolicies(a.Policies)
	if err != nil || a.Scale <= 0 || a.Rounds < 1 {
		fmt.Fprintln(output.Err, "wrong --policies, --scale or --rounds:", err)
		return ExitUsage
	}
	logger, err := observe.NewLogger(output.Err, observe.LogConsole, a.LogLevel)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	return a.compare(output, scenario.Scaled(a.Scale), policies, logger)
}

func (a *LoadArguments) compare(output Output, scenario *load.Scenario, policies []settings.Policy, logger zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	comparison := cluster.Comparison{
		Base:     cluster.Options{Scenario: scenario, Builders: builders(), Logger: logger},
		Policies: policies, Rounds: a.Rounds, WithoutLong: !a.OnlyLong, Scale: a.Scale,
		Progress: printProgress(output),
	}
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
	if report.Broken() > 0 {
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
