package observe

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md from the event catalogue")

const eventsPage = "../../docs/EVENTS.md"

const eventsIntroduction = `# Log events

Every log line carries the number and the name of its event. A number is never
reused. This page is written from the catalogue in internal/observe by
` + "`go test ./internal/observe -run TestEventsPage -update`" + `.

| number | name | level | meaning and action |
|---|---|---|---|
`

// docs/EVENTS.md must match the catalogue; run the test with -update after a change.
func TestEventsPageListsExactlyTheCatalogue(t *testing.T) {
	var page strings.Builder
	page.WriteString(eventsIntroduction)
	for _, event := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", event.Number, event.Name, event.Level, event.Meaning)
	}
	if *update {
		require.NoError(t, os.WriteFile(eventsPage, []byte(page.String()), 0o644))
	}
	written, err := os.ReadFile(eventsPage)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(written))
}

func TestDuplicateEventNumberPanics(t *testing.T) {
	require.Panics(t, func() { newEvent(ProcessStarted.Number, "again", ProcessStarted.Level, "") })
}

func TestTeamsBeyondTheLimitShareALabel(t *testing.T) {
	m := NewMetrics()
	for i := range maxTeamLabels + 10 {
		m.Observe(TimeToFirstToken, fmt.Sprintf("team-%d", i), "short", time.Millisecond)
	}
	var text strings.Builder
	require.NoError(t, m.WritePrometheus(&text))
	counts := strings.Count(text.String(), "godwityoke_time_to_first_token_seconds_count{team=")
	require.Equal(t, maxTeamLabels+1, counts)
	require.Contains(t, text.String(), `godwityoke_time_to_first_token_seconds_count{team="other"} 10`)
}

func TestHistogramIsCumulativeInSeconds(t *testing.T) {
	m := NewMetrics()
	m.Observe(RequestDuration, "a", "short", 7*time.Millisecond)
	m.Observe(RequestDuration, "a", "short", 400*time.Second)
	m.CountOutcome("a", "short", "completed")
	var text strings.Builder
	require.NoError(t, m.WritePrometheus(&text))
	for _, line := range []string{
		"# TYPE godwityoke_request_seconds histogram",
		`godwityoke_request_seconds_bucket{team="a",le="0.005"} 0`,
		`godwityoke_request_seconds_bucket{team="a",le="0.01"} 1`,
		`godwityoke_request_seconds_bucket{team="a",le="300"} 1`,
		`godwityoke_request_seconds_bucket{team="a",le="+Inf"} 2`,
		`godwityoke_requests_total{class="short",outcome="completed"} 1`,
	} {
		require.Contains(t, text.String(), line+"\n")
	}
}

// BenchmarkCapacityTeamHistograms measures the heap size of the histograms of all
// timings, for several numbers of teams.
func BenchmarkCapacityTeamHistograms(b *testing.B) {
	for _, teams := range []int{10, 400, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := fillMetrics(teams)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
				runtime.KeepAlive(m)
			}
		})
	}
}

func fillMetrics(teams int) *Metrics {
	m := NewMetrics()
	for i := range teams {
		for _, timing := range []Timing{TimeToFirstToken, TimeBetweenTokens, QueueTime, RequestDuration} {
			m.Observe(timing, fmt.Sprintf("team-%d", i), "short", time.Millisecond)
		}
	}
	return m
}
