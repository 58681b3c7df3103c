package command

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"godwityoke.example/godwityoke/internal/emulate"
)

// EmulateArguments are the arguments of "emulate".
type EmulateArguments struct {
	Scale       float64 `arg:"--scale" default:"1" help:"load against that of today"`
	Grown       bool    `arg:"--grown" help:"the mix and the servers of the grown fleet"`
	Alternating bool    `arg:"--alternating" help:"bursts of short and of long requests by turns"`
	Servers     int     `arg:"--servers" help:"model servers [default: those of the fleet]"`
	Alone       int     `arg:"--alone" help:"entry VMs that each place requests by themselves, 0 for a scheduler that knows all"`
	Seeds       int     `arg:"--seeds" default:"6" help:"plays that are summed up"`
}

// largestSuffix marks the row of the largest tenth of a kind.
const largestSuffix = ", largest tenth"

func (a *EmulateArguments) run(output Output) int {
	if a.Scale <= 0 || a.Servers < 0 || a.Alone < 0 || a.Seeds <= 0 {
		fmt.Fprintln(output.Err, "--scale and --seeds must be positive, --servers and --alone not negative")
		return ExitUsage
	}
	load, fleet := emulate.StandardLoad(a.Scale), emulate.StandardFleet()
	if a.Grown {
		load, fleet = emulate.GrownLoad(a.Scale), emulate.GrownFleet()
	}
	if a.Alternating {
		load = emulate.WithAlternatingBursts(load)
	}
	fleet.IndependentEntryVMs = a.Alone
	if a.Servers > 0 {
		fleet.Servers = a.Servers
	}
	rows := a.play(load, fleet)
	fmt.Fprintf(output.Out, "%-22s %8s %8s %8s %8s %8s %7s %7s\n", "requests", "asked", "in time", "late", "refused", "lost", "credit", "net")
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		row := rows[name]
		fmt.Fprintf(output.Out, "%-22s %8d %8d %8d %8d %8d %7.3f %7.3f\n", name, row.Requests, row.OnTime, row.Late, row.Refused, row.Lost, row.CreditRatio(), row.NetCreditRatio())
	}
	return ExitOK
}

// play sums up the plays of all seeds by kind.
func (a *EmulateArguments) play(load emulate.Load, fleet emulate.Fleet) map[string]*emulate.Tally {
	results := make([]*emulate.Result, a.Seeds)
	var running sync.WaitGroup
	for seed := range results {
		running.Go(func() { results[seed] = emulate.Run(load, fleet, uint64(seed)) })
	}
	running.Wait()
	rows := map[string]*emulate.Tally{"all": {}}
	add := func(name string, tally emulate.Tally) {
		if rows[name] == nil {
			rows[name] = &emulate.Tally{}
		}
		rows[name].Add(tally)
	}
	for _, result := range results {
		add("all", result.Total())
		for name, tally := range result.Kinds {
			add(name, *tally)
		}
		for name, tally := range result.LargestTenth {
			add(name+largestSuffix, *tally)
		}
	}
	return rows
}
