package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or planned work.
type Kind string

// Kinds of faults. Those of planned are work of an operator, which callers must
// not notice.
const (
	KindKill    Kind = "kill"
	KindKillAll Kind = "kill_control"
	KindFreeze  Kind = "freeze"
	KindWipe    Kind = "wipe"
	KindCut     Kind = "cut"
	KindCutFrom Kind = "cut_from"
	KindCutTo   Kind = "cut_to"
	KindDelay   Kind = "delay"
	KindReset   Kind = "reset"
	KindSilence Kind = "silence"
	KindCrash   Kind = "worker_crash"
	KindMisdo   Kind = "worker_fault"
	KindRoll    Kind = "roll"
	KindHangUp  Kind = "hang_up"
	KindLeave   Kind = "worker_leave"
	KindConfig  Kind = "config"
	KindConfig2 Kind = "config_race"
)

const (
	// plannedSteps is the planned work of a run, faultSteps the faults of one of
	// its bursts.
	plannedSteps = 14
	faultSteps   = 6
)

var planned = map[Kind]bool{KindRoll: true, KindHangUp: true, KindLeave: true, KindConfig: true, KindConfig2: true}

// Step is a fault or planned work at a time after the start of the load.
type Step struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target is the node that it hits, empty for all.
	Target string
	// Strength chooses among the variants of a kind.
	Strength int
}

// String returns the step as the time line shows it.
func (s Step) String() string {
	return fmt.Sprintf("%7.3fs %-14s %-10s for %5.2fs variant %d", s.At.Seconds(), s.Kind, s.Target, s.For.Seconds(), s.Strength)
}

// shape is the size of a deployment.
type shape struct {
	entries, controls, models, desks int
}

func (s shape) entry(i int) string   { return fmt.Sprintf("entry-%d", i+1) }
func (s shape) control(i int) string { return fmt.Sprintf("control-%d", i+1) }
func (s shape) worker(i int) string  { return fmt.Sprintf("worker-%d", i+1) }
func (s shape) workers() int         { return s.models + s.desks }

// Times of a plan: faults come in two bursts, with calm in between and after
// them, in which the bounds hold that faults suspend. Planned work goes on.
const (
	burstTime  = 4 * time.Second
	calmTime   = 8 * time.Second
	loadTime   = 2*burstTime + 2*calmTime
	lastStepAt = loadTime - 4*time.Second
)

// makePlan draws the steps of a seed. Every third seed has planned work only.
func makePlan(seed uint64, s shape) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for range plannedSteps {
		steps = append(steps, plannedStep(random, s, time.Duration(random.Int64N(int64(lastStepAt)))))
	}
	if seed%3 != 0 {
		wiped := false
		for i := range 2 * faultSteps {
			begin := time.Duration(i%2) * (burstTime + calmTime)
			step := faultStep(random, s, begin+time.Duration(random.Int64N(int64(burstTime))))
			if step.Kind == KindWipe {
				if wiped {
					continue // the control group bears the loss of one disk
				}
				wiped = true
			}
			step.For = min(step.For, begin+burstTime+time.Second-step.At)
			steps = append(steps, step)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

func plannedStep(random *rand.Rand, s shape, at time.Duration) Step {
	step := Step{At: at, Strength: random.IntN(4)}
	switch draw := random.IntN(10); {
	case draw < 2:
		step.Kind, step.Target = KindRoll, s.entry(random.IntN(s.entries))
	case draw < 3:
		step.Kind, step.Target = KindRoll, s.control(random.IntN(s.controls))
	case draw < 4:
		step.Kind, step.Target = KindHangUp, s.entry(random.IntN(s.entries))
	case draw < 5:
		step.Kind, step.Target = KindLeave, s.worker(random.IntN(s.workers()))
	case draw < 6:
		step.Kind = KindConfig2
	default:
		step.Kind = KindConfig
	}
	return step
}

func faultStep(random *rand.Rand, s shape, at time.Duration) Step {
	step := Step{At: at, For: 300*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second))), Strength: random.IntN(5)}
	node := func() string {
		if random.IntN(2) == 0 {
			return s.control(random.IntN(s.controls))
		}
		return s.entry(random.IntN(s.entries))
	}
	kinds := []Kind{
		KindKill, KindKill, KindKillAll, KindFreeze, KindFreeze, KindWipe, KindCut, KindCutFrom, KindCutTo, KindDelay, KindReset, KindSilence,
		KindCrash, KindMisdo, KindMisdo,
	}
	step.Kind = kinds[random.IntN(len(kinds))]
	switch step.Kind {
	case KindKillAll:
		step.For = 0
	case KindWipe:
		step.Target = s.control(random.IntN(s.controls))
	case KindCrash, KindMisdo:
		step.Target = s.worker(random.IntN(s.workers()))
	case KindCut, KindCutFrom, KindCutTo, KindReset, KindSilence, KindDelay:
		if step.Target = node(); random.IntN(4) == 0 {
			step.Target = s.worker(random.IntN(s.workers()))
		}
	default:
		step.Target = node()
	}
	return step
}
