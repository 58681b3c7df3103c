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
	// Offered counts the model requests in the peak phases, InTime how many of
	// them can complete within their timeout at best.
	Offered int64 `json:"offered"`
	InTime  int64 `json:"in_time"`
	// DemandSeconds is the engine time that the offered requests need,
	// CapacitySeconds the engine time that there is from the start of the peak
	// to the last deadline.
	DemandSeconds   float64 `json:"demand_seconds"`
	CapacitySeconds float64 `json:"capacity_seconds"`
}

// RequestFraction returns the bound as a fraction of the offered requests.
func (b Bound) RequestFraction() float64 { return ratio(b.InTime, b.Offered) }

// boundJob is a model request with its deadline since the start of the run and
// its engine time.
type boundJob struct {
	due  time.Duration
	work time.Duration
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
// it schedules them by deadline, and whenever one would be late, it drops the one
// with the most work. This maximizes the number of requests in time.
func ComputeBound(scenario *Scenario, arrivals []Arrival) Bound {
	jobs, start := peakJobs(scenario, arrivals)
	engines := time.Duration(scenario.Fleet.EnginesPerZone * len(scenario.Fleet.Zones))
	bound := Bound{Offered: int64(len(jobs))}
	slices.SortFunc(jobs, func(a, b boundJob) int { return cmp.Compare(a.due, b.due) })
	scheduled := &workHeap{}
	var busy time.Duration
	for _, job := range jobs {
		bound.DemandSeconds += job.work.Seconds()
		bound.CapacitySeconds = ((job.due - start) * engines).Seconds()
		busy += job.work
		heap.Push(scheduled, job.work)
		if busy > (job.due-start)*engines {
			busy -= heap.Pop(scheduled).(time.Duration)
		}
	}
	bound.InTime = int64(scheduled.Len())
	return bound
}

// peakJobs returns the model requests of the peak phases and the arrival time of
// the first, since the start of the run.
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
		jobs = append(jobs, boundJob{due: arrival.At + arrival.Timeout, work: scenario.Fleet.minEngineTime(arrival.Team, arrival.Prompt)})
	}
	return jobs, start
}

// workHeap is a max-heap of engine times.
type workHeap []time.Duration

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i] > h[j] }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an engine time, as container/heap requires.
func (h *workHeap) Push(work any) { *h = append(*h, work.(time.Duration)) }

// Pop removes the last engine time, as container/heap requires.
func (h *workHeap) Pop() any {
	last := len(*h) - 1
	work := (*h)[last]
	*h = (*h)[:last]
	return work
}
