// Package command implements the commands of the godwityoke binary. Each
// command has its own file; all of them return an exit code.
package command

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes of the binary.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means mistakes in a file, a refusal or a broken promise.
	ExitFailure = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
)

// Arguments is the command line.
type Arguments struct {
	Serve    *ServeArguments    `arg:"subcommand:serve" help:"run the process of one VM"`
	Settings *SettingsArguments `arg:"subcommand:settings" help:"check a settings file"`
	Capacity *CapacityArguments `arg:"subcommand:capacity" help:"rewrite the tables of docs/CAPACITY.md from benchmarks"`
	Bundle   *BundleArguments   `arg:"subcommand:bundle" help:"check, sign, submit, roll and watch bundles"`
	VM       *VMArguments       `arg:"subcommand:vm" help:"list, add and remove control VMs"`
	Standin  *StandinArguments  `arg:"subcommand:standin" help:"run a stand-in for a backend server"`
	Demo     *DemoArguments     `arg:"subcommand:demo" help:"run the whole system in one process for less than a minute"`
	Platform *PlatformArguments `arg:"subcommand:platform" help:"run on the users' platform"`
	Explain  *ExplainArguments  `arg:"subcommand:explain" help:"join the log lines of one request from several files"`
	Emulate  *EmulateArguments  `arg:"subcommand:emulate" help:"play load on emulated model servers against the scheduler"`
	Soak     *SoakArguments     `arg:"subcommand:soak" help:"run the real programs under faults from a seed and judge what callers see"`
	Load     *LoadArguments     `arg:"subcommand:load" help:"offer a scenario's load and report the measures"`
}

// Description is shown by --help.
func (Arguments) Description() string {
	return "godwityoke: a serving layer for prompts of very unlike lengths"
}

// Output is where a command writes for its user.
type Output struct {
	Out io.Writer
	Err io.Writer
}

// Main parses args, without the program name, and runs the chosen command.
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

func (a *Arguments) run(parser *arg.Parser, output Output) int {
	switch {
	case a.Serve != nil:
		return a.Serve.run(output)
	case a.Capacity != nil:
		return a.Capacity.run(output)
	case a.Settings != nil && a.Settings.Check != nil:
		return a.Settings.Check.run(output)
	case a.Bundle != nil:
		if code, known := a.Bundle.run(output); known {
			return code
		}
	case a.VM != nil:
		if code, known := a.VM.run(output); known {
			return code
		}
	case a.Explain != nil:
		return a.Explain.run(output)
	case a.Emulate != nil:
		return a.Emulate.run(output)
	case a.Soak != nil:
		return a.Soak.run(output)
	case a.Platform != nil:
		if code, known := a.Platform.run(output); known {
			return code
		}
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
