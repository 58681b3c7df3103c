package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// seriesCount is the number of series of planned work that are added to a run, endingStepCount the number of steps of
	// KindWorkerEnding.
	seriesCount     = 5
	endingStepCount = 6
	// lastSeriesAt is the latest start of a series.
	lastSeriesAt = lastStepAt - 2*time.Second
)

// A seed draws its endings from drawnEndings. Every fourth seed also draws one of hiddenEndings, in which a worker that still
// runs cuts off answers that look complete.
var (
	drawnEndings  = []Ending{EndBeforeDeadline, EndByClosing, EndByDeath, EndAtStop, EndEmptyResume}
	hiddenEndings = []Ending{EndByClosingEarly, EndAtStopListening}
)

// addSeries adds to a plan series of signals, restarts, changes and leaving workers, each in quick succession, and workers
// that end their answers in the two ways of the seed.
func addSeries(steps []Step, seed uint64, s topology) []Step {
	random := rand.New(rand.NewPCG(seed, 2))
	for range seriesCount {
		steps = append(steps, drawSeries(random, s, time.Duration(random.Int64N(int64(lastSeriesAt))))...)
	}
	first := random.IntN(len(drawnEndings))
	ways := []Ending{drawnEndings[first], drawnEndings[(first+1+random.IntN(len(drawnEndings)-1))%len(drawnEndings)]}
	if seed%4 == 0 {
		ways[1] = hiddenEndings[random.IntN(len(hiddenEndings))]
	}
	for i := range endingStepCount {
		at := time.Duration(i)*lastSeriesAt/endingStepCount + time.Duration(random.Int64N(int64(time.Second)))
		steps = append(steps, drawEnding(random, s, ways[i%len(ways)], at)...)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// drawEnding draws a worker that ends its answers in one way for a while. With EndEmptyResume all model workers do but one,
// which crashes meanwhile.
func drawEnding(random *rand.Rand, s topology, ending Ending, at time.Duration) []Step {
	step := Step{
		At: at, Duration: 1500*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))),
		Kind: KindWorkerEnding, Target: s.worker(random.IntN(s.models)), Variant: int(ending),
	}
	if ending.omitsLength() && random.IntN(3) == 0 {
		step.Target = s.worker(random.IntN(s.workers()))
	}
	if ending != EndEmptyResume {
		return []Step{step}
	}
	crashed := random.IntN(s.models)
	steps := []Step{{At: at + step.Duration/2, Kind: KindWorkerCrash, Target: s.worker(crashed)}}
	for i := range s.models {
		if i != crashed {
			step.Target = s.worker(i)
			steps = append(steps, step)
		}
	}
	return steps
}

// drawSeries draws one series that begins at a time.
func drawSeries(random *rand.Rand, s topology, at time.Duration) []Step {
	var steps []Step
	add := func(after time.Duration, kind Kind, target string) {
		steps = append(steps, Step{At: at + after, Kind: kind, Target: target, Variant: random.IntN(4)})
	}
	within := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	vm := func() string {
		if random.IntN(3) == 0 {
			return s.control(random.IntN(s.controls))
		}
		return s.entry(random.IntN(s.entries))
	}
	rollEntries := func(limit time.Duration) {
		for _, i := range random.Perm(s.entries)[:1+random.IntN(s.entries-1)] {
			add(within(limit), KindTerminate, s.entry(i))
		}
	}
	switch random.IntN(6) {
	case 0: // overlapping restarts of entry VMs and of a minority of the control VMs
		rollEntries(2 * time.Second)
		for _, i := range random.Perm(s.controls)[:(s.controls-1)/2] {
			add(within(2*time.Second), KindTerminate, s.control(i))
		}
	case 1: // SIGHUP in quick succession
		for range 2 {
			target := vm()
			for range 3 + random.IntN(6) {
				add(within(400*time.Millisecond), KindHangupSignal, target)
			}
		}
	case 2: // SIGTERM and a kill before its end
		for range 1 + random.IntN(2) {
			target, after := vm(), within(time.Second)
			add(after, KindTerminate, target)
			add(after+50*time.Millisecond+within(2*time.Second), KindKill, target)
		}
	case 3: // changes back to back while VMs restart
		for range 4 + random.IntN(4) {
			add(within(time.Second), [...]Kind{KindConfigChange, KindConfigRace}[random.IntN(2)], "")
		}
		rollEntries(time.Second)
	case 4: // workers leave in a burst while an entry VM restarts
		for _, i := range random.Perm(s.models)[:max(1, s.models/2)] {
			add(within(time.Second), KindWorkerDrain, s.worker(i))
		}
		add(within(2*time.Second), KindTerminate, s.entry(random.IntN(s.entries)))
	default: // all at once
		add(within(time.Second), KindConfigRace, "")
		add(within(time.Second), KindWorkerDrain, s.worker(random.IntN(s.workers())))
		add(within(time.Second), KindTerminate, vm())
		for range 3 {
			add(within(time.Second), KindHangupSignal, vm())
			add(within(time.Second), KindConfigChange, "")
		}
	}
	return steps
}
