package emulate

import (
	"math"
	"strconv"
	"time"

	"godwityoke.example/godwityoke/internal/schedule"
)

// RequestKind is a kind of request of a load.
type RequestKind struct {
	Name string
	// PerSecond is the mean rate of requests.
	PerSecond float64
	// PromptTokens and Events are the means of log-normal distributions, PromptSpread and EventSpread the standard
	// deviations of the logarithms. MaxPromptTokens is the upper bound of a prompt.
	PromptTokens    float64
	PromptSpread    float64
	MaxPromptTokens float64
	Events          float64
	EventSpread     float64
	// TargetLatency is the time from a request to its first event, MaxGap the gap between two events, beyond which an
	// event is late.
	TargetLatency time.Duration
	MaxGap        time.Duration
	// Weight is the credit for a request of mean size whose events are all on time, LateWeight if one of them is late.
	Weight     float64
	LateWeight float64
	// Timeout is the time for which a caller waits for an answer, its retry included. A caller whose request is
	// refused retries once if enough of this time remains.
	Timeout time.Duration
	// Team is the name of the team that sends the requests, empty for none. If Teams is positive, each request is that
	// of one of so many teams, whose names begin with Team. The scheduler divides the server time among teams if any
	// kind has one.
	Team  string
	Teams int
	// Priority orders requests: lower values are placed first.
	Priority int
	// MaxRetries is how often a caller whose request is refused retries while its Timeout lasts, 0 for the one retry
	// that Timeout describes. The caller of a retry waits for its first event as long as for the first attempt.
	MaxRetries int
	// RetriesWithin is the longest wait before such a retry, 0 for callers that wait as long as they are told.
	RetriesWithin time.Duration
}

// Burst multiplies the rates of kinds between From and To, both measured since the start of the run.
type Burst struct {
	From, To time.Duration
	// Factors holds the factors by the names of kinds. The rates of other kinds are unchanged.
	Factors map[string]float64
}

// Load is the load that is offered to a fleet.
type Load struct {
	Kinds  []RequestKind
	Bursts []Burst
	// WaveAmplitude and WavePeriod describe a sine wave by which all rates vary. The amplitude is a fraction of the
	// mean rate; a WavePeriod of 0 means constant rates.
	WaveAmplitude float64
	WavePeriod    time.Duration
	Duration      time.Duration
	// Scale is a factor on all rates.
	Scale float64
}

// rate returns the rate of a kind at the time now, in requests per second.
func (e *emulation) rate(kind *RequestKind, now time.Time) float64 {
	elapsed := now.Sub(e.start)
	rate := kind.PerSecond * e.load.Scale
	if e.load.WavePeriod > 0 {
		rate *= 1 + e.load.WaveAmplitude*math.Sin(2*math.Pi*elapsed.Seconds()/e.load.WavePeriod.Seconds())
	}
	for _, burst := range e.load.Bursts {
		if factor, found := burst.Factors[kind.Name]; found && elapsed >= burst.From && elapsed < burst.To {
			rate *= factor
		}
	}
	return rate
}

// scheduleArrival schedules the next request of a kind. It thins a Poisson process of maxRateFactor times the mean
// rate, so bursts and waves can raise the rate to at most maxRateFactor times the mean.
func (e *emulation) scheduleArrival(kind *RequestKind, now time.Time) {
	const maxRateFactor = 8
	wait := time.Duration(e.random.ExpFloat64() / (kind.PerSecond * e.load.Scale * maxRateFactor) * float64(time.Second))
	arrival := now.Add(wait)
	if arrival.Sub(e.start) > e.load.Duration {
		return
	}
	e.runAt(arrival, func(now time.Time) {
		if e.random.Float64()*kind.PerSecond*e.load.Scale*maxRateFactor < e.rate(kind, now) {
			e.addRequest(kind, now)
		}
		e.scheduleArrival(kind, now)
	})
}

// lognormal draws from a log-normal distribution with this mean, where spread is the standard deviation of the
// logarithm. The result is at least 1 and at most limit.
func (e *emulation) lognormal(mean, spread, limit float64) float64 {
	value := mean * math.Exp(spread*e.random.NormFloat64()-spread*spread/2)
	return math.Min(math.Max(value, 1), limit)
}

func (e *emulation) addRequest(kind *RequestKind, now time.Time) {
	e.nextID++
	prompt := e.lognormal(kind.PromptTokens, kind.PromptSpread, kind.MaxPromptTokens)
	eventTokens := e.fleet.Engine.StepsPerPass // a server sends one event of a stream in each pass
	events := int(math.Ceil(e.lognormal(kind.Events, kind.EventSpread, kind.Events*2.5)))
	// The credit is proportional to size, which is 1 for a request of mean size. An answer token counts as ten prompt
	// tokens.
	size := 0.3 + 0.7*(prompt+10*float64(events*eventTokens))/(kind.PromptTokens+10*kind.Events*float64(eventTokens))
	size = math.Min(size, 4)
	j := &job{
		kind: kind, arrivedAt: now, events: events, credit: kind.Weight * size, lateCredit: kind.LateWeight * size,
		isLarge: prompt > kind.PromptTokens*math.Exp(largestQuantile*kind.PromptSpread-kind.PromptSpread*kind.PromptSpread/2),
		request: schedule.PlacementRequest{
			ID: schedule.JobID{VM: 1, Seq: e.nextID}, Service: "model", PromptTokens: int(prompt),
			AnswerTokens: events * eventTokens, TargetAt: now.Add(kind.TargetLatency), MaxGap: kind.MaxGap, Weight: kind.Weight * size,
			StartDeadline: now.Add(maxWait(kind)), Team: kind.Team, Priority: kind.Priority,
		},
	}
	if kind.Team != "" {
		j.request.Identity = e.nextID
	}
	if kind.Teams > 0 {
		j.request.Team += strconv.Itoa(e.random.IntN(kind.Teams))
	}
	j.contextTokens = j.request.PromptTokens + j.request.AnswerTokens
	entryVM := e.chooseEntryVM()
	j.dispatcher = e.dispatchers[min(entryVM, len(e.dispatchers)-1)]
	if e.demand != nil {
		j.request.ID.VM = uint64(entryVM + 1)
	}
	for _, tally := range e.talliesOf(j) {
		tally.Requests++
		tally.MaxCredit += j.credit
	}
	e.enqueue(now, j)
}
