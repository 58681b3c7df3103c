package load

import (
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/standin/engine"
)

const (
	// outcomeGrace is the time after the deadline of a request within which its
	// outcome must reach the client. It covers the network delay of the answer
	// and a busy client machine.
	outcomeGrace = time.Second
	// maxExamples is the maximum number of examples of a broken promise that one
	// check keeps.
	maxExamples = 5
)

// Promise is a guarantee of the system to its callers, with the number of checks
// and of failed checks.
type Promise struct {
	Name     string   `json:"name"`
	Checked  int64    `json:"checked"`
	Broken   int64    `json:"broken"`
	Examples []string `json:"examples,omitempty"`
}

// Check counts one check. If ok is false, it counts the promise as broken and keeps
// the formatted text as an example, up to maxExamples.
func (p *Promise) Check(ok bool, format string, args ...any) {
	p.Checked++
	if ok {
		return
	}
	p.Broken++
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, fmt.Sprintf(format, args...))
	}
}

// Evidence holds what the stand-ins counted. It shows what ran, independently of the
// answers of the system under test.
type Evidence struct {
	// AnswerRuns counts the starts of each answer over all engines, by
	// Sample.Seed.
	AnswerRuns map[uint64]int64
	// KeyRuns counts the runs of each idempotency key over all services.
	KeyRuns map[string]int64
	// Engines are the counters of each engine.
	Engines []EngineEvidence
	// EntryVMsKilled is true if entry VMs were killed during the run. Lost
	// connections of callers then break no promise.
	EntryVMsKilled bool
}

// EngineEvidence has the counters of one engine.
type EngineEvidence struct {
	Server   string
	Counters engine.Counters
}

// CheckPromises checks every promise against the samples and the evidence of a
// run.
func CheckPromises(samples []Sample, evidence Evidence) []Promise {
	return []Promise{
		checkTimeouts(samples, evidence),
		checkAnswers(samples),
		checkNotRun(samples, evidence),
		checkAtMostOnce(samples, evidence),
		checkCompletedCalls(samples, evidence),
		checkMemory(evidence),
	}
}

// describe returns a line about a sample, as an example of a broken promise.
func describe(sample *Sample) string {
	kind := "call " + sample.Key
	if sample.Arrival.Prompt != nil {
		kind = fmt.Sprintf("prompt of %d tokens", sample.Arrival.Prompt.Tokens)
	}
	return fmt.Sprintf("#%d %s of %s at %.2fs: outcome %q code %q after %.2fs of %.2fs, sent %.2fs late, machine stalled %.2fs, %s", sample.Arrival.Number,
		kind, sample.Arrival.Team.Name, sample.Arrival.At.Seconds(), sample.Outcome, sample.Code,
		sample.TotalTime.Seconds(), sample.Arrival.Timeout.Seconds(), sample.SendLag.Seconds(), sample.StallTime.Seconds(), sample.ErrorMessage)
}

func checkTimeouts(samples []Sample, evidence Evidence) Promise {
	promise := Promise{Name: "every request ends within its time, with an outcome"}
	for i := range samples {
		sample := &samples[i]
		hasOutcome := sample.Outcome.Valid() || (sample.ConnectionLost && evidence.EntryVMsKilled)
		// The timeout starts when the request leaves the client.
		elapsed := sample.TotalTime - sample.SendLag
		endedInTime := hasOutcome && !sample.TimedOut && elapsed <= sample.Arrival.Timeout+outcomeGrace
		promise.Check(endedInTime, "%s", describe(sample))
	}
	return promise
}

func checkAnswers(samples []Sample) Promise {
	promise := Promise{Name: "every answer is whole and the caller's own, token by token"}
	for i := range samples {
		sample := &samples[i]
		if sample.Outcome == request.Completed || sample.Tokens > 0 || sample.WrongAnswer {
			promise.Check(!sample.WrongAnswer, "%s", describe(sample))
		}
	}
	return promise
}

func checkNotRun(samples []Sample, evidence Evidence) Promise {
	promise := Promise{Name: "what was told not to have run did not run"}
	for i := range samples {
		sample := &samples[i]
		// The stand-in services count no runs of calls without a key.
		canCheck := sample.Arrival.Prompt != nil || sample.Key != ""
		if sample.Outcome != request.NotRun || !canCheck {
			continue
		}
		runs := evidence.AnswerRuns[sample.Seed]
		if sample.Arrival.Call != nil {
			runs = evidence.KeyRuns[sample.Key]
		}
		promise.Check(runs == 0, "%s: %d runs", describe(sample), runs)
	}
	return promise
}

func checkAtMostOnce(samples []Sample, evidence Evidence) Promise {
	promise := Promise{Name: "every idempotency key ran at most once"}
	seen := map[string]bool{}
	for i := range samples {
		sample := &samples[i]
		if sample.Key == "" || seen[sample.Key] {
			continue
		}
		seen[sample.Key] = true
		runs := evidence.KeyRuns[sample.Key]
		promise.Check(runs <= 1, "%s: %d runs", describe(sample), runs)
	}
	return promise
}

func checkCompletedCalls(samples []Sample, evidence Evidence) Promise {
	promise := Promise{Name: "every completed non-idempotent call ran once"}
	for i := range samples {
		sample := &samples[i]
		if sample.Key == "" || sample.Outcome != request.Completed {
			continue
		}
		runs := evidence.KeyRuns[sample.Key]
		promise.Check(runs == 1, "%s: %d runs", describe(sample), runs)
	}
	return promise
}

func checkMemory(evidence Evidence) Promise {
	promise := Promise{Name: "no engine holds memory at the end"}
	for _, engineEvidence := range evidence.Engines {
		heldTokens := engineEvidence.Counters.MemoryTokens
		promise.Check(heldTokens == 0, "%s holds %d tokens", engineEvidence.Server, heldTokens)
	}
	return promise
}

// MergePromises adds up two results of CheckPromises, which list the same promises in
// the same order.
func MergePromises(first, second []Promise) []Promise {
	merged := make([]Promise, len(first))
	for i, promise := range first {
		promise.Checked += second[i].Checked
		promise.Broken += second[i].Broken
		promise.Examples = append(promise.Examples, second[i].Examples...)
		merged[i] = promise
	}
	return merged
}
