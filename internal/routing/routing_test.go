package routing

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/limit"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/standin/engine"
)

const (
	testTerm = 200 * time.Millisecond
	// eventTimeout limits how long a test waits for an expected state. It is no bound on
	// the duration itself.
	eventTimeout = 20 * time.Second
	testTick     = 10 * time.Millisecond
)

// testZone has two entry VMs and two stand-in engines.
type testZone struct {
	t         *testing.T
	processes map[string]*process.Process
	routing   map[string]*Routing
	engines   []*engine.Server
}

func startZone(t *testing.T, policy settings.Policy) *testZone {
	z := &testZone{t: t, processes: map[string]*process.Process{}, routing: map[string]*Routing{}}
	listeners := map[string]process.Listeners{}
	var peers []settings.Peer
	for _, name := range []string{"vm-1", "vm-2"} {
		opened := process.Listeners{Callers: listen(t), Backends: listen(t), Internal: listen(t)}
		listeners[name] = opened
		peers = append(peers, settings.Peer{Name: name, Zone: "a", Internal: opened.Internal.Addr().String(), Backends: opened.Backends.Addr().String()})
	}
	for _, peer := range peers {
		z.startVM(peer, peers, listeners[peer.Name], policy)
	}
	for i := range 2 {
		z.startEngine(i, peers)
	}
	z.eventually(func() bool {
		for _, r := range z.routing {
			if len(r.host.Fleet.All(time.Now())) < len(z.engines) {
				return false
			}
		}
		return true
	}, "both entry VMs list all engines")
	return z
}

func listen(t *testing.T) net.Listener {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return opened
}

func (z *testZone) startVM(self settings.Peer, peers []settings.Peer, listeners process.Listeners, policy settings.Policy) {
	config := settings.Defaults()
	config.Cluster = "test"
	config.VM = settings.VM{Name: self.Name, Zone: self.Zone}
	config.Roles = []settings.Role{settings.RoleEntry}
	config.Listen = settings.Listen{Callers: listeners.Callers.Addr().String(), Backends: self.Backends, Internal: self.Internal}
	config.EntryVMs = peers
	config.Routing.Policy, config.Routing.LeaseTerm = policy, jsonc.Duration(testTerm)
	config.Shutdown.BalancerWait = jsonc.Duration(time.Millisecond)
	file, err := filepath.Abs("../../examples/bundle.json")
	require.NoError(z.t, err)
	config.BundleFile = file
	build := func(host *process.Host) (process.Component, error) {
		component, err := Build(host)
		if err == nil {
			z.routing[self.Name] = component.(*Routing)
		}
		return component, err
	}
	started, err := process.Start(z.t.Context(), process.Options{
		Settings: &config, Logger: zerolog.Nop(), Listeners: listeners, Builders: []process.Builder{build},
	})
	require.NoError(z.t, err)
	z.t.Cleanup(started.Kill)
	z.processes[self.Name] = started
}

func (z *testZone) startEngine(number int, peers []settings.Peer) {
	config := engine.DefaultConfig()
	config.ServerID, config.Zone, config.Listen = fmt.Sprintf("engine-%d", number), "a", "127.0.0.1:0"
	config.Models = []backendapi.ServedModel{{Name: "scribe", Version: "1"}}
	config.MinDrainTime = 0
	for _, peer := range peers {
		config.Seeds = append(config.Seeds, peer.Backends)
	}
	started, err := engine.Start(config, zerolog.Nop())
	require.NoError(z.t, err)
	z.t.Cleanup(started.Close)
	z.engines = append(z.engines, started)
}

func (z *testZone) eventually(condition func() bool, what string) {
	require.Eventually(z.t, condition, eventTimeout, testTick, what)
}

// sendPrompt sends a completion request to a VM and returns the HTTP status.
func (z *testZone) sendPrompt(vm string) int {
	body := `{"model":"scribe","prompt":"` + strings.Repeat("tide", 500) + `","max_tokens":4}`
	request, err := http.NewRequest(http.MethodPost, "http://"+z.processes[vm].Addresses().Callers+backendapi.PathCompletions, strings.NewReader(body))
	require.NoError(z.t, err)
	request.Header.Set("Authorization", "Bearer key-families")
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(z.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(z.t, err)
	require.NoError(z.t, response.Body.Close())
	if response.StatusCode != http.StatusOK {
		z.t.Logf("%s answered %d: %s", vm, response.StatusCode, text)
	}
	return response.StatusCode
}

// scheduler returns the name of the VM that schedules the engines, and the name of the other VM.
func (z *testZone) scheduler() (scheduler, other string) {
	names := z.routing["vm-1"].vmNames()
	if capacity.Scheduler("scribe", names) == names[0] {
		return names[0], names[1]
	}
	return names[1], names[0]
}

// usage returns the sum over the engines that a VM schedules. Long covers all leased memory, also
// that of short requests.
func (z *testZone) usage(vm string) (sum capacity.Usage) {
	for _, usage := range z.routing[vm].service.Usage() {
		sum.Limit += usage.Limit
		sum.Memory += usage.Memory
		sum.Long += usage.Leased()
		sum.Orphans += usage.Orphans
	}
	return sum
}

// granted returns the number of lease requests of a VM that were granted.
func (z *testZone) granted(vm string) int64 {
	return z.processes[vm].Host().Metrics.Counter("godwityoke_lease_requests_total", resultLabel("granted")).Count()
}

// While the scheduler VM is down, the other VM must serve requests without leases. It
// may grant leases again on its half of the memory only: on a network partition the
// scheduler would still grant the other half.
func TestRequestsRunUnderLeasesAndWithoutScheduler(t *testing.T) {
	z := startZone(t, settings.PolicyLeases)
	scheduler, other := z.scheduler()
	z.eventually(func() bool { u := z.usage(scheduler); return u.Limit > 0 && u.Limit == u.Memory }, "the scheduler grants all memory")
	for range 5 {
		assert.Equal(t, http.StatusOK, z.sendPrompt(scheduler))
		assert.Equal(t, http.StatusOK, z.sendPrompt(other))
	}
	assert.Positive(t, z.granted(scheduler))
	assert.Positive(t, z.granted(other), "leases over the network")
	z.eventually(func() bool { u := z.usage(scheduler); return u.Long == 0 && u.Orphans == 0 }, "all leased memory is released")

	z.processes[scheduler].Kill()
	for range 5 {
		assert.Equal(t, http.StatusOK, z.sendPrompt(other), "without a scheduler")
	}
	z.eventually(func() bool { return z.usage(other).Limit > 0 }, "the other VM grants leases")
	assert.Equal(t, z.usage(other).Memory/2, z.usage(other).Limit)
	before := z.granted(other)
	assert.Equal(t, http.StatusOK, z.sendPrompt(other))
	assert.Greater(t, z.granted(other), before)
}

func TestPoliciesWithoutLeasesServe(t *testing.T) {
	for _, policy := range []settings.Policy{settings.PolicyRoundRobin, settings.PolicyLeastInFlight, settings.PolicyTwoChoices} {
		t.Run(string(policy), func(t *testing.T) {
			z := startZone(t, policy)
			for range 4 {
				assert.Equal(t, http.StatusOK, z.sendPrompt("vm-1"))
			}
			assert.Nil(t, z.routing["vm-1"].service)
		})
	}
}

// The total of a team must count both VMs that serve it and a third VM, "probe", whose report
// the test makes itself.
func TestDemandTotalsIncludeAllVMs(t *testing.T) {
	z := startZone(t, settings.PolicyTwoChoices)
	home := capacity.Scheduler("families", z.routing["vm-1"].vmNames())
	z.eventually(func() bool {
		z.sendPrompt("vm-1")
		z.sendPrompt("vm-2")
		return z.routing[home].demand.aggregate("probe", []limit.Demand{{Team: "families"}})[0].VMs == 3
	}, "the total counts both VMs and the probe")
}
