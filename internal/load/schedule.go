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

// Arrival is one request of the schedule.
type Arrival struct {
	// Number identifies the arrival in its schedule.
	Number int
	// At is the time since the start of the run.
	At    time.Duration
	Phase string
	// Peak is true in a phase that is marked as peak.
	Peak bool
	// EntryIndex, modulo the number of entry VMs, is the preferred entry VM:
	// arrivals go to the VMs in turn, and the second send of a key goes to the
	// next one.
	EntryIndex int
	Team       *Team
	// Prompt is set for a model request, Call for a plain service.
	Prompt *Prompt
	Call   *Call
	// Timeout runs from the scheduled arrival. SendsDeadline tells whether the
	// caller sends it in the deadline header.
	Timeout       time.Duration
	SendsDeadline bool
}

// Prompt is a request for generation.
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
	// Resend is true for the second send of a key.
	Resend bool
}

// rateStep is the resolution of changing rates.
const rateStep = 10 * time.Millisecond

// Schedule returns all arrivals by time. The same scenario gives the same
// schedule. Without long prompts the other arrivals stay as they are.
func (s *Scenario) Schedule(withLong bool) []Arrival {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	var arrivals []Arrival
	var start time.Duration
	for i := range s.Phases {
		phase := &s.Phases[i]
		for at := time.Duration(0); at < phase.Duration.Std(); at += rateStep {
			rate := phase.rateAt(at)
			arrivals = s.addPrompts(arrivals, random, phase, start+at, rate)
			arrivals = s.addCalls(arrivals, random, phase, start+at, rate)
		}
		start += phase.Duration.Std()
	}
	if !withLong {
		arrivals = withoutLong(arrivals)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	for i := range arrivals {
		arrivals[i].Number = i
	}
	return arrivals
}

func withoutLong(arrivals []Arrival) []Arrival {
	kept := arrivals[:0]
	for _, arrival := range arrivals {
		if arrival.Prompt == nil || arrival.Prompt.Short {
			kept = append(kept, arrival)
		}
	}
	return kept
}

func (p *Phase) rateAt(at time.Duration) float64 {
	if p.EndRate == 0 {
		return p.Rate
	}
	return p.Rate + (p.EndRate-p.Rate)*float64(at)/float64(p.Duration.Std())
}

// poisson draws the number of arrivals with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	limit, product, count := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

func (s *Scenario) addPrompts(to []Arrival, random *rand.Rand, phase *Phase, at time.Duration, rate float64) []Arrival {
	for range poisson(random, rate*rateStep.Seconds()) {
		team := pick(random, s.Teams, func(t *Team) float64 { return t.Weight })
		length := pick(random, team.Lengths, func(l *Length) float64 { return l.Weight })
		// Lengths vary by a tenth, so that they are not all alike.
		tokens := length.Tokens - random.Int64N(max(1, length.Tokens/10))
		answer := team.MinAnswerTokens + random.Int64N(team.MaxAnswerTokens-team.MinAnswerTokens+1)
		arrival := Arrival{
			At: at + jitter(random), Phase: phase.Name, Peak: phase.Peak, EntryIndex: len(to), Team: team,
			Prompt:  &Prompt{Tokens: tokens, AnswerTokens: answer, Short: s.short(tokens)},
			Timeout: length.Timeout.Std(), SendsDeadline: length.Timeout > 0,
		}
		if !arrival.SendsDeadline {
			arrival.Timeout = s.timeLimit(tokens)
		}
		to = append(to, arrival)
	}
	return to
}

func (s *Scenario) addCalls(to []Arrival, random *rand.Rand, phase *Phase, at time.Duration, rate float64) []Arrival {
	for i := range s.Services {
		operation := &s.Services[i]
		mean := operation.PerSecond * rate / 100 * rateStep.Seconds()
		for range poisson(random, mean) {
			arrival := Arrival{
				At: at + jitter(random), Phase: phase.Name, Peak: phase.Peak, EntryIndex: len(to), Team: s.team(operation.Team),
				Call: &Call{Operation: operation}, Timeout: operation.Timeout.Std(), SendsDeadline: true,
			}
			if operation.Keyed {
				arrival.Call.Key = fmt.Sprintf("%s-%d-%x", s.Name, len(to), random.Uint64())
			}
			to = append(to, arrival)
			if operation.Keyed && random.Float64()*100 < operation.ResendPercent {
				to = append(to, arrival.resend())
			}
		}
	}
	return to
}

// resend returns a second send of the same key at the same time, to another
// entry VM.
func (a Arrival) resend() Arrival {
	second := *a.Call
	second.Resend = true
	a.Call = &second
	a.EntryIndex++
	return a
}

func jitter(random *rand.Rand) time.Duration { return time.Duration(random.Int64N(int64(rateStep))) }

func (s *Scenario) team(name string) *Team {
	for i := range s.Teams {
		if s.Teams[i].Name == name {
			return &s.Teams[i]
		}
	}
	return nil
}

// pick draws an element by weight.
func pick[T any](random *rand.Rand, elements []T, weight func(*T) float64) *T {
	var sum float64
	for i := range elements {
		sum += weight(&elements[i])
	}
	left := random.Float64() * sum
	for i := range elements {
		left -= weight(&elements[i])
		if left < 0 {
			return &elements[i]
		}
	}
	return &elements[len(elements)-1]
}

// fillerWords is the text that prompts are filled with.
const fillerWords = "the boat leaves the wharf at high water and the family waits on the quay with lace and thread "

// promptText returns the text of an arrival's prompt: the team's shared
// prefix, then a part that is unique to the arrival and run, then filler.
func promptText(arrival *Arrival, run string, bytesPerToken int) string {
	size := int(arrival.Prompt.Tokens) * bytesPerToken
	shared := min(int(arrival.Team.SharedPrefixTokens)*bytesPerToken, size/2)
	var text strings.Builder
	text.Grow(size + len(fillerWords))
	fill(&text, arrival.Team.Name+": ", shared)
	fill(&text, run+"/"+strconv.Itoa(arrival.Number)+": ", size)
	return text.String()[:size]
}

// fill appends a heading and filler until text has size bytes.
func fill(text *strings.Builder, heading string, size int) {
	if text.Len() < size {
		text.WriteString(heading)
	}
	for text.Len()+len(fillerWords) <= size {
		text.WriteString(fillerWords)
	}
	if left := size - text.Len(); left > 0 {
		text.WriteString(fillerWords[:min(left, len(fillerWords))])
	}
}
