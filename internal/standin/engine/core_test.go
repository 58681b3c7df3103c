package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testCore(memory int64) *Core {
	limits := Limits{MemoryTokens: memory, MaxRunning: 8, MaxWaiting: 16, CacheBlocks: 8}
	speed := Speed{StepTime: time.Millisecond, PrefillTimePerToken: time.Microsecond, DecodeTimePerToken: 10 * time.Microsecond, ChunkTokens: 1000}
	return NewCore(limits, speed)
}

// runAll steps the core until its batch is empty. It returns the simulated time at which each
// attempt emitted its first token, and the total.
func runAll(core *Core) (firstToken map[string]time.Duration, total time.Duration) {
	firstToken = map[string]time.Duration{}
	for {
		step := core.Step()
		if step.Duration == 0 {
			return firstToken, total
		}
		total += step.Duration
		for _, emission := range step.Emissions {
			if _, found := firstToken[emission.Attempt]; !found {
				firstToken[emission.Attempt] = total
			}
		}
	}
}

func TestStepTimeGrowsWithTokens(t *testing.T) {
	core := testCore(10_000)
	require.NoError(t, core.Submit(Job{Attempt: "a", PromptTokens: 1500, AnswerTokens: 3}, time.Time{}))
	first, total := runAll(core)
	// Two prefill steps of 1000 and 500 tokens, then two of one token each.
	assert.Equal(t, 2*time.Millisecond+1500*time.Microsecond, first["a"])
	assert.Equal(t, first["a"]+2*(time.Millisecond+10*time.Microsecond), total)
	assert.Zero(t, core.Counters().MemoryTokens)
}

func TestHigherPriorityIsPrefilledFirst(t *testing.T) {
	for _, priority := range []int{0, 9} {
		core := testCore(100_000)
		require.NoError(t, core.Submit(Job{Attempt: "long", PromptTokens: 50_000, AnswerTokens: 1}, time.Time{}))
		core.Step()
		require.NoError(t, core.Submit(Job{Attempt: "short", Priority: priority, PromptTokens: 500, AnswerTokens: 1}, time.Time{}))
		first, _ := runAll(core)
		assert.Equal(t, priority > 0, first["short"] < first["long"])
	}
}

func TestMemoryLimitsTheBatch(t *testing.T) {
	core := testCore(1000)
	require.ErrorIs(t, core.Submit(Job{Attempt: "huge", PromptTokens: 1001}, time.Time{}), errTooLarge)
	require.NoError(t, core.Submit(Job{Attempt: "a", PromptTokens: 600, AnswerTokens: 100}, time.Time{}))
	require.NoError(t, core.Submit(Job{Attempt: "b", PromptTokens: 600, AnswerTokens: 100}, time.Time{}))
	core.Step()
	assert.EqualValues(t, 1, core.Counters().OverCommits)
	assert.Equal(t, int64(1), core.Load().RunningRequests)
	core.Cancel("a")
	core.Step()
	assert.Equal(t, "b", core.Attempts(time.Time{})[0].Attempt)
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	core := testCore(10_000)
	blocks := []uint64{1, 2, 3}
	require.NoError(t, core.Submit(Job{Attempt: "a", PromptTokens: 800, AnswerTokens: 1, Blocks: blocks}, time.Time{}))
	runAll(core)
	require.NoError(t, core.Submit(Job{Attempt: "b", PromptTokens: 800, AnswerTokens: 1, Blocks: blocks}, time.Time{}))
	runAll(core)
	assert.EqualValues(t, 800+(800-768), core.Counters().PrefillTokens)
	assert.Len(t, core.cache.takeEvents(), 3)
	core.cache.store([]uint64{10, 11, 12, 13, 14, 15, 16, 17})
	assert.Zero(t, core.cache.lookup(blocks), "least recently used blocks are still cached")
}

func TestLeakHoldsMemoryUntilCancelled(t *testing.T) {
	core := testCore(1000)
	require.NoError(t, core.Submit(Job{Attempt: "a", PromptTokens: 100, AnswerTokens: 1, Leak: true}, time.Time{}))
	runAll(core)
	assert.EqualValues(t, 101, core.Counters().MemoryTokens)
	core.Abandon("a")
	assert.EqualValues(t, 101, core.Counters().MemoryTokens, "a caller's disconnect freed the memory of a leaked attempt")
	core.Cancel("a")
	assert.Zero(t, core.Counters().MemoryTokens)
}

func TestAttemptReplacesReservationOfItsImport(t *testing.T) {
	core := testCore(1000)
	require.NoError(t, core.Reserve("kv", 600, false, time.Time{}))
	require.ErrorIs(t, core.Reserve("kv2", 600, false, time.Time{}), errNoMemory)
	require.NoError(t, core.Submit(Job{Attempt: "a", PromptTokens: 700, AnswerTokens: 2, Imported: []string{"kv"}}, time.Time{}))
	runAll(core)
	assert.EqualValues(t, 100, core.Counters().PrefillTokens)
	assert.Zero(t, core.Counters().MemoryTokens)
}

func TestSegmentWithoutImportOfPrecedingContextIsRefused(t *testing.T) {
	core := testCore(1000)
	segment := Job{Attempt: "a", PromptTokens: 800, AnswerTokens: 2, ContextTokens: 1500}
	require.ErrorIs(t, core.Submit(segment, time.Time{}), errContextMismatch)
	require.NoError(t, core.Reserve("kv1", 900, true, time.Time{}))
	require.NoError(t, core.Reserve("kv2", 600, true, time.Time{}))
	segment.Imported = []string{"kv1", "kv2"}
	require.NoError(t, core.Submit(segment, time.Time{}))
	runAll(core)
	assert.EqualValues(t, 800, core.Counters().PrefillTokens)
	assert.Zero(t, core.Counters().MemoryTokens)
}

// TestMemoryAccountingMatchesListedAttempts submits, cancels and abandons random jobs. It
// guards against lost or double-counted memory: after each action, the memory held must equal
// the sum over the listed attempts and stay within the capacity, and it must be 0 once all
// attempts are cancelled.
func TestMemoryAccountingMatchesListedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := testCore(5000)
		attempts := 0
		check := func() {
			var sum int64
			for _, held := range core.Attempts(time.Time{}) {
				sum += held.Tokens
			}
			require.Equal(t, sum, core.Counters().MemoryTokens)
			require.LessOrEqual(t, sum, int64(5000))
		}
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				attempts++
				_ = core.Submit(Job{
					Attempt: fmt.Sprint(attempts), Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
					PromptTokens: rapid.Int64Range(1, 4000).Draw(t, "prompt"),
					AnswerTokens: rapid.Int64Range(0, 20).Draw(t, "answer"),
					ResumeFrom:   rapid.Int64Range(0, 20).Draw(t, "resume"),
					Leak:         rapid.Bool().Draw(t, "leak"),
				}, time.Time{})
			case 1:
				core.Cancel(fmt.Sprint(rapid.IntRange(0, attempts).Draw(t, "cancelled")))
			case 2:
				core.Abandon(fmt.Sprint(rapid.IntRange(0, attempts).Draw(t, "abandoned")))
			default:
				core.Step()
			}
			check()
		}
		for i := range attempts + 1 {
			core.Cancel(fmt.Sprint(i))
		}
		require.Zero(t, core.Counters().MemoryTokens)
	})
}
