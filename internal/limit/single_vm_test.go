package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
)

// TestLimitsOfOneVM checks when the limits admit requests in a zone with one
// entry VM, and that the limits of one team do not affect another.
func TestLimitsOfOneVM(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := []struct {
		name   string
		limits bundle.TeamLimits
		tokens int64
		// starts are the times of the requests in seconds; admitted tells which
		// of them pass.
		starts   []float64
		admitted []bool
	}{
		{"no limits", bundle.TeamLimits{}, 1 << 20, []float64{0, 0, 0}, []bool{true, true, true}},
		{"requests", bundle.TeamLimits{RequestsPerSecond: 1}, 1, []float64{0, 0, 0, 1.1, 1.1}, []bool{true, true, false, true, false}},
		{"tokens beyond the burst pass once", bundle.TeamLimits{TokensPerSecond: 10}, 100, []float64{0, 1, 9.9, 10.1}, []bool{true, false, false, true}},
		{"concurrent", bundle.TeamLimits{ConcurrentRequests: 2}, 1, []float64{0, 0, 0}, []bool{true, true, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limiter := New(1)
			team := &bundle.Team{Name: "families", Limits: c.limits}
			for i, second := range c.starts {
				_, retryAfter, ok := limiter.Admit(team, c.tokens, at(second))
				require.Equal(t, c.admitted[i], ok, "request %d", i)
				require.Equal(t, ok, retryAfter == 0)
			}
			_, _, ok := limiter.Admit(&bundle.Team{Name: "other", Limits: c.limits}, c.tokens, at(0))
			require.True(t, ok, "another team")
		})
	}
}

// TestReleaseMakesRoomAndRetryAfterIsExact checks that a released request does
// not count as concurrent, and that the next one is refused just before the
// announced retry time and admitted just after it.
func TestReleaseMakesRoomAndRetryAfterIsExact(t *testing.T) {
	limiter, now := New(1), time.Unix(0, 0)
	team := &bundle.Team{Name: "families", Limits: bundle.TeamLimits{ConcurrentRequests: 1, TokensPerSecond: 10}}
	release, _, ok := limiter.Admit(team, 120, now)
	require.True(t, ok)
	release()
	_, retryAfter, ok := limiter.Admit(team, 1, now)
	require.False(t, ok)
	_, _, ok = limiter.Admit(team, 1, now.Add(retryAfter-2*time.Millisecond))
	require.False(t, ok)
	_, _, ok = limiter.Admit(team, 1, now.Add(retryAfter+2*time.Millisecond))
	require.True(t, ok)
}
