package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// addressList is a list of addresses that may change during a run. It is safe for concurrent use. A nil list is empty.
type addressList struct {
	mu        sync.Mutex
	addresses []string
}

func newAddressList(addresses ...string) *addressList { return &addressList{addresses: addresses} }

// all returns a copy of the list.
func (l *addressList) all() []string {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// at returns the address with the given index, counted on from the beginning after the last one.
func (l *addressList) at(index int) string {
	addresses := l.all()
	return addresses[index%len(addresses)]
}

func (l *addressList) replace(former, successor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.addresses, former); i >= 0 {
		l.addresses[i] = successor
	}
}

// firstSuccessor is the number of the first VM that replaces a control VM.
const firstSuccessor = 200

func (s *soak) controlAddress(number int) string {
	return address(s.fleet.ip(subnetVMPublic, number), controlPort)
}

// successor returns the name of the VM that replaces the control VM with index i.
func (s topology) successor(i int) string { return s.control(s.controls + i) }

// addSuccessors prepares the VMs that replace control VMs by the plan.
func (s *soak) addSuccessors(folder string, seeds []string) error {
	for _, step := range s.plan() {
		if step.Kind != KindReplaceControl {
			continue
		}
		i := s.controlIndex(step.Target)
		name := s.topology.successor(i)
		if err := s.fleet.addVM(name, firstSuccessor+i, true, folder, seeds); err != nil {
			return err
		}
		settings := &s.fleet.nodes[name].boot.Settings
		settings.Bootstrap, settings.Zone = false, s.fleet.nodes[step.Target].boot.Settings.Zone
	}
	return nil
}

// controlIndex returns the index of the control VM with the given name, -1 for any other name.
func (s *soak) controlIndex(name string) int {
	for i := range s.topology.controls {
		if s.topology.control(i) == name {
			return i
		}
	}
	return -1
}

// replaceControl makes a control VM fall silent for good and starts its successor, at another address and with an empty disk.
func (s *soak) replaceControl(name string) error {
	i := s.controlIndex(name)
	s.fleet.signal(name, syscall.SIGSTOP)
	if err := s.network.powerOff(name); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	s.controlAddresses.replace(s.controlAddress(vmNumber(i)), s.controlAddress(firstSuccessor+i))
	return s.fleet.start(s.topology.successor(i))
}

// describeOutdated returns the longest time after the acknowledgement of a version at which an entry VM refused what only that
// version allows, though no newer one had been sent. It is empty if there was no such request.
func describeOutdated(r *Records) string {
	j := &judgement{Records: r}
	var longest time.Duration
	var worst *Request
	count := 0
	for _, q := range r.Requests {
		newest := j.newestAckedBefore(q.StartedAt)
		if !q.Done || q.Reply.Seal != "" || !slices.Contains(deniedStatuses, q.Reply.Status) || q.ProbedVersion == 0 ||
			q.ProbedVersion != newest || j.newestSentBefore(q.Reply.EndedAt) != newest {
			continue
		}
		for _, change := range r.Changes {
			if change.Version != newest {
				continue
			}
			behind := q.StartedAt.Sub(change.AckedAt)
			if behind >= time.Second {
				count++
			}
			if behind > longest {
				longest, worst = behind, q
			}
		}
	}
	if worst == nil {
		return ""
	}
	return fmt.Sprintf("refused for the newest version: %d requests a second or more after its acknowledgement, the longest time is %.2f s, at %s",
		count, longest.Seconds(), worst.VM)
}

const (
	// turnoverInterval is the time between the replacements of two control VMs, and until a successor is frozen. It covers the
	// join of the successor: the group is expected to bear the loss of one VM at a time.
	turnoverInterval = 6500 * time.Millisecond
	// minTurnoverFreeze and maxTurnoverFreeze bound the time for which a successor is frozen.
	minTurnoverFreeze = 1500 * time.Millisecond
	maxTurnoverFreeze = 4 * time.Second
	// maxDrawnLimit is the largest limit that a worker names, in tenths of a request a second.
	maxDrawnLimit = 100
)

// addTurnover replaces the steps of a plan that concern control VMs by the replacement of three control VMs in turn, each at
// another address, or of two and a freeze of one of their successors. Some workers name limits meanwhile.
func addTurnover(steps []Step, seed uint64, s topology) []Step {
	random := rand.New(rand.NewPCG(seed, 3))
	within := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	steps = slices.DeleteFunc(slices.Clone(steps), func(step Step) bool {
		return step.Kind == KindKillControlVMs || strings.HasPrefix(step.Target, controlPrefix)
	})
	turns := random.Perm(s.controls)[:min(s.controls, 3)]
	freezes := random.IntN(2) == 0
	for turn, i := range turns {
		step := Step{At: time.Duration(turn)*turnoverInterval + within(time.Second), Kind: KindReplaceControl, Target: s.control(i)}
		if freezes && turn == len(turns)-1 {
			step.Kind, step.Target = KindFreeze, s.successor(turns[random.IntN(turn)])
			step.At += time.Second // the jitter of the step before
			step.Duration = minTurnoverFreeze + within(maxTurnoverFreeze-minTurnoverFreeze)
		}
		steps = append(steps, step)
	}
	for _, i := range random.Perm(s.workers())[:1+random.IntN(s.workers())] {
		at := within(lastStepAt / 2)
		steps = append(steps, Step{At: at, Duration: limitWindow + within(lastStepAt/3), Kind: KindWorkerLimit, Target: s.worker(i), Variant: 1 + random.IntN(maxDrawnLimit)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
