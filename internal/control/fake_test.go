package control

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
)

var operatorKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

var (
	errReset = errors.New("connection reset")
	vmNames  = []string{"c1", "c2", "c3"}
)

// fakeGroup is a control group in memory that replicates each command at once. It
// is also the network of its clients. Its fields switch faults on.
type fakeGroup struct {
	t  *testing.T
	mu sync.Mutex
	// leader is the name of the VM that is the leader in term.
	leader  string
	term    uint64
	log     [][]byte
	vms     map[string]*fakeVM
	members []Member
	nextID  uint64

	// Requests to dead VMs fail, requests to frozen ones block until they are
	// cancelled.
	dead, frozen map[string]bool
	// beforeApply and afterApply are called once, before and after the next
	// command is applied, unless they are nil.
	beforeApply, afterApply func() error
	// afterLearner is called once after a learner was added, unless it is nil.
	afterLearner func() error
	// answersToLose is the number of next HTTP answers that are lost. All answers
	// of mutedVM are lost.
	answersToLose int
	mutedVM       string
}

// fakeVM is one control VM with a real Control. It implements Group.
type fakeVM struct {
	group    *fakeGroup
	name     string
	registry *registry.Registry
	applied  int
	control  *Control
	handler  http.Handler
}

func newFakeGroup(t *testing.T) *fakeGroup {
	g := &fakeGroup{
		t: t, vms: map[string]*fakeVM{}, leader: "c1", term: 1,
		dead: map[string]bool{}, frozen: map[string]bool{},
	}
	for _, name := range vmNames {
		g.startVM(name)
		g.nextID++
		g.members = append(g.members, Member{ID: g.nextID, Name: name, Address: name})
	}
	return g
}

// startVM starts a VM, or restarts it with an empty registry, and applies the log
// to it.
func (g *fakeGroup) startVM(name string) {
	vm := &fakeVM{group: g, name: name, registry: registry.New()}
	public := base64.StdEncoding.EncodeToString(operatorKey.Public().(ed25519.PublicKey))
	keys, err := bundle.NewKeyring(1, []bundle.PublicKey{{Name: "ana", Base64: public}})
	require.NoError(g.t, err)
	node := distribute.NewNode(distribute.NodeOptions{
		Self: distribute.Self{VM: name, Zone: "a", Control: true}, Keys: keys, Holder: bundle.NewHolder(),
		KnowsLeader: func() bool { return true }, Log: zerolog.Nop(),
	})
	var initialVMs []registry.ControlVM
	for _, vmName := range vmNames {
		initialVMs = append(initialVMs, registry.ControlVM{Name: vmName, Zone: "a", Internal: vmName, Operators: vmName})
	}
	vm.control = New(Options{VM: name, Group: vm, Registry: vm.registry, Node: node, InitialVMs: initialVMs, Log: zerolog.Nop()})
	vm.handler = vm.control.Handler()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vms[name] = vm
	g.applyLog()
}

// applyLog applies new log entries to all registries and returns the last result.
// The caller holds g.mu.
func (g *fakeGroup) applyLog() (newest []byte) {
	for _, vm := range g.vms {
		for ; vm.applied < len(g.log); vm.applied++ {
			newest = vm.registry.Apply(uint64(vm.applied+1), g.log[vm.applied])
		}
	}
	return newest
}

// elect makes another VM the leader.
func (g *fakeGroup) elect(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = name
	g.term++
}

// runHook clears a hook and calls it, unless it is nil.
func (g *fakeGroup) runHook(hook *func() error) error {
	g.mu.Lock()
	run := *hook
	*hook = nil
	g.mu.Unlock()
	if run == nil {
		return nil
	}
	return run()
}

// Propose implements replica.Proposer.
func (vm *fakeVM) Propose(_ context.Context, command []byte) ([]byte, error) {
	g := vm.group
	if !vm.Leadership().IsLeader {
		return nil, replica.ErrNotLeader
	}
	if err := g.runHook(&g.beforeApply); err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.log = append(g.log, command)
	result := g.applyLog()
	g.mu.Unlock()
	return result, g.runHook(&g.afterApply)
}

// ReadBarrier implements replica.Proposer.
func (vm *fakeVM) ReadBarrier(context.Context) error {
	if !vm.Leadership().IsLeader {
		return replica.ErrNotLeader
	}
	return nil
}

// Leadership implements replica.Proposer.
func (vm *fakeVM) Leadership() replica.Leadership {
	g := vm.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return replica.Leadership{
		Term: g.term, LeaderID: 1, LeaderName: g.leader, IsLeader: g.leader == vm.name, LeaseUntil: time.Now().Add(time.Second),
	}
}

// Members implements Group.
func (vm *fakeVM) Members() []Member {
	vm.group.mu.Lock()
	defer vm.group.mu.Unlock()
	return slices.Clone(vm.group.members)
}

// AddMember implements Group as ReplicaGroup does: it adds a learner, and then
// makes it a voter.
func (vm *fakeVM) AddMember(_ context.Context, name, address string) error {
	g := vm.group
	isMember := slices.ContainsFunc(vm.Members(), func(m Member) bool { return m.Name == name })
	if !isMember {
		g.mu.Lock()
		g.nextID++
		g.members = append(g.members, Member{ID: g.nextID, Name: name, Address: address, Learner: true})
		g.mu.Unlock()
		if err := g.runHook(&g.afterLearner); err != nil {
			return err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.members {
		if g.members[i].Name == name {
			g.members[i].Learner = false
		}
	}
	return nil
}

// RemoveMember implements Group.
func (vm *fakeVM) RemoveMember(_ context.Context, name string) error {
	g := vm.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.ContainsFunc(g.members, func(m Member) bool { return m.Name == name }) {
		return replica.ErrUnknownMember
	}
	g.members = slices.DeleteFunc(g.members, func(m Member) bool { return m.Name == name })
	return nil
}

// RoundTrip implements http.RoundTripper. The host of a URL is the name of a VM.
func (g *fakeGroup) RoundTrip(request *http.Request) (*http.Response, error) {
	g.mu.Lock()
	vm, dead, frozen := g.vms[request.URL.Host], g.dead[request.URL.Host], g.frozen[request.URL.Host]
	g.mu.Unlock()
	if frozen {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if vm == nil || dead || request.Context().Err() != nil {
		return nil, errReset
	}
	recorder := httptest.NewRecorder()
	vm.handler.ServeHTTP(recorder, request)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answersToLose > 0 || g.mutedVM == vm.name {
		g.answersToLose--
		return nil, errReset
	}
	return recorder.Result(), nil
}

func (g *fakeGroup) client() *operatorapi.Client {
	return operatorapi.NewClientWithTransport(vmNames, g)
}

// submission returns a signed submission of the example bundle under another name.
func submission(t *testing.T, id string, expected uint64, name string) *operatorapi.SubmitRequest {
	loaded, findings, err := bundle.Load("../../examples/bundle.json")
	require.NoError(t, err)
	require.Empty(t, findings)
	loaded.Name = name
	content, err := bundle.Canonical(loaded)
	require.NoError(t, err)
	statement := bundle.Statement{Version: expected + 1, Digest: bundle.Digest(content)}
	return &operatorapi.SubmitRequest{
		SubmissionID: id, ExpectedVersion: expected, Content: content,
		Signatures: []bundle.Signature{bundle.Sign(statement, "ana", operatorKey)},
	}
}
