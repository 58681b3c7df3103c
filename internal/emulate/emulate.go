// Package emulate simulates the scheduler under load with emulated model servers. It uses simulated time, no network
// and a random source with a fixed seed, so a run is reproducible. For each kind of request it counts the outcomes and
// the credit: a request earns its full credit if all its events are on time, less if at least one is late, and none if
// it is refused or lost.
//
// The package does not emulate failures, plain services or the gateway.
package emulate

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// Fleet describes the emulated servers and the scheduling.
type Fleet struct {
	Servers int
	Engine  routes.Engine
	// IndependentEntryVMs is the number of entry VMs that each place their requests with a scheduler of their own, which
	// does not know the requests of the other entry VMs. 0 means one scheduler for all requests.
	IndependentEntryVMs int
	// BusyZoneFactor is how many times the callers of another entry VM each entry VM of one of three zones has. 0 means that
	// all have the same.
	BusyZoneFactor float64
	// EqualShares gives independent entry VMs equal shares of the slots whatever their callers.
	EqualShares bool
	// MeasuredDemand derives the shares from what the entry VMs and the leader have measured before, instead of from the
	// numbers of callers.
	MeasuredDemand bool
	demand         *measuredDemand
	// Slow makes some servers slower for a while.
	Slow Slowdown
	// Cold lets some servers start later, with a warm-up.
	Cold ColdStart
}

// Slowdown makes the passes of each Every-th server Factor times as long between From and To,
// both measured since the start of the run. An Every of 0 slows none.
type Slowdown struct {
	Every    int
	Factor   float64
	From, To time.Duration
}

// Tally counts the outcomes and credit of a kind of request.
type Tally struct {
	Requests int
	OnTime   int
	// Late counts completed requests of which at least one event was late.
	Late    int
	Refused int
	// Lost counts requests whose first event came after the caller had stopped waiting for it.
	Lost int
	// MaxCredit is the credit if all requests are on time.
	MaxCredit    float64
	EarnedCredit float64
	// WaitPenalty is a deduction of credit. It grows with the time from the last enqueueing of a request to its refusal,
	// or to its loss if it was placed only after its target time. A refusal after a retry adds secondRefusalPenalty.
	WaitPenalty float64
}

// CreditRatio returns the credit earned as a fraction of the maximum credit.
func (t Tally) CreditRatio() float64 {
	if t.MaxCredit == 0 {
		return 1
	}
	return t.EarnedCredit / t.MaxCredit
}

// NetCreditRatio returns the credit earned minus WaitPenalty, as a fraction of the maximum credit.
func (t Tally) NetCreditRatio() float64 {
	if t.MaxCredit == 0 {
		return 1
	}
	return (t.EarnedCredit - t.WaitPenalty) / t.MaxCredit
}

// Result holds the tallies of a run by the names of kinds.
type Result struct {
	Kinds map[string]*Tally
	// LargestTenth holds the tallies of the requests whose prompts are among the largest tenth of their kind.
	LargestTenth map[string]*Tally
	// ColdRequests is the number of requests that reached servers in their warm-up, and MaxColdPerSecond the largest number
	// that one of them got within a second.
	ColdRequests     int
	MaxColdPerSecond int
	// Seconds holds the tallies of all kinds by the second of the request's first arrival.
	Seconds []Tally
	// Earned holds the credit earned by the second in which the last event of the request was sent.
	Earned []float64
}

// Add adds other to t.
func (t *Tally) Add(other Tally) {
	t.Requests += other.Requests
	t.OnTime += other.OnTime
	t.Late += other.Late
	t.Refused += other.Refused
	t.Lost += other.Lost
	t.MaxCredit += other.MaxCredit
	t.EarnedCredit += other.EarnedCredit
	t.WaitPenalty += other.WaitPenalty
}

// Total returns the sum over all kinds. It adds them in the same order every time, so that floating-point results are
// reproducible.
func (r *Result) Total() Tally {
	total := Tally{}
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		total.Add(*r.Kinds[name])
	}
	return total
}

const (
	// messageDelay is the time that a message takes from one component to the next.
	messageDelay = 4 * time.Millisecond
	// largestQuantile is the 0.9 quantile of the standard normal distribution. Prompts beyond it are the largest tenth
	// of their kind.
	largestQuantile = 1.28
	// freeWaitFraction is the longest wait without a wait penalty, as a fraction of the target latency.
	// fullPenaltyWaitFraction is the wait from which on the penalty is the full credit of the request, as a fraction of
	// maxWait. Between the two the penalty grows linearly.
	freeWaitFraction        = 1.0 / 8
	fullPenaltyWaitFraction = 3.0 / 4
	// secondRefusalPenalty is the penalty for refusing a request again after its retry, as a fraction of its credit.
	secondRefusalPenalty = 0.3
	// maxRetryWaitFraction is the maximum wait before a retry, as a fraction of the caller's remaining time.
	maxRetryWaitFraction = 1.0 / 3
)

// job is a request of the run.
type job struct {
	kind       *RequestKind
	request    schedule.PlacementRequest
	credit     float64
	lateCredit float64
	isLarge    bool
	arrivedAt  time.Time
	// events is the number of events of the complete answer.
	events int

	dispatcher *dispatcher
	// primary is the server that decodes the answer. pendingPrefills is the number of prefill parts, those of prefill
	// helpers included, that are not done.
	primary         *server
	pendingPrefills int
	eventsSent      int
	lastEventAt     time.Time
	isLate          bool
	hasStarted      bool
	ended           bool
	// contextTokens is the number of tokens of the prompt and the complete answer.
	contextTokens int
	// enqueuedAt is the time when the request was last sent to the scheduler. hasRetried is set once its caller has
	// retried it.
	enqueuedAt time.Time
	hasRetried bool
	retries    int
	// placedInTime is set if the scheduler placed the request before its target time.
	placedInTime bool
}

// prefillPart is the part of a prompt that one server prefills.
type prefillPart struct {
	job    *job
	tokens float64
	// timePerToken is the prefill time of a token, including its attention to earlier tokens.
	timePerToken time.Duration
	// isHelper is set if the server is a prefill helper of the request, not its primary.
	isHelper bool
}

type server struct {
	id       string
	engine   *routes.Engine
	prefills []*prefillPart
	decoding []*job
	// busy is set while a pass runs.
	busy bool
	// slow is set if the server is one of those that Fleet.Slow slows.
	slow bool
	// startsCold is set if the server is one of Fleet.Cold, and coldArrivals when requests arrived during its warm-up.
	startsCold   bool
	coldArrivals []time.Time
}

// timer calls callback at the simulated time dueAt. Timers of the same time run in the order of seq.
type timer struct {
	dueAt    time.Time
	seq      int
	callback func(now time.Time)
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].dueAt.Before(q[j].dueAt) || q[i].dueAt.Equal(q[j].dueAt) && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// emulation is one run of a load.
type emulation struct {
	load   *Load
	fleet  *Fleet
	random *rand.Rand
	// dispatchers holds the only dispatcher, or one for each independent entry VM.
	dispatchers []*dispatcher
	timerQueue  timerQueue
	seq         int
	servers     map[string]*server
	jobs        map[schedule.JobID]*job
	result      *Result
	start       time.Time
	nextID      uint64
	// demand is measured if it is not nil.
	demand *measuredDemand
}

// dispatcher runs a scheduler whenever requests change and at the times that the scheduler asks for.
type dispatcher struct {
	*schedule.Scheduler
	// wakeScheduled is set while a timer for the scheduler is pending.
	wakeScheduled bool
}

// Run offers load to a fleet under the scheduler and returns the outcomes. The same arguments give the same result.
func Run(load Load, fleet Fleet, seed uint64) *Result {
	if fleet.MeasuredDemand && fleet.IndependentEntryVMs > 0 {
		fleet.demand = measureDemand(load, fleet, seed)
	}
	e := newEmulation(load, fleet, seed)
	e.run()
	return e.result
}

func newEmulation(load Load, fleet Fleet, seed uint64) *emulation {
	e := &emulation{
		load: &load, fleet: &fleet, random: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*server{}, jobs: map[schedule.JobID]*job{},
		result: &Result{Kinds: map[string]*Tally{}, LargestTenth: map[string]*Tally{}},
		start:  time.Unix(1_000_000_000, 0),
	}
	for i := range max(1, fleet.IndependentEntryVMs) {
		scheduler := schedule.New()
		scheduler.SetWarmUpBounds(fleet.Cold.Bounds)
		table := fleet.table()
		table.HasTeams = slices.ContainsFunc(load.Kinds, func(kind RequestKind) bool { return kind.Team != "" })
		scheduler.SetEngines(e.start, table)
		scheduler.SetShare(fleet.shareOf(i), e.random.Uint64())
		e.dispatchers = append(e.dispatchers, &dispatcher{Scheduler: scheduler})
	}
	for i := range fleet.Servers {
		id := string(rune('a'+i/26)) + string(rune('a'+i%26))
		e.servers[id] = &server{id: id, engine: &fleet.Engine, slow: fleet.Slow.Every > 0 && i%fleet.Slow.Every == 0, startsCold: fleet.Cold.includes(i)}
		if fleet.Cold.includes(i) {
			e.startCold(e.servers[id])
			continue
		}
		for _, d := range e.dispatchers {
			d.SetServer(e.start, schedule.Server{ID: id, Service: "model", Slots: fleet.Engine.Slots, AcceptsNew: true})
		}
	}
	seconds := 1 + int(load.Duration/time.Second)
	e.result.Seconds, e.result.Earned = make([]Tally, seconds), make([]float64, seconds)
	for i := range load.Kinds {
		e.result.Kinds[load.Kinds[i].Name] = &Tally{}
		e.result.LargestTenth[load.Kinds[i].Name] = &Tally{}
		if load.Kinds[i].PerSecond > 0 {
			e.scheduleArrival(&load.Kinds[i], e.start)
		}
	}
	return e
}

func (e *emulation) run() {
	for len(e.timerQueue) > 0 {
		next := heap.Pop(&e.timerQueue).(timer)
		next.callback(next.dueAt)
	}
}

// runAt calls callback at the simulated time due.
func (e *emulation) runAt(due time.Time, callback func(time.Time)) {
	e.seq++
	heap.Push(&e.timerQueue, timer{dueAt: due, seq: e.seq, callback: callback})
}

// enqueue sends a request to the scheduler of its dispatcher.
func (e *emulation) enqueue(now time.Time, j *job) {
	j.enqueuedAt = now
	e.jobs[j.request.ID] = j
	e.runAt(now.Add(2*messageDelay), func(now time.Time) {
		j.dispatcher.Enqueue(now, j.request)
		e.runScheduler(now, j.dispatcher)
	})
}

// retryOrRefuse handles a request that the scheduler refused. The caller retries after retryAfter if it has not retried
// yet and retryAfter is below maxRetryWaitFraction of the caller's remaining time. Otherwise the request is counted as
// refused.
func (e *emulation) retryOrRefuse(now time.Time, j *job, retryAfter time.Duration) {
	remaining := j.arrivedAt.Add(j.kind.Timeout).Sub(now)
	if j.kind.MaxRetries > 0 {
		if j.kind.RetriesWithin > 0 {
			retryAfter = min(retryAfter, j.kind.RetriesWithin)
		}
		if j.retries < j.kind.MaxRetries && retryAfter < remaining {
			j.retries++
			e.runAt(now.Add(retryAfter), func(now time.Time) {
				e.nextID++
				j.request.ID.Seq = e.nextID
				j.request.TargetAt = now.Add(j.kind.TargetLatency)
				j.request.StartDeadline = now.Add(min(maxWait(j.kind), j.arrivedAt.Add(j.kind.Timeout).Sub(now)))
				e.enqueue(now, j)
			})
			return
		}
	}
	if j.kind.MaxRetries == 0 && !j.hasRetried && retryAfter < time.Duration(maxRetryWaitFraction*float64(remaining)) {
		j.hasRetried = true
		e.runAt(now.Add(retryAfter), func(now time.Time) {
			e.nextID++
			j.request.ID.Seq = e.nextID
			j.request.StartDeadline = now.Add(min(maxWait(j.kind), j.arrivedAt.Add(j.kind.Timeout).Sub(now)))
			e.enqueue(now, j)
		})
		return
	}
	for _, tally := range e.talliesOf(j) {
		tally.Refused++
		tally.WaitPenalty += j.credit * j.waitPenalty(now)
		if j.hasRetried {
			tally.WaitPenalty += j.credit * secondRefusalPenalty
		}
	}
}

// waitPenalty returns the penalty for the time from enqueuedAt to now, as a fraction of the request's credit.
func (j *job) waitPenalty(now time.Time) float64 {
	freeWait := time.Duration(freeWaitFraction * float64(j.kind.TargetLatency))
	fullPenaltyWait := time.Duration(fullPenaltyWaitFraction * float64(maxWait(j.kind)))
	return min(max(float64(now.Sub(j.enqueuedAt)-freeWait)/float64(fullPenaltyWait-freeWait), 0), 1)
}

// maxWait returns the maximum time from the arrival of a request to its first event. A later first event means that
// the request is lost.
func maxWait(kind *RequestKind) time.Duration {
	return max(2*time.Second, 4*kind.TargetLatency, 8*kind.MaxGap)
}

func (e *emulation) talliesOf(j *job) []*Tally {
	tallies := []*Tally{e.result.Kinds[j.kind.Name], &e.result.Seconds[j.arrivedAt.Sub(e.start)/time.Second]}
	if j.isLarge {
		tallies = append(tallies, e.result.LargestTenth[j.kind.Name])
	}
	return tallies
}

func (e *emulation) runScheduler(now time.Time, d *dispatcher) {
	for _, placement := range d.Decide(now) {
		e.applyPlacement(now, placement)
	}
	if wake := d.NextDecisionAt(now); !wake.IsZero() && !d.wakeScheduled {
		d.wakeScheduled = true
		e.runAt(wake, func(now time.Time) {
			d.wakeScheduled = false
			e.runScheduler(now, d)
		})
	}
}

func (e *emulation) applyPlacement(now time.Time, placement schedule.Placement) {
	j := e.jobs[placement.ID]
	if placement.Server == "" {
		e.retryOrRefuse(now, j, placement.RetryAfter)
		return
	}
	j.placedInTime = !now.After(j.request.TargetAt)
	e.runAt(now.Add(2*messageDelay), func(now time.Time) {
		j.primary = e.servers[placement.Server]
		e.countCold(now, j.primary)
		j.pendingPrefills = 1 + len(placement.Helpers)
		tokens := float64(j.request.PromptTokens) / float64(j.pendingPrefills)
		engine := &e.fleet.Engine
		pairs := time.Duration(float64(j.request.PromptTokens) / 2 * engine.PrefillNsPerTokenPair)
		timePerToken := engine.PrefillTimePerToken + pairs
		e.addPrefill(now, j.primary, &prefillPart{job: j, tokens: tokens, timePerToken: timePerToken})
		for _, helper := range placement.Helpers {
			e.countCold(now, e.servers[helper.Server])
			e.addPrefill(now, e.servers[helper.Server], &prefillPart{job: j, tokens: tokens, timePerToken: timePerToken, isHelper: true})
		}
	})
}

func (e *emulation) addPrefill(now time.Time, s *server, part *prefillPart) {
	s.prefills = append(s.prefills, part)
	if !s.busy {
		e.startPass(now, s)
	}
}
