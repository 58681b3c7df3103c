package command

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/bundle"
)

// BundleArguments holds the subcommands of "bundle".
type BundleArguments struct {
	Check  *BundleCheckArguments  `arg:"subcommand:check" help:"check a bundle file and print each mistake with its position"`
	Keygen *BundleKeygenArguments `arg:"subcommand:keygen" help:"create an operator key pair; print the public key, to be added to the settings"`
	Diff   *BundleDiffArguments   `arg:"subcommand:diff" help:"print the changes of a bundle file against the newest accepted bundle"`
	Sign   *BundleSignArguments   `arg:"subcommand:sign" help:"add an operator's signature of a bundle file to a signature file"`
	Submit *BundleSubmitArguments `arg:"subcommand:submit" help:"submit a signed bundle to the control group"`
	Roll   *BundleRollArguments   `arg:"subcommand:roll" help:"start to roll out a bundle to the model engines, or stop it"`
	Status *BundleStatusArguments `arg:"subcommand:status" help:"print in which availability zones the newest bundle is in force"`
	Watch  *BundleWatchArguments  `arg:"subcommand:watch" help:"print progress until a bundle is in force on all VMs"`
}

// run runs the subcommand and returns its exit code, or false if there is none.
func (a *BundleArguments) run(output Output) (int, bool) {
	switch {
	case a.Check != nil:
		return a.Check.run(output), true
	case a.Keygen != nil:
		return a.Keygen.run(output), true
	case a.Diff != nil:
		return a.Diff.run(output), true
	case a.Sign != nil:
		return a.Sign.run(output), true
	case a.Submit != nil:
		return a.Submit.run(output), true
	case a.Roll != nil:
		return a.Roll.run(output), true
	case a.Status != nil:
		return a.Status.run(output), true
	case a.Watch != nil:
		return a.Watch.run(output), true
	}
	return ExitUsage, false
}

// BundleCheckArguments are the arguments of "bundle check".
type BundleCheckArguments struct {
	File string `arg:"positional,required" help:"bundle file, JSON with comments"`
}

func (a *BundleCheckArguments) run(output Output) int {
	content, err := loadCanonical(a.File)
	if err != nil {
		return output.fail(err)
	}
	_, _ = fmt.Fprintf(output.Out, "%s: no mistakes, digest %s\n", a.File, bundle.Digest(content))
	return ExitOK
}

// loadCanonical returns the canonical JSON of a bundle file. If the file has mistakes,
// the error is a jsonc.Findings.
func loadCanonical(file string) ([]byte, error) {
	loaded, err := findingsAsError(bundle.Load(file))
	if err != nil {
		return nil, err
	}
	return bundle.Canonical(loaded)
}
