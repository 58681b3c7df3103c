package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func spend(b *Budget, team string, now time.Time) int {
	count := 0
	for b.TrySpend(team, now) {
		count++
	}
	return count
}

func TestBudgetIsAShareOfSuccesses(t *testing.T) {
	b, now := NewBudget(), time.Unix(0, 0)
	require.Equal(t, teamReserve, spend(b, "one", now))
	require.Equal(t, teamReserve, spend(b, "two", now))
	require.Equal(t, vmReserve-2*teamReserve, spend(b, "three", now), "the VM's reserve")
	for range 40 {
		b.RecordSuccess("one", 25)
	}
	require.Equal(t, 10, spend(b, "one", now), "25 % of 40 successes")
	require.Zero(t, spend(b, "two", now), "another team's successes do not help")
	require.Equal(t, teamReserve, spend(b, "two", now.Add(reserveRefill)), "the reserve fills again")
}
