package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	// Number is the position of the arrival in its schedule.
	Number int
	// At is the scheduled time, since the start of the run.
	At    time.Duration
	Phase string
	// Peak is true if the phase is marked as peak.
	Peak bool
	// EntryIndex, modulo the number of entry VMs, is the index of the preferred
	// entry VM. Arrivals go to the entry VMs in turn. The second send of a key goes
	// to the entry VM after that of the first.
	EntryIndex int
	Team       *Team
	// Prompt is set for a request to a model, Call for one to a plain service.
	Prompt *Prompt
	Call   *Call
	// Timeout is the maximum time to the end of the answer. For the goodput it
	// starts at the scheduled arrival, for the promises when the request is sent.
	// SendsDeadline is true if the caller sends Timeout in the deadline header.
	Timeout       time.Duration
	SendsDeadline bool
}

// Prompt is a request to a model.
type Prompt struct {
	Tokens       int64
	AnswerTokens int64
	Short        bool
}

// Call is a request to a plain service.
type Call struct {
	Operation *ServiceOperation
	// Key is the idempotency key, empty for idempotent calls.
	Key string
	// Resend is true for the second send of the key.
	Resend bool
}

// rateStep is the length of the intervals in which the rate counts as constant.
const rateStep = 10 * time.Millisecond

// Schedule returns all arrivals in order of time. The same scenario always gives
// the same schedule. If withLong is false, long prompts are omitted, and the other
// arrivals stay the same except for their numbers.
func (s *Scenario) Schedule(withLong bool) []Arrival {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	var arrivals []Arrival
	var start time.Duration
	for i := range s.Phases {
		phase := &s.Phases[i]
		for offset := time.Duration(0); offset < phase.Duration.Std(); offset += rateStep {
			rate := phase.rateAt(offset)
			arrivals = s.addPrompts(arrivals, random, phase, start+offset, rate)
			arrivals = s.addCalls(arrivals, random, phase, start+offset, rate)
		}
		start += phase.Duration.Std()
	}
	if !withLong {
		arrivals = dropLongPrompts(arrivals)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	for i := range arrivals {
		arrivals[i].Number = i
	}
	return arrivals
}

// dropLongPrompts removes the prompts that are not short, in place.
func dropLongPrompts(arrivals []Arrival) []Arrival {
	kept := arrivals[:0]
	for _, arrival := range arrivals {
		if arrival.Prompt == nil || arrival.Prompt.Short {
			kept = append(kept, arrival)
		}
	}
	return kept
}

// rateAt returns the rate of prompts per second at offset, a time since the start of
// the phase.
func (p *Phase) rateAt(offset time.Duration) float64 {
	if p.EndRate == 0 {
		return p.Rate
	}
	return p.Rate + (p.EndRate-p.Rate)*float64(offset)/float64(p.Duration.Std())
}

// poisson draws a Poisson-distributed number with the given mean (Knuth's
// algorithm).
func poisson(random *rand.Rand, mean float64) int {
	limit, product, count := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

// addPrompts appends the prompts that arrive within rateStep after from,
// a time since the start of the run.
func (s *Scenario) addPrompts(arrivals []Arrival, random *rand.Rand, phase *Phase, from time.Duration, rate float64) []Arrival {
	for range poisson(random, rate*rateStep.Seconds()) {
		team := pickWeighted(random, s.Teams, func(t *Team) float64 { return t.Weight })
		length := pickWeighted(random, team.Lengths, func(l *Length) float64 { return l.Weight })
		// Up to a tenth is subtracted at random, so that prompts differ in length.
		tokens := length.Tokens - random.Int64N(max(1, length.Tokens/10))
		answer := team.MinAnswerTokens + random.Int64N(team.MaxAnswerTokens-team.MinAnswerTokens+1)
		arrival := Arrival{
			At: from + jitter(random), Phase: phase.Name, Peak: phase.Peak, EntryIndex: len(arrivals), Team: team,
			Prompt:  &Prompt{Tokens: tokens, AnswerTokens: answer, Short: s.isShort(tokens)},
			Timeout: length.Timeout.Std(), SendsDeadline: length.Timeout > 0,
		}
		if !arrival.SendsDeadline {
			arrival.Timeout = s.timeLimit(tokens)
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

// addCalls appends the calls of plain services that arrive within rateStep after
// from, a time since the start of the run, with their resends.
func (s *Scenario) addCalls(arrivals []Arrival, random *rand.Rand, phase *Phase, from time.Duration, rate float64) []Arrival {
	for i := range s.Services {
		operation := &s.Services[i]
		mean := operation.PerSecond * rate / 100 * rateStep.Seconds()
		for range poisson(random, mean) {
			arrival := Arrival{
				At: from + jitter(random), Phase: phase.Name, Peak: phase.Peak, EntryIndex: len(arrivals), Team: s.team(operation.Team),
				Call: &Call{Operation: operation}, Timeout: operation.Timeout.Std(), SendsDeadline: true,
			}
			if operation.Keyed {
				arrival.Call.Key = fmt.Sprintf("%s-%d-%x", s.Name, len(arrivals), random.Uint64())
			}
			arrivals = append(arrivals, arrival)
			if operation.Keyed && random.Float64()*100 < operation.ResendPercent {
				arrivals = append(arrivals, arrival.resend())
			}
		}
	}
	return arrivals
}

// resend returns a second send of the same key at the same time, to the next
// entry VM.
func (a Arrival) resend() Arrival {
	second := *a.Call
	second.Resend = true
	a.Call = &second
	a.EntryIndex++
	return a
}

// jitter draws a time below rateStep.
func jitter(random *rand.Rand) time.Duration { return time.Duration(random.Int64N(int64(rateStep))) }

func (s *Scenario) team(name string) *Team {
	for i := range s.Teams {
		if s.Teams[i].Name == name {
			return &s.Teams[i]
		}
	}
	return nil
}

// pickWeighted draws an element at random, in proportion to its weight.
func pickWeighted[T any](random *rand.Rand, elements []T, weight func(*T) float64) *T {
	var sum float64
	for i := range elements {
		sum += weight(&elements[i])
	}
	remaining := random.Float64() * sum
	for i := range elements {
		remaining -= weight(&elements[i])
		if remaining < 0 {
			return &elements[i]
		}
	}
	return &elements[len(elements)-1]
}

// fillerWords is repeated to fill prompts up to their length.
const fillerWords = "the boat leaves the wharf at high water and the family waits on the quay with lace and thread "

// promptText returns the prompt of an arrival: the shared prefix of the team, then
// a heading that is unique to the arrival and the run, then filler. The shared
// prefix takes half of the prompt at most.
func promptText(arrival *Arrival, run string, bytesPerToken int) string {
	size := int(arrival.Prompt.Tokens) * bytesPerToken
	shared := min(int(arrival.Team.SharedPrefixTokens)*bytesPerToken, size/2)
	var text strings.Builder
	text.Grow(size + len(fillerWords))
	fill(&text, arrival.Team.Name+": ", shared)
	fill(&text, run+"/"+strconv.Itoa(arrival.Number)+": ", size)
	return text.String()[:size]
}

// fill appends a heading and filler until text has at least size bytes.
func fill(text *strings.Builder, heading string, size int) {
	if text.Len() < size {
		text.WriteString(heading)
	}
	for text.Len()+len(fillerWords) <= size {
		text.WriteString(fillerWords)
	}
	if missing := size - text.Len(); missing > 0 {
		text.WriteString(fillerWords[:min(missing, len(fillerWords))])
	}
}
