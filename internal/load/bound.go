package load

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Bound is an upper bound of the requests that the engines can complete in time
// in the peak phases. It assumes that all engines act as one without any loss,
// that they are idle at the start of the peak and that all arrivals are known by
// then, so no routing policy can exceed it.
type Bound struct {
	// Offered counts the model requests in the peak phases. InTime is the upper
	// bound of the number of them that complete within their timeouts.
	Offered int64 `json:"offered"`
	InTime  int64 `json:"in_time"`
	// DemandSeconds is the engine time that the offered requests need,
	// CapacitySeconds the engine time that all engines have together from the
	// start of the peak to the last deadline.
	DemandSeconds   float64 `json:"demand_seconds"`
	CapacitySeconds float64 `json:"capacity_seconds"`
}

// RequestFraction returns the bound as a fraction of the offered requests.
func (b Bound) RequestFraction() float64 { return ratio(b.InTime, b.Offered) }

// boundJob is a model request with its deadline since the start of the run and
// its engine time.
type boundJob struct {
	deadline   time.Duration
	engineTime time.Duration
}

// minEngineTime returns a lower bound of the time that a prompt takes on one
// engine. It counts the shared prefix of the team as cached, every prefill step
// as filled up by other prompts, and no fixed time of decode steps, as other
// sequences may share them.
func (f *Fleet) minEngineTime(team *Team, prompt *Prompt) time.Duration {
	engine := f.Engine
	prefillTokens := max(prompt.Tokens-team.SharedPrefixTokens, 1)
	stepTime := engine.StepTime.Std() * time.Duration(prefillTokens) / time.Duration(max(engine.ChunkTokens, 1))
	return time.Duration(prefillTokens)*engine.PrefillTimePerToken.Std() + stepTime +
		time.Duration(prompt.AnswerTokens)*engine.DecodeTimePerToken.Std()
}

// ComputeBound applies the Moore-Hodgson algorithm to the arrivals of the peak:
// it schedules the requests by deadline, and whenever a request would be late, it
// drops the scheduled request with the most engine time. This maximizes the number
// of requests in time.
func ComputeBound(scenario *Scenario, arrivals []Arrival) Bound {
	jobs, start := peakJobs(scenario, arrivals)
	engines := time.Duration(scenario.Fleet.EnginesPerZone * len(scenario.Fleet.Zones))
	bound := Bound{Offered: int64(len(jobs))}
	slices.SortFunc(jobs, func(a, b boundJob) int { return cmp.Compare(a.deadline, b.deadline) })
	scheduled := &engineTimeHeap{}
	var busy time.Duration
	for _, job := range jobs {
		bound.DemandSeconds += job.engineTime.Seconds()
		bound.CapacitySeconds = ((job.deadline - start) * engines).Seconds()
		busy += job.engineTime
		heap.Push(scheduled, job.engineTime)
		if busy > (job.deadline-start)*engines {
			busy -= heap.Pop(scheduled).(time.Duration)
		}
	}
	bound.InTime = int64(scheduled.Len())
	return bound
}

// peakJobs returns the model requests of the peak phases, and the time from the
// start of the run to the arrival of the first of them.
func peakJobs(scenario *Scenario, arrivals []Arrival) ([]boundJob, time.Duration) {
	var jobs []boundJob
	var start time.Duration
	for i := range arrivals {
		arrival := &arrivals[i]
		if !arrival.Peak || arrival.Prompt == nil {
			continue
		}
		if len(jobs) == 0 {
			start = arrival.At
		}
		jobs = append(jobs, boundJob{deadline: arrival.At + arrival.Timeout, engineTime: scenario.Fleet.minEngineTime(arrival.Team, arrival.Prompt)})
	}
	return jobs, start
}

// engineTimeHeap is a max-heap of engine times.
type engineTimeHeap []time.Duration

func (h engineTimeHeap) Len() int           { return len(h) }
func (h engineTimeHeap) Less(i, j int) bool { return h[i] > h[j] }
func (h engineTimeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an engine time, as container/heap requires.
func (h *engineTimeHeap) Push(engineTime any) { *h = append(*h, engineTime.(time.Duration)) }

// Pop removes the last engine time, as container/heap requires.
func (h *engineTimeHeap) Pop() any {
	last := len(*h) - 1
	engineTime := (*h)[last]
	*h = (*h)[:last]
	return engineTime
}
