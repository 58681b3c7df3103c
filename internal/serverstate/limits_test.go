package serverstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/roster"
)

func TestLatestStatementOfALimitCounts(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	server := roster.Server{ID: "s", StartedAt: start, State: roster.StateReady}
	limit := func(ms int, perSecond float64) Limit {
		return Limit{Server: "s", StartedAt: start, Stated: true, PerSecond: perSecond, StatedAt: at(ms)}
	}
	none := func(ms int) Limit { return Limit{Server: "s", StartedAt: start, StatedAt: at(ms)} }
	l := NewLimits()
	require.False(t, l.Merge(none(0)), "the end of an unknown limit")
	require.Zero(t, l.Len())
	require.True(t, l.Merge(limit(100, 2)))
	require.False(t, l.Merge(limit(200, 2)), "said again")
	require.False(t, l.Merge(none(150)), "an earlier answer that arrives late")
	perSecond, limited := l.Of(server)
	require.True(t, limited)
	require.InDelta(t, 2, perSecond, 0)
	require.True(t, l.Merge(limit(300, 0)), "a limit of 0 is a limit")
	_, limited = l.Of(server)
	require.True(t, limited)
	require.True(t, l.Merge(none(400)))
	_, limited = l.Of(server)
	require.False(t, limited)
	require.False(t, l.Merge(limit(350, 2)), "an earlier answer that arrives late")

	require.True(t, l.Merge(limit(500, 3)))
	restarted := server
	restarted.StartedAt = start.Add(time.Second)
	_, limited = l.Of(restarted)
	require.False(t, limited, "the limit was that of the earlier process")
	require.True(t, l.Merge(Limit{Server: "s", StartedAt: restarted.StartedAt, Stated: true, PerSecond: 1, StatedAt: at(600)}))
	require.False(t, l.Merge(limit(700, 3)), "an answer of the earlier process")
}

func TestLimitsOfServersThatAreGoneAreForgotten(t *testing.T) {
	start := time.Unix(1000, 0)
	l := NewLimits()
	servers := map[string]roster.Server{}
	for _, id := range []string{"stays", "gone", "restarted", "ended"} {
		l.Merge(Limit{Server: id, StartedAt: start, Stated: true, PerSecond: 1, StatedAt: start})
		servers[id] = roster.Server{ID: id, StartedAt: start, State: roster.StateReady}
	}
	l.Merge(Limit{Server: "ended", StartedAt: start, StatedAt: start.Add(time.Second)})
	delete(servers, "gone")
	servers["restarted"] = roster.Server{ID: "restarted", StartedAt: start.Add(time.Minute), State: roster.StateReady}
	find := func(id string) (roster.Server, bool) { server, found := servers[id]; return server, found }
	l.Sweep(start.Add(2*time.Second), find)
	require.Equal(t, 3, l.Len())
	l.Sweep(start.Add(retention+2*time.Second), find)
	require.Equal(t, []Limit{{Server: "stays", StartedAt: start, Stated: true, PerSecond: 1, StatedAt: start}}, l.All())
}

// A server that names a slightly different limit in each answer made all VMs pass on each of them.
func TestLimitThatVariesALittleIsNotPassedOn(t *testing.T) {
	start := time.Unix(1000, 0)
	server := roster.Server{ID: "s", StartedAt: start}
	l := NewLimits()
	merge := func(ms int, perSecond float64) bool {
		return l.Merge(Limit{Server: "s", StartedAt: start, Stated: true, PerSecond: perSecond, StatedAt: start.Add(time.Duration(ms) * time.Millisecond)})
	}
	require.True(t, merge(1, 10))
	for i, perSecond := range []float64{10.5, 9.3, 10.9, 9.1} {
		require.False(t, merge(2+i, perSecond), "%v", perSecond)
	}
	held, _ := l.Of(server)
	require.InDelta(t, 10, held, 0)
	require.True(t, merge(10, 11.5))
	require.False(t, merge(11, 10.6), "compared with the limit that is held, not with the last one")
	require.True(t, merge(12, 9.9))
	require.True(t, merge(13, 0))
	require.True(t, merge(14, 0.01))
}
