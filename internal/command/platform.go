package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/platform"
)

// memoryLimitPercent is the part of a VM's memory, in percent, that the Go runtime
// aims to stay below.
const memoryLimitPercent = 75

// gcPercent lets the heap grow by this much between collections: the VMs are
// billed for their peak memory and use a few percent of their processor.
const gcPercent = 30

// logFlushTimeout is how long a process that ends waits for the reader of its log.
const logFlushTimeout = 500 * time.Millisecond

// PlatformArguments are the arguments of "platform".
type PlatformArguments struct {
	Serve *PlatformServeArguments `arg:"subcommand:serve" help:"run the process that the boot file asks for"`
	Check *PlatformCheckArguments `arg:"subcommand:check" help:"print the mistakes of a boot file"`
}

// PlatformServeArguments are the arguments of "platform serve".
type PlatformServeArguments struct {
	Boot     string `arg:"--boot" help:"boot file; by default the one that the platform's variable names"`
	Bind     string `arg:"--bind" help:"IP number of own listeners between VMs and of outgoing connections, where others reach this VM by another one"`
	LogLevel string `arg:"--log-level" default:"info" help:"lowest level that is logged"`
}

// PlatformCheckArguments are the arguments of "platform check".
type PlatformCheckArguments struct {
	Boot string `arg:"positional,required" help:"boot file of the platform"`
}

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

func (a *PlatformServeArguments) run(output Output) int {
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
	signal.Ignore(syscall.SIGPIPE) // a reader of the logs that ends must not end the process
	logger, err := observe.NewLogger(lines, observe.LogJSON, a.LogLevel)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	boot.Settings.Bind = a.Bind
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

// reloadBoot checks a changed boot file. What it holds takes effect at the next
// start of the process: addresses and ports are fixed while it runs.
func reloadBoot(path string, output Output) {
	if _, err := platform.LoadBoot(path); err != nil {
		fmt.Fprintln(output.Err, err)
	}
}
