package command

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/bundle"
)

// BundleArguments are the commands on bundles.
type BundleArguments struct {
	Check  *BundleCheckArguments  `arg:"subcommand:check" help:"print every mistake of a bundle file with its place"`
	Keygen *BundleKeygenArguments `arg:"subcommand:keygen" help:"make an operator key"`
	Diff   *BundleDiffArguments   `arg:"subcommand:diff" help:"show what a bundle file changes against the newest accepted bundle"`
	Sign   *BundleSignArguments   `arg:"subcommand:sign" help:"sign a bundle file as the next version"`
	Submit *BundleSubmitArguments `arg:"subcommand:submit" help:"submit a signed bundle for acceptance"`
	Roll   *BundleRollArguments   `arg:"subcommand:roll" help:"bring engines to the newest accepted bundle"`
	Status *BundleStatusArguments `arg:"subcommand:status" help:"show where the newest bundle is in force"`
	Watch  *BundleWatchArguments  `arg:"subcommand:watch" help:"watch the newest bundle take hold zone by zone"`
}

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
	content, err := loadContent(a.File)
	if err != nil {
		return output.fail(err)
	}
	_, _ = fmt.Fprintf(output.Out, "%s: no mistakes, digest %s\n", a.File, bundle.Digest(content))
	return ExitOK
}

// loadContent returns the canonical JSON of a bundle file without mistakes.
func loadContent(file string) ([]byte, error) {
	loaded, err := withoutFindings(bundle.Load(file))
	if err != nil {
		return nil, err
	}
	return bundle.Canonical(loaded)
}
