package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSharesAreNeverGrantedTwiceUnderRandomPartitions cuts and restores links in single
// directions, restarts VMs and advances the time in uneven steps. No share may be granted
// twice.
func TestSharesAreNeverGrantedTwiceUnderRandomPartitions(t *testing.T) {
	servers := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		z := newZone(names...)
		type link struct{ from, to string }
		down := map[link]bool{}
		z.cut = func(from, to string) bool { return down[link{from, to}] }
		for range rapid.IntRange(20, 120).Draw(t, "ticks") {
			switch rapid.IntRange(0, 9).Draw(t, "change") {
			case 0, 1, 2:
				from := rapid.SampledFrom(names).Draw(t, "from")
				to := rapid.SampledFrom(names).Draw(t, "to")
				down[link{from, to}] = !down[link{from, to}]
			case 3:
				clear(down)
			case 4:
				restarted := rapid.SampledFrom(names).Draw(t, "restarted")
				z.members[restarted] = NewMembers(restarted, names, term)
			}
			z.tick(time.Duration(rapid.IntRange(1, 8).Draw(t, "step")) * term / 8)
			for _, server := range servers {
				require.LessOrEqual(t, z.grantableShares(server), len(names), server)
			}
		}
	})
}
