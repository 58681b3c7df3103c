package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"godwityoke.example/godwityoke/internal/request"
)

const (
	// maxHistogramMicros is the longest duration that a histogram holds, in
	// microseconds. Longer ones count as this long.
	maxHistogramMicros = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision of a histogram in decimal digits.
	histogramDigits = 3
)

// lengthBuckets are the reported ranges of prompt lengths in tokens, in ascending
// order. Each begins above the maximum of the one before.
var lengthBuckets = []lengthBucket{
	{"1k", 1000}, {"4k", 4000}, {"16k", 16_000}, {"64k", 64_000}, {"256k", 256_000}, {"1M", 1_000_000},
}

type lengthBucket struct {
	label     string
	maxTokens int64
}

// Quantiles are quantiles of a duration, in milliseconds, and the number of its
// values.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// LengthRow is the time to first token of the prompts of one range of lengths.
type LengthRow struct {
	Length string `json:"length"`
	// Offered counts the requests. Quantiles covers those that got a token.
	Offered int64 `json:"offered"`
	Quantiles
}

// Goodput counts the offered requests and their tokens, and those of the requests
// that completed within their timeouts.
type Goodput struct {
	Offered       int64 `json:"offered"`
	InTime        int64 `json:"in_time"`
	OfferedTokens int64 `json:"offered_tokens"`
	InTimeTokens  int64 `json:"in_time_tokens"`
}

func (g *Goodput) add(result requestResult) {
	g.Offered++
	g.OfferedTokens += result.offeredTokens()
	if result.inTime {
		g.InTime++
		g.InTimeTokens += result.offeredTokens()
	}
}

// requestResult is the result of one request. All sends with the same idempotency
// key are one request. The request is in time if at least one send is in time.
// Sample is the sample of the first send.
type requestResult struct {
	*Sample
	inTime bool
}

// mergeResends returns one result for each request.
func mergeResends(samples []Sample) []requestResult {
	results := make([]requestResult, 0, len(samples))
	byKey := map[string]int{}
	for i := range samples {
		sample := &samples[i]
		first, known := byKey[sample.Key]
		if sample.Key != "" && known {
			results[first].inTime = results[first].inTime || sample.InTime()
			continue
		}
		byKey[sample.Key] = len(results)
		results = append(results, requestResult{Sample: sample, inTime: sample.InTime()})
	}
	return results
}

func (g Goodput) plus(other Goodput) Goodput {
	return Goodput{
		Offered: g.Offered + other.Offered, InTime: g.InTime + other.InTime,
		OfferedTokens: g.OfferedTokens + other.OfferedTokens, InTimeTokens: g.InTimeTokens + other.InTimeTokens,
	}
}

// RequestFraction returns the fraction of requests in time, 1 when none was
// offered.
func (g Goodput) RequestFraction() float64 { return ratio(g.InTime, g.Offered) }

// TokenFraction returns the fraction of tokens in time, 1 when none was
// offered.
func (g Goodput) TokenFraction() float64 { return ratio(g.InTimeTokens, g.OfferedTokens) }

// ratio returns part divided by whole, and 1 if whole is 0.
func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// SecondRow is the goodput of the requests that were scheduled within one second
// of a run. Short covers the short prompts and the calls of plain services among
// them.
type SecondRow struct {
	Second int  `json:"second"`
	Peak   bool `json:"crest"`
	Goodput
	Short Goodput `json:"short"`
}

// TeamRow is the goodput and the time to first token of one team.
type TeamRow struct {
	Team string `json:"team"`
	Goodput
	Peak       Goodput   `json:"crest"`
	FirstToken Quantiles `json:"first_token"`
}

// OutcomeCount counts sends by outcome. None counts those without an outcome.
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

// CodeCount is the number of errors with one code.
type CodeCount struct {
	Code  request.Code `json:"code"`
	Count int64        `json:"count"`
}

// Measurements are the figures of one run.
type Measurements struct {
	Lengths []LengthRow `json:"lengths"`
	// Short is the time to first token of all short prompts.
	Short Quantiles `json:"short"`
	// TokenGap is the mean time between tokens of each request.
	TokenGap Quantiles `json:"token_gap"`
	// Calls is the total time of completed idempotent calls of plain services,
	// KeyedCalls that of completed calls with an idempotency key, which entry VMs
	// claim before they run.
	Calls      Quantiles `json:"calls"`
	KeyedCalls Quantiles `json:"keyed_calls"`
	// SendLag is Sample.SendLag of all sends. If it is large, the client's
	// machine was overloaded and the run does not show the speed of the system.
	SendLag  Quantiles    `json:"send_lag"`
	Outcomes OutcomeCount `json:"outcomes"`
	Codes    []CodeCount  `json:"codes"`
	// Peak covers the phases that are marked as peak. WorstSecond is the second
	// of them with the lowest fraction of requests in time.
	Peak        Goodput     `json:"crest"`
	WorstSecond SecondRow   `json:"worst_second"`
	Seconds     []SecondRow `json:"seconds"`
	Teams       []TeamRow   `json:"teams"`
}

// durationHistogram is a histogram of durations.
type durationHistogram struct{ histogram *hdrhistogram.Histogram }

func newDurationHistogram() durationHistogram {
	return durationHistogram{hdrhistogram.New(1, maxHistogramMicros, histogramDigits)}
}

func (h durationHistogram) add(d time.Duration) {
	_ = h.histogram.RecordValue(min(max(1, d.Microseconds()), maxHistogramMicros))
}

func (h durationHistogram) quantiles() Quantiles {
	millis := func(quantile float64) float64 { return float64(h.histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{Count: h.histogram.TotalCount(), P50: millis(50), P95: millis(95), P99: millis(99)}
}

// Measure computes the figures of a run from its samples.
func Measure(samples []Sample) Measurements {
	var m Measurements
	m.Lengths = measureLengths(samples)
	results := mergeResends(samples)
	m.Teams = measureTeams(results)
	m.Seconds = measureSeconds(results)
	m.measureTimes(samples)
	for i := range samples {
		m.Outcomes.add(samples[i].Outcome)
	}
	for _, result := range results {
		if result.Arrival.Peak {
			m.Peak.add(result)
		}
	}
	m.Codes = countCodes(samples)
	m.WorstSecond = worstSecond(m.Seconds)
	return m
}

func (m *Measurements) measureTimes(samples []Sample) {
	short, gap, calls, keyedCalls, sendLag := newDurationHistogram(), newDurationHistogram(), newDurationHistogram(),
		newDurationHistogram(), newDurationHistogram()
	for i := range samples {
		sample := &samples[i]
		switch {
		case sample.Key != "" && sample.Outcome == request.Completed:
			keyedCalls.add(sample.TotalTime)
		case sample.Arrival.Call != nil && sample.Outcome == request.Completed:
			calls.add(sample.TotalTime)
		case sample.Arrival.Prompt != nil && sample.Arrival.Prompt.Short && sample.FirstToken > 0:
			short.add(sample.FirstToken)
		}
		sendLag.add(sample.SendLag)
		if sample.TokenGap > 0 {
			gap.add(sample.TokenGap)
		}
	}
	m.Short, m.TokenGap = short.quantiles(), gap.quantiles()
	m.SendLag = sendLag.quantiles()
	m.Calls, m.KeyedCalls = calls.quantiles(), keyedCalls.quantiles()
}

func measureLengths(samples []Sample) []LengthRow {
	var rows []LengthRow
	lowerBound := int64(0)
	for _, bucket := range lengthBuckets {
		row, histogram := LengthRow{Length: bucket.label}, newDurationHistogram()
		for i := range samples {
			prompt := samples[i].Arrival.Prompt
			if prompt == nil || prompt.Tokens <= lowerBound || prompt.Tokens > bucket.maxTokens {
				continue
			}
			row.Offered++
			if samples[i].FirstToken > 0 {
				histogram.add(samples[i].FirstToken)
			}
		}
		row.Quantiles = histogram.quantiles()
		rows = append(rows, row)
		lowerBound = bucket.maxTokens
	}
	return rows
}

func measureTeams(results []requestResult) []TeamRow {
	rows := map[string]*TeamRow{}
	histograms := map[string]durationHistogram{}
	for _, result := range results {
		name := result.Arrival.Team.Name
		if rows[name] == nil {
			rows[name], histograms[name] = &TeamRow{Team: name}, newDurationHistogram()
		}
		rows[name].add(result)
		if result.Arrival.Peak {
			rows[name].Peak.add(result)
		}
		if result.FirstToken > 0 {
			histograms[name].add(result.FirstToken)
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

func measureSeconds(results []requestResult) []SecondRow {
	var rows []SecondRow
	for _, result := range results {
		second := int(result.Arrival.At / time.Second)
		for len(rows) <= second {
			rows = append(rows, SecondRow{Second: len(rows)})
		}
		row := &rows[second]
		row.Peak = row.Peak || result.Arrival.Peak
		row.add(result)
		if result.Arrival.Prompt == nil || result.Arrival.Prompt.Short {
			row.Short.add(result)
		}
	}
	return rows
}

// worstSecond returns the second of the peak phases with the lowest fraction of
// requests in time.
func worstSecond(seconds []SecondRow) SecondRow {
	var worst SecondRow
	for _, row := range seconds {
		if row.Peak && (worst.Offered == 0 || row.RequestFraction() < worst.RequestFraction()) {
			worst = row
		}
	}
	return worst
}

// countCodes returns the number of errors of each code, most frequent first.
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
