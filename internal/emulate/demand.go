package emulate

import (
	"math"
	"time"

	"godwityoke.example/godwityoke/internal/schedule"
)

// measureInterval is the time between two measurements of the slots in use.
const measureInterval = 50 * time.Millisecond

// demandOf returns the callers of entry VM i relative to others.
func (f *Fleet) demandOf(i int) float64 {
	if f.BusyZoneFactor > 0 && i%3 == 0 {
		return f.BusyZoneFactor
	}
	return 1
}

// demandOfAll returns the sum of demandOf over all entry VMs.
func (f *Fleet) demandOfAll() float64 {
	total := 0.0
	for i := range max(1, f.IndependentEntryVMs) {
		total += f.demandOf(i)
	}
	return total
}

// shareOf returns the share of entry VM i.
func (f *Fleet) shareOf(i int) float64 {
	if f.EqualShares {
		return schedule.DemandShare(0, 0, f.IndependentEntryVMs)
	}
	if f.demand != nil {
		return schedule.DemandShare(f.demand.own[i].Mean(), math.Ceil(f.demand.all.Mean()), f.IndependentEntryVMs)
	}
	return schedule.DemandShare(f.demandOf(i), f.demandOfAll(), f.IndependentEntryVMs)
}

// chooseEntryVM returns the index of the entry VM that the next caller uses.
func (e *emulation) chooseEntryVM() int {
	vms := max(1, e.fleet.IndependentEntryVMs)
	if e.fleet.BusyZoneFactor == 0 {
		return e.random.IntN(vms)
	}
	left := e.random.Float64() * e.fleet.demandOfAll()
	for i := range vms {
		if left -= e.fleet.demandOf(i); left < 0 {
			return i
		}
	}
	return vms - 1
}

// measuredDemand is what entry VMs and the leader measure of the slots in use.
type measuredDemand struct {
	own []schedule.Demand
	all schedule.Demand
}

// measureDemand returns what is measured at the end of a run with one scheduler for all and other
// requests.
func measureDemand(load Load, fleet Fleet, seed uint64) *measuredDemand {
	e := newEmulation(load, fleet, ^seed)
	e.demand = &measuredDemand{own: make([]schedule.Demand, fleet.IndependentEntryVMs)}
	leader := e.dispatchers[0]
	leader.SetShare(1, 0)
	e.dispatchers = e.dispatchers[:1]
	for elapsed := time.Duration(0); elapsed < load.Duration; elapsed += measureInterval {
		e.runAt(e.start.Add(elapsed), func(now time.Time) {
			e.demand.all.Measure(now, leader.Placed())
			for i := range e.demand.own {
				e.demand.own[i].Measure(now, len(leader.PlacedBy(uint64(i+1))))
			}
		})
	}
	e.run()
	return e.demand
}
