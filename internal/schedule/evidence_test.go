package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simEvent is something that happens at a time in a fleetSim.
type simEvent struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// failure is how attempts on unreachable servers end.
type failure struct {
	name    string
	outcome Outcome
	after   time.Duration
}

var failures = []failure{
	{name: "dial timeouts", outcome: OutcomeUnreachable, after: 250 * time.Millisecond},
	{name: "refused connections", outcome: OutcomeStalled, after: 2 * time.Millisecond},
	{name: "resets", outcome: OutcomeFailed, after: 4 * time.Millisecond},
}

// fleetSim runs a scheduler with entry VMs that send requests to a plain service at random times. Each request is tried
// on several servers. The last third of the servers is in zone z2; entry VMs and the other servers are spread over z0
// and z1.
type fleetSim struct {
	*Scheduler
	start   time.Time
	now     time.Time
	rand    *rand.Rand
	events  simEvents
	created int
	vms     int
	// perSecond is the rate of requests of each VM.
	perSecond float64
	// fails tells how an attempt of a VM on a server fails at a time, nil if it succeeds.
	fails func(vm int, server string, at time.Duration) *failure

	waiting map[JobID]func(Placement, time.Time)
	// measureFrom is the time from which the tally counts.
	measureFrom time.Duration
	fleetTally
}

// fleetTally is what a fleetSim has measured.
type fleetTally struct {
	// failed counts the attempts that failed, by server; the other fields are by VM.
	failed   map[string]int
	refused  map[int]int
	answered map[int]int
	waited   map[int]time.Duration
}

func newFleetTally() fleetTally {
	return fleetTally{failed: map[string]int{}, refused: map[int]int{}, answered: map[int]int{}, waited: map[int]time.Duration{}}
}

func newFleetSim(seed uint64, vms, servers int, perSecond float64) *fleetSim {
	f := &fleetSim{
		Scheduler: New(), start: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 7)), vms: vms, perSecond: perSecond,
		waiting: map[JobID]func(Placement, time.Time){}, fleetTally: newFleetTally(),
		fails: func(int, string, time.Duration) *failure { return nil },
	}
	f.now = f.start
	for i := range servers {
		zone := "z2"
		if 3*i < 2*servers {
			zone = fmt.Sprintf("z%d", i%2)
		}
		f.SetServer(f.now, Server{ID: serverName(i), Service: "plain", Zone: zone, Slots: 8, AcceptsNew: true})
	}
	for vm := range vms {
		f.scheduleNext(vm)
	}
	return f
}

func serverName(i int) string { return fmt.Sprintf("s%02d", i) }

func (f *fleetSim) at(at time.Time, run func(now time.Time)) {
	f.created++
	heap.Push(&f.events, simEvent{at: at, order: f.created, run: run})
}

func (f *fleetSim) scheduleNext(vm int) {
	f.at(f.now.Add(time.Duration(f.rand.ExpFloat64()/f.perSecond*float64(time.Second))), func(now time.Time) {
		f.request(vm, now, now, nil)
		f.scheduleNext(vm)
	})
}

// request places a request of a VM that excludes the servers on which it has failed.
func (f *fleetSim) request(vm int, now, since time.Time, excluded []string) {
	f.created++
	id := JobID{VM: uint64(vm + 1), Seq: uint64(f.created)}
	f.Enqueue(now, PlacementRequest{
		ID: id, Service: "plain", Zone: fmt.Sprintf("z%d", vm%2), TargetAt: since.Add(time.Second),
		StartDeadline: since.Add(2 * time.Second), Weight: 1, Excluded: excluded,
	})
	f.waiting[id] = func(placement Placement, at time.Time) {
		if at.Sub(f.start) >= f.measureFrom {
			f.waited[vm] += at.Sub(now)
		}
		if placement.Server == "" {
			if at.Sub(f.start) >= f.measureFrom {
				f.refused[vm]++
			}
			return
		}
		f.attempt(vm, id, placement.Server, at, since, excluded)
	}
}

func (f *fleetSim) attempt(vm int, id JobID, server string, sentAt, since time.Time, excluded []string) {
	if failure := f.fails(vm, server, sentAt.Sub(f.start)); failure != nil {
		f.at(sentAt.Add(failure.after), func(now time.Time) {
			f.Finish(now, id, failure.outcome)
			if now.Sub(f.start) >= f.measureFrom {
				f.failed[server]++
			}
			if len(excluded) < 4 {
				f.request(vm, now, since, append(append([]string(nil), excluded...), server))
			}
		})
		return
	}
	firstEvent := time.Duration(20+f.rand.IntN(30)) * time.Millisecond
	f.at(sentAt.Add(firstEvent), func(now time.Time) { f.MarkStarted(now, id) })
	f.at(sentAt.Add(firstEvent+time.Duration(f.rand.IntN(400))*time.Millisecond), func(now time.Time) {
		f.Finish(now, id, OutcomeDone)
		if now.Sub(f.start) >= f.measureFrom {
			f.answered[vm]++
		}
	})
}

// measure runs the simulation from one time to another and returns the mean number of servers that were out then. The
// tally is that of this span.
func (f *fleetSim) measure(from, until time.Duration) (meanOut float64) {
	f.run(from)
	f.measureFrom, f.fleetTally = from, newFleetTally()
	steps, out := 0, 0
	for at := from; at < until; at += 5 * decisionInterval {
		f.run(at)
		steps++
		out += f.Load(f.now).Unavailable
	}
	return float64(out) / float64(steps)
}

func (f *fleetSim) run(until time.Duration) {
	end := f.start.Add(until)
	for step := f.now; !step.After(end); step = step.Add(decisionInterval) {
		for len(f.events) > 0 && !f.events[0].at.After(step) {
			event := heap.Pop(&f.events).(simEvent)
			f.now = event.at
			event.run(event.at)
		}
		f.now = step
		for _, placement := range f.Decide(step) {
			deliver := f.waiting[placement.ID]
			delete(f.waiting, placement.ID)
			deliver(placement, step)
		}
	}
}

// total returns the sums of the tally over the VMs from first on.
func (f *fleetSim) total(first int) (answered, refused int, meanWait time.Duration) {
	waited := time.Duration(0)
	for vm := first; vm < f.vms; vm++ {
		answered, refused, waited = answered+f.answered[vm], refused+f.refused[vm], waited+f.waited[vm]
	}
	return answered, refused, waited / time.Duration(max(1, answered+refused))
}

// The first VMs lose their paths to all servers. The servers are sound, so that no request of another VM is refused or
// waits for long. Servers may be out until the cut off VMs are known.
func TestCutOffEntryVMsDoNotTakeSoundServersOut(t *testing.T) {
	for _, how := range failures {
		for _, fleet := range []struct{ cut, vms, servers int }{{1, 9, 17}, {8, 9, 17}, {35, 40, 52}} {
			for seed := range uint64(4) {
				living := seed % 2 // servers that a cut VM still reaches
				t.Run(fmt.Sprintf("%s/%d of %d/living=%d,seed=%d", how.name, fleet.cut, fleet.vms, living, seed), func(t *testing.T) {
					f := newFleetSim(seed, fleet.vms, fleet.servers, 6)
					f.fails = func(vm int, server string, at time.Duration) *failure {
						if vm < fleet.cut && at >= 3*time.Second && (living == 0 || server != serverName(vm%fleet.servers)) {
							return &how
						}
						return nil
					}
					out := f.measure(3*time.Second, 4500*time.Millisecond)
					answered, refused, wait := f.total(fleet.cut)
					t.Logf("first 1.5 s: out %.2f of %d servers; other VMs: %d answered, %d refused, mean wait %v", out, fleet.servers, answered, refused, wait)
					require.Zero(t, refused)
					require.Less(t, wait, 150*time.Millisecond)
					out = f.measure(4500*time.Millisecond, 13*time.Second)
					answered, refused, wait = f.total(fleet.cut)
					t.Logf("then: out %.2f of %d servers; other VMs: %d answered, %d refused, mean wait %v", out, fleet.servers, answered, refused, wait)
					require.Less(t, out, 0.03*float64(fleet.servers))
					require.Zero(t, refused)
					require.Less(t, wait, 10*time.Millisecond)
				})
			}
		}
	}
}

// forSeeds runs simulations of each failure with several seeds.
func forSeeds(t *testing.T, run func(t *testing.T, how failure, seed uint64)) {
	t.Helper()
	for _, how := range failures {
		t.Run(how.name, func(t *testing.T) {
			for seed := range uint64(5) {
				run(t, how, seed)
			}
		})
	}
}

// Attempts that time out hold slots, of which there are few here. They must not delay the requests of the other VMs.
func TestAttemptsOfCutOffEntryVMsDelayNoOtherVM(t *testing.T) {
	for _, cut := range []int{1, 3, 8} {
		for seed := range uint64(3) {
			f := newFleetSim(seed, 9, 17, 12)
			for _, srv := range f.sortedServers {
				f.SetServer(f.now, Server{ID: srv.ID, Service: "plain", Zone: srv.Zone, Slots: 2, AcceptsNew: true})
			}
			f.fails = func(vm int, _ string, at time.Duration) *failure {
				if vm < cut && at >= 3*time.Second {
					return &failures[0]
				}
				return nil
			}
			f.measure(4500*time.Millisecond, 13*time.Second)
			answered, refused, wait := f.total(cut)
			t.Logf("%d of 9 cut off, seed %d; other VMs: %d answered, %d refused, mean wait %v", cut, seed, answered, refused, wait)
			require.Zero(t, refused)
			require.Less(t, wait, 30*time.Millisecond)
		}
	}
}

// VMs that were cut off are served again as soon as their paths are back.
func TestEntryVMsThatWereCutOffAreServedAgain(t *testing.T) {
	forSeeds(t, func(t *testing.T, how failure, seed uint64) {
		f := newFleetSim(seed, 9, 17, 6)
		f.fails = func(vm int, _ string, at time.Duration) *failure {
			if vm < 8 && at >= 3*time.Second && at < 8*time.Second {
				return &how
			}
			return nil
		}
		out := f.measure(8500*time.Millisecond, 13*time.Second)
		answered, refused, wait := f.total(0)
		t.Logf("out %.2f; %d answered, %d refused, mean wait %v", out, answered, refused, wait)
		require.Less(t, out, 0.5)
		require.Zero(t, refused)
		require.Less(t, wait, 10*time.Millisecond)
		require.Greater(t, answered, 200)
	})
}

// A server that dies gets few requests, also while some VMs are cut off from all servers. The limits are one above the
// mean that a count of consecutive failures by any VM reaches without VMs that are cut off. With them they are two above
// it: where such a VM gets the only request after a backoff, another VM has to fail, too.
func TestDeadServersAreStillTakenOut(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		isDead    func(i int) bool
		// maxFailed is the maximum mean number of failed attempts of VMs that aren't cut off
		// on a dead server within 10 s, by the outcome.
		maxFailed map[Outcome]float64
		// cut is the number of VMs that are cut off meanwhile.
		cut int
	}{
		{"one server", 6, func(i int) bool { return i == 5 }, map[Outcome]float64{OutcomeUnreachable: 6, OutcomeStalled: 6, OutcomeFailed: 7}, 0},
		{"one server, low traffic", 0.5, func(i int) bool { return i == 5 }, map[Outcome]float64{OutcomeUnreachable: 2.1, OutcomeStalled: 2.3, OutcomeFailed: 2.6}, 0},
		{"17 %", 6, func(i int) bool { return i%6 == 0 }, map[Outcome]float64{OutcomeUnreachable: 6, OutcomeStalled: 6, OutcomeFailed: 7}, 0},
		{"a zone", 6, func(i int) bool { return 3*i >= 2*18 }, map[Outcome]float64{OutcomeUnreachable: 4.3, OutcomeStalled: 6, OutcomeFailed: 7}, 0},
		{"one server, 3 VMs cut off", 6, func(i int) bool { return i == 5 }, map[Outcome]float64{OutcomeUnreachable: 7, OutcomeStalled: 7, OutcomeFailed: 8}, 3},
		{"17 %, 3 VMs cut off", 6, func(i int) bool { return i%6 == 0 }, map[Outcome]float64{OutcomeUnreachable: 7, OutcomeStalled: 7, OutcomeFailed: 8}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			failed := map[Outcome]float64{}
			forSeeds(t, func(t *testing.T, how failure, seed uint64) {
				f := newFleetSim(seed, 9+c.cut, 18, c.perSecond)
				dead := map[string]bool{}
				for i := range 18 {
					if c.isDead(i) {
						dead[serverName(i)] = true
					}
				}
				f.fails = func(vm int, server string, at time.Duration) *failure {
					isCut := vm >= 9 && at >= 2*time.Second
					if !isCut && dead[server] && at >= 3*time.Second {
						failed[how.outcome] += 0.2 / float64(len(dead))
					}
					if isCut || dead[server] && at >= 3*time.Second {
						return &how
					}
					return nil
				}
				out := f.measure(3*time.Second, 13*time.Second)
				answered, refused, wait := f.total(0)
				t.Logf("out %.2f; %d answered, %d refused, mean wait %v", out, answered, refused, wait)
				require.Zero(t, refused)
			})
			t.Logf("%v failed attempts on each dead server", failed)
			for outcome, limit := range c.maxFailed {
				require.LessOrEqual(t, failed[outcome], limit, "outcome %d", outcome)
			}
		})
	}
}

// While all servers are down, requests wait for the servers that are probed.
func TestDeadServiceIsNotFloodedWithAttempts(t *testing.T) {
	forSeeds(t, func(t *testing.T, how failure, seed uint64) {
		f := newFleetSim(seed, 9, 18, 6)
		f.fails = func(_ int, _ string, at time.Duration) *failure {
			if at >= 3*time.Second && at < 8*time.Second {
				return &how
			}
			return nil
		}
		out := f.measure(3*time.Second, 8*time.Second)
		failed := 0
		for _, count := range f.failed {
			failed += count
		}
		t.Logf("out %.2f of 18 servers; %d failed attempts", out, failed)
		require.Greater(t, out, 12.0)
		require.Less(t, failed, 400)
	})
}

// A server that some VMs can't reach is used by the others.
func TestMissingPathsOfSomePairsLeaveServersToOtherVMs(t *testing.T) {
	forSeeds(t, func(t *testing.T, how failure, seed uint64) {
		f := newFleetSim(seed, 9, 18, 6)
		f.fails = func(vm int, server string, at time.Duration) *failure {
			var i int
			_, _ = fmt.Sscanf(server, "s%d", &i)
			if at >= 3*time.Second && (vm*7+i*5)%9 < 3 { // each VM misses 6 servers, each server 3 VMs
				return &how
			}
			return nil
		}
		out := f.measure(3*time.Second, 13*time.Second)
		answered, refused, wait := f.total(0)
		t.Logf("out %.2f of 18 servers; %d answered, %d refused, mean wait %v", out, answered, refused, wait)
		require.Less(t, out, 9.0)
		require.Zero(t, refused)
		require.Less(t, wait, 10*time.Millisecond)
	})
}

// A zone that one VM can't reach is used by the others.
func TestOneVMWithoutPathsToAZoneLeavesItToOtherVMs(t *testing.T) {
	forSeeds(t, func(t *testing.T, how failure, seed uint64) {
		f := newFleetSim(seed, 9, 18, 6)
		f.fails = func(vm int, server string, at time.Duration) *failure {
			if vm == 0 && at >= 3*time.Second && server >= serverName(12) {
				return &how
			}
			return nil
		}
		out := f.measure(3*time.Second, 13*time.Second)
		answered, refused, wait := f.total(0)
		t.Logf("out %.2f of 18 servers; %d answered, %d refused, mean wait %v", out, answered, refused, wait)
		require.Less(t, out, 2.0)
		require.Zero(t, refused)
		require.Less(t, wait, 10*time.Millisecond)
	})
}

// finishOn places a request of a VM on the server with id and finishes it.
func finishOn(s *Scheduler, now time.Time, vm, seq uint64, id string, outcome Outcome) {
	s.commit(now, &job{request: plainRequest(now, vm, seq), queuedAt: now}, s.servers[id], nil)
	s.Finish(now, JobID{VM: vm, Seq: seq}, outcome)
}

// A report of one VM suffices to avoid a server, whether other VMs have used it before or not.
func TestOneReportTakesADeadServerOut(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeUnreachable, OutcomeStalled} {
		now := time.Unix(1_000_000, 0)
		s := plainScheduler(now)
		finishOn(s, now, 1, 1, "a1", OutcomeDone)
		finishOn(s, now, 2, 1, "b1", OutcomeDone)
		finishOn(s, now, 1, 2, "b1", outcome)
		require.False(t, s.servers["b1"].isAvailable(now))
		require.False(t, s.servers["b1"].isAvailable(now.Add(minBackoff-time.Millisecond)))
		require.True(t, s.servers["b1"].isAvailable(now.Add(minBackoff)))
	}
}

// A VM that fails on two servers on which another VM succeeds then takes them out for itself only.
func TestSuccessOfAnotherVMDisprovesReports(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	finishOn(s, now, 1, 1, "a1", OutcomeStalled)
	finishOn(s, now, 2, 1, "a1", OutcomeDone)
	require.False(t, s.servers["a1"].isAvailable(now), "the only server on which the VM fails may fail sometimes")
	finishOn(s, now, 1, 2, "a2", OutcomeStalled)
	require.True(t, s.servers["a1"].isAvailable(now))
	require.False(t, s.servers["a2"].isAvailable(now))
	finishOn(s, now, 2, 2, "a2", OutcomeDone)
	require.True(t, s.servers["a2"].isAvailable(now))
	for seq := range uint64(20) {
		s.Enqueue(now, plainRequest(now, 1, 10+seq))
		s.Enqueue(now, plainRequest(now, 2, 10+seq))
	}
	used := map[string]bool{}
	for _, placement := range s.Decide(now) {
		if placement.ID.VM == 1 {
			require.NotContains(t, []string{"a1", "a2"}, placement.Server)
		}
		used[placement.Server] = true
	}
	require.True(t, used["a1"] && used["a2"])
}

// A dial that timed out tells nothing of a server that another VM has reached meanwhile.
func TestTimeoutOfADialIsDisprovedByASuccessMeanwhile(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	dial := plainRequest(now, 1, 1)
	s.commit(now, &job{request: dial, queuedAt: now}, s.servers["a1"], nil)
	finishOn(s, now.Add(100*time.Millisecond), 2, 1, "a1", OutcomeDone)
	now = now.Add(250 * time.Millisecond)
	s.Finish(now, dial.ID, OutcomeUnreachable)
	require.True(t, s.servers["a1"].isAvailable(now))
	require.True(t, now.Before(s.vms[1].pairs[s.servers["a1"]].until))
}

// cutOff makes the VM fail on all servers, twice, and another one succeed before and between.
func cutOff(s *Scheduler, now time.Time, vm uint64) {
	finishOn(s, now, vm+1, 999, s.sortedServers[0].ID, OutcomeDone)
	for i, srv := range s.sortedServers {
		finishOn(s, now, vm, 1000+uint64(i), srv.ID, OutcomeStalled)
	}
	now = now.Add(minSuspectTime)
	finishOn(s, now, vm+1, 1000, s.sortedServers[0].ID, OutcomeDone)
	for i, srv := range s.sortedServers {
		finishOn(s, now, vm, 2000+uint64(i), srv.ID, OutcomeStalled)
	}
}

func TestRequestsOfACutOffVMArePlaced(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	cutOff(s, now, 1)
	now = now.Add(minSuspectTime)
	require.True(t, s.vms[1].suspect)
	require.Equal(t, []CredibilityChange{{VM: 1, Failing: 5, Reached: 0}}, s.TakeCredibilityChanges())
	require.Empty(t, s.TakeCredibilityChanges())
	for seq := range uint64(10) {
		s.Enqueue(now, plainRequest(now, 1, seq))
	}
	require.Len(t, s.Decide(now), 10)
	require.Zero(t, s.Load(now).Unavailable)
}

// A cut off VM that reaches one server gets it while it has room, and others then.
func TestCutOffVMUsesTheServerThatItReachesFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	cutOff(s, now, 1)
	now = now.Add(minSuspectTime)
	finishOn(s, now, 1, 1, "b2", OutcomeDone)
	for seq := range uint64(12) {
		s.Enqueue(now, plainRequest(now, 1, 10+seq))
	}
	placements := s.Decide(now)
	require.Len(t, placements, 12)
	for i, placement := range placements {
		require.Equal(t, i < 10, placement.Server == "b2", "request %d", i)
	}
	require.True(t, s.vms[1].suspect, "one success does not make it credible")
}

func TestCutOffVMIsCredibleAgainAfterSuccessesOnMostServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	cutOff(s, now, 1)
	s.TakeCredibilityChanges()
	now = now.Add(time.Second)
	for i, id := range []string{"a1", "a2", "b1", "b2", "b3"} {
		require.Equal(t, i < 4, s.vms[1].suspect, "after %d successes", i)
		finishOn(s, now, 1, 10+uint64(i), id, OutcomeDone)
	}
	require.Equal(t, []CredibilityChange{{VM: 1, Credible: true, Failing: 1, Reached: 4}}, s.TakeCredibilityChanges())
	finishOn(s, now, 1, 20, "a1", OutcomeUnreachable)
	require.False(t, s.servers["a1"].isAvailable(now))
}

// Evidence is kept for pairs that fail, and not longer than these.
func TestEvidenceIsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	for vm := range uint64(50) {
		finishOn(s, now, vm, 1, "a1", OutcomeDone)
	}
	require.Empty(t, s.vms)
	finishOn(s, now, 1, 2, "a1", OutcomeUnreachable)
	finishOn(s, now, 2, 2, "a1", OutcomeUnreachable)
	finishOn(s, now, 1, 3, "b1", OutcomeUnreachable)
	finishOn(s, now, 1, 4, "b2", OutcomeUnreachable)
	require.False(t, s.servers["b3"].isAvailable(now))
	s.FinishAll(now, 1, map[JobID]bool{})
	require.Len(t, s.vms[1].pairs, 3, "the VM has only attached again")
	s.FinishAll(now, 1, nil)
	require.Nil(t, s.vms[1])
	require.Len(t, s.servers["a1"].accusers, 1)
	require.False(t, s.servers["a1"].isAvailable(now))
	for _, id := range []string{"b1", "b2", "b3"} {
		require.True(t, s.servers[id].isAvailable(now), id)
	}
	s.RemoveServer("a1")
	require.Empty(t, s.vms[2].pairs)
	require.Zero(t, s.vms[2].counts)
	finishOn(s, now, 2, 3, "b1", OutcomeFailed)
	now = now.Add(2 * pairExpiry)
	finishOn(s, now, 3, 4, "b2", OutcomeFailed)
	require.NotContains(t, s.vms, uint64(2))
	removed := s.servers["b2"]
	s.commit(now, &job{request: plainRequest(now, 4, 1), queuedAt: now}, removed, nil)
	s.RemoveServer("b2")
	s.Finish(now, JobID{VM: 4, Seq: 1}, OutcomeUnreachable)
	require.NotContains(t, s.vms, uint64(4))
	require.Empty(t, s.placedByVM)
}

// A model engine on which the VM is in backoff is neither the first server of its requests nor a helper.
func TestEngineInBackoffGetsNoRequestOfTheVM(t *testing.T) {
	now := time.Unix(1000, 0)
	s := smallFleet(now, 4)
	for i, id := range []string{"a", "b"} {
		request := modelRequest(now, uint64(i), 1000, time.Second)
		s.commit(now, s.newJob(now, request), s.servers[id], nil)
		s.Finish(now, request.ID, OutcomeStalled)
		request.ID = JobID{VM: 2, Seq: uint64(i)}
		s.commit(now, s.newJob(now, request), s.servers[id], nil)
		s.Finish(now, request.ID, OutcomeDone)
	}
	require.Zero(t, s.Load(now).Unavailable)
	for seq := range uint64(4) {
		s.Enqueue(now, modelRequest(now, 10+seq, 4000, 500*time.Millisecond))
	}
	placed := 0
	for range 60 {
		for _, placement := range s.Decide(now) {
			require.NotContains(t, []string{"a", "b"}, placement.Server)
			for _, helper := range placement.Helpers {
				require.NotContains(t, []string{"a", "b"}, helper.Server)
			}
			placed++
		}
		now = now.Add(decisionInterval)
	}
	require.NotZero(t, placed)
}

// BenchmarkReports places a request of one of 390 VMs on 600 servers and ends it. cut of the VMs reach no server.
func BenchmarkReports(b *testing.B) {
	for _, cut := range []int{0, 1, 350} {
		b.Run(fmt.Sprintf("cut=%d", cut), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := New()
			for i := range 600 {
				s.SetServer(now, Server{ID: serverName(i), Service: "plain", Zone: fmt.Sprintf("z%d", i%3), Slots: 8, AcceptsNew: true})
			}
			seq := uint64(0)
			report := func() {
				seq++
				now = now.Add(200 * time.Microsecond)
				id := JobID{VM: seq % 390, Seq: seq}
				s.commit(now, &job{request: plainRequest(now, id.VM, seq), queuedAt: now}, s.sortedServers[seq*7%600], nil)
				outcome := OutcomeDone
				if id.VM < uint64(cut) {
					outcome = OutcomeUnreachable
				}
				s.Finish(now.Add(time.Millisecond), id, outcome)
			}
			for range 200_000 {
				report()
			}
			for b.Loop() {
				report()
			}
		})
	}
}

// BenchmarkPlaceOfCutOffVM places 50 requests of a VM that fails on all of 600 servers.
func BenchmarkPlaceOfCutOffVM(b *testing.B) {
	now := time.Unix(1000, 0)
	s := New()
	for i := range 600 {
		s.SetServer(now, Server{ID: serverName(i), Service: "plain", Zone: "z", Slots: 8, AcceptsNew: true})
	}
	cutOff(s, now, 1)
	for b.Loop() {
		for seq := range uint64(50) {
			s.Enqueue(now, plainRequest(now, 1, seq))
		}
		if placed := len(s.Decide(now)); placed != 50 {
			b.Fatalf("%d of 50 requests were placed", placed)
		}
		s.FinishAll(now, 1, map[JobID]bool{})
	}
}
