package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/routing"
	"godwityoke.example/godwityoke/internal/settings"
)

// ServeArguments are the arguments of "serve".
type ServeArguments struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

func (a *ServeArguments) run(output Output) int {
	loaded, err := findingsAsError(settings.Load(a.Settings))
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	lines := observe.NewLineWriter(output.Err)
	defer lines.Close(logFlushTimeout)
	logger, err := observe.NewLogger(lines, loaded.Log.Format, loaded.Log.Level)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	// The buffer holds two signals: the first starts a planned stop, the second ends it
	// at once.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	options := process.Options{Settings: loaded, Logger: logger, Builders: builders()}
	if err := process.Run(context.Background(), options, signals); err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	return ExitOK
}

// builders returns the builders of the components of a process other than the entry
// for callers.
func builders() []process.Builder {
	return []process.Builder{process.BuildDistribution, process.BuildControl, process.BuildClaims, routing.Build}
}
