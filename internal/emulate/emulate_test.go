package emulate_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/emulate"
)

// seeds is how many plays a bound is checked on.
const seeds = 6

func play(load emulate.Load) emulate.Tally {
	var mu sync.Mutex
	var running sync.WaitGroup
	var sum emulate.Tally
	for seed := range uint64(seeds) {
		running.Go(func() {
			total := emulate.Run(load, emulate.StandardFleet(), seed).Total()
			mu.Lock()
			defer mu.Unlock()
			sum.Add(total)
		})
	}
	running.Wait()
	return sum
}

// The bounds are those of docs/PLATFORM.md for a scheduler that keeps to the
// pass of each server and knows all that was sent.
func TestCreditUnderSteadyLoad(t *testing.T) {
	for _, c := range []struct {
		name  string
		scale float64
		bound float64
	}{{"the sheet's load", 1, 0.93}, {"twice the sheet's load", 2, 0.73}} {
		t.Run(c.name, func(t *testing.T) {
			sum := play(emulate.StandardLoad(c.scale))
			require.GreaterOrEqual(t, sum.CreditRatio(), c.bound, "%+v", sum)
		})
	}
}

// Bursts of short and of long requests by turns, as on the heaviest days.
func TestCreditUnderAlternatingBursts(t *testing.T) {
	sum := play(emulate.WithAlternatingBursts(emulate.StandardLoad(1)))
	require.GreaterOrEqual(t, sum.CreditRatio(), 0.90, "%+v", sum)
}

func TestPlaysRepeat(t *testing.T) {
	load := emulate.StandardLoad(1)
	require.Equal(t, emulate.Run(load, emulate.StandardFleet(), 3).Total(), emulate.Run(load, emulate.StandardFleet(), 3).Total())
}

// The grown fleet under the same bursts; its long prompts fill a server each.
func TestCreditOfTheGrownFleetUnderAlternatingBursts(t *testing.T) {
	var sum emulate.Tally
	for seed := range uint64(2) {
		sum.Add(emulate.Run(emulate.WithAlternatingBursts(emulate.GrownLoad(1)), emulate.GrownFleet(), seed).Total())
	}
	require.GreaterOrEqual(t, sum.CreditRatio(), 0.90, "%+v", sum)
	require.LessOrEqual(t, sum.WaitPenalty, 0.05*sum.MaxCredit, "little is held in vain")
}
