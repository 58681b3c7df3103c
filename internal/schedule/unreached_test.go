package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainAsk is a request for a plain service.
func plainAsk(now time.Time, vm, seq uint64) PlacementRequest {
	return PlacementRequest{ID: JobID{VM: vm, Seq: seq}, Service: "plain", Zone: "a", TargetAt: now.Add(time.Second), StartDeadline: now.Add(4 * time.Second), Weight: 1}
}

func plainScheduler(now time.Time) *Scheduler {
	s := New()
	for _, id := range []string{"a1", "a2", "b1", "b2", "b3"} {
		s.SetServer(now, Server{ID: id, Service: "plain", Zone: id[:1], Slots: 10, AcceptsNew: true})
	}
	return s
}

// fail has one request fail to reach the server with id.
func fail(s *Scheduler, now time.Time, vm, seq uint64, id string) {
	s.commit(now, &job{ask: plainAsk(now, vm, seq), since: now}, s.servers[id], nil)
	s.Finish(now, JobID{VM: vm, Seq: seq}, OutcomeUnreachable)
}

func TestZoneThatIsCutOffGetsOneProbeAServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	fail(s, now, 1, 1, "b1")
	fail(s, now, 2, 1, "b2")
	require.False(t, s.servers["b3"].takesNew(now), "the whole zone is out after two of its servers")
	now = now.Add(firstBackoff)
	for seq := uint64(10); seq < 30; seq++ {
		s.Enqueue(now, plainAsk(now, 3, seq))
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

func TestEntryVMThatReachesNobodyTakesNoServerOut(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	s.unreached[9] = witnessUnreached
	fail(s, now, 9, 1, "b1")
	fail(s, now, 9, 2, "b2")
	require.True(t, s.servers["b1"].takesNew(now))
	require.True(t, s.servers["b3"].takesNew(now))
}

func TestZonesInReachFollowWhatWasFoundCutOff(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := plainScheduler(now)
	require.InDelta(t, 1, s.ReachableZoneFraction(), 0)
	fail(s, now, 1, 1, "b1")
	require.InDelta(t, 1, s.ReachableZoneFraction(), 0, "one server may be down by itself")
	fail(s, now, 1, 2, "b2")
	require.InDelta(t, 0.5, s.ReachableZoneFraction(), 0)
	require.InDelta(t, 1, New().ReachableZoneFraction(), 0)
}
