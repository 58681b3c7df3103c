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
	KindKill              Kind = "kill"
	KindKillControlVMs    Kind = "kill_control"
	KindFreeze            Kind = "freeze"
	KindWipe              Kind = "wipe"
	KindPartition         Kind = "cut"
	KindPartitionOutbound Kind = "cut_from"
	KindPartitionInbound  Kind = "cut_to"
	KindDelay             Kind = "delay"
	KindResetConnections  Kind = "reset"
	KindStallConnections  Kind = "silence"
	KindWorkerCrash       Kind = "worker_crash"
	KindWorkerFault       Kind = "worker_fault"
	KindTerminate         Kind = "roll"
	KindHangupSignal      Kind = "hang_up"
	KindWorkerDrain       Kind = "worker_leave"
	KindConfigChange      Kind = "config"
	KindConfigRace        Kind = "config_race"
)

const (
	// plannedSteps is the planned work of a run, faultSteps the faults of one of
	// its bursts.
	plannedSteps = 14
	faultSteps   = 6
)

var planned = map[Kind]bool{KindTerminate: true, KindHangupSignal: true, KindWorkerDrain: true, KindConfigChange: true, KindConfigRace: true}

// Step is a fault or planned work at a time after the start of the load.
type Step struct {
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	// Target is the node that it hits, empty for all.
	Target string
	// Variant chooses among the variants of a kind.
	Variant int
}

// String returns the step as the time line shows it.
func (s Step) String() string {
	return fmt.Sprintf("%7.3fs %-14s %-10s for %5.2fs variant %d", s.At.Seconds(), s.Kind, s.Target, s.Duration.Seconds(), s.Variant)
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
			step.Duration = min(step.Duration, begin+burstTime+time.Second-step.At)
			steps = append(steps, step)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

func plannedStep(random *rand.Rand, s shape, at time.Duration) Step {
	step := Step{At: at, Variant: random.IntN(4)}
	switch draw := random.IntN(10); {
	case draw < 2:
		step.Kind, step.Target = KindTerminate, s.entry(random.IntN(s.entries))
	case draw < 3:
		step.Kind, step.Target = KindTerminate, s.control(random.IntN(s.controls))
	case draw < 4:
		step.Kind, step.Target = KindHangupSignal, s.entry(random.IntN(s.entries))
	case draw < 5:
		step.Kind, step.Target = KindWorkerDrain, s.worker(random.IntN(s.workers()))
	case draw < 6:
		step.Kind = KindConfigRace
	default:
		step.Kind = KindConfigChange
	}
	return step
}

func faultStep(random *rand.Rand, s shape, at time.Duration) Step {
	step := Step{At: at, Duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second))), Variant: random.IntN(5)}
	node := func() string {
		if random.IntN(2) == 0 {
			return s.control(random.IntN(s.controls))
		}
		return s.entry(random.IntN(s.entries))
	}
	kinds := []Kind{
		KindKill, KindKill, KindKillControlVMs, KindFreeze, KindFreeze, KindWipe, KindPartition, KindPartitionOutbound, KindPartitionInbound, KindDelay, KindResetConnections, KindStallConnections,
		KindWorkerCrash, KindWorkerFault, KindWorkerFault,
	}
	step.Kind = kinds[random.IntN(len(kinds))]
	switch step.Kind {
	case KindKillControlVMs:
		step.Duration = 0
	case KindWipe:
		step.Target = s.control(random.IntN(s.controls))
	case KindWorkerCrash, KindWorkerFault:
		step.Target = s.worker(random.IntN(s.workers()))
	case KindPartition, KindPartitionOutbound, KindPartitionInbound, KindResetConnections, KindStallConnections, KindDelay:
		if step.Target = node(); random.IntN(4) == 0 {
			step.Target = s.worker(random.IntN(s.workers()))
		}
	default:
		step.Target = node()
	}
	return step
}
