package hub

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// applyTarget is the time from the acknowledgement of a route table until it is in force (config_apply_ms of the platform).
const applyTarget = 2 * time.Second

// A control VM that took itself for the leader, or knew none, kept its entry VMs on its own older table, since it compared
// versions with a leader's replies only.
func TestControlVMWithoutAStreamToTheLeaderGetsNewerTables(t *testing.T) {
	for name, leaderOf := range map[string]func(self string) string{
		"takes itself for the leader": func(self string) string { return self },
		"knows no leader":             func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := listen(t), listen(t)
			members := []string{first.Addr().String(), second.Addr().String()}
			outdated := startHubIn(t, first, "a", zerolog.Nop(), leaderOf(members[0]), members...)
			other := startHubIn(t, second, "b", zerolog.Nop(), members[1], members...)
			require.NoError(t, other.PutTable(context.Background(), 5, []byte("12345")))
			waitFor(t, applyTarget, "version 5 in force", func() bool {
				reply, err := outdated.tableInForce(t.Context(), 0)
				return err == nil && reply.GetTable().GetVersion() == 5
			})
		})
	}
}
