package command

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/settings"
)

// SettingsArguments holds the subcommands of "settings".
type SettingsArguments struct {
	Check *SettingsCheckArguments `arg:"subcommand:check" help:"check a settings file and print each mistake with its position"`
}

// SettingsCheckArguments are the arguments of "settings check".
type SettingsCheckArguments struct {
	File string `arg:"positional,required" help:"settings file, JSON with comments"`
}

func (a *SettingsCheckArguments) run(output Output) int {
	_, err := findingsAsError(settings.Load(a.File))
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	fmt.Fprintf(output.Out, "%s: no mistakes\n", a.File)
	return ExitOK
}
