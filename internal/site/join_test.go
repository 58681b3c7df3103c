package site

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A control VM asked one address after the other to join the group, and waited for each that did not answer.
func TestControlVMJoinsThroughTheSeedThatAnswers(t *testing.T) {
	g := newControlGroup(t)
	for _, n := range []int{0, 2} { // gone without a word: connections open and nothing answers
		silent, err := net.Listen("tcp", net.JoinHostPort(g.address(n), g.portText()))
		require.NoError(t, err)
		t.Cleanup(func() { _ = silent.Close() })
	}
	seeds := g.seeds
	g.seeds = seeds[1:2]
	member := g.start(1, t.TempDir(), true)
	g.put(member, 1, 10*time.Second)
	g.seeds = seeds
	joiner := g.start(3, t.TempDir(), false)
	require.Eventually(t, func() bool { return joiner.replica.Load() != nil }, 5*time.Second, 5*time.Millisecond)
	for tick := range 3 {
		startedAt := time.Now()
		require.NoError(t, joiner.requestJoin(context.Background(), joiner.replica.Load(), tick))
		require.Less(t, time.Since(startedAt), joinInterval)
	}
}
