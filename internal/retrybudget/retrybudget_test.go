package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The retries of all VMs in any window must not exceed the ratio of the first
// attempts plus the allowance, however the traffic is distributed over the VMs.
func TestRetriesStayWithinTheBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, window = 4, 10 * time.Second
		options := Options{Ratio: 0.2, Allowance: 20, Window: window}
		start := time.Unix(1_000_000, 0)
		budgets := make([]*Budget, vms)
		for i := range budgets {
			budgets[i] = New(options, start)
		}
		type event struct {
			at      time.Time
			isRetry bool
		}
		var events []event
		now := start
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			budget := budgets[vm]
			switch rapid.IntRange(0, 60).Draw(t, "restart") {
			case 0: // a restarted process does not know the retries before it
				budgets[vm] = New(options, now)
				continue
			case 1: // a burst of failures
				for range 10 {
					if budget.TryRetry(now, vms) {
						events = append(events, event{now, true})
					}
				}
				continue
			}
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				budget.RecordFirstAttempt(now)
				events = append(events, event{now, false})
			} else if budget.TryRetry(now, vms) {
				events = append(events, event{now, true})
			}
		}
		for i := range events {
			firstAttempts, retries := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(events[i].at) >= window {
					break
				}
				if e.isRetry {
					retries++
				} else {
					firstAttempts++
				}
			}
			// First attempts of the window before this one count, too, as the platform
			// counts them.
			for _, e := range events[:i] {
				if events[i].at.Sub(e.at) < window && !e.isRetry {
					firstAttempts++
				}
			}
			require.LessOrEqual(t, float64(retries), options.Ratio*float64(firstAttempts)+options.Allowance)
		}
	})
}

// After a time without requests that exceeds all buckets, the allowance must be
// available again.
func TestIdleTimeRestoresTheAllowance(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := New(Options{Ratio: 0.2, Allowance: 5, Window: 10 * time.Second}, now)
	require.False(t, b.TryRetry(now, 1), "an earlier process may have spent the allowance")
	now = now.Add(10 * time.Second)
	for b.TryRetry(now, 1) {
	}
	require.False(t, b.TryRetry(now.Add(time.Second), 1))
	require.True(t, b.TryRetry(now.Add(time.Hour), 1))
}
