package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"godwityoke.example/godwityoke/internal/request"
)

const (
	// highestMicros is the longest time that a histogram holds.
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision of a histogram in decimal digits.
	histogramDigits = 3
)

// lengthEdges are the upper ends of the reported prompt lengths in tokens.
var lengthEdges = []lengthEdge{
	{"1k", 1000}, {"4k", 4000}, {"16k", 16_000}, {"64k", 64_000}, {"256k", 256_000}, {"1M", 1_000_000},
}

type lengthEdge struct {
	label  string
	tokens int64
}

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// LengthRow is the time to first token of one prompt length.
type LengthRow struct {
	Length string `json:"length"`
	// Offered counts the requests; Quantiles cover those that got a token.
	Offered int64 `json:"offered"`
	Quantiles
}

// Goodput counts the offered work and the part of it that completed within its
// timeout, in requests and in tokens.
type Goodput struct {
	Offered       int64 `json:"offered"`
	InTime        int64 `json:"in_time"`
	OfferedTokens int64 `json:"offered_tokens"`
	InTimeTokens  int64 `json:"in_time_tokens"`
}

func (s *Goodput) add(served servedRequest) {
	s.Offered++
	s.OfferedTokens += served.offeredTokens()
	if served.inTime {
		s.InTime++
		s.InTimeTokens += served.offeredTokens()
	}
}

// servedRequest is what one request got. The sends of one idempotency key are one
// request, which is in time when one of them is.
type servedRequest struct {
	*Sample
	inTime bool
}

func servedRequests(samples []Sample) []servedRequest {
	served := make([]servedRequest, 0, len(samples))
	byKey := map[string]int{}
	for i := range samples {
		sample := &samples[i]
		first, known := byKey[sample.Key]
		if sample.Key != "" && known {
			served[first].inTime = served[first].inTime || sample.InTime()
			continue
		}
		byKey[sample.Key] = len(served)
		served = append(served, servedRequest{Sample: sample, inTime: sample.InTime()})
	}
	return served
}

func (s Goodput) plus(other Goodput) Goodput {
	return Goodput{
		Offered: s.Offered + other.Offered, InTime: s.InTime + other.InTime,
		OfferedTokens: s.OfferedTokens + other.OfferedTokens, InTimeTokens: s.InTimeTokens + other.InTimeTokens,
	}
}

// RequestFraction returns the fraction of requests in time, 1 when none was
// offered.
func (s Goodput) RequestFraction() float64 { return ratio(s.InTime, s.Offered) }

// TokenFraction returns the fraction of tokens in time, 1 when none was
// offered.
func (s Goodput) TokenFraction() float64 { return ratio(s.InTimeTokens, s.OfferedTokens) }

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// SecondRow is one second of a run, by scheduled arrival.
type SecondRow struct {
	Second int  `json:"second"`
	Peak   bool `json:"crest"`
	Goodput
	Short Goodput `json:"short"`
}

// TeamRow is the service that one team got.
type TeamRow struct {
	Team string `json:"team"`
	Goodput
	Peak       Goodput   `json:"crest"`
	FirstToken Quantiles `json:"first_token"`
}

// OutcomeCount counts requests by outcome. None counts those without any.
type OutcomeCount struct {
	Completed int64 `json:"completed"`
	NotRun    int64 `json:"not_run"`
	NotSent   int64 `json:"not_sent"`
	Failed    int64 `json:"failed"`
	Unknown   int64 `json:"unknown"`
	None      int64 `json:"none"`
}

func (o *OutcomeCount) add(outcome request.Outcome) {
	switch outcome {
	case request.Completed:
		o.Completed++
	case request.NotRun:
		o.NotRun++
	case request.NotSent:
		o.NotSent++
	case request.Failed:
		o.Failed++
	case request.Unknown:
		o.Unknown++
	default:
		o.None++
	}
}

// CodeCount counts the errors of one code.
type CodeCount struct {
	Code  request.Code `json:"code"`
	Count int64        `json:"count"`
}

// Measurements are what one run showed.
type Measurements struct {
	Lengths []LengthRow `json:"lengths"`
	// Short is the time to first token of all short prompts.
	Short Quantiles `json:"short"`
	// TokenGap is the mean time between tokens of each request.
	TokenGap Quantiles `json:"token_gap"`
	// Calls is the whole time of completed idempotent calls of plain services,
	// KeyedCalls that of calls with an idempotency key, which are claimed.
	Calls      Quantiles `json:"calls"`
	KeyedCalls Quantiles `json:"keyed_calls"`
	// SendLag is how late the client sent. Figures of a run in which it is not
	// small are those of a busy machine.
	SendLag  Quantiles    `json:"send_lag"`
	Outcomes OutcomeCount `json:"outcomes"`
	Codes    []CodeCount  `json:"codes"`
	// Peak covers the phases marked so, WorstSecond the second of them with
	// the lowest share of requests.
	Peak        Goodput     `json:"crest"`
	WorstSecond SecondRow   `json:"worst_second"`
	Seconds     []SecondRow `json:"seconds"`
	Teams       []TeamRow   `json:"teams"`
}

// times is a histogram of durations.
type times struct{ histogram *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(1, highestMicros, histogramDigits)} }

func (t times) add(d time.Duration) {
	_ = t.histogram.RecordValue(min(max(1, d.Microseconds()), highestMicros))
}

func (t times) quantiles() Quantiles {
	millis := func(quantile float64) float64 { return float64(t.histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{Count: t.histogram.TotalCount(), P50: millis(50), P95: millis(95), P99: millis(99)}
}

// Measure computes the measures of a run.
func Measure(samples []Sample) Measurements {
	var m Measurements
	m.Lengths = measureLengths(samples)
	served := servedRequests(samples)
	m.Teams = measureTeams(served)
	m.Seconds = measureSeconds(served)
	m.measureTimes(samples)
	for i := range samples {
		m.Outcomes.add(samples[i].Outcome)
	}
	for _, request := range served {
		if request.Arrival.Peak {
			m.Peak.add(request)
		}
	}
	m.Codes = countCodes(samples)
	m.WorstSecond = worstSecond(m.Seconds)
	return m
}

func (m *Measurements) measureTimes(samples []Sample) {
	short, gap, calls, keyed, lag := newTimes(), newTimes(), newTimes(), newTimes(), newTimes()
	for i := range samples {
		sample := &samples[i]
		switch {
		case sample.Key != "" && sample.Outcome == request.Completed:
			keyed.add(sample.TotalTime)
		case sample.Arrival.Call != nil && sample.Outcome == request.Completed:
			calls.add(sample.TotalTime)
		case sample.Arrival.Prompt != nil && sample.Arrival.Prompt.Short && sample.FirstToken > 0:
			short.add(sample.FirstToken)
		}
		lag.add(sample.SendLag)
		if sample.TokenGap > 0 {
			gap.add(sample.TokenGap)
		}
	}
	m.Short, m.TokenGap = short.quantiles(), gap.quantiles()
	m.SendLag = lag.quantiles()
	m.Calls, m.KeyedCalls = calls.quantiles(), keyed.quantiles()
}

func measureLengths(samples []Sample) []LengthRow {
	var rows []LengthRow
	lowest := int64(0)
	for _, edge := range lengthEdges {
		row, histogram := LengthRow{Length: edge.label}, newTimes()
		for i := range samples {
			prompt := samples[i].Arrival.Prompt
			if prompt == nil || prompt.Tokens <= lowest || prompt.Tokens > edge.tokens {
				continue
			}
			row.Offered++
			if samples[i].FirstToken > 0 {
				histogram.add(samples[i].FirstToken)
			}
		}
		row.Quantiles = histogram.quantiles()
		rows = append(rows, row)
		lowest = edge.tokens
	}
	return rows
}

func measureTeams(served []servedRequest) []TeamRow {
	rows := map[string]*TeamRow{}
	histograms := map[string]times{}
	for _, sample := range served {
		name := sample.Arrival.Team.Name
		if rows[name] == nil {
			rows[name], histograms[name] = &TeamRow{Team: name}, newTimes()
		}
		rows[name].add(sample)
		if sample.Arrival.Peak {
			rows[name].Peak.add(sample)
		}
		if sample.FirstToken > 0 {
			histograms[name].add(sample.FirstToken)
		}
	}
	sorted := make([]TeamRow, 0, len(rows))
	for name, row := range rows {
		row.FirstToken = histograms[name].quantiles()
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b TeamRow) int { return cmp.Compare(a.Team, b.Team) })
	return sorted
}

func measureSeconds(served []servedRequest) []SecondRow {
	var rows []SecondRow
	for _, sample := range served {
		second := int(sample.Arrival.At / time.Second)
		for len(rows) <= second {
			rows = append(rows, SecondRow{Second: len(rows)})
		}
		row := &rows[second]
		row.Peak = row.Peak || sample.Arrival.Peak
		row.add(sample)
		if sample.Arrival.Prompt == nil || sample.Arrival.Prompt.Short {
			row.Short.add(sample)
		}
	}
	return rows
}

// worstSecond returns the crest second with the lowest share of requests.
func worstSecond(seconds []SecondRow) SecondRow {
	var worst SecondRow
	for _, row := range seconds {
		if row.Peak && (worst.Offered == 0 || row.RequestFraction() < worst.RequestFraction()) {
			worst = row
		}
	}
	return worst
}

func countCodes(samples []Sample) []CodeCount {
	counts := map[request.Code]int64{}
	for i := range samples {
		if code := samples[i].Code; code != "" {
			counts[code]++
		}
	}
	sorted := make([]CodeCount, 0, len(counts))
	for code, count := range counts {
		sorted = append(sorted, CodeCount{Code: code, Count: count})
	}
	slices.SortFunc(sorted, func(a, b CodeCount) int { return cmp.Compare(b.Count, a.Count) })
	return sorted
}
