package load

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Bound is the most that the engines could serve in time in the crest phases.
// It assumes that all engines work as one without any loss, that they are idle
// at the start of the crest and that every arrival is known then, so no way
// of routing can serve more.
type Bound struct {
	// Offered counts the model requests in the crest phases, InTime how many
	// of them could end within their time at best.
	Offered int64 `json:"offered"`
	InTime  int64 `json:"in_time"`
	// DemandSeconds is the engine time that the offered requests need;
	// CapacitySeconds is what the engines have until the last deadline.
	DemandSeconds   float64 `json:"demand_seconds"`
	CapacitySeconds float64 `json:"capacity_seconds"`
}

// RequestFraction returns the bound as a fraction of the offered requests.
func (b Bound) RequestFraction() float64 { return ratio(b.InTime, b.Offered) }

// boundJob is a request as the bound sees it.
type boundJob struct {
	due  time.Duration
	work time.Duration
}

// work returns the least time of one engine that a prompt takes.
func (f *Fleet) work(team *Team, prompt *Prompt) time.Duration {
	engine := f.Engine
	computed := max(prompt.Tokens-team.SharedPrefixTokens, 1)
	stepShare := engine.StepTime.Std() * time.Duration(computed) / time.Duration(max(engine.ChunkTokens, 1))
	return time.Duration(computed)*engine.PrefillTimePerToken.Std() + stepShare +
		time.Duration(prompt.AnswerTokens)*engine.DecodeTimePerToken.Std()
}

// ComputeBound applies the rule of Moore and Hodgson to the crest arrivals:
// take them by deadline, and whenever one would be late, leave out the one
// with the most work. This gives the largest number in time.
func ComputeBound(scenario *Scenario, arrivals []Arrival) Bound {
	jobs, start := crestJobs(scenario, arrivals)
	engines := time.Duration(scenario.Fleet.EnginesPerZone * len(scenario.Fleet.Zones))
	bound := Bound{Offered: int64(len(jobs))}
	slices.SortFunc(jobs, func(a, b boundJob) int { return cmp.Compare(a.due, b.due) })
	kept := &workHeap{}
	var busy time.Duration
	for _, job := range jobs {
		bound.DemandSeconds += job.work.Seconds()
		bound.CapacitySeconds = ((job.due - start) * engines).Seconds()
		busy += job.work
		heap.Push(kept, job.work)
		if busy > (job.due-start)*engines {
			busy -= heap.Pop(kept).(time.Duration)
		}
	}
	bound.InTime = int64(kept.Len())
	return bound
}

// crestJobs returns the model requests of the crest phases and the start of
// the first of them.
func crestJobs(scenario *Scenario, arrivals []Arrival) ([]boundJob, time.Duration) {
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
		jobs = append(jobs, boundJob{due: arrival.At + arrival.Timeout, work: scenario.Fleet.work(arrival.Team, arrival.Prompt)})
	}
	return jobs, start
}

// workHeap keeps the largest work on top.
type workHeap []time.Duration

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i] > h[j] }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a work to the heap.
func (h *workHeap) Push(work any) { *h = append(*h, work.(time.Duration)) }

// Pop removes the last work of the heap.
func (h *workHeap) Pop() any {
	last := len(*h) - 1
	work := (*h)[last]
	*h = (*h)[:last]
	return work
}
