package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spendAll takes retries until the budget refuses one, and returns their number.
func spendAll(b *Budget, team string, now time.Time) int {
	count := 0
	for b.TrySpend(team, now) {
		count++
	}
	return count
}

// TestBudgetAllowsAPercentageOfSuccesses checks the initial retries of a team and of
// the VM, the retries that successes of the same team add, and the refill over time.
func TestBudgetAllowsAPercentageOfSuccesses(t *testing.T) {
	b, now := NewBudget(), time.Unix(0, 0)
	require.Equal(t, maxTeamRetries, spendAll(b, "one", now))
	require.Equal(t, maxTeamRetries, spendAll(b, "two", now))
	require.Equal(t, maxVMRetries-2*maxTeamRetries, spendAll(b, "three", now), "the bucket of the VM must limit all teams together")
	for range 40 {
		b.RecordSuccess("one", 25)
	}
	require.Equal(t, 10, spendAll(b, "one", now), "25 % of 40 successes must be allowed")
	require.Zero(t, spendAll(b, "two", now), "successes of another team must not add retries")
	require.Equal(t, maxTeamRetries, spendAll(b, "two", now.Add(budgetRefillTime)), "the bucket must be full after the refill time")
}
