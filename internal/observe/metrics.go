package observe

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxTeamLabels is the maximum number of teams with metrics of their own. Further
// teams share the label otherTeamsLabel.
const maxTeamLabels = 2048

// otherTeamsLabel is the label value of the teams beyond maxTeamLabels.
const otherTeamsLabel = "other"

// Timing is the name of a histogram of durations, which are recorded by team and by
// class of requests.
type Timing string

// Timings. TimeToFirstToken is the time from the arrival of a request to its first
// token, TimeBetweenTokens the gap between tokens, QueueTime the time that a request
// is queued for placement, and RequestDuration the time from the arrival of a request
// to its end.
const (
	TimeToFirstToken  Timing = "godwityoke_time_to_first_token_seconds"
	TimeBetweenTokens Timing = "godwityoke_time_between_tokens_seconds"
	QueueTime         Timing = "godwityoke_queue_seconds"
	RequestDuration   Timing = "godwityoke_request_seconds"
)

// StartEstimateError is the time between the estimated and the real first event of a request, with
// the class "early" or "late".
const StartEstimateError Timing = "godwityoke_start_estimate_error_seconds"

// Label is a label of a metric.
type Label struct {
	Name  string
	Value string
}

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry

	// timings maps a timingKey to its histogram, so that the name of a series is
	// built once and not for each token.
	timings sync.Map

	mu sync.Mutex
	// teams holds the teams with metrics of their own, at most maxTeamLabels.
	teams map[string]bool
}

// timingKey identifies the histogram of a timing for one team or one class.
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

// ObserveClass records a duration for a class only.
func (m *Metrics) ObserveClass(timing Timing, class string, elapsed time.Duration) {
	m.histogram(timingKey{timing, Label{"class", class}}).Update(elapsed.Milliseconds())
}

// CountOutcome counts a finished request by team and outcome, and by class and outcome.
func (m *Metrics) CountOutcome(team, class, outcome string) {
	name := "godwityoke_requests_total"
	m.Counter(name, Label{"team", m.teamLabel(team)}, Label{"outcome", outcome}).Inc(1)
	m.Counter(name, Label{"class", class}, Label{"outcome", outcome}).Inc(1)
}

// Counter returns the counter with the given name and labels. It creates the counter
// at the first call.
func (m *Metrics) Counter(name string, labels ...Label) metrics.Counter {
	return metrics.GetOrRegisterCounter(seriesName(name, labels), m.registry)
}

// Gauge returns the gauge with the given name and labels. It creates the gauge at the
// first call.
func (m *Metrics) Gauge(name string, labels ...Label) metrics.Gauge {
	return metrics.GetOrRegisterGauge(seriesName(name, labels), m.registry)
}

func (m *Metrics) histogram(key timingKey) metrics.Histogram {
	if known, found := m.timings.Load(key); found {
		return known.(metrics.Histogram)
	}
	create := func() metrics.Histogram { return newBucketHistogram() }
	name := seriesName(string(key.timing), []Label{key.label})
	histogram := m.registry.GetOrRegister(name, create).(metrics.Histogram)
	m.timings.Store(key, histogram)
	return histogram
}

// teamLabel returns the label value of a team.
func (m *Metrics) teamLabel(team string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.teams[team] {
		return team
	}
	if len(m.teams) >= maxTeamLabels {
		return otherTeamsLabel
	}
	m.teams[team] = true
	return team
}
