package load

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/standin/answer"
	"godwityoke.example/godwityoke/internal/standin/engine"
)

func loadScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	scenario, findings, err := ReadScenario(filepath.Join("..", "..", "scenarios", name+".json"))
	require.NoError(t, err)
	require.Empty(t, findings)
	return scenario
}

func TestScenarioFilesHaveTheRequiredLoad(t *testing.T) {
	for _, name := range []string{"tidewake", "bolillos"} {
		t.Run(name, func(t *testing.T) {
			scenario := loadScenario(t, name)
			arrivals := scenario.Schedule(true)
			require.Equal(t, arrivals, scenario.Schedule(true), "the same seed must give the same schedule")
			var prompts, over100kTokens, resends int
			promptsInPhase := map[string]int{}
			for _, arrival := range arrivals {
				switch {
				case arrival.Prompt != nil:
					prompts++
					if arrival.Prompt.Tokens > 100_000 {
						over100kTokens++
					}
				case arrival.Call.Resend:
					resends++
				}
				if arrival.Prompt != nil {
					promptsInPhase[arrival.Phase]++
				}
			}
			rise := scenario.Phases[1]
			assert.LessOrEqual(t, rise.Duration.Std(), 2*time.Second)
			assert.InDelta(t, 5, rise.EndRate/rise.Rate, 1e-9, "the rate must rise by a factor of five")
			for _, phase := range scenario.Phases {
				expected := (phase.Rate + phase.rateAt(phase.Duration.Std())) / 2 * phase.Duration.Std().Seconds()
				assert.InDelta(t, expected, promptsInPhase[phase.Name], 4*math.Sqrt(expected), "Poisson arrivals of "+phase.Name)
			}
			assert.InDelta(t, 0.02, float64(over100kTokens)/float64(prompts), 0.01)
			assert.Positive(t, resends)
			assert.Equal(t, 15, scenario.Fleet.EnginesPerZone*len(scenario.Fleet.Zones))
			assert.Len(t, scenario.Teams, 10)
			for _, arrival := range scenario.Schedule(false) {
				assert.True(t, arrival.Prompt == nil || arrival.Prompt.Short)
			}
		})
	}
}

func TestAllMistakesOfAScenarioAreReported(t *testing.T) {
	text, err := os.ReadFile("../../scenarios/tidewake.json")
	require.NoError(t, err)
	invalid := strings.NewReplacer(`"duration": "2s"`, `"duration": "-2s"`, `"key-families"`, `"wrong"`,
		`"team": "directors"`, `"team": "nobody"`).Replace(string(text))
	folder := t.TempDir()
	bundleText, err := os.ReadFile("../../scenarios/tidewake.bundle.json")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(folder, "tidewake.bundle.json"), bundleText, 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "s.json"), []byte(invalid), 0o600))
	_, findings, err := ReadScenario(filepath.Join(folder, "s.json"))
	require.NoError(t, err)
	report := findings.Error()
	for _, path := range []string{"teams[0].key", "services[1].team", "phases[1].duration"} {
		assert.Contains(t, report, path)
	}
}

var testGenerator = answer.NewGenerator(answer.Source{Model: "m", Version: "1", Prompt: "p"})

func TestTokenCheckerDetectsWrongAnswers(t *testing.T) {
	whole := testGenerator.Text(0, 5)
	cases := map[string]struct {
		texts []string
		wrong bool
	}{
		"whole":          {[]string{whole}, false},
		"split anywhere": {[]string{whole[:3], whole[3:13], whole[13:]}, false},
		"repeated":       {[]string{testGenerator.Text(0, 3), testGenerator.Text(2, 5)}, true},
		"gap":            {[]string{testGenerator.Text(0, 2), testGenerator.Text(3, 5)}, true},
		"short":          {[]string{testGenerator.Text(0, 4)}, true},
		"long":           {[]string{testGenerator.Text(0, 6)}, true},
		"half a token":   {[]string{whole[:len(whole)-2]}, true},
		"another's":      {[]string{" crossed"}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			sample := Sample{}
			checker := &tokenChecker{expected: testGenerator, sample: &sample}
			for _, text := range test.texts {
				checker.verify(text)
			}
			checker.finish(5)
			assert.Equal(t, test.wrong, sample.WrongAnswer)
		})
	}
}

// TestCheckPromisesDetectsEachBrokenPromise passes samples that keep every promise,
// then one broken sample for each promise.
func TestCheckPromisesDetectsEachBrokenPromise(t *testing.T) {
	team := &Team{Name: "t"}
	prompt := &Arrival{Team: team, Prompt: &Prompt{Tokens: 10, AnswerTokens: 5}, Timeout: time.Second}
	call := &Arrival{Team: team, Call: &Call{Key: "k"}, Timeout: time.Second}
	goodSamples := []Sample{
		{Arrival: prompt, Outcome: request.Completed, Tokens: 5, Seed: 1},
		{Arrival: call, Outcome: request.Completed, Key: "k"},
		{Arrival: call, Outcome: request.NotRun, Key: "k2"},
	}
	evidence := Evidence{
		AnswerRuns: map[uint64]int64{1: 1, 2: 1}, KeyRuns: map[string]int64{"k": 1, "twice": 2},
		Engines: []EngineEvidence{{Server: "e"}},
	}
	for _, promise := range CheckPromises(goodSamples, evidence) {
		assert.Positive(t, promise.Checked, promise.Name)
		assert.Zero(t, promise.Broken, promise.Name)
	}
	brokenSamples := []Sample{
		{Arrival: prompt, Outcome: request.Failed, TotalTime: time.Hour},
		{Arrival: prompt, Outcome: request.Completed, WrongAnswer: true},
		{Arrival: prompt, Outcome: request.NotRun, Seed: 2},
		{Arrival: call, Outcome: request.Unknown, Key: "twice"},
		{Arrival: call, Outcome: request.Completed, Key: "never"},
	}
	evidence.Engines[0].Counters = engine.Counters{MemoryTokens: 7}
	for i, promise := range CheckPromises(brokenSamples, evidence) {
		assert.EqualValues(t, 1, promise.Broken, "%d %s", i, promise.Name)
	}
	assert.EqualValues(t, 1, CheckPromises([]Sample{{Arrival: prompt}}, evidence)[0].Broken, "a sample without an outcome must break the promise")
	late := Sample{Arrival: prompt, Outcome: request.Failed, TotalTime: 4 * time.Second, SendLag: 2500 * time.Millisecond}
	assert.Zero(t, CheckPromises([]Sample{late}, evidence)[0].Broken, "the send lag of the client must not count")
	late.SendLag = 0
	assert.EqualValues(t, 1, CheckPromises([]Sample{late}, evidence)[0].Broken)
}

func TestBoundDropsTheLargestRequest(t *testing.T) {
	scenario := &Scenario{}
	scenario.Fleet = Fleet{Zones: []string{"a"}, EnginesPerZone: 1}
	scenario.Fleet.Engine = EngineConfig{PrefillTimePerToken: jsonc.Duration(time.Millisecond), ChunkTokens: 1}
	team := &Team{}
	arrival := func(tokens int64, deadline time.Duration) Arrival {
		return Arrival{Peak: true, Team: team, Prompt: &Prompt{Tokens: tokens}, Timeout: deadline}
	}
	bound := ComputeBound(scenario, []Arrival{
		arrival(900, time.Second), arrival(300, time.Second), arrival(300, time.Second), arrival(300, 2*time.Second),
	})
	assert.Equal(t, Bound{Offered: 4, InTime: 3, DemandSeconds: 1.8, CapacitySeconds: 2}, bound)
}

func TestWorstSecondHasTheLowestGoodputOfThePeak(t *testing.T) {
	team := &Team{Name: "t"}
	sample := func(at time.Duration, peak bool, outcome request.Outcome) Sample {
		return Sample{Outcome: outcome, Arrival: &Arrival{At: at, Peak: peak, Team: team, Call: &Call{}, Timeout: time.Second}}
	}
	m := Measure([]Sample{
		sample(0, false, request.Failed), sample(time.Second, true, request.Completed),
		sample(2*time.Second, true, request.Completed), sample(2*time.Second, true, request.NotRun),
	})
	assert.Equal(t, 2, m.WorstSecond.Second)
	assert.InDelta(t, 0.5, m.WorstSecond.RequestFraction(), 1e-9)
	assert.InDelta(t, 2.0/3, m.Peak.RequestFraction(), 1e-9)
}

func TestSendsOfOneKeyCountAsOneRequest(t *testing.T) {
	call := &Arrival{Peak: true, Team: &Team{Name: "t"}, Call: &Call{}, Timeout: time.Second}
	m := Measure([]Sample{
		{Arrival: call, Key: "a", Outcome: request.NotSent}, {Arrival: call, Key: "a", Outcome: request.Completed},
		{Arrival: call, Key: "b", Outcome: request.NotSent}, {Arrival: call, Key: "b", Outcome: request.NotSent},
		{Arrival: call, Outcome: request.Completed}, {Arrival: call, Outcome: request.Completed},
	})
	assert.EqualValues(t, 4, m.Peak.Offered)
	assert.EqualValues(t, 3, m.Peak.InTime)
	assert.EqualValues(t, 3, m.Outcomes.NotSent, "outcomes must count each send")
}

func TestReportIsWrittenAsPlotJSONAndTable(t *testing.T) {
	scenario := loadScenario(t, "tidewake").Scaled(0.1)
	arrivals := scenario.Schedule(true)
	samples := make([]Sample, len(arrivals))
	for i := range arrivals {
		samples[i] = Sample{Arrival: &arrivals[i], Outcome: request.Completed, FirstToken: time.Duration(i+1) * time.Millisecond}
	}
	measures := Measure(samples)
	report := &Report{Scenario: "tidewake", Runs: []RunReport{{Policy: "two_choices", WithLong: measures, WithoutLong: &measures}}}
	require.NoError(t, report.WritePlot(filepath.Join(t.TempDir(), "plot.svg")))
	require.NoError(t, report.WriteJSON(filepath.Join(t.TempDir(), "report.json")))
	var table strings.Builder
	require.NoError(t, report.WriteTable(&table))
	assert.Contains(t, table.String(), "families")
}

func TestStalledBetweenCountsOnlyTheOverlap(t *testing.T) {
	monitor, start := &stallMonitor{}, time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	monitor.record(at(1), at(1.005)) // below minStall
	monitor.record(at(2), at(3))
	monitor.record(at(5), at(6))
	assert.Equal(t, 500*time.Millisecond, monitor.stalledBetween(at(0), at(2.5)))
	assert.Equal(t, 750*time.Millisecond, monitor.stalledBetween(at(2.5), at(5.25)))
	assert.Zero(t, monitor.stalledBetween(at(3), at(5)))
}
