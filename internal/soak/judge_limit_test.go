package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// addLimited adds answers of a worker that names a limit to requests at regular intervals of the given length.
func addLimited(r *Records, vm string, limit float64, from time.Time, interval time.Duration, count int) {
	for i := range count {
		id, at := fmt.Sprintf("limited-%s-%d", vm, i), from.Add(time.Duration(i)*interval)
		addProbe(r, id, 0, servedStatus, at)
		r.Requests[id].VM = vm
		attempt := r.Attempts[id][0]
		attempt.Server, attempt.Limit = "limited", limit
		r.Requests[id].Reply.Seal = sealOf(id, "limited")
	}
}

func TestRequestsOverTheLimitOfAWorkerAreReported(t *testing.T) {
	now := baseTime.Add(time.Minute)
	findings := func(prepare func(r *Records)) (rules []string) {
		r := healthyRecords()
		prepare(r)
		for _, finding := range judge(r, now) {
			rules = append(rules, finding.Rule)
		}
		return rules
	}
	const second = time.Second
	require.Empty(t, findings(func(r *Records) { addLimited(r, "entry-1", 1, baseTime, 400*time.Millisecond, 40) }), "11 in 4 s")
	require.Equal(t, []string{"LIMIT"}, findings(func(r *Records) { addLimited(r, "entry-1", 1, baseTime, 300*time.Millisecond, 40) }), "14 in 4 s")
	require.Equal(t, []string{"LIMIT"}, findings(func(r *Records) {
		addLimited(r, "entry-1", 1, baseTime, 600*time.Millisecond, 20)
		addLimited(r, "entry-2", 1, baseTime, 600*time.Millisecond, 20)
	}), "7 in 4 s from each of two entry VMs")
	require.Empty(t, findings(func(r *Records) { addLimited(r, "entry-1", 1, baseTime, 100*time.Millisecond, 30) }), "before the limit binds")
	require.Empty(t, findings(func(r *Records) {
		addLimited(r, "entry-1", 1, baseTime, 600*time.Millisecond, 20)
		addLimited(r, "entry-2", 1, baseTime.Add(5*second), 10*time.Millisecond, 40)
	}), "the second entry VM has just learned of it")
	require.Empty(t, findings(func(r *Records) {
		addLimited(r, "entry-1", 1, baseTime, 300*time.Millisecond, 40)
		r.Disturbances = []Disturbance{{From: baseTime.Add(4 * second), To: baseTime.Add(5 * second), Node: "entry-1"}}
		for _, attempts := range r.Attempts {
			if attempts[0].ReceivedAt.Before(baseTime.Add(4 * second)) {
				attempts[0].Limit = 0
			}
		}
	}), "a fault of the entry VM")
}

// While one of three control VMs is frozen, entry VMs must follow the others from contactTime on.
func TestEntryVMsMustFollowTheMajority(t *testing.T) {
	freeze := baseTime.Add(5 * time.Second)
	judged := func(at time.Duration, nodes ...string) bool {
		r := healthyRecords()
		r.ControlVMs = 3
		for _, node := range nodes {
			r.Disturbances = append(r.Disturbances, Disturbance{From: freeze, To: freeze.Add(5 * time.Second), Node: node})
		}
		addProbe(r, "probe", 2, 404, freeze.Add(at))
		return len(judge(r, baseTime.Add(time.Minute))) > 0
	}
	const afterContact = contactTime + 100*time.Millisecond
	require.True(t, judged(afterContact, "control-1"))
	require.False(t, judged(contactTime-100*time.Millisecond, "control-1"))
	require.False(t, judged(afterContact, "control-1", "control-2"), "no majority is left")
	require.False(t, judged(afterContact, "entry-1"))
	require.False(t, judged(6*time.Second, "control-1"), "it has just woken")
	require.True(t, judged(10*time.Second, "control-1"), "calm again")
}
