package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// twoServers returns a scheduler with two servers of one slot.
func twoServers(now time.Time) *Scheduler {
	s := New()
	for _, id := range []string{"s1", "s2"} {
		s.SetServer(now, Server{ID: id, Service: "plain", Zone: "a", Slots: 1, AcceptsNew: true})
	}
	return s
}

// An entry VM that placed a request itself says so while the request still
// waits here. It takes one place, and gives it back.
func TestAdoptedRequestNoLongerWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.Enqueue(now, plainAsk(now, 1, 1))
	s.Adopt(now, plainAsk(now, 1, 1), Placement{ID: JobID{1, 1}, Server: "s2"}, false)
	require.Empty(t, s.Decide(now))
	s.Finish(now, JobID{1, 1}, OutcomeDone)
	s.Enqueue(now, plainAsk(now, 1, 2))
	s.Enqueue(now, plainAsk(now, 1, 3))
	require.Len(t, s.Decide(now), 2, "both servers are free again")
}

// The entry VM knows best where its request runs.
func TestAdoptedRequestLeavesThePlaceThatItWasGiven(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.Enqueue(now, plainAsk(now, 1, 1))
	given := s.Decide(now)[0].Server
	other := map[string]string{"s1": "s2", "s2": "s1"}[given]
	s.Adopt(now, plainAsk(now, 1, 1), Placement{ID: JobID{1, 1}, Server: other}, false)
	s.Enqueue(now, plainAsk(now, 1, 2))
	placements := s.Decide(now)
	require.Len(t, placements, 1)
	require.Equal(t, given, placements[0].Server)
}

func TestRequestThatIsAskedForTwiceTakesOnePlace(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.Enqueue(now, plainAsk(now, 1, 1))
	s.Enqueue(now, plainAsk(now, 1, 1))
	require.Len(t, s.Decide(now), 1)
	s.Enqueue(now, plainAsk(now, 1, 1))
	require.Empty(t, s.Decide(now))
	require.Equal(t, 1, s.Placed())
}

// Servers without an engine model take a request over their slots into their
// queue or say that they are full, so a VM on its own may always use one slot.
func TestSmallPartOfAPlainServerIsOneSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.SetShare(1.0/79, 3)
	s.Enqueue(now, plainAsk(now, 1, 1))
	s.Enqueue(now, plainAsk(now, 1, 2))
	require.Len(t, s.Decide(now), 2)
}
