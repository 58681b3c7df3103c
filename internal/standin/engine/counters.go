package engine

import (
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// Counters count the work of an engine since its start.
type Counters struct {
	// Calls counts the calls for generation, including refused and failed calls.
	Calls int64 `json:"calls"`
	// Submitted counts the jobs that Core.Submit queued, Refused those that it refused. Calls that a fault refused
	// are in neither.
	Submitted     int64 `json:"submitted"`
	Completed     int64 `json:"completed"`
	Cancelled     int64 `json:"cancelled"`
	Refused       int64 `json:"refused"`
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	// BusyMicros is the sum of the simulated durations of all steps, in microseconds.
	BusyMicros int64 `json:"busy_us"`
	// MemoryTokens is the memory held now, MaxMemoryTokens the maximum so far.
	MemoryTokens    int64 `json:"memory_tokens"`
	MaxMemoryTokens int64 `json:"max_memory_tokens"`
	MaxRunning      int64 `json:"max_running"`
	MaxWaiting      int64 `json:"max_waiting"`
	// OverCommits counts the attempts whose arrival made the memory that is held, plus the
	// memory that queued attempts need, exceed the capacity, and the imports that found too
	// little free memory. The imports of an attempt count in addition to its own need.
	OverCommits int64 `json:"over_commits"`
	// AfterLeaving counts the calls that arrived after Drain began. LastAfterLeavingMillis is
	// the time from the begin of Drain to the last of these calls, in milliseconds.
	AfterLeaving           int64 `json:"after_leaving"`
	LastAfterLeavingMillis int64 `json:"last_after_leaving_ms"`
}

// Load returns the current load.
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

// Attempts lists the attempts in the batch, and the parked attempts and imports, with their
// age at now.
func (c *Core) Attempts(now time.Time) []backendapi.HeldAttempt {
	held := []backendapi.HeldAttempt{}
	add := func(seq *sequence) {
		held = append(held, backendapi.HeldAttempt{
			Attempt: seq.job.Attempt, Tokens: seq.job.memoryTokens(), AgeMillis: now.Sub(seq.addedAt).Milliseconds(),
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

// Counters returns the counters, with the memory that is held now.
func (c *Core) Counters() Counters {
	counters := c.counters
	counters.MemoryTokens = c.usedTokens
	return counters
}
