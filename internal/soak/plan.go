package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault or planned work.
type Kind string

// Kinds of steps. Those in plannedKinds are work of an operator, which callers must not notice. The others are faults.
const (
	KindKill              Kind = "kill"
	KindKillControlVMs    Kind = "kill_control"
	KindFreeze            Kind = "freeze"
	KindWipe              Kind = "wipe"
	KindReplaceControl    Kind = "replace_control"
	KindPartition         Kind = "cut"
	KindPartitionOutbound Kind = "cut_from"
	KindPartitionInbound  Kind = "cut_to"
	KindDelay             Kind = "delay"
	KindResetConnections  Kind = "reset"
	KindStallConnections  Kind = "silence"
	KindServerCut         Kind = "cut_servers"
	KindWorkerCrash       Kind = "worker_crash"
	KindWorkerFault       Kind = "worker_fault"
	KindEndlessAnswers    Kind = "endless"
	KindWorkerEnding      Kind = "worker_ending"
	KindWorkerLimit       Kind = "worker_limit"
	KindTerminate         Kind = "roll"
	KindReplaceVersion    Kind = "replace"
	KindHangupSignal      Kind = "hang_up"
	KindWorkerDrain       Kind = "worker_leave"
	KindConfigChange      Kind = "config"
	KindConfigRace        Kind = "config_race"
	KindEvacuate          Kind = "evacuate"
	KindWorkerCold        Kind = "worker_cold"
	KindControlCut        Kind = "cut_control"
)

const (
	// plannedStepCount is the number of planned steps of a run, faultStepsPerBurst the number of faults in each of
	// its bursts.
	plannedStepCount   = 14
	faultStepsPerBurst = 6
)

var plannedKinds = map[Kind]bool{
	KindTerminate: true, KindReplaceVersion: true, KindHangupSignal: true, KindWorkerLimit: true, KindWorkerDrain: true, KindConfigChange: true, KindConfigRace: true, KindEvacuate: true,
	KindWorkerCold: true,
}

// Step is a fault or planned work.
type Step struct {
	// At is the start of the step as the time since the start of the load.
	At time.Duration
	// Duration is the time that a fault lasts. Kinds without a lasting effect of their own, such as KindKill, ignore it.
	// It is 0 for planned work.
	Duration time.Duration
	Kind     Kind
	// Target is the VM or worker concerned, empty if the step concerns no single one.
	Target string
	// Targets are the entry VMs of KindServerCut and KindControlCut.
	Targets []string
	// Variant selects the version of KindReplaceVersion (0 for Options.Binary, 1 for Options.Previous), the delay of KindDelay, the fault of KindWorkerFault, the Ending of KindWorkerEnding, the limit of KindWorkerLimit in tenths of a request a second, one of the cut* variants of KindServerCut, the zone of KindEvacuate, one of the cold* variants of KindWorkerCold, and
	// whether a worker announces that it drains (even) or states it only in its answers.
	Variant int
}

// Variants of KindServerCut.
const (
	// cutHold holds back the bytes of open and new connections to workers until the end of the cut.
	cutHold = iota
	// cutReset resets open and new connections to workers.
	cutReset
	// cutRefuse resets new connections to workers. Open ones live on.
	cutRefuse
	// cutDrop is cutHold, except that dials to workers get no answer.
	cutDrop
	// cutDropNew lets dials to workers get no answer. Open connections live on.
	cutDropNew
	cutVariants
)

// isPlanned reports whether the step is planned work, which callers must not notice.
func (s Step) isPlanned() bool {
	return plannedKinds[s.Kind] || s.Kind == KindWorkerEnding && plannedEndings[Ending(s.Variant)]
}

// String returns the step as a line of the report.
func (s Step) String() string {
	target := s.Target + strings.Join(s.Targets, " ")
	return fmt.Sprintf("%7.3fs %-14s %-10s for %5.2fs variant %d", s.At.Seconds(), s.Kind, target, s.Duration.Seconds(), s.Variant)
}

// topology holds the numbers of VMs and workers of a deployment.
type topology struct {
	entries, controls, models, desks int
}

// controlPrefix begins the names of control VMs.
const controlPrefix = "control-"

func (s topology) entry(i int) string   { return fmt.Sprintf("entry-%d", i+1) }
func (s topology) control(i int) string { return fmt.Sprintf("%s%d", controlPrefix, i+1) }
func (s topology) worker(i int) string  { return fmt.Sprintf("worker-%d", i+1) }
func (s topology) workers() int         { return s.models + s.desks }

// vmNumber returns the number of the VM with index i of all VMs, control VMs first. It selects addresses and zone.
func vmNumber(i int) int { return 1 + i }

func (s topology) entryZone(i int) string { return zones[vmNumber(s.controls+i)%len(zones)] }

// Times of a plan. Faults begin in two bursts, each followed by a calm time. The time bounds that faults suspend are
// checked in the calm times. Planned work begins before lastStepAt, in bursts and calm times alike.
const (
	burstTime  = 4 * time.Second
	calmTime   = 8 * time.Second
	loadTime   = 2*burstTime + 2*calmTime
	lastStepAt = loadTime - 4*time.Second
	// serverCutTime is the time for which entry VMs are cut off from all workers, maxServerCutStart the maximum time from
	// the start of a burst to the cut. A cut ends recoveryTime before the end of the load.
	serverCutTime     = 7 * time.Second
	maxServerCutStart = burstTime + calmTime - recoveryTime - serverCutTime
)

// makePlan draws the steps of a seed. The same seed and topology give the same plan. Every third seed has planned work
// only.
func makePlan(seed uint64, s topology) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for range plannedStepCount {
		steps = append(steps, plannedStep(random, s, time.Duration(random.Int64N(int64(lastStepAt)))))
	}
	if seed%3 != 0 {
		wiped := false
		for i := range 2 * faultStepsPerBurst {
			burstStart := time.Duration(i%2) * (burstTime + calmTime)
			step := faultStep(random, s, burstStart+time.Duration(random.Int64N(int64(burstTime))))
			if step.Kind == KindWipe {
				if wiped {
					continue // the control group is expected to survive the loss of one disk only
				}
				wiped = true
			}
			step.Duration = min(step.Duration, burstStart+burstTime+time.Second-step.At)
			steps = append(steps, step)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// addServerCuts adds to a plan a cut of some entry VMs from all workers in each burst.
func addServerCuts(steps []Step, seed uint64, s topology) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	for burst := range 2 {
		start := time.Duration(burst)*(burstTime+calmTime) + time.Duration(random.Int64N(int64(maxServerCutStart)))
		steps = append(steps, Step{
			At: start, Duration: serverCutTime, Kind: KindServerCut, Targets: drawCutEntries(random, s), Variant: random.IntN(cutVariants),
		})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// drawCutEntries draws one entry VM, all but one, or those of a zone, but never all.
func drawCutEntries(random *rand.Rand, s topology) []string {
	chosen := random.IntN(s.entries)
	scope := random.IntN(3)
	isCut := func(i int) bool {
		switch scope {
		case 0:
			return i == chosen
		case 1:
			return i != chosen
		default:
			return s.entryZone(i) == s.entryZone(chosen)
		}
	}
	var names []string
	for i := range s.entries {
		if isCut(i) {
			names = append(names, s.entry(i))
		}
	}
	return names[:min(len(names), s.entries-1)]
}

func plannedStep(random *rand.Rand, s topology, at time.Duration) Step {
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

func faultStep(random *rand.Rand, s topology, at time.Duration) Step {
	step := Step{At: at, Duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second))), Variant: random.IntN(5)}
	node := func() string {
		if random.IntN(2) == 0 {
			return s.control(random.IntN(s.controls))
		}
		return s.entry(random.IntN(s.entries))
	}
	kinds := []Kind{
		KindKill, KindKill, KindKillControlVMs, KindFreeze, KindFreeze, KindWipe, KindPartition,
		KindPartitionOutbound, KindPartitionInbound, KindDelay,
		KindResetConnections, KindStallConnections,
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
