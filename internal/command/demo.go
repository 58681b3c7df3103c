package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"godwityoke.example/godwityoke/internal/demo"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/settings"
)

// DemoArguments are the arguments of "demo".
type DemoArguments struct {
	Policy   string `arg:"--policy" default:"leases" help:"placement policy: round_robin, least_inflight, two_choices or leases"`
	LogLevel string `arg:"--log-level" default:"fatal" help:"minimum level of the system's log lines, as named by zerolog"`
}

// Description implements arg.Described.
func (DemoArguments) Description() string {
	return "Runs the whole system in this process for less than a minute, under load and with failures, " +
		"and prints the measurements and every promise with its count. Exits with 1 if a promise is broken."
}

func (a *DemoArguments) run(output Output) int {
	policies, err := parsePolicies(a.Policy)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	logger, err := observe.NewLogger(output.Err, observe.LogConsole, a.LogLevel)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = demo.Run(ctx, demo.Options{
		Out: output.Out, Progress: output.Err, Policy: settings.Policy(policies[0]), Builders: builders(), Logger: logger,
	})
	switch {
	case errors.Is(err, demo.ErrPromiseBroken):
		fmt.Fprintln(output.Out, "result: a promise was broken")
		return ExitFailure
	case err != nil:
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	fmt.Fprintln(output.Out, "result: every promise was kept")
	return ExitOK
}
