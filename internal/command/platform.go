package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/hedge"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/platform"
)

// memoryLimitPercent is the percentage of a VM's memory that the Go runtime has as its
// soft memory limit.
const memoryLimitPercent = 75

// gcPercent is the GOGC value. It is lower than the default of 100, because VMs are billed
// for their peak memory and use only a few percent of their processor.
const gcPercent = 30

// logFlushTimeout is the maximum time that a process waits at its end until buffered log
// lines are written.
const logFlushTimeout = 500 * time.Millisecond

// PlatformArguments holds the subcommands of "platform".
type PlatformArguments struct {
	Serve *PlatformServeArguments `arg:"subcommand:serve" help:"run the process of a VM from a boot file"`
	Check *PlatformCheckArguments `arg:"subcommand:check" help:"check a boot file and print its mistakes"`
}

// PlatformServeArguments are the arguments of "platform serve".
type PlatformServeArguments struct {
	Boot     string `arg:"--boot" help:"boot file of the platform [default: the file that the platform's environment variable names]"`
	Bind     string `arg:"--bind" help:"local IP address of the internal and metrics listeners and of outgoing connections, if other VMs reach this VM at another address"`
	LogLevel string `arg:"--log-level" default:"info" help:"minimum level of the log lines, as named by zerolog"`
	// Hedge and HedgeRoutes are text, so that a mistake is reported with what it should be.
	Hedge       string   `arg:"--hedge" default:"0" placeholder:"SHARE" help:"limit of the extra server time of hedged requests, as a share of the server time of all requests from 0 to 1, such as 0.02; 0 sends none"`
	HedgeRoutes []string `arg:"--hedge-route,separate" placeholder:"NAME=SHARE" help:"lower limit of one route, as a share of the server time of its requests; may be given several times"`
}

// PlatformCheckArguments are the arguments of "platform check".
type PlatformCheckArguments struct {
	Boot string `arg:"positional,required" help:"boot file of the platform"`
}

// run runs the subcommand and returns its exit code, or false if there is none.
func (a *PlatformArguments) run(output Output) (code int, known bool) {
	switch {
	case a.Serve != nil:
		return a.Serve.run(output), true
	case a.Check != nil:
		if _, err := platform.LoadBoot(a.Check.Boot); err != nil {
			fmt.Fprintln(output.Err, err)
			return ExitFailure, true
		}
		return ExitOK, true
	}
	return 0, false
}

// hedgeLimits returns the limits of hedged requests.
func (a *PlatformServeArguments) hedgeLimits() (hedge.Limits, error) {
	return parseHedgeLimits("--hedge", a.Hedge, "--hedge-route", a.HedgeRoutes)
}

func (a *PlatformServeArguments) run(output Output) int {
	limits, err := a.hedgeLimits()
	if err != nil {
		fmt.Fprintln(output.Err, "error:", err)
		return ExitUsage
	}
	if a.Boot == "" {
		a.Boot = os.Getenv(platform.BootVariable)
	}
	boot, err := platform.LoadBoot(a.Boot)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	lines := observe.NewLineWriter(output.Out)
	defer lines.Close(logFlushTimeout)
	signal.Ignore(syscall.SIGPIPE) // the process must survive the end of the reader of its log
	logger, err := observe.NewLogger(lines, observe.LogJSON, a.LogLevel)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	boot.Settings.Bind = a.Bind
	boot.Settings.HedgeShare, boot.Settings.HedgeRoutes = limits.Share, limits.Routes
	logger = logger.With().Str("vm", boot.Settings.VM).Logger()
	debug.SetGCPercent(gcPercent)
	if boot.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(boot.Settings.MemoryBytes / 100 * memoryLimitPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for range hangups {
			reloadBoot(a.Boot, output)
		}
	}()
	if err := platform.Run(ctx, boot, logger); err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	return ExitOK
}

// reloadBoot checks a changed boot file and prints its mistakes. The changes take effect
// at the next start of the process, because addresses and ports are fixed while it runs.
func reloadBoot(path string, output Output) {
	if _, err := platform.LoadBoot(path); err != nil {
		fmt.Fprintln(output.Err, err)
	}
}
