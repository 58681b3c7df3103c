package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/routes"
)

func testEngine() *routes.Engine {
	return &routes.Engine{
		Slots: 16, MemoryTokens: 232_000, StepsPerPass: 43, ChunkTokens: 2048, StepTime: 1020 * time.Microsecond,
		StepTimePerSequence: 2260 * time.Nanosecond, StepTimePerContextToken: 4 * time.Nanosecond,
		PrefillTimePerToken: 4854 * time.Nanosecond, PrefillNsPerTokenPair: 0.138,
	}
}

func testScheduler(now time.Time, servers int) *Scheduler {
	s := New()
	s.SetEngines(&routes.Table{Services: []routes.Service{{Name: "model", Engine: testEngine()}}})
	for i := range servers {
		s.SetServer(now, Server{ID: string(rune('a' + i)), Service: "model", Slots: 16, AcceptsNew: true})
	}
	return s
}

// A prompt that no server holds alone has memory reserved for all of it but the
// part of the first server, also where a helper without free memory comes
// before those that have it.
func TestMemoryOfALargePromptIsReserved(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := testScheduler(now, 6)
	s.refreshRooms(now)
	candidates := make([]candidate, 0, len(s.order))
	for i, one := range s.order {
		if i == 1 || i == 2 {
			one.room.free = 1000
		}
		candidates = append(candidates, candidate{room: &one.room})
	}
	plan := planMemory(232_000, 300_700)
	require.Equal(t, 2, plan.holders)
	chosen, found := s.choose(candidates, plan, 5, 100*time.Millisecond, 0)
	require.True(t, found)
	require.Len(t, chosen.helpers, 4)
	reserved := 0
	for _, helper := range chosen.helpers {
		reserved += helper.ReserveTokens
	}
	require.Equal(t, 300_700-plan.first, reserved)
}

// A long prompt may make a short stream late, but not pause it for so long that
// its server is taken for dead.
func TestNoPassBreaksAStreamOff(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := testScheduler(now, 1)
	s.commit(now, &job{ask: ask(now, 1, 1000, 300*time.Millisecond, 250*time.Millisecond), since: now}, s.servers["a"], nil)
	s.MarkStarted(now.Add(100*time.Millisecond), JobID{VM: 1, Seq: 1})
	now = now.Add(200 * time.Millisecond)
	large := ask(now, 2, 100_000, 3*time.Second, time.Second) // 1.2 s of reading
	large.Weight = 1000
	s.Enqueue(now, large)
	for range 50 {
		require.Empty(t, s.Decide(now))
		now = now.Add(50 * time.Millisecond)
	}
}

func ask(now time.Time, seq uint64, prompt int, aim, pause time.Duration) PlacementRequest {
	return PlacementRequest{
		ID: JobID{VM: 1, Seq: seq}, Service: "model", PromptTokens: prompt, AnswerTokens: 700,
		TargetAt: now.Add(aim), StartDeadline: now.Add(4 * aim), MaxGap: pause, Weight: 10,
	}
}
