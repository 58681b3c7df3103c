package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestThatExcludesAllServersBlocksNoOther(t *testing.T) {
	now := time.Unix(1000, 0)
	s := smallFleet(now, 2)
	first := modelRequest(now, 1, 1000, time.Second)
	first.Excluded, first.Priority = []string{"a", "b"}, -1
	second := modelRequest(now, 2, 1000, time.Second)
	s.Enqueue(now, first)
	s.Enqueue(now, second)
	placements := s.Decide(now)
	require.Len(t, placements, 1)
	require.Equal(t, second.ID, placements[0].ID)
}

func TestFullServersAreSearchedOnceForRequestsWithExclusions(t *testing.T) {
	now := time.Unix(1000, 0)
	s := smallFleet(now, 4)
	for seq := range uint64(40) {
		s.Enqueue(now, modelRequest(now, seq, 1000, time.Second))
	}
	s.Decide(now)
	clear(s.rankings)
	request := modelRequest(now, 100, 1000, time.Second)
	request.Excluded = []string{"a"}
	j := s.newJob(now, request)
	require.False(t, s.place(now, j))
	require.Equal(t, j.prefillTime, s.rank(j).minFailed, "the next requests are not searched again")
}

func TestExcludedServerIsNeitherFirstNorHelper(t *testing.T) {
	now := time.Unix(1000, 0)
	s := smallFleet(now, 4)
	for seq := range uint64(8) {
		request := modelRequest(now, seq, 9000, 500*time.Millisecond)
		request.Excluded = []string{"b"}
		s.Enqueue(now, request)
	}
	placed := 0
	for range 200 {
		for _, placement := range s.Decide(now) {
			require.NotEqual(t, "b", placement.Server)
			for _, helper := range placement.Helpers {
				require.NotEqual(t, "b", helper.Server)
			}
			placed++
		}
		now = now.Add(decisionInterval)
	}
	require.NotZero(t, placed)
}

// BenchmarkDecide places 50 requests on 600 servers, of which each request excludes none or 60.
func BenchmarkDecide(b *testing.B) {
	for _, excluded := range []int{0, 60} {
		b.Run(fmt.Sprintf("excluded=%d", excluded), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := smallFleet(now, 0)
			ids := make([]string, 600)
			for i := range ids {
				ids[i] = fmt.Sprintf("i-%08d", i)
				s.SetServer(now, Server{ID: ids[i], Service: "model", Zone: "z", Slots: 4, AcceptsNew: true})
			}
			var excludedIDs []string
			for i := range excluded {
				excludedIDs = append(excludedIDs, ids[10*i])
			}
			for b.Loop() {
				for seq := range uint64(50) {
					request := modelRequest(now, seq, 1000, time.Second)
					request.Excluded = excludedIDs
					s.Enqueue(now, request)
				}
				if placed := len(s.Decide(now)); placed != 50 {
					b.Fatalf("%d of 50 requests were placed", placed)
				}
				s.FinishAll(now, 1, nil)
			}
		})
	}
}
