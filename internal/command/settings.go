package command

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/settings"
)

// SettingsArguments are the commands on settings files.
type SettingsArguments struct {
	Check *SettingsCheckArguments `arg:"subcommand:check" help:"print every mistake of a settings file with its place"`
}

// SettingsCheckArguments are the arguments of "settings check".
type SettingsCheckArguments struct {
	File string `arg:"positional,required" help:"settings file, JSON with comments"`
}

func (a *SettingsCheckArguments) run(output Output) int {
	_, err := withoutFindings(settings.Load(a.File))
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	fmt.Fprintf(output.Out, "%s: no mistakes\n", a.File)
	return ExitOK
}
