package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// twoServers returns a scheduler with two plain servers of one slot each.
func twoServers(now time.Time) *Scheduler {
	s := New()
	for _, id := range []string{"s1", "s2"} {
		s.SetServer(now, Server{ID: id, Service: "plain", Zone: "a", Slots: 1, AcceptsNew: true})
	}
	return s
}

// An entry VM may report a request that it placed itself while the request is
// still queued here. The request must leave the queue, hold one slot and release
// it in the end.
func TestAdoptedRequestLeavesTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.Enqueue(now, plainRequest(now, 1, 1))
	s.Adopt(now, plainRequest(now, 1, 1), Placement{ID: JobID{1, 1}, Server: "s2"}, false)
	require.Empty(t, s.Decide(now))
	s.Finish(now, JobID{1, 1}, OutcomeDone)
	s.Enqueue(now, plainRequest(now, 1, 2))
	s.Enqueue(now, plainRequest(now, 1, 3))
	require.Len(t, s.Decide(now), 2, "a slot was not released")
}

// The entry VM's report of where a request runs takes precedence over the
// placement that was made here, whose slot must be released.
func TestAdoptedRequestReleasesTheSlotOfItsEarlierPlacement(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.Enqueue(now, plainRequest(now, 1, 1))
	placedOn := s.Decide(now)[0].Server
	other := map[string]string{"s1": "s2", "s2": "s1"}[placedOn]
	s.Adopt(now, plainRequest(now, 1, 1), Placement{ID: JobID{1, 1}, Server: other}, false)
	s.Enqueue(now, plainRequest(now, 1, 2))
	placements := s.Decide(now)
	require.Len(t, placements, 1)
	require.Equal(t, placedOn, placements[0].Server)
}

func TestRequestEnqueuedTwiceTakesOneSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.Enqueue(now, plainRequest(now, 1, 1))
	s.Enqueue(now, plainRequest(now, 1, 1))
	require.Len(t, s.Decide(now), 1)
	s.Enqueue(now, plainRequest(now, 1, 1))
	require.Empty(t, s.Decide(now))
	require.Equal(t, 1, s.Placed())
}

// A plain server queues or rejects a request over its slots. A VM that places
// requests on its own may therefore use at least one slot, however small its
// share is.
func TestSmallShareOfAPlainServerIsOneSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.SetShare(1.0/79, 3)
	s.Enqueue(now, plainRequest(now, 1, 1))
	s.Enqueue(now, plainRequest(now, 1, 2))
	require.Len(t, s.Decide(now), 2)
}
