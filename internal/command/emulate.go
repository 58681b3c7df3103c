package command

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/emulate"
)

// EmulateArguments are the arguments of "emulate".
type EmulateArguments struct {
	Scale       float64 `arg:"--scale" default:"1" help:"factor on the request rate of the standard load"`
	Grown       bool    `arg:"--grown" help:"use the load and the servers of the larger fleet"`
	Large       bool    `arg:"--large" help:"use the load and the servers of a fleet of hundreds of entry VMs"`
	Alternating bool    `arg:"--alternating" help:"add alternating bursts of short and of long requests"`
	Slow        bool    `arg:"--slow" help:"make a sixth of the servers slow for some seconds"`
	Servers     int     `arg:"--servers" help:"number of model servers [default: that of the fleet]"`
	Alone       int     `arg:"--alone" help:"number of entry VMs that each schedule on their own; 0 for a single scheduler [default: 0]"`
	BusyZone    float64 `arg:"--busy-zone" help:"with --alone: how many times the callers of another entry VM those of one of three zones have; 0 for the same [default: 0]"`
	EqualShares bool    `arg:"--equal-shares" help:"with --alone: equal shares of the slots whatever the callers"`
	Measured    bool    `arg:"--measured" help:"with --alone: shares by the slots that were in use in a run before with one scheduler, instead of by the numbers of callers"`
	Teams       int     `arg:"--teams" help:"number of teams that send the requests; 0 for requests without teams [default: 0]"`
	Flood       float64 `arg:"--flood" help:"add a team that sends this many times the short requests of all others from 10 s to 20 s, and retries at once; needs --teams [default: 0]"`
	Burst       float64 `arg:"--burst" help:"factor on all rates from 10 s to 20 s; callers retry up to 10 times [default: 0, no burst]"`
	Seeds       int     `arg:"--seeds" default:"6" help:"number of simulations, with seeds from 0; their results are added up"`
}

// largestTenthSuffix is appended to the name of a kind of requests for the row of its
// largest tenth.
const largestTenthSuffix = ", largest tenth"

func (a *EmulateArguments) run(output Output) int {
	if a.Scale <= 0 || a.Servers < 0 || a.Alone < 0 || a.Seeds <= 0 || a.BusyZone < 0 || a.Teams < 0 || a.Burst < 0 || a.Flood < 0 || a.Flood > 0 && a.Teams == 0 {
		fmt.Fprintln(output.Err, "--scale and --seeds must be positive, --servers, --alone, --busy-zone, --teams, --burst and --flood must not be negative, --flood needs --teams")
		return ExitUsage
	}
	load, fleet := emulate.StandardLoad(a.Scale), emulate.StandardFleet()
	if a.Grown {
		load, fleet = emulate.GrownLoad(a.Scale), emulate.GrownFleet()
	}
	if a.Large {
		load, fleet = emulate.LargeLoad(a.Scale), emulate.LargeFleet()
	}
	if a.Alternating {
		load = emulate.WithAlternatingBursts(load)
	}
	if a.Teams > 0 {
		load = emulate.WithTeams(load, a.Teams)
	}
	if a.Burst > 0 {
		load = emulate.WithRetries(emulate.WithBurst(load, a.Burst, 10*time.Second, 20*time.Second), 10)
	}
	if a.Flood > 0 {
		load = emulate.WithFlood(load, a.Flood, 10*time.Second, 20*time.Second, 50*time.Millisecond)
	}
	if a.Slow {
		fleet = emulate.WithSlowServers(fleet)
	}
	fleet.IndependentEntryVMs, fleet.BusyZoneFactor, fleet.EqualShares = a.Alone, a.BusyZone, a.EqualShares
	fleet.MeasuredDemand = a.Measured
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

// play runs the simulations of all seeds concurrently and returns the sum of their
// results by name of the row.
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
			add(name+largestTenthSuffix, *tally)
		}
	}
	return rows
}
