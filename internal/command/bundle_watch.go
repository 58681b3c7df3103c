package command

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"godwityoke.example/godwityoke/internal/operatorapi"
)

// watchInterval is the polling interval of "bundle watch".
const watchInterval = 300 * time.Millisecond

// BundleStatusArguments are the arguments of "bundle status".
type BundleStatusArguments struct {
	ControlVMArguments
	JSON bool `arg:"--json" help:"print the status as JSON"`
	VMs  bool `arg:"--vms" help:"also print the status of each VM"`
}

func (a *BundleStatusArguments) run(output Output) int {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return output.fail(err)
	}
	if a.JSON {
		encoder := json.NewEncoder(output.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(status); err != nil {
			return output.fail(err)
		}
		return ExitOK
	}
	printStatus(output.Out, status, a.VMs)
	return ExitOK
}

func printStatus(out io.Writer, status *operatorapi.Status, vms bool) {
	_, _ = fmt.Fprintf(out, "version %d, digest %s, submission %s, leader %s, term %d\n",
		status.Version, status.Digest, status.SubmissionID, status.Leader, status.Term)
	for _, zone := range status.Zones {
		_, _ = fmt.Fprintln(out, zoneLine(zone))
		if !vms {
			continue
		}
		for _, vm := range zone.VMs {
			_, _ = fmt.Fprintf(out, "  %s: %s, version %d\n", vm.Name, vm.State, vm.Version)
		}
	}
	if status.Roll != nil {
		_, _ = fmt.Fprintln(out, rollLine(status.Roll))
	}
}

func zoneLine(zone operatorapi.ZoneStatus) string {
	counts := map[operatorapi.VMState]int{}
	for _, vm := range zone.VMs {
		counts[vm.State]++
	}
	return fmt.Sprintf("zone %s: %s (%d of %d VMs in force, %d behind, %d out of reach)", zone.Zone, zone.State,
		counts[operatorapi.VMInForce], len(zone.VMs), counts[operatorapi.VMBehind], counts[operatorapi.VMUnreachable])
}

func rollLine(roll *operatorapi.RollStatus) string {
	line := fmt.Sprintf("roll of version %d: %d of %d engines done", roll.Version, roll.Done, roll.Servers)
	if roll.Stopped {
		line += ", stopped"
	}
	if roll.WaitReason != "" {
		line += ", waiting: " + roll.WaitReason
	}
	return line
}

// BundleWatchArguments are the arguments of "bundle watch".
type BundleWatchArguments struct {
	ControlVMArguments
	Version uint64 `arg:"--version" help:"lowest version to wait for [default: the newest accepted version]"`
}

// run prints the changes of each zone until the bundle is in force on all VMs. It fails
// at the timeout, even if only unreachable VMs are missing.
func (a *BundleWatchArguments) run(output Output) int {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	shown := map[string]string{}
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return output.fail(err)
		}
		printChanges(output.Out, status, shown)
		if status.Version >= a.Version && status.IsInForceEverywhere() {
			_, _ = fmt.Fprintf(output.Out, "version %d is in force in every zone\n", status.Version)
			return ExitOK
		}
		select {
		case <-ctx.Done():
			_, _ = fmt.Fprintf(output.Err, "version %d is not in force in every zone\n", max(status.Version, a.Version))
			return ExitFailure
		case <-time.After(watchInterval):
		}
	}
}

// printChanges prints the line of each zone that differs from the line in shown, and
// updates shown.
func printChanges(out io.Writer, status *operatorapi.Status, shown map[string]string) {
	for _, zone := range status.Zones {
		line := fmt.Sprintf("version %d, %s", status.Version, zoneLine(zone))
		if shown[zone.Zone] != line {
			shown[zone.Zone] = line
			_, _ = fmt.Fprintln(out, line)
		}
	}
}
