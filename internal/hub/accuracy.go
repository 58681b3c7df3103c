package hub

import (
	"godwityoke.example/godwityoke/internal/observe"
)

// reportStarts compares the expected first events of requests with the real ones, for the metrics
// and, where the estimate was wrong about the latency target, for the log. Only the leader reports.
func (c *core) reportStarts() {
	for _, start := range c.scheduler.TakeStarts() {
		if !c.isLeader {
			continue
		}
		class, deviation := "late", start.Took-start.Expected
		if deviation < 0 {
			class, deviation = "early", -deviation
		}
		c.options.Metrics.ObserveClass(observe.StartEstimateError, class, deviation)
		if start.Late && !start.ExpectedLate {
			observe.Log(c.options.Logger, observe.StartLaterThanExpected).Str("server", start.Server).Uint64("seq", start.ID.Seq).
				Dur("expected", start.Expected).Dur("took", start.Took).Dur("added_prefill", start.AddedPrefill).Int("helpers", start.Helpers).
				Int("streams", start.Streams).Bool("adopted", start.Adopted).Float64("slowdown", start.Slowdown).Send()
		}
	}
}
