package routes

import (
	"fmt"
	"time"
)

// Limits on the figures of an engine, within which the estimates of the scheduler neither overflow nor stand still.
const (
	maxEngineSlots = 1 << 16
	maxMemory      = int(1e10) // tokens
	maxPassSteps   = 1e5
	// minPassTime and maxPassTime limit the duration of a pass without prefill: with one sequence that has no context,
	// and with all slots and the whole memory in use.
	minPassTime       = 100 * time.Microsecond
	maxPassTime       = time.Hour
	maxPrefillTime    = time.Second // per token
	maxPrefillPerPair = 1e3         // ns
)

// Check returns an error, with the value that caused it, for figures with which the scheduler cannot calculate. They must
// not be negative.
func (e *Engine) Check() error {
	outOfRange := func(name string, value any) error { return fmt.Errorf("%w: engine: %s %v", ErrInvalid, name, value) }
	steps := float64(e.StepsPerPass)
	fullPass := steps * (float64(e.StepTime) + float64(e.Slots)*float64(e.StepTimePerSequence) +
		float64(e.MemoryTokens)*float64(e.StepTimePerContextToken))
	switch {
	case e.Slots <= 0 || e.Slots > maxEngineSlots:
		return outOfRange("slots", e.Slots)
	case e.MemoryTokens <= 0 || e.MemoryTokens > maxMemory:
		return outOfRange("memory in tokens", e.MemoryTokens)
	case e.StepsPerPass <= 0 || steps > maxPassSteps:
		return outOfRange("steps per pass", e.StepsPerPass)
	case e.ChunkTokens < 0:
		return outOfRange("chunk", e.ChunkTokens)
	case e.StepTimePerSequence < 0 || e.StepTimePerContextToken < 0 || steps*float64(e.StepTime) < float64(minPassTime):
		return outOfRange("step time", e.StepTime)
	case fullPass > float64(maxPassTime):
		return outOfRange("time of a full pass", time.Duration(min(fullPass, float64(maxPassTime*1e4))))
	case e.PrefillTimePerToken < 0 || e.PrefillTimePerToken > maxPrefillTime:
		return outOfRange("prefill time per token", e.PrefillTimePerToken)
	case e.PrefillNsPerTokenPair < 0 || e.PrefillNsPerTokenPair > maxPrefillPerPair:
		return outOfRange("prefill time per pair", e.PrefillNsPerTokenPair)
	}
	return nil
}
