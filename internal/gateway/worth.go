package gateway

import "time"

// answerTokenWeight is how many prompt tokens an answer token counts for.
const answerTokenWeight = 10

// kindWorth is the worth of a mean request by its aim: a caller who accepts a
// longer wait has asked for more work.
type kindWorth struct {
	aim   time.Duration
	worth float64
	// size is the mean size, in prompt tokens.
	size float64
}

// worthOf weighs a stream: the longer its aim, the more its answer is worth,
// and within its kind a share grows with its size.
func worthOf(aim time.Duration, promptTokens, answerTokens int) float64 {
	kinds := []kindWorth{{300 * time.Millisecond, 1.3, 18_700}, {1500 * time.Millisecond, 3.9, 53_000}, {3 * time.Second, 15, 140_000}}
	kind := kinds[0]
	for _, one := range kinds {
		if aim >= one.aim {
			kind = one
		}
	}
	size := float64(promptTokens+answerTokenWeight*answerTokens) / kind.size
	return kind.worth * min(0.3+0.7*size, 4)
}
