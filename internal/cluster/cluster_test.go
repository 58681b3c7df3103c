package cluster

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

// smallScenario returns the scenario of the demo, reduced to one zone with two engines and
// one second at a low rate.
func smallScenario(t *testing.T) *load.Scenario {
	t.Helper()
	scenario, findings, err := load.ReadScenario("../demo/files/demo.json")
	require.NoError(t, err)
	require.Empty(t, findings)
	scenario.Fleet.ZoneDelay = 0
	scenario.Fleet.Zones, scenario.Fleet.EnginesPerZone = []string{"a"}, 2
	scenario.Phases = []load.Phase{{Name: "only", Duration: jsonc.Duration(1e9), Rate: 20, Peak: true}}
	return scenario.Scaled(1)
}

// TestMalformedEngineAnswersNeverReachCallers makes one of two engines send each kind of
// malformed stream, and checks that callers get only correct answers and that every other
// promise is kept.
func TestMalformedEngineAnswersNeverReachCallers(t *testing.T) {
	options := Options{Scenario: smallScenario(t), Policy: settings.PolicyRoundRobin, Logger: zerolog.Nop()}
	c, err := Start(t.Context(), options)
	require.NoError(t, err)
	defer c.Close()
	for _, kind := range []fault.Kind{fault.Crossed, fault.Cut, fault.Repeat, fault.Leak} {
		require.NoError(t, c.Standins.Engines[0].SetFault(fault.Fault{Kind: kind, Count: 2, AfterTokens: 1}))
	}
	samples := load.Offer(t.Context(), options.Scenario, options.Scenario.Schedule(false), c.Target(), "test", nil)
	completed := 0
	for i := range samples {
		if samples[i].Outcome == request.Completed {
			completed++
		}
	}
	require.NotZero(t, completed)
	for _, promise := range load.CheckPromises(samples, c.Standins.Evidence(t.Context())) {
		require.Zero(t, promise.Broken, "%s: %v", promise.Name, promise.Examples)
	}
	require.Empty(t, c.Standins.Engines[0].Faults(), "not every fault was applied to its number of calls")
	require.NoError(t, c.StopEntryVMs(t.Context()))
}

// TestDelayLinksDelayOnlyOtherZones checks that a VM of the same zone is addressed directly
// and that a round trip to a VM of another zone takes at least twice the delay.
func TestDelayLinksDelayOnlyOtherZones(t *testing.T) {
	scenario := smallScenario(t)
	scenario.Fleet.Zones, scenario.Fleet.ZoneDelay = []string{"a", "b"}, jsonc.Duration(20*time.Millisecond)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer echo.Close()
	go func() {
		for {
			connection, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	receiver := settings.Peer{Name: "entry-b1", Zone: "b", Internal: echo.Addr().String()}
	links, err := openDelayLinks(scenario, []*vm{{peer: receiver}})
	require.NoError(t, err)
	defer links.close()
	require.Equal(t, receiver.Internal, links.address("b", receiver))
	connection, err := net.Dial("tcp", links.address("a", receiver))
	require.NoError(t, err)
	defer connection.Close()
	started := time.Now()
	_, err = connection.Write([]byte("tide"))
	require.NoError(t, err)
	_, err = io.ReadFull(connection, make([]byte, 4))
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(started), 40*time.Millisecond)
}
