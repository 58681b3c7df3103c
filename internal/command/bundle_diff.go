package command

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/bundle"
)

// BundleDiffArguments are the arguments of "bundle diff".
type BundleDiffArguments struct {
	ControlVMArguments
	File string `arg:"positional,required" help:"bundle file, JSON with comments"`
}

// run prints the changes of the file against the newest accepted bundle, or against no
// bundle if none has been accepted.
func (a *BundleDiffArguments) run(output Output) int {
	content, err := loadCanonical(a.File)
	if err != nil {
		return output.fail(err)
	}
	after, err := bundle.Decode(content)
	if err != nil {
		return output.fail(err)
	}
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	newest, err := client.Newest(ctx)
	if err != nil {
		return output.fail(err)
	}
	var before *bundle.Bundle
	if newest.Version > 0 {
		if before, err = bundle.Decode(newest.Content); err != nil {
			return output.fail(err)
		}
	}
	changes, err := bundle.Diff(before, after)
	if err != nil {
		return output.fail(err)
	}
	for _, change := range changes {
		_, _ = fmt.Fprintln(output.Out, change)
	}
	_, _ = fmt.Fprintf(output.Out, "%d changes against version %d\n", len(changes), newest.Version)
	return ExitOK
}
