package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/standin/engine"
)

// Parameters of BenchmarkPolicies.
const (
	compareEngines = 5
	compareVMs     = 3
	compareMemory  = 400_000
	reportLag      = 300 * time.Millisecond
	compareSeed    = 7
	// eventArrival and eventReport are the values of event.engine for arrivals and load
	// reports.
	eventArrival = -1
	eventReport  = -2
)

// arrival is a prompt that reaches an entry VM.
type arrival struct {
	at     time.Time
	prompt int64
	answer int64
}

func (a arrival) short() bool { return a.prompt <= 4096 }

// compareLoad is a random load with Poisson arrivals.
type compareLoad struct {
	name    string
	seconds int
	// rate returns the mean number of prompts per second.
	rate func(second int) float64
	// longPercent is the percentage of prompts with 64,000 or 256,000 tokens.
	longPercent float64
}

func compareLoads() []compareLoad {
	steady := func(int) float64 { return 25 }
	peak := func(second int) float64 {
		if second >= 5 && second < 10 {
			return 125
		}
		return 25
	}
	return []compareLoad{
		{"steady/short_only", 20, steady, 0}, {"steady/with_long", 20, steady, 6},
		{"crest/short_only", 20, peak, 0}, {"crest/with_long", 20, peak, 3},
	}
}

func (l compareLoad) arrivals() []arrival {
	random := rand.New(rand.NewPCG(compareSeed, compareSeed))
	var all []arrival
	now := time.Duration(0)
	for now < time.Duration(l.seconds)*time.Second {
		now += time.Duration(random.ExpFloat64() / l.rate(int(now.Seconds())) * float64(time.Second))
		next := arrival{at: time.Unix(0, 0).Add(now), prompt: []int64{1000, 1000, 4000}[random.IntN(3)], answer: 10 + random.Int64N(30)}
		if isLong := random.Float64()*100 < 6; isLong && l.longPercent > 0 && random.Float64()*6 < l.longPercent {
			next.prompt = []int64{64_000, 64_000, 256_000}[random.IntN(3)]
		}
		all = append(all, next)
	}
	return all
}

// event is the end of a step on an engine (engine >= 0), an arrival, or a load report.
type event struct {
	at      time.Time
	engine  int
	arrival int // index in zoneModel.arrivals
}

// events is sorted by time in descending order.
type events []event

func (e *events) add(added event) {
	index, _ := slices.BinarySearchFunc(*e, added, func(a, b event) int { return b.at.Compare(a.at) })
	*e = slices.Insert(*e, index, added)
}

// zoneModel is a discrete-event simulation of one zone.
type zoneModel struct {
	arrivals   []arrival
	events     events
	cores      []*engine.Core
	steps      []engine.Step
	busy       []bool
	servers    []Server
	policies   []policy
	vmInFlight [compareVMs]map[string]int64
	state      *capacity.State
	live       []capacity.Engine

	firstTokens   map[int]time.Duration
	inFlight      []int64
	imbalance     float64
	totalInFlight int64
	refused       int
}

func newZoneModel(name settings.Policy, arrivals []arrival) *zoneModel {
	z := &zoneModel{arrivals: arrivals, firstTokens: map[int]time.Duration{}, servers: testServers(compareEngines), inFlight: make([]int64, compareEngines)}
	speed := engine.Speed{StepTime: 4 * time.Millisecond, PrefillTimePerToken: 5 * time.Microsecond, DecodeTimePerToken: 50 * time.Microsecond, ChunkTokens: 2048}
	for i := range compareEngines {
		z.servers[i].MemoryTokens = compareMemory
		z.cores = append(z.cores, engine.NewCore(engine.Limits{MemoryTokens: compareMemory, MaxRunning: 64, MaxWaiting: 1 << 20, CacheBlocks: 1}, speed))
		z.live = append(z.live, capacity.Engine{Server: z.servers[i].ID, Incarnation: 1, Memory: compareMemory, Group: "m"})
	}
	z.steps, z.busy = make([]engine.Step, compareEngines), make([]bool, compareEngines)
	for vm := range compareVMs {
		z.vmInFlight[vm] = map[string]int64{}
		if name != settings.PolicyLeases {
			selected, _ := newPolicy(name, rand.New(rand.NewPCG(compareSeed, uint64(vm))))
			z.policies = append(z.policies, selected)
		}
	}
	if name == settings.PolicyLeases {
		z.settle()
	}
	for i := range arrivals {
		z.events.add(event{at: arrivals[i].at, engine: eventArrival, arrival: i})
	}
	z.events.add(event{at: time.Unix(0, 0), engine: eventReport})
	return z
}

// settle advances the scheduler by several lease terms, until it may grant all memory.
func (z *zoneModel) settle() {
	z.state = capacity.NewState("vm", []string{"vm"}, capacity.DefaultConfig(time.Hour, 20, time.Hour))
	for now := time.Unix(0, 0).Add(-4 * time.Hour); now.Before(time.Unix(0, 0)); now = now.Add(30 * time.Minute) {
		for _, request := range z.state.Tick(z.live, now).Lists {
			z.state.ApplyList(request.Server, 1, nil, now, now)
		}
	}
}

func (z *zoneModel) run() {
	for len(z.events) > 0 {
		next := z.events[len(z.events)-1]
		z.events = z.events[:len(z.events)-1]
		switch {
		case next.engine >= 0:
			z.endStep(next.engine, next.at)
		case next.engine == eventReport:
			z.report(next.at)
		default:
			z.arrive(next.arrival, next.at)
		}
	}
}

func (z *zoneModel) report(now time.Time) {
	for i := range z.cores {
		z.servers[i].Load = z.cores[i].Load()
	}
	if z.state != nil {
		z.state.Tick(z.live, now)
	}
	if now.Before(z.arrivals[len(z.arrivals)-1].at) {
		z.events.add(event{at: now.Add(reportLag), engine: eventReport})
	}
}

func (z *zoneModel) arrive(index int, now time.Time) {
	a, vm := z.arrivals[index], index%compareVMs
	if z.state == nil {
		candidates := make([]candidate, compareEngines)
		for i := range z.servers {
			candidates[i] = candidate{server: &z.servers[i], inFlight: z.vmInFlight[vm][z.servers[i].ID]}
		}
		z.submit(index, z.policies[vm].pick(candidates), now)
		return
	}
	query := &Query{PromptTokens: a.prompt, AnswerTokens: a.answer, Short: a.short()}
	durations := newEngineStats().newDurationEstimator(query)
	candidates := make([]candidate, compareEngines)
	for i := range candidates {
		candidates[i] = candidate{server: &z.servers[i]}
	}
	best, _ := newRanker().rank(candidates, &durations)
	z.state.Acquire(capacity.Request{
		Attempt: fmt.Sprint(index), Holder: "vm", Tokens: query.MemoryTokens(), Short: query.Short,
		Priority: EnginePriority(query.Short, 5), LatestStart: now.Add(time.Minute), Deadline: now.Add(time.Minute),
	}, choices(best, query), now)
	z.collect(now)
}

// collect submits the requests that the scheduler has granted.
func (z *zoneModel) collect(now time.Time) {
	for _, decided := range z.state.TakeDecisions() {
		var index int
		_, _ = fmt.Sscan(decided.Attempt, &index)
		if decided.Kind != capacity.Granted {
			z.refused++
			continue
		}
		z.submit(index, slices.IndexFunc(z.servers, func(s Server) bool { return s.ID == decided.Server }), now)
	}
}

func (z *zoneModel) submit(index, server int, now time.Time) {
	a := z.arrivals[index]
	job := engine.Job{Attempt: fmt.Sprint(index), Priority: EnginePriority(a.short(), 5), PromptTokens: a.prompt, AnswerTokens: a.answer}
	if z.cores[server].Submit(job, now) != nil {
		z.refused++
		return
	}
	z.vmInFlight[index%compareVMs][z.servers[server].ID]++
	z.inFlight[server]++
	z.totalInFlight++
	z.imbalance += float64(slices.Max(z.inFlight)) * compareEngines / float64(z.totalInFlight)
	z.startStep(server, now)
}

func (z *zoneModel) startStep(engineIndex int, now time.Time) {
	if z.busy[engineIndex] {
		return
	}
	z.steps[engineIndex] = z.cores[engineIndex].Step()
	if z.steps[engineIndex].Duration > 0 {
		z.busy[engineIndex] = true
		z.events.add(event{at: now.Add(z.steps[engineIndex].Duration), engine: engineIndex})
	}
}

func (z *zoneModel) endStep(engineIndex int, now time.Time) {
	z.busy[engineIndex] = false
	server := z.servers[engineIndex].ID
	for _, emission := range z.steps[engineIndex].Emissions {
		var index int
		_, _ = fmt.Sscan(emission.Attempt, &index)
		if _, seen := z.firstTokens[index]; !seen {
			z.firstTokens[index] = now.Sub(z.arrivals[index].at)
			if z.state != nil {
				z.state.RecordFirstToken(server, emission.Attempt, now)
			}
		}
		if emission.End {
			z.vmInFlight[index%compareVMs][server]--
			z.inFlight[engineIndex]--
			z.totalInFlight--
			if z.state != nil {
				z.state.Release(server, emission.Attempt, false, now)
			}
		}
	}
	if z.state != nil {
		z.collect(now)
	}
	z.startStep(engineIndex, now)
}

// p95 returns the 95th percentile of the time to the first token.
func (z *zoneModel) p95(short bool) time.Duration {
	var times []time.Duration
	for index, first := range z.firstTokens {
		if z.arrivals[index].short() == short {
			times = append(times, first)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

// BenchmarkPolicies compares the policies on a queue model of one zone: five engines,
// each simulated by the core of the stand-in engine, and three entry VMs, each of which
// knows its own requests in flight and delayed load reports.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range compareLoads() {
		for _, name := range []settings.Policy{settings.PolicyRoundRobin, settings.PolicyLeastInFlight, settings.PolicyTwoChoices, settings.PolicyLeases} {
			b.Run(fmt.Sprintf("%s/%s", load.name, name), func(b *testing.B) {
				var z *zoneModel
				for b.Loop() {
					z = newZoneModel(name, load.arrivals())
					z.run()
				}
				overCommits := int64(0)
				for _, core := range z.cores {
					overCommits += core.Counters().OverCommits
				}
				b.ReportMetric(float64(z.p95(true).Milliseconds()), "short-p95-ms")
				b.ReportMetric(float64(z.p95(false).Milliseconds()), "long-p95-ms")
				b.ReportMetric(z.imbalance/float64(len(load.arrivals())-z.refused), "max/mean")
				b.ReportMetric(float64(overCommits), "over-commits")
				b.ReportMetric(float64(z.refused), "refused")
			})
		}
	}
}
