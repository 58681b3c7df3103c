package load

import (
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/standin/engine"
)

const (
	// lateGrace is how much later than its time an end may reach the client,
	// for the way back and for a busy client machine.
	lateGrace = time.Second
	// maxExamples bounds the examples of a broken promise.
	maxExamples = 5
)

// Promise is one promise with how often it was checked and broken.
type Promise struct {
	Name     string   `json:"name"`
	Checked  int64    `json:"checked"`
	Broken   int64    `json:"broken"`
	Examples []string `json:"examples,omitempty"`
}

// Check counts one check, and a break of the promise when ok is false.
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

// Evidence is what the stand-ins counted. It is the judge of what ran.
type Evidence struct {
	// AnswerRuns counts the starts of each answer over all engines.
	AnswerRuns map[uint64]int64
	// KeyRuns counts the runs of each idempotency key over all services.
	KeyRuns map[string]int64
	// Engines are the counters of each engine.
	Engines []EngineEvidence
	// EntryVMsKilled tells that entry VMs were killed during the run, so that
	// callers may have lost their connections.
	EntryVMsKilled bool
}

// EngineEvidence is what one engine counted.
type EngineEvidence struct {
	Server   string
	Counters engine.Counters
}

// CheckPromises checks the promises of a run against the evidence.
func CheckPromises(samples []Sample, evidence Evidence) []Promise {
	return []Promise{
		judgeTime(samples, evidence),
		judgeAnswers(samples),
		judgeNotRun(samples, evidence),
		judgeAtMostOnce(samples, evidence),
		judgeCompletedCalls(samples, evidence),
		judgeMemory(evidence),
	}
}

func describe(sample *Sample) string {
	kind := "call " + sample.Key
	if sample.Arrival.Prompt != nil {
		kind = fmt.Sprintf("prompt of %d tokens", sample.Arrival.Prompt.Tokens)
	}
	return fmt.Sprintf("#%d %s of %s at %.2fs: outcome %q code %q after %.2fs of %.2fs, sent %.2fs late, machine stalled %.2fs, %s", sample.Arrival.Number,
		kind, sample.Arrival.Team.Name, sample.Arrival.At.Seconds(), sample.Outcome, sample.Code,
		sample.TotalTime.Seconds(), sample.Arrival.Timeout.Seconds(), sample.SendLag.Seconds(), sample.StallTime.Seconds(), sample.ErrorMessage)
}

func judgeTime(samples []Sample, evidence Evidence) Promise {
	promise := Promise{Name: "every request ends within its time, with an outcome"}
	for i := range samples {
		sample := &samples[i]
		told := sample.Outcome.Valid() || (sample.ConnectionLost && evidence.EntryVMsKilled)
		// The time that a caller grants begins when the request leaves it.
		took := sample.TotalTime - sample.SendLag
		ended := told && !sample.TimedOut && took <= sample.Arrival.Timeout+lateGrace
		promise.Check(ended, "%s", describe(sample))
	}
	return promise
}

func judgeAnswers(samples []Sample) Promise {
	promise := Promise{Name: "every answer is whole and the caller's own, token by token"}
	for i := range samples {
		sample := &samples[i]
		if sample.Outcome == request.Completed || sample.Tokens > 0 || sample.WrongAnswer {
			promise.Check(!sample.WrongAnswer, "%s", describe(sample))
		}
	}
	return promise
}

func judgeNotRun(samples []Sample, evidence Evidence) Promise {
	promise := Promise{Name: "what was told not to have run did not run"}
	for i := range samples {
		sample := &samples[i]
		// A call without a key leaves no trace to judge by.
		judged := sample.Arrival.Prompt != nil || sample.Key != ""
		if sample.Outcome != request.NotRun || !judged {
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

func judgeAtMostOnce(samples []Sample, evidence Evidence) Promise {
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

func judgeCompletedCalls(samples []Sample, evidence Evidence) Promise {
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

func judgeMemory(evidence Evidence) Promise {
	promise := Promise{Name: "no engine holds memory at the end"}
	for _, counted := range evidence.Engines {
		left := counted.Counters.MemoryTokens
		promise.Check(left == 0, "%s holds %d tokens", counted.Server, left)
	}
	return promise
}

// MergePromises adds the counts of two lists of the same promises.
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
