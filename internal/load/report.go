package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"
)

// Report is the result of one invocation of the load tool.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Scale is the factor by which the durations of the phases were multiplied.
	Scale     float64   `json:"scale"`
	StartedAt time.Time `json:"started"`
	// Processors is the number of processors of the machine.
	Processors int `json:"processors"`
	// Bound is the upper bound of the requests in time in the peak phases.
	Bound Bound       `json:"bound"`
	Runs  []RunReport `json:"runs"`
}

// RunReport is the result of one round under one routing policy.
type RunReport struct {
	Policy string `json:"policy"`
	Round  int    `json:"round"`
	// WithLong is measured with all arrivals, WithoutLong with the same arrivals
	// except the long prompts.
	WithLong    Measurements  `json:"with_long"`
	WithoutLong *Measurements `json:"without_long,omitempty"`
	// ShortSlowdown is the p95 of the time to first token of short prompts with
	// long ones present, divided by that without. 0 means not measured.
	ShortSlowdown float64      `json:"short_slowdown,omitempty"`
	Promises      []Promise    `json:"promises"`
	Engines       EngineTotals `json:"engines"`
}

// attemptsPerPrompt returns the attempts that reached an engine, divided by the
// prompts offered in the run with long prompts.
func (r *RunReport) attemptsPerPrompt() float64 {
	var offered int64
	for _, row := range r.WithLong.Lengths {
		offered += row.Offered
	}
	return ratio(r.Engines.Calls, offered)
}

// EngineTotals are the counters of all engines together: sums, except for
// MaxWaiting, which is a maximum.
type EngineTotals struct {
	// Calls counts the attempts that reached an engine.
	Calls            int64   `json:"calls"`
	Completed        int64   `json:"completed"`
	Cancelled        int64   `json:"cancelled"`
	Refused          int64   `json:"refused"`
	PrefillTokens    int64   `json:"prefill_tokens"`
	CachedTokens     int64   `json:"cached_tokens"`
	DecodeTokens     int64   `json:"decode_tokens"`
	BusySeconds      float64 `json:"busy_seconds"`
	OverCommits      int64   `json:"over_commits"`
	MaxWaiting       int64   `json:"max_waiting"`
	MemoryLeftTokens int64   `json:"memory_left_tokens"`
}

// SumCounters adds up the counters of all engines.
func (e Evidence) SumCounters() EngineTotals {
	var total EngineTotals
	for _, engine := range e.Engines {
		counters := engine.Counters
		total.Calls += counters.Calls
		total.Completed += counters.Completed
		total.Cancelled += counters.Cancelled
		total.Refused += counters.Refused
		total.PrefillTokens += counters.PrefillTokens
		total.CachedTokens += counters.CachedTokens
		total.DecodeTokens += counters.DecodeTokens
		total.BusySeconds += float64(counters.BusyMicros) / 1e6
		total.OverCommits += counters.OverCommits
		total.MaxWaiting = max(total.MaxWaiting, counters.MaxWaiting)
		total.MemoryLeftTokens += counters.MemoryTokens
	}
	return total
}

// BrokenCount returns how many checks of promises failed in all runs.
func (r *Report) BrokenCount() int64 {
	var broken int64
	for _, run := range r.Runs {
		for _, promise := range run.Promises {
			broken += promise.Broken
		}
	}
	return broken
}

// WriteJSON writes the report to a file as JSON.
func (r *Report) WriteJSON(file string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a table for people to read.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "scenario %s, seed %d, phases x%.2f, %d processors\n", r.Scenario, r.Seed, r.Scale, r.Processors)
	fmt.Fprintf(table, "upper bound at the peak: %.1f%% of %d model requests in time (needs %.1f s of engine time, has %.1f s)\n",
		100*r.Bound.RequestFraction(), r.Bound.Offered, r.Bound.DemandSeconds, r.Bound.CapacitySeconds)
	for i := range r.Runs {
		r.Runs[i].writeTable(table)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func (r *RunReport) writeTable(w io.Writer) {
	fmt.Fprintf(w, "\n== policy %s, round %d\n", r.Policy, r.Round)
	r.writeFirstTokens(w)
	r.writeService(w)
	r.writeTeams(w)
	outcomes, engines := r.WithLong.Outcomes, r.Engines
	fmt.Fprintf(w, "outcomes: completed %d, not_run %d, not_sent %d, failed %d, unknown %d, none %d\n",
		outcomes.Completed, outcomes.NotRun, outcomes.NotSent, outcomes.Failed, outcomes.Unknown, outcomes.None)
	for _, code := range r.WithLong.Codes {
		fmt.Fprintf(w, "  code %s: %d\n", code.Code, code.Count)
	}
	fmt.Fprintf(w, "engines: busy %.1f s, prefill %d, cached %d, generated %d tokens; over-commits %d, longest queue %d, memory left %d\n",
		engines.BusySeconds, engines.PrefillTokens, engines.CachedTokens, engines.DecodeTokens,
		engines.OverCommits, engines.MaxWaiting, engines.MemoryLeftTokens)
	fmt.Fprintf(w, "attempts on engines for each prompt: %.2f\n", r.attemptsPerPrompt())
	WritePromises(w, r.Promises)
}

func (r *RunReport) writeFirstTokens(w io.Writer) {
	fmt.Fprintf(w, "time to first token\tp50 ms\tp95 ms\tp99 ms\tserved\toffered\n")
	for _, row := range r.WithLong.Lengths {
		fmt.Fprintf(w, "  %s\t%.0f\t%.0f\t%.0f\t%d\t%d\n", row.Length, row.P50, row.P95, row.P99, row.Count, row.Offered)
	}
	writeQuantiles(w, "  short, long present", r.WithLong.Short)
	if r.WithoutLong != nil {
		writeQuantiles(w, "  short, without long", r.WithoutLong.Short)
		fmt.Fprintf(w, "short slowdown (p95 with / without): %.2f\n", r.ShortSlowdown)
	}
	writeQuantiles(w, "between tokens", r.WithLong.TokenGap)
	writeQuantiles(w, "idempotent calls", r.WithLong.Calls)
	writeQuantiles(w, "claimed calls", r.WithLong.KeyedCalls)
	writeQuantiles(w, "client send lag", r.WithLong.SendLag)
}

func writeQuantiles(w io.Writer, name string, q Quantiles) {
	fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%d\n", name, q.P50, q.P95, q.P99, q.Count)
}

func (r *RunReport) writeService(w io.Writer) {
	peak, worst := r.WithLong.Peak, r.WithLong.WorstSecond
	var all Goodput
	for _, second := range r.WithLong.Seconds {
		all = all.plus(second.Goodput)
	}
	fmt.Fprintf(w, "in time over the whole run: %.1f%% of %d requests\n", 100*all.RequestFraction(), all.Offered)
	fmt.Fprintf(w, "in time at the peak: %.1f%% of requests, %.1f%% of tokens; worst second (%d): %.1f%% of %d requests, %.1f%% of tokens\n",
		100*peak.RequestFraction(), 100*peak.TokenFraction(), worst.Second, 100*worst.RequestFraction(), worst.Offered, 100*worst.TokenFraction())
	fmt.Fprintf(w, "  short prompts and service calls in the worst second: %.1f%% of %d\n", 100*worst.Short.RequestFraction(), worst.Short.Offered)
}

func (r *RunReport) writeTeams(w io.Writer) {
	fmt.Fprintf(w, "team\toffered\tin time\tat the peak\tpeak tokens\tfirst token p95 ms\n")
	for _, team := range r.WithLong.Teams {
		fmt.Fprintf(w, "  %s\t%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.0f\n", team.Team, team.Offered,
			100*team.RequestFraction(), 100*team.Peak.RequestFraction(), 100*team.Peak.TokenFraction(), team.FirstToken.P95)
	}
}

// WritePromises writes one line for each promise, followed by the examples of its
// breaks.
func WritePromises(w io.Writer, promises []Promise) {
	for _, promise := range promises {
		verdict := "kept"
		switch {
		case promise.Checked == 0:
			verdict = "nothing to check"
		case promise.Broken > 0:
			verdict = fmt.Sprintf("BROKEN %d times", promise.Broken)
		}
		fmt.Fprintf(w, "promise: %s: checked %d, %s\n", promise.Name, promise.Checked, verdict)
		for _, example := range promise.Examples {
			fmt.Fprintf(w, "    %s\n", example)
		}
	}
}
