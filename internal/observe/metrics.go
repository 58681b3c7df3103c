package observe

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxTeamLabels bounds the teams that have histograms of their own; further
// teams share the label otherTeams.
const maxTeamLabels = 2048

// otherTeams labels the values of teams beyond maxTeamLabels.
const otherTeams = "other"

// Timing is a duration that is measured for each team and each class.
type Timing string

// Timings. The names are those of the exported histograms.
const (
	TimeToFirstToken  Timing = "godwityoke_time_to_first_token_seconds"
	TimeBetweenTokens Timing = "godwityoke_time_between_tokens_seconds"
	QueueTime         Timing = "godwityoke_queue_seconds"
	RequestDuration   Timing = "godwityoke_request_seconds"
)

// Label is a name and value on a metric.
type Label struct {
	Name  string
	Value string
}

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry

	// timings maps a timingKey to its histogram: a series name is built once,
	// not for each token.
	timings sync.Map

	mu    sync.Mutex
	teams map[string]bool
}

// timingKey names the histogram of a timing for one team or one class.
type timingKey struct {
	timing Timing
	label  Label
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), teams: map[string]bool{}}
}

// Observe records a duration for a team and for a class.
func (m *Metrics) Observe(timing Timing, team, class string, elapsed time.Duration) {
	millis := elapsed.Milliseconds()
	m.histogram(timingKey{timing, Label{"team", m.teamLabel(team)}}).Update(millis)
	m.histogram(timingKey{timing, Label{"class", class}}).Update(millis)
}

// CountOutcome counts an ended request by team, class and outcome.
func (m *Metrics) CountOutcome(team, class, outcome string) {
	name := "godwityoke_requests_total"
	m.Counter(name, Label{"team", m.teamLabel(team)}, Label{"outcome", outcome}).Inc(1)
	m.Counter(name, Label{"class", class}, Label{"outcome", outcome}).Inc(1)
}

// Counter returns the counter with the given name and labels, made when first
// asked for.
func (m *Metrics) Counter(name string, labels ...Label) metrics.Counter {
	return metrics.GetOrRegisterCounter(seriesName(name, labels), m.registry)
}

// Gauge returns the gauge with the given name and labels, made when first
// asked for.
func (m *Metrics) Gauge(name string, labels ...Label) metrics.Gauge {
	return metrics.GetOrRegisterGauge(seriesName(name, labels), m.registry)
}

func (m *Metrics) histogram(key timingKey) metrics.Histogram {
	if known, found := m.timings.Load(key); found {
		return known.(metrics.Histogram)
	}
	created := func() metrics.Histogram { return newBucketHistogram() }
	name := seriesName(string(key.timing), []Label{key.label})
	histogram := m.registry.GetOrRegister(name, created).(metrics.Histogram)
	m.timings.Store(key, histogram)
	return histogram
}

func (m *Metrics) teamLabel(team string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.teams[team] {
		return team
	}
	if len(m.teams) >= maxTeamLabels {
		return otherTeams
	}
	m.teams[team] = true
	return team
}
