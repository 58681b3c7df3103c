// Package command implements the command line of the godwityoke binary: it parses the
// arguments, runs the command and returns an exit code. The work itself is done by the
// packages that the commands call.
package command

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes of the binary.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed, a file has mistakes, a request was
	// refused, or a run broke a promise.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

// Arguments is the command line, with one field for each command.
type Arguments struct {
	Serve    *ServeArguments    `arg:"subcommand:serve" help:"run the process of one VM from a settings file"`
	Settings *SettingsArguments `arg:"subcommand:settings" help:"check a settings file"`
	Capacity *CapacityArguments `arg:"subcommand:capacity" help:"update the tables of a capacity page from benchmark results"`
	Bundle   *BundleArguments   `arg:"subcommand:bundle" help:"create operator keys; check, compare, sign, submit, roll out and watch bundles"`
	VM       *VMArguments       `arg:"subcommand:vm" help:"list, add and remove control VMs"`
	Zones    *ZonesArguments    `arg:"subcommand:zones" help:"evacuate, restore and list availability zones of a platform"`
	Standin  *StandinArguments  `arg:"subcommand:standin" help:"run a stand-in for a backend server"`
	Demo     *DemoArguments     `arg:"subcommand:demo" help:"run a demonstration of the whole system in one process, in less than a minute"`
	Platform *PlatformArguments `arg:"subcommand:platform" help:"run a VM from the boot file of a platform, or check the file"`
	Explain  *ExplainArguments  `arg:"subcommand:explain" help:"print the log lines about one request from several log files, in order of time"`
	Route    *RouteArguments    `arg:"subcommand:route" help:"show where a request would go"`
	Hedge    *HedgeArguments    `arg:"subcommand:hedge" help:"show and change the limits of hedged requests of running entry VMs of a platform"`
	Emulate  *EmulateArguments  `arg:"subcommand:emulate" help:"simulate load on emulated model servers and print how the scheduler serves it"`
	Soak     *SoakArguments     `arg:"subcommand:soak" help:"run all processes under random faults and report broken promises"`
	Load     *LoadArguments     `arg:"subcommand:load" help:"send the load of a scenario and report the measurements"`
}

// Description implements arg.Described. The parser prints it at the top of the help
// text of every command.
func (Arguments) Description() string {
	return "godwityoke: a serving layer that places requests with prompts of very different lengths on backend servers"
}

// Output holds the streams that a command writes to: Out for results, Err for errors
// and progress.
type Output struct {
	Out io.Writer
	Err io.Writer
}

// Main parses args, which do not include the program name, runs the command and returns
// its exit code.
func Main(args []string) int {
	var arguments Arguments
	output := Output{Out: os.Stdout, Err: os.Stderr}
	parser, err := arg.NewParser(arg.Config{Program: "godwityoke"}, &arguments)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	switch err := parser.Parse(args); err {
	case nil:
		return arguments.run(parser, output)
	case arg.ErrHelp:
		_ = parser.WriteHelpForSubcommand(output.Out, parser.SubcommandNames()...)
		return ExitOK
	default:
		_ = parser.WriteUsageForSubcommand(output.Err, parser.SubcommandNames()...)
		fmt.Fprintln(output.Err, "error:", err)
		return ExitUsage
	}
}

// run runs the command that was parsed. Without one, it prints the help text and
// returns ExitUsage.
func (a *Arguments) run(parser *arg.Parser, output Output) int {
	if code, known := a.runGroup(output); known {
		return code
	}
	switch {
	case a.Serve != nil:
		return a.Serve.run(output)
	case a.Capacity != nil:
		return a.Capacity.run(output)
	case a.Settings != nil && a.Settings.Check != nil:
		return a.Settings.Check.run(output)
	case a.Explain != nil:
		return a.Explain.run(output)
	case a.Emulate != nil:
		return a.Emulate.run(output)
	case a.Soak != nil:
		return a.Soak.run(output)
	case a.Standin != nil && a.Standin.Engine != nil:
		return a.Standin.Engine.run(output)
	case a.Standin != nil && a.Standin.Service != nil:
		return a.Standin.Service.run(output)
	case a.Demo != nil:
		return a.Demo.run(output)
	case a.Load != nil:
		return a.Load.run(output)
	}
	_ = parser.WriteHelpForSubcommand(output.Err, parser.SubcommandNames()...)
	return ExitUsage
}

// runGroup runs a command that has subcommands and returns its exit code, or false if there is
// none.
func (a *Arguments) runGroup(output Output) (code int, known bool) {
	switch {
	case a.Bundle != nil:
		return a.Bundle.run(output)
	case a.VM != nil:
		return a.VM.run(output)
	case a.Zones != nil:
		return a.Zones.run(output)
	case a.Platform != nil:
		return a.Platform.run(output)
	case a.Route != nil:
		return a.Route.run(output)
	case a.Hedge != nil:
		return a.Hedge.run(output)
	}
	return 0, false
}
