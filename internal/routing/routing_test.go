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
	// patience bounds waits for what must happen, not how fast it happens.
	patience = 20 * time.Second
	testTick = 10 * time.Millisecond
)

// system is two entry VMs of one zone and two stand-in engines.
type system struct {
	t         *testing.T
	processes map[string]*process.Process
	routing   map[string]*Routing
	engines   []*engine.Server
}

func startSystem(t *testing.T, policy settings.Policy) *system {
	s := &system{t: t, processes: map[string]*process.Process{}, routing: map[string]*Routing{}}
	listeners := map[string]process.Listeners{}
	var peers []settings.Peer
	for _, name := range []string{"vm-1", "vm-2"} {
		opened := process.Listeners{Callers: listen(t), Backends: listen(t), Internal: listen(t)}
		listeners[name] = opened
		peers = append(peers, settings.Peer{Name: name, Zone: "a", Internal: opened.Internal.Addr().String(), Backends: opened.Backends.Addr().String()})
	}
	for _, peer := range peers {
		s.startVM(peer, peers, listeners[peer.Name], policy)
	}
	for i := range 2 {
		s.startEngine(i, peers)
	}
	s.eventually(func() bool {
		for _, r := range s.routing {
			if len(r.host.Fleet.All(time.Now())) < len(s.engines) {
				return false
			}
		}
		return true
	}, "the engines are known")
	return s
}

func listen(t *testing.T) net.Listener {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return opened
}

func (s *system) startVM(self settings.Peer, peers []settings.Peer, listeners process.Listeners, policy settings.Policy) {
	config := settings.Defaults()
	config.Cluster = "test"
	config.VM = settings.VM{Name: self.Name, Zone: self.Zone}
	config.Roles = []settings.Role{settings.RoleEntry}
	config.Listen = settings.Listen{Callers: listeners.Callers.Addr().String(), Backends: self.Backends, Internal: self.Internal}
	config.EntryVMs = peers
	config.Routing.Policy, config.Routing.LeaseTerm = policy, jsonc.Duration(testTerm)
	config.Shutdown.BalancerWait = jsonc.Duration(time.Millisecond)
	file, err := filepath.Abs("../../examples/bundle.json")
	require.NoError(s.t, err)
	config.BundleFile = file
	build := func(host *process.Host) (process.Part, error) {
		part, err := Build(host)
		if err == nil {
			s.routing[self.Name] = part.(*Routing)
		}
		return part, err
	}
	started, err := process.Start(s.t.Context(), process.Options{
		Settings: &config, Logger: zerolog.Nop(), Listeners: listeners, Builders: []process.Builder{build},
	})
	require.NoError(s.t, err)
	s.t.Cleanup(started.Kill)
	s.processes[self.Name] = started
}

func (s *system) startEngine(number int, peers []settings.Peer) {
	config := engine.DefaultConfig()
	config.ServerID, config.Zone, config.Listen = fmt.Sprintf("engine-%d", number), "a", "127.0.0.1:0"
	config.Models = []backendapi.ServedModel{{Name: "scribe", Version: "1"}}
	config.LeaveWait = 0
	for _, peer := range peers {
		config.Seeds = append(config.Seeds, peer.Backends)
	}
	started, err := engine.Start(config, zerolog.Nop())
	require.NoError(s.t, err)
	s.t.Cleanup(started.Close)
	s.engines = append(s.engines, started)
}

func (s *system) eventually(condition func() bool, what string) {
	require.Eventually(s.t, condition, patience, testTick, what)
}

// ask sends a prompt to a VM and returns the status.
func (s *system) ask(vm string) int {
	body := `{"model":"scribe","prompt":"` + strings.Repeat("tide", 500) + `","max_tokens":4}`
	request, err := http.NewRequest(http.MethodPost, "http://"+s.processes[vm].Addresses().Callers+backendapi.PathCompletions, strings.NewReader(body))
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer key-families")
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	if response.StatusCode != http.StatusOK {
		s.t.Logf("%s answered %d: %s", vm, response.StatusCode, text)
	}
	return response.StatusCode
}

// scheduler returns the VM that schedules the engines, and the other one.
func (s *system) scheduler() (scheduler, other string) {
	names := s.routing["vm-1"].names()
	if capacity.Scheduler("scribe", names) == names[0] {
		return names[0], names[1]
	}
	return names[1], names[0]
}

func (s *system) usage(vm string) (sum capacity.Usage) {
	for _, usage := range s.routing[vm].service.Usage() {
		sum.Limit += usage.Limit
		sum.Memory += usage.Memory
		sum.Long += usage.Leased()
		sum.Orphans += usage.Orphans
	}
	return sum
}

func (s *system) granted(vm string) int64 {
	return s.processes[vm].Host().Metrics.Counter("godwityoke_lease_requests_total", resultLabel("granted")).Count()
}

func TestRequestsRunUnderLeases(t *testing.T) {
	s := startSystem(t, settings.PolicyLeases)
	scheduler, other := s.scheduler()
	s.eventually(func() bool { u := s.usage(scheduler); return u.Limit > 0 && u.Limit == u.Memory }, "the scheduler grants all memory")
	for range 5 {
		assert.Equal(t, http.StatusOK, s.ask(scheduler))
		assert.Equal(t, http.StatusOK, s.ask(other))
	}
	assert.Positive(t, s.granted(scheduler))
	assert.Positive(t, s.granted(other), "over the network")
	s.eventually(func() bool { u := s.usage(scheduler); return u.Long == 0 && u.Orphans == 0 }, "all memory comes back")

	s.processes[scheduler].Kill()
	for range 5 {
		assert.Equal(t, http.StatusOK, s.ask(other), "without a scheduler")
	}
	s.eventually(func() bool { return s.usage(other).Limit > 0 }, "the other VM grants its share")
	assert.Equal(t, s.usage(other).Memory/2, s.usage(other).Limit)
	before := s.granted(other)
	assert.Equal(t, http.StatusOK, s.ask(other))
	assert.Greater(t, s.granted(other), before)
}

func TestBaselinesServe(t *testing.T) {
	for _, policy := range []settings.Policy{settings.PolicyRoundRobin, settings.PolicyLeastInFlight, settings.PolicyTwoChoices} {
		t.Run(string(policy), func(t *testing.T) {
			s := startSystem(t, policy)
			for range 4 {
				assert.Equal(t, http.StatusOK, s.ask("vm-1"))
			}
			assert.Nil(t, s.routing["vm-1"].service)
		})
	}
}

// TestDemandIsSummedUp looks for both VMs in the sum of a team.
func TestDemandIsSummedUp(t *testing.T) {
	s := startSystem(t, settings.PolicyTwoChoices)
	home := capacity.Scheduler("families", s.routing["vm-1"].names())
	s.eventually(func() bool {
		s.ask("vm-1")
		s.ask("vm-2")
		return s.routing[home].demand.sum("probe", []limit.Demand{{Team: "families"}})[0].VMs == 3
	}, "both VMs and the probe are summed up")
}
