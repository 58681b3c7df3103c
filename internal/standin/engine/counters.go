package engine

import (
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// Counters are what the engine ran.
type Counters struct {
	// Calls counts the calls for generation that arrived, refused and failed
	// ones included.
	Calls         int64 `json:"calls"`
	Submitted     int64 `json:"submitted"`
	Completed     int64 `json:"completed"`
	Cancelled     int64 `json:"cancelled"`
	Refused       int64 `json:"refused"`
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	// BusyMicros sums the durations of all steps.
	BusyMicros int64 `json:"busy_us"`
	// MemoryTokens is held now, MaxMemoryTokens the most at one time.
	MemoryTokens    int64 `json:"memory_tokens"`
	MaxMemoryTokens int64 `json:"max_memory_tokens"`
	MaxRunning      int64 `json:"max_running"`
	MaxWaiting      int64 `json:"max_waiting"`
	// OverCommits counts attempts that arrived when the memory asked for by
	// attempts running and waiting was above the capacity.
	OverCommits int64 `json:"over_commits"`
	// AfterLeaving counts attempts that arrived after leaving was announced;
	// LastAfterLeavingMillis is how long after it the last one came.
	AfterLeaving           int64 `json:"after_leaving"`
	LastAfterLeavingMillis int64 `json:"last_after_leaving_ms"`
}

// Load returns the load at this moment.
func (c *Core) Load() backendapi.LoadReport {
	report := backendapi.LoadReport{
		UsedTokens:      c.usedTokens,
		RunningRequests: int64(len(c.running)), WaitingRequests: int64(len(c.waiting)),
	}
	for _, seq := range c.running {
		report.PrefillBacklogTokens += seq.prefillRemaining
	}
	for _, seq := range c.waiting {
		report.PrefillBacklogTokens += seq.job.PromptTokens
	}
	return report
}

// Attempts lists what holds memory.
func (c *Core) Attempts(now time.Time) []backendapi.HeldAttempt {
	held := []backendapi.HeldAttempt{}
	add := func(seq *sequence) {
		held = append(held, backendapi.HeldAttempt{
			Attempt: seq.job.Attempt, Tokens: seq.job.need(), AgeMillis: now.Sub(seq.since).Milliseconds(),
		})
	}
	for _, seq := range c.running {
		add(seq)
	}
	for _, seq := range c.parked {
		add(seq)
	}
	return held
}

// Counters returns what ran so far.
func (c *Core) Counters() Counters {
	counters := c.counters
	counters.MemoryTokens = c.usedTokens
	return counters
}
