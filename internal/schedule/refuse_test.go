package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/routes"
)

// smallFleet returns a scheduler with model servers that read ten tokens in a
// millisecond.
func smallFleet(now time.Time, servers int) *Scheduler {
	s := New()
	s.SetEngines(&routes.Table{Services: []routes.Service{{Name: "model", Engine: &routes.Engine{
		Slots: 4, MemoryTokens: 1_000_000, StepsPerPass: 40, ChunkTokens: 2048, StepTime: time.Millisecond, PrefillTimePerToken: 100 * time.Microsecond,
	}}}})
	for i := range servers {
		s.SetServer(now, Server{ID: string(rune('a' + i)), Service: "model", Zone: "z", Slots: 4, AcceptsNew: true})
	}
	return s
}

func modelAsk(now time.Time, seq uint64, tokens int, aim time.Duration) PlacementRequest {
	return PlacementRequest{
		ID: JobID{VM: 1, Seq: seq}, Service: "model", Zone: "z", PromptTokens: tokens, AnswerTokens: 100, MaxGap: time.Second,
		TargetAt: now.Add(aim), StartDeadline: now.Add(4 * aim), Weight: float64(tokens) / 1000,
	}
}

// Nobody waits any more for what a server would have read by then, and reading
// it costs others.
func TestNoPlaceIsGivenThatIsTooLate(t *testing.T) {
	now := time.Unix(1000, 0)
	s := smallFleet(now, 1)
	ask := modelAsk(now, 1, 9000, 300*time.Millisecond)
	ask.StartDeadline = now.Add(500 * time.Millisecond) // reading takes 900 ms
	s.Enqueue(now, ask)
	for range 100 {
		for _, placement := range s.Decide(now) {
			require.Empty(t, placement.Server)
		}
		now = now.Add(wakeInterval)
	}
	require.Zero(t, s.Queued(), "it was refused")
}

// Many short prompts a second say nothing of the wait of a long one.
func TestWaitOfALongPromptIsEstimatedByLongOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	s := smallFleet(now, 4)
	short := queueKey{service: "model"}
	long := s.newJob(now, modelAsk(now, 1, 100_000, time.Second)).queueKey()
	require.NotEqual(t, short, long)
	for _, key := range []queueKey{short, long} {
		s.throughput(key).follow(now, true)
	}
	now = now.Add(3 * time.Second)
	for range 400 {
		s.throughput(short).add(now)
	}
	s.throughput(long).add(now)
	many := queue{key: short, ahead: 10, rate: s.throughput(short)}
	few := queue{key: long, ahead: 10, rate: s.throughput(long)}
	require.Less(t, many.wait(now), time.Second)
	require.Greater(t, few.wait(now), 10*time.Second)
	require.Equal(t, longestRetry, few.retryAfter(now))
	require.True(t, few.tooLong(now, 9*time.Second))
	require.False(t, many.tooLong(now, 9*time.Second))
}

// A scheduler that has just begun to lead, or whose servers had little to do,
// can't tell how long a sudden queue takes.
func TestSuddenQueueRefusesNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	s := smallFleet(now, 4)
	seq := uint64(0)
	ask := func(count int) {
		for range count {
			seq++
			s.Enqueue(now, modelAsk(now, seq, 100, 2*time.Second))
		}
	}
	for range 3 { // a lull: one at a time, placed at once
		ask(1)
		require.Len(t, s.Decide(now), 1)
		s.MarkStarted(now, JobID{VM: 1, Seq: seq})
		s.Finish(now, JobID{VM: 1, Seq: seq}, OutcomeDone)
		now = now.Add(time.Second)
	}
	ask(60)
	for range 20 {
		for _, placement := range s.Decide(now) {
			require.NotEmpty(t, placement.Server, placement.Reason)
		}
		now = now.Add(wakeInterval)
	}
	require.Positive(t, s.Queued())
}
