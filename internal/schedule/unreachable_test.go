package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainRequest returns a placement request for a plain service.
func plainRequest(now time.Time, vm, seq uint64) PlacementRequest {
	return PlacementRequest{ID: JobID{VM: vm, Seq: seq}, Service: "plain", Zone: "a", TargetAt: now.Add(time.Second), StartDeadline: now.Add(4 * time.Second), Weight: 1}
}

func plainScheduler(now time.Time) *Scheduler {
	s := New()
	for _, id := range []string{"a1", "a2", "b1", "b2", "b3"} {
		s.SetServer(now, Server{ID: id, Service: "plain", Zone: id[:1], Slots: 10, AcceptsNew: true})
	}
	return s
}

// failUnreachable places a request on the server with id and finishes it with
// OutcomeUnreachable.
func failUnreachable(s *Scheduler, now time.Time, vm, seq uint64, id string) {
	s.commit(now, &job{request: plainRequest(now, vm, seq), queuedAt: now}, s.servers[id], nil)
	s.Finish(now, JobID{VM: vm, Seq: seq}, OutcomeUnreachable)
}

// After the backoff, each server of a partitioned zone must get at most one
// request, and the others go to the reachable zone.
func TestPartitionedZoneGetsOneRequestPerServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	failUnreachable(s, now, 1, 1, "b1")
	failUnreachable(s, now, 2, 1, "b2")
	require.False(t, s.servers["b3"].isAvailable(now), "two unreachable servers did not eject the whole zone")
	now = now.Add(minBackoff)
	for seq := uint64(10); seq < 30; seq++ {
		s.Enqueue(now, plainRequest(now, 3, seq))
	}
	used := map[string]int{}
	for _, placement := range s.Decide(now) {
		used[placement.Server]++
	}
	for _, id := range []string{"b1", "b2", "b3"} {
		require.LessOrEqual(t, used[id], 1, id)
	}
	require.Equal(t, 20-used["b1"]-used["b2"]-used["b3"], used["a1"]+used["a2"])
}

// An entry VM that reaches no server is most likely partitioned itself, so its
// reports must not eject servers, and those that it has ejected come back at once.
func TestPartitionedEntryVMEjectsNoServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	for seq, id := range []string{"b1", "b2", "a1", "b1", "b2"} {
		failUnreachable(s, now, 9, uint64(seq), id)
		require.Equal(t, seq >= minSuspectServers-1, s.servers["b1"].isAvailable(now), "after %d failures", seq+1)
	}
	for _, srv := range s.sortedServers {
		require.True(t, srv.isAvailable(now), srv.ID)
		require.Zero(t, srv.failureStreak, srv.ID)
	}
	require.InDelta(t, 1, s.ReachableZoneFraction(), 0)
}

func TestReachableZoneFractionDropsWithAPartitionedZone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	require.InDelta(t, 1, s.ReachableZoneFraction(), 0)
	failUnreachable(s, now, 1, 1, "b1")
	require.InDelta(t, 1, s.ReachableZoneFraction(), 0, "a single unreachable server does not mean that its zone is partitioned")
	failUnreachable(s, now, 1, 2, "b2")
	require.InDelta(t, 0.5, s.ReachableZoneFraction(), 0)
	require.InDelta(t, 1, New().ReachableZoneFraction(), 0)
}

func TestRequestWithoutAnAnswerDoesNotReadmitAnUnreachableServer(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeUnused, OutcomeCancelled} {
		now := time.Unix(1_000_000, 0)
		s := plainScheduler(now)
		failUnreachable(s, now, 1, 1, "b1")
		now = now.Add(minBackoff)
		probe := plainRequest(now, 1, 2)
		s.commit(now, &job{request: probe, queuedAt: now}, s.servers["b1"], nil)
		s.Finish(now, probe.ID, outcome)
		require.Zero(t, s.Placed(), "the slot is released")
		require.True(t, s.servers["b1"].isAvailable(now), "it is no failure")
		require.True(t, s.servers["b1"].unreachable)
		require.NotZero(t, s.servers["b1"].failureStreak)
		require.Equal(t, ejectAfterFailures, s.vms[1].pairs[s.servers["b1"]].failures)
		require.Equal(t, 1, s.vms[1].counts[recentFailure])
	}
}

// What became of the requests of an entry VM that is gone, or that has forgotten them, is not known.
func TestRequestsOfAGoneVMTellNothingOfTheirServers(t *testing.T) {
	for _, running := range []map[JobID]bool{nil, {}} {
		now := time.Unix(1_000_000, 0)
		s := plainScheduler(now)
		failUnreachable(s, now, 1, 1, "b1")
		now = now.Add(minBackoff)
		probe := plainRequest(now, 2, 1)
		s.commit(now, &job{request: probe, queuedAt: now}, s.servers["b1"], nil)
		s.FinishAll(now, 2, running)
		require.Zero(t, s.Placed())
		require.True(t, s.servers["b1"].unreachable, "the server gets one request at a time until one succeeds")
		require.NotZero(t, s.servers["b1"].failureStreak)
	}
}
