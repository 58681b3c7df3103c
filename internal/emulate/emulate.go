// Package emulate plays load on emulated model servers against the scheduler:
// no network, no clock, fixed seeds. It counts what callers get, as credit
// earned against credit owed, by kind of request.
package emulate

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// RequestKind is a kind of request of a load.
type RequestKind struct {
	Name string
	// PerSecond is the mean rate.
	PerSecond float64
	// PromptTokens and Events are means; the spreads are those of the logarithm.
	PromptTokens    float64
	PromptSpread    float64
	MaxPromptTokens float64
	Events          float64
	EventSpread     float64
	TargetLatency   time.Duration
	MaxGap          time.Duration
	Weight          float64
	LateWeight      float64
	// Timeout is how long a caller wants an answer in all; one that is refused
	// comes back once if that leaves the time.
	Timeout time.Duration
}

// Burst multiplies the rates of kinds for a while.
type Burst struct {
	From, To time.Duration
	// Factors by the name of a kind; kinds that are missing stay as they are.
	Factors map[string]float64
}

// Load is what is offered.
type Load struct {
	Kinds  []RequestKind
	Bursts []Burst
	// WaveAmplitude and WavePeriod shape a wave over all rates.
	WaveAmplitude float64
	WavePeriod    time.Duration
	Duration      time.Duration
	// Scale multiplies all rates.
	Scale float64
}

// Fleet is the emulated servers.
type Fleet struct {
	Servers int
	Engine  routes.Engine
	// IndependentEntryVMs is the entry VMs that each place requests by what they see
	// themselves; 0 for one scheduler that knows all.
	IndependentEntryVMs int
}

// Tally is what a kind of request got.
type Tally struct {
	Requests     int
	OnTime       int
	Late         int
	Refused      int
	Lost         int
	MaxCredit    float64
	EarnedCredit float64
	// WaitPenalty is the price of requests that waited or came back in vain, by how long
	// they did.
	WaitPenalty float64
}

// CreditRatio is the credit earned of that owed.
func (t Tally) CreditRatio() float64 {
	if t.MaxCredit == 0 {
		return 1
	}
	return t.EarnedCredit / t.MaxCredit
}

// NetCreditRatio is the credit earned less the price of requests that waited in vain, of
// the credit owed.
func (t Tally) NetCreditRatio() float64 {
	if t.MaxCredit == 0 {
		return 1
	}
	return (t.EarnedCredit - t.WaitPenalty) / t.MaxCredit
}

// Result is the outcome of a play.
type Result struct {
	Kinds map[string]*Tally
	// LargestTenth is the tally of the largest tenth of each kind.
	LargestTenth map[string]*Tally
}

// Add adds another tally.
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

// Total sums up all kinds, always in the same order.
func (r *Result) Total() Tally {
	total := Tally{}
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		total.Add(*r.Kinds[name])
	}
	return total
}

const (
	// oneWay is the time of a message between any two parts of the system.
	oneWay = 4 * time.Millisecond
	// eventTokens is the tokens in one event.
	eventTokens = 43
	// largestQuantile is the 0.9 quantile of the normal distribution: prompts
	// beyond it are the largest tenth of their kind.
	largestQuantile = 1.28
	// freeHold is the part of its aim that a request may wait in vain for free,
	// wholeHold the part of its time after which that costs its whole credit.
	freeHold  = 1.0 / 8
	wholeHold = 3.0 / 4
	// refusedAgain is the price of refusing one that came back, as a part of its
	// worth.
	refusedAgain = 0.3
	// returnShare is the part of the time left that a refused caller waits at
	// most before it comes back.
	returnShare = 1.0 / 3
)

// call is one request on its way through the play.
type call struct {
	kind    *RequestKind
	ask     schedule.PlacementRequest
	owed    float64
	late    float64
	large   bool
	arrived time.Time
	events  int

	desk    *desk
	first   *server
	parts   int
	written int
	lastAt  time.Time
	harmed  bool
	begun   bool
	ended   bool
	context int
	// askedAt is when it was last asked for, returned whether it has come back.
	askedAt  time.Time
	returned bool
	// offered is set when it got a place within its aim.
	offered bool
}

// piece is reading on one server.
type piece struct {
	call   *call
	tokens float64
	// perToken is the time of one token, pairs included.
	perToken time.Duration
	helper   bool
}

type server struct {
	id      string
	engine  *routes.Engine
	pieces  []*piece
	writers []*call
	busy    bool
}

// moment is something that happens at a time.
type moment struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type agenda []moment

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(moment)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// play is one run of a load.
type play struct {
	load   *Load
	fleet  *Fleet
	random *rand.Rand
	// desks place requests: one, or one for each entry VM that is alone.
	desks   []*desk
	agenda  agenda
	seq     int
	servers map[string]*server
	calls   map[schedule.JobID]*call
	result  *Result
	start   time.Time
	nextID  uint64
}

// desk is a scheduler that is woken while requests wait there.
type desk struct {
	*schedule.Scheduler
	waking bool
}

// Run offers load to a fleet under the scheduler and returns what callers got.
func Run(load Load, fleet Fleet, seed uint64) *Result {
	p := &play{
		load: &load, fleet: &fleet, random: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*server{}, calls: map[schedule.JobID]*call{},
		result: &Result{Kinds: map[string]*Tally{}, LargestTenth: map[string]*Tally{}},
		start:  time.Unix(1_000_000_000, 0),
	}
	for range max(1, fleet.IndependentEntryVMs) {
		scheduler := schedule.New()
		scheduler.SetEngines(&routes.Table{Services: []routes.Service{{Name: "model", Engine: &fleet.Engine}}})
		scheduler.SetShare(1/float64(max(1, fleet.IndependentEntryVMs)), p.random.Uint64())
		p.desks = append(p.desks, &desk{Scheduler: scheduler})
	}
	for i := range fleet.Servers {
		id := string(rune('a'+i/26)) + string(rune('a'+i%26))
		p.servers[id] = &server{id: id, engine: &fleet.Engine}
		for _, d := range p.desks {
			d.SetServer(p.start, schedule.Server{ID: id, Service: "model", Slots: fleet.Engine.Slots, AcceptsNew: true})
		}
	}
	for i := range load.Kinds {
		p.result.Kinds[load.Kinds[i].Name] = &Tally{}
		p.result.LargestTenth[load.Kinds[i].Name] = &Tally{}
		p.arrive(&load.Kinds[i], p.start)
	}
	for len(p.agenda) > 0 {
		next := heap.Pop(&p.agenda).(moment)
		next.do(next.at)
	}
	return p.result
}

func (p *play) at(when time.Time, do func(time.Time)) {
	p.seq++
	heap.Push(&p.agenda, moment{at: when, seq: p.seq, do: do})
}

// rate is the rate of a kind at a time.
func (p *play) rate(kind *RequestKind, now time.Time) float64 {
	passed := now.Sub(p.start)
	rate := kind.PerSecond * p.load.Scale
	if p.load.WavePeriod > 0 {
		rate *= 1 + p.load.WaveAmplitude*math.Sin(2*math.Pi*passed.Seconds()/p.load.WavePeriod.Seconds())
	}
	for _, burst := range p.load.Bursts {
		if factor, found := burst.Factors[kind.Name]; found && passed >= burst.From && passed < burst.To {
			rate *= factor
		}
	}
	return rate
}

// arrive plans the next request of a kind by thinning a faster process.
func (p *play) arrive(kind *RequestKind, now time.Time) {
	const fastest = 8
	wait := time.Duration(p.random.ExpFloat64() / (kind.PerSecond * p.load.Scale * fastest) * float64(time.Second))
	at := now.Add(wait)
	if at.Sub(p.start) > p.load.Duration {
		return
	}
	p.at(at, func(now time.Time) {
		if p.random.Float64()*kind.PerSecond*p.load.Scale*fastest < p.rate(kind, now) {
			p.request(kind, now)
		}
		p.arrive(kind, now)
	})
}

func (p *play) lognormal(mean, spread, most float64) float64 {
	value := mean * math.Exp(spread*p.random.NormFloat64()-spread*spread/2)
	return math.Min(math.Max(value, 1), most)
}

func (p *play) request(kind *RequestKind, now time.Time) {
	p.nextID++
	prompt := p.lognormal(kind.PromptTokens, kind.PromptSpread, kind.MaxPromptTokens)
	events := int(math.Ceil(p.lognormal(kind.Events, kind.EventSpread, kind.Events*2.5)))
	size := 0.3 + 0.7*(prompt+10*float64(events)*eventTokens)/(kind.PromptTokens+10*kind.Events*eventTokens)
	size = math.Min(size, 4)
	c := &call{
		kind: kind, arrived: now, events: events, owed: kind.Weight * size, late: kind.LateWeight * size,
		large: prompt > kind.PromptTokens*math.Exp(largestQuantile*kind.PromptSpread-kind.PromptSpread*kind.PromptSpread/2),
		ask: schedule.PlacementRequest{
			ID: schedule.JobID{VM: 1, Seq: p.nextID}, Service: "model", PromptTokens: int(prompt),
			AnswerTokens: events * eventTokens, TargetAt: now.Add(kind.TargetLatency), MaxGap: kind.MaxGap, Weight: kind.Weight * size,
			StartDeadline: now.Add(patience(kind)),
		},
	}
	c.context = c.ask.PromptTokens + c.ask.AnswerTokens
	c.desk = p.desks[p.random.IntN(len(p.desks))]
	for _, tally := range p.tallies(c) {
		tally.Requests++
		tally.MaxCredit += c.owed
	}
	p.ask(now, c)
}

// ask sends a request to the scheduler.
func (p *play) ask(now time.Time, c *call) {
	c.askedAt = now
	p.calls[c.ask.ID] = c
	p.at(now.Add(2*oneWay), func(now time.Time) {
		c.desk.Enqueue(now, c.ask)
		p.decide(now, c.desk)
	})
}

// refuse has the caller come back once, if its time allows.
func (p *play) refuse(now time.Time, c *call, after time.Duration) {
	left := c.arrived.Add(c.kind.Timeout).Sub(now)
	if !c.returned && after < time.Duration(returnShare*float64(left)) {
		c.returned = true
		p.at(now.Add(after), func(now time.Time) {
			p.nextID++
			c.ask.ID.Seq = p.nextID
			c.ask.StartDeadline = now.Add(min(patience(c.kind), c.arrived.Add(c.kind.Timeout).Sub(now)))
			p.ask(now, c)
		})
		return
	}
	for _, tally := range p.tallies(c) {
		tally.Refused++
		tally.WaitPenalty += c.owed * c.held(now)
		if c.returned {
			tally.WaitPenalty += c.owed * refusedAgain
		}
	}
}

// held is the price of having waited until now, as a part of the worth.
func (c *call) held(now time.Time) float64 {
	free := time.Duration(freeHold * float64(c.kind.TargetLatency))
	whole := time.Duration(wholeHold * float64(patience(c.kind)))
	return min(max(float64(now.Sub(c.askedAt)-free)/float64(whole-free), 0), 1)
}

func patience(kind *RequestKind) time.Duration {
	return max(2*time.Second, 4*kind.TargetLatency, 8*kind.MaxGap)
}

func (p *play) tallies(c *call) []*Tally {
	tallies := []*Tally{p.result.Kinds[c.kind.Name]}
	if c.large {
		tallies = append(tallies, p.result.LargestTenth[c.kind.Name])
	}
	return tallies
}

func (p *play) decide(now time.Time, d *desk) {
	for _, placement := range d.Decide(now) {
		p.place(now, placement)
	}
	if wake := d.NextDecisionAt(now); !wake.IsZero() && !d.waking {
		d.waking = true
		p.at(wake, func(now time.Time) {
			d.waking = false
			p.decide(now, d)
		})
	}
}

func (p *play) place(now time.Time, placement schedule.Placement) {
	c := p.calls[placement.ID]
	if placement.Server == "" {
		p.refuse(now, c, placement.RetryAfter)
		return
	}
	c.offered = !now.After(c.ask.TargetAt)
	p.at(now.Add(2*oneWay), func(now time.Time) {
		c.first = p.servers[placement.Server]
		c.parts = 1 + len(placement.Helpers)
		tokens := float64(c.ask.PromptTokens) / float64(c.parts)
		engine := &p.fleet.Engine
		pairs := time.Duration(float64(c.ask.PromptTokens) / 2 * engine.PrefillNsPerTokenPair)
		perToken := engine.PrefillTimePerToken + pairs
		p.add(now, c.first, &piece{call: c, tokens: tokens, perToken: perToken})
		for _, helper := range placement.Helpers {
			p.add(now, p.servers[helper.Server], &piece{call: c, tokens: tokens, perToken: perToken, helper: true})
		}
	})
}

func (p *play) add(now time.Time, s *server, one *piece) {
	s.pieces = append(s.pieces, one)
	if !s.busy {
		p.pass(now, s)
	}
}
