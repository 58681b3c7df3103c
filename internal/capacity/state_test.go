package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func choicesFor(servers ...string) []Choice {
	choices := make([]Choice, len(servers))
	for i, server := range servers {
		choices[i] = Choice{Server: server, PrefillTokens: 1000, TokenTime: time.Microsecond}
	}
	return choices
}

func stateRequest(attempt string, tokens int64, now time.Time) Request {
	return Request{Attempt: attempt, Holder: "a", Tokens: tokens, LatestStart: now.Add(8 * time.Second), Deadline: now.Add(time.Minute)}
}

func lastDecision(t *testing.T, state *State) ServerDecision {
	t.Helper()
	decided := state.TakeDecisions()
	require.Len(t, decided, 1)
	return decided[0]
}

func TestAcquireSelectsTheEngineWithTheShortestWait(t *testing.T) {
	state, _ := settledState(3)
	now := start.Add(4 * term)
	choices := choicesFor("e0", "e1", "e2")
	used := map[string]int{}
	for _, attempt := range []string{"a", "b", "c", "d", "e", "f"} {
		used[state.Acquire(stateRequest(attempt, 1000, now), choices, now)]++
	}
	assert.Equal(t, map[string]int{"e0": 2, "e1": 2, "e2": 2}, used, "each grant counts for the next selection")

	choices[1].Preferred = true
	assert.Equal(t, "e1", state.Acquire(stateRequest("g", 1000, now), choices, now))
	choices[1].TokenTime = 10 * time.Millisecond
	assert.NotEqual(t, "e1", state.Acquire(stateRequest("h", 1000, now), choices, now), "preferred, but its wait exceeds half of the time until the latest start")
	assert.Empty(t, state.Acquire(stateRequest("i", 1000, now), choicesFor("unknown"), now))
}

// TestQueuedRequestMovesToAnIdleEngine guards against a request that stays queued for its
// preferred engine while another engine is idle.
func TestQueuedRequestMovesToAnIdleEngine(t *testing.T) {
	state, _ := settledState(2)
	now := start.Add(4 * term)
	live := []Engine{state.engines["e0"].engine, state.engines["e1"].engine}
	state.Acquire(stateRequest("full0", 400_000, now), choicesFor("e0"), now)
	state.Acquire(stateRequest("full1", 400_000, now), choicesFor("e1"), now)
	state.TakeDecisions()
	choices := choicesFor("e0", "e1")
	choices[0].Preferred = true
	require.Equal(t, "e0", state.Acquire(stateRequest("late", 100_000, now), choices, now))
	state.Release("e1", "full1", false, now)
	state.Tick(live, now.Add(time.Second))
	assert.Empty(t, state.TakeDecisions(), "it stays queued for the preferred engine at first")
	state.Tick(live, now.Add(2*time.Second))
	decision := lastDecision(t, state)
	assert.Equal(t, ServerDecision{Server: "e1", Decision: decision.Decision}, decision)
	assert.Equal(t, Granted, decision.Kind)
	assert.Zero(t, state.engines["e0"].core.Usage().Queued)
	assert.Empty(t, state.queued)
}

// TestLongPrefillAddsABoundedWaitToShortRequests guards against an engine with a long prefill
// that gets no short requests, although it prefills short prompts first.
func TestLongPrefillAddsABoundedWaitToShortRequests(t *testing.T) {
	state, _ := settledState(2)
	now := start.Add(4 * term)
	request := func(attempt string, short bool) Request {
		r := stateRequest(attempt, 1000, now)
		r.Short = short
		return r
	}
	long := []Choice{{Server: "e0", PrefillTokens: 200_000, TokenTime: time.Microsecond}}
	state.Acquire(request("long", false), long, now)
	used := map[string]int{}
	for _, attempt := range []string{"a", "b", "c", "d", "e", "f"} {
		used[state.Acquire(request(attempt, true), choicesFor("e0", "e1"), now)]++
	}
	assert.Equal(t, map[string]int{"e0": 2, "e1": 4}, used, "a long prefill counts like two short requests")
}
