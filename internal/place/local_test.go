package place

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/settings"
)

type staticView []Server

func (v staticView) Engines(string, string, time.Time) []Server { return v }

func testServers(count int) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("engine-%03d", i), Role: backendapi.RoleMixed, MemoryTokens: 100_000}
	}
	return servers
}

func testPlacer(t testing.TB, policy settings.Policy, servers []Server) Placer {
	t.Helper()
	placer, err := New(Options{Policy: policy, View: staticView(servers), Seed: 1, Clock: func() time.Time { return time.Unix(0, 0) }})
	require.NoError(t, err)
	return placer
}

func TestLocalPoliciesDistributeQueriesEvenly(t *testing.T) {
	for _, policy := range []settings.Policy{settings.PolicyRoundRobin, settings.PolicyLeastInFlight, settings.PolicyTwoChoices} {
		t.Run(string(policy), func(t *testing.T) {
			placer := testPlacer(t, policy, testServers(3))
			counts := map[string]int{}
			for range 300 {
				placement, err := placer.Place(context.Background(), Query{PromptTokens: 10})
				require.NoError(t, err)
				counts[placement.Server().ID]++
			}
			for server, count := range counts {
				assert.InDelta(t, 100, count, 25, server)
			}
			assert.Len(t, counts, 3)
		})
	}
}

func TestPlaceSkipsIneligibleServers(t *testing.T) {
	servers := testServers(4)
	servers[0].MemoryTokens = 1000
	servers[1].Role = backendapi.RoleDecode
	placer := testPlacer(t, settings.PolicyRoundRobin, servers)
	query := Query{PromptTokens: 900, AnswerTokens: 200, Exclude: []string{servers[2].ID}}
	for range 5 {
		placement, err := placer.Place(context.Background(), query)
		require.NoError(t, err)
		assert.Equal(t, servers[3].ID, placement.Server().ID)
	}
	query.Exclude = append(query.Exclude, servers[3].ID)
	_, err := placer.Place(context.Background(), query)
	require.ErrorIs(t, err, ErrNoServer)
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Positive(t, refused.RetryAfter)
}

func TestFinishDecrementsInFlightOnce(t *testing.T) {
	placer := testPlacer(t, settings.PolicyLeastInFlight, testServers(2))
	first, err := placer.Place(context.Background(), Query{})
	require.NoError(t, err)
	second, err := placer.Place(context.Background(), Query{})
	require.NoError(t, err)
	second.Finish(AttemptResult{})
	second.Finish(AttemptResult{})
	third, err := placer.Place(context.Background(), Query{})
	require.NoError(t, err)
	assert.NotEqual(t, first.Server().ID, third.Server().ID)
}

func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{15, 150, 600} {
		for _, policy := range []settings.Policy{settings.PolicyRoundRobin, settings.PolicyLeastInFlight, settings.PolicyTwoChoices} {
			b.Run(fmt.Sprintf("%s/servers=%d", policy, count), func(b *testing.B) {
				placer := testPlacer(b, policy, testServers(count))
				b.ReportAllocs()
				for b.Loop() {
					placement, err := placer.Place(context.Background(), Query{PromptTokens: 1000})
					if err != nil {
						b.Fatal(err)
					}
					placement.Finish(AttemptResult{})
				}
			})
		}
	}
}
