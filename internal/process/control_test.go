package process_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/tcp"
)

var operatorKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{9}, ed25519.SeedSize))

// controlGroup is a control group of three VMs in this process, connected over loopback.
type controlGroup struct {
	t         testing.TB
	settings  []*settings.Settings
	processes []*process.Process
}

// startControlGroup starts the VMs of a new control group. They are killed at the end of t.
func startControlGroup(t testing.TB) *controlGroup {
	g := &controlGroup{t: t, processes: make([]*process.Process, 3)}
	listeners := make([]process.Listeners, 3)
	var peers []settings.Peer
	for i := range listeners {
		for _, listener := range []*net.Listener{&listeners[i].Internal, &listeners[i].Operators} {
			opened, err := tcp.Listen(t.Context(), "127.0.0.1:0")
			require.NoError(t, err)
			*listener = opened
		}
		peers = append(peers, settings.Peer{
			Name: fmt.Sprint("control-", i), Zone: fmt.Sprint("zone-", i),
			Internal: listeners[i].Internal.Addr().String(), Operators: listeners[i].Operators.Addr().String(),
		})
	}
	for i := range listeners {
		g.settings = append(g.settings, controlSettings(t, peers, i))
		g.start(i, listeners[i])
	}
	t.Cleanup(func() {
		for _, p := range g.processes {
			p.Kill()
		}
	})
	return g
}

func controlSettings(t testing.TB, peers []settings.Peer, i int) *settings.Settings {
	loaded := settings.Defaults()
	loaded.Cluster = "test"
	loaded.VM = settings.VM{Name: peers[i].Name, Zone: peers[i].Zone}
	loaded.Roles = []settings.Role{settings.RoleControl}
	loaded.ControlVMs = peers
	loaded.Listen = settings.Listen{Internal: peers[i].Internal, Operators: peers[i].Operators}
	loaded.DataDir = t.TempDir()
	loaded.Control.Bootstrap = true
	loaded.Control.HeartbeatInterval = jsonc.Duration(50 * time.Millisecond)
	loaded.Control.ElectionTimeout = jsonc.Duration(400 * time.Millisecond)
	loaded.Control.SnapshotEntries = 20
	public := base64.StdEncoding.EncodeToString(operatorKey.Public().(ed25519.PublicKey))
	loaded.Operators = settings.Operators{RequiredSignatures: 1, Keys: []settings.OperatorKey{{Name: "ana", Ed25519: public}}}
	return &loaded
}

func (g *controlGroup) start(i int, listeners process.Listeners) {
	started, err := process.Start(g.t.Context(), process.Options{
		Settings: g.settings[i], Logger: zerolog.Nop(), Listeners: listeners,
		Builders: []process.Builder{process.BuildDistribution, process.BuildControl},
	})
	require.NoError(g.t, err)
	g.processes[i] = started
}

func (g *controlGroup) addresses() []string {
	var addresses []string
	for _, peer := range g.settings[0].ControlVMs {
		addresses = append(addresses, peer.Operators)
	}
	return addresses
}

// lossyTransport is an HTTP transport that loses each response with a probability of one
// third, after the request was executed.
type lossyTransport struct {
	mu     sync.Mutex
	random *rand.Rand
}

var errResponseLost = errors.New("the response was lost")

// RoundTrip implements http.RoundTripper.
func (l *lossyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.IntN(3) == 0 {
		_ = response.Body.Close()
		return nil, errResponseLost
	}
	return response, nil
}

// registryCall is one call of an operator: a read of the newest bundle if Read is set, or
// the submission of the bundle with Digest as the successor of version Expected.
type registryCall struct {
	Read     bool
	Expected uint64
	Digest   string
}

// registryModel is the sequential specification of the registry. Its state lists the
// digests of the accepted bundles in order of their versions. A submission with an expected
// version below the newest is not accepted, and its result names the bundle that was
// accepted as the successor of the expected version.
var registryModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		digests := strings.Fields(state.(string))
		call, result := input.(registryCall), output.(registry.Result)
		newest := ""
		if len(digests) > 0 {
			newest = digests[len(digests)-1]
		}
		switch {
		case call.Read:
			return result.Version == uint64(len(digests)) && result.Digest == newest, state
		case result.Code == registry.CodeAccepted:
			return call.Expected == uint64(len(digests)) && result.Digest == call.Digest, state.(string) + " " + call.Digest
		case call.Expected < uint64(len(digests)):
			return result.Version == call.Expected+1 && result.Digest == digests[call.Expected], state
		}
		return false, state
	},
}

// TestOperatorCallsAreLinearizable guards against lost, repeated and reordered submissions.
// Several operators read and submit bundles concurrently while responses are lost and the
// leader is killed twice. Porcupine checks that the recorded history is linearizable.
func TestOperatorCallsAreLinearizable(t *testing.T) {
	const operators, calls, seed = 4, 10, 41
	g := startControlGroup(t)
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	record := func(operator int, call registryCall, do func() (registry.Result, error)) registry.Result {
		start := time.Since(begin)
		result, err := do()
		require.NoError(t, err)
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: operator, Input: call, Output: result, Call: int64(start), Return: int64(time.Since(begin)),
		})
		return result
	}
	var group sync.WaitGroup
	for operator := range operators {
		transport := &lossyTransport{random: rand.New(rand.NewPCG(seed, uint64(operator)))}
		client := operatorapi.NewClientWithTransport(g.addresses(), transport)
		group.Go(func() {
			for call := range calls {
				readThenSubmit(t.Context(), client, operator, call, record)
			}
		})
	}
	group.Go(func() {
		for range 2 {
			time.Sleep(500 * time.Millisecond)
			g.restartLeader()
		}
	})
	group.Wait()
	require.Len(t, history, 2*operators*calls)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registryModel, history, 30*time.Second))
}

// readThenSubmit reads the newest bundle, then submits a successor, and records both calls.
func readThenSubmit(ctx context.Context, client *operatorapi.Client, operator, call int,
	record func(int, registryCall, func() (registry.Result, error)) registry.Result) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	newest := record(operator, registryCall{Read: true}, func() (registry.Result, error) {
		reply, err := client.Newest(ctx)
		if err != nil {
			return registry.Result{}, err
		}
		return registry.Result{Version: reply.Version, Digest: reply.Digest}, nil
	})
	request, err := newSubmission(fmt.Sprint(operator, "-", call), newest.Version)
	if err != nil {
		return
	}
	input := registryCall{Expected: newest.Version, Digest: bundle.Digest(request.Content)}
	record(operator, input, func() (registry.Result, error) {
		reply, err := client.Submit(ctx, request)
		if err != nil {
			return registry.Result{}, err
		}
		return reply.Result, nil
	})
}

// newSubmission returns a signed submission of the example bundle. The submission ID is
// also the name of the bundle, so that bundles differ.
func newSubmission(id string, expected uint64) (*operatorapi.SubmitRequest, error) {
	loaded, _, err := bundle.Load("../../examples/bundle.json")
	if err != nil {
		return nil, err
	}
	loaded.Name = id
	content, err := bundle.Canonical(loaded)
	if err != nil {
		return nil, err
	}
	statement := bundle.Statement{Version: expected + 1, Digest: bundle.Digest(content)}
	return &operatorapi.SubmitRequest{
		SubmissionID: id, ExpectedVersion: expected, Content: content,
		Signatures: []bundle.Signature{bundle.Sign(statement, "ana", operatorKey)},
	}, nil
}

// restartLeader kills the VM that leads the control group, if any, and starts it again.
func (g *controlGroup) restartLeader() {
	leader := slices.IndexFunc(g.processes, func(p *process.Process) bool { return p.Host().Control.IsLeader() })
	if leader < 0 {
		return
	}
	g.processes[leader].Kill()
	g.start(leader, process.Listeners{})
}

// BenchmarkCapacitySubmissions measures sequential submissions over HTTP to three control
// VMs, which sync their logs to the same disk.
func BenchmarkCapacitySubmissions(b *testing.B) {
	g := startControlGroup(b)
	client := operatorapi.NewClient(g.addresses(), nil)
	_, err := client.Newest(b.Context())
	require.NoError(b, err)
	version := uint64(0)
	for b.Loop() {
		request, err := newSubmission(fmt.Sprint("bench-", version), version)
		require.NoError(b, err)
		reply, err := client.Submit(b.Context(), request)
		require.NoError(b, err)
		require.Equal(b, registry.CodeAccepted, reply.Code)
		version++
	}
	b.ReportMetric(float64(version)/b.Elapsed().Seconds(), "submissions/s")
}
