package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// A limit that a server stated to one entry VM was not kept by the others, nor by the control VM that places the requests.
func TestLimitStatedToOneEntryVMIsKnownToAll(t *testing.T) {
	group := startGroup(t, "a", "b")
	links := group.startLinks(t, 4, "a", "b")
	announceServer(t, group.hubs[0])
	var server roster.Server
	for _, link := range links {
		waitFor(t, 5*time.Second, "the server", func() (found bool) {
			server, found = link.Find("s1")
			return found
		})
	}
	limits := func(perSecond float64, limited bool) func() bool {
		return func() bool {
			for _, h := range group.hubs {
				same := false
				h.inspect(t, func(c *core) {
					got, has := c.limits.Of(server)
					same = got == perSecond && has == limited
				})
				if !same {
					return false
				}
			}
			return true
		}
	}
	known := func(count int64) func() bool {
		return func() bool {
			for _, link := range links {
				if link.limitsKnown.Load() != count {
					return false
				}
			}
			return true
		}
	}
	state := func(link *Link, limit serverstate.LimitStatement, perSecond float64) {
		link.RecordStatement(server, serverstate.Statement{Limit: limit, PerSecond: perSecond})
	}
	for _, link := range links {
		state(link, serverstate.LimitNone, 0)
	}
	require.True(t, known(0)(), "nothing to tell")
	const noticeTime = 500 * time.Millisecond // from the answer to the time from which the limit binds all VMs
	state(links[0], serverstate.LimitStated, 1.5)
	waitFor(t, noticeTime, "the limit at all VMs", func() bool { return limits(1.5, true)() && known(1)() })
	state(links[3], serverstate.LimitStated, 0)
	waitFor(t, noticeTime, "a lower limit", limits(0, true))
	state(links[1], serverstate.LimitNone, 0)
	waitFor(t, noticeTime, "the end of the limit", limits(0, false))
	state(links[2], serverstate.LimitStated, 3)
	waitFor(t, noticeTime, "a limit", limits(3, true))

	late := group.startLinks(t, 1, "b")[0]
	waitFor(t, 5*time.Second, "the limit at an entry VM that starts later", func() bool { return late.limitsKnown.Load() == 1 })
	restarted := server
	restarted.StartedAt, restarted.Sequence, restarted.LastSeen = server.StartedAt.Add(time.Minute), 1, time.Now()
	require.NoError(t, group.hubs[0].Announce(t.Context(), restarted))
	waitFor(t, 5*time.Second, "no limit after a new start of the server", func() bool { return known(0)() && late.limitsKnown.Load() == 0 })
}
