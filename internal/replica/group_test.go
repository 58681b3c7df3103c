package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/transport"
)

// recorder is a StateMachine that records its commands in order.
type recorder struct {
	mu       sync.Mutex
	commands [][]byte
}

func (r *recorder) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, command)
	return fmt.Appendf(nil, "%d", len(r.commands))
}

func (r *recorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var data []byte
	for _, command := range r.commands {
		data = binary.AppendUvarint(data, uint64(len(command)))
		data = append(data, command...)
	}
	return data, nil
}

func (r *recorder) Restore(snapshot []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = nil
	for len(snapshot) > 0 {
		length, n := binary.Uvarint(snapshot)
		r.commands = append(r.commands, bytes.Clone(snapshot[n:n+int(length)]))
		snapshot = snapshot[n+int(length):]
	}
	return nil
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, command := range r.commands {
		list = append(list, string(command))
	}
	return list
}

// loopbackVM is one control VM that serves gRPC on the loopback interface.
type loopbackVM struct {
	replica *Replica
	machine *recorder
	server  *grpc.Server
	pool    *transport.Pool
}

func (vm *loopbackVM) stop(t testing.TB) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, vm.replica.Stop(ctx))
	vm.server.Stop()
	vm.pool.Close()
}

// loopbackGroup holds the settings of a group of loopbackVMs.
type loopbackGroup struct {
	peers []settings.Peer
	// folders holds the data folders by VM name.
	folders map[string]string
	// reserved holds the open listeners of VMs that are not started yet, by address.
	reserved map[string]net.Listener
	logger   zerolog.Logger
	// pool returns the pool options of the VM at address.
	pool func(address string) transport.PoolOptions
	// modify changes the settings of each VM before its start, unless it is nil.
	modify func(*settings.Settings)
}

func newLoopbackGroup(t testing.TB, size int) *loopbackGroup {
	group := &loopbackGroup{
		folders: map[string]string{}, reserved: map[string]net.Listener{}, logger: zerolog.Nop(),
		pool: func(string) transport.PoolOptions { return transport.PoolOptions{} },
	}
	for i := range size {
		group.addPeer(t, fmt.Sprintf("control-%d", i+1))
	}
	return group
}

func (g *loopbackGroup) addPeer(t testing.TB, name string) settings.Peer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := settings.Peer{Name: name, Zone: "zone-a", Internal: listener.Addr().String()}
	g.reserved[peer.Internal] = listener
	g.peers = append(g.peers, peer)
	g.folders[name] = t.TempDir()
	return peer
}

func (g *loopbackGroup) start(t testing.TB, peer settings.Peer) *loopbackVM {
	return g.startAt(t, peer, peer.Internal)
}

// startAt starts a VM that listens on the address listen, while the others reach it at
// peer.Internal.
func (g *loopbackGroup) startAt(t testing.TB, peer settings.Peer, listen string) *loopbackVM {
	config := settings.Defaults()
	config.Cluster = "test"
	config.VM = settings.VM{Name: peer.Name, Zone: peer.Zone}
	config.Listen.Internal = peer.Internal
	config.ControlVMs = g.peers
	config.DataDir = g.folders[peer.Name]
	config.Control.Bootstrap = true
	config.Control.HeartbeatInterval = jsonc.Duration(50 * time.Millisecond)
	config.Control.ElectionTimeout = jsonc.Duration(500 * time.Millisecond)
	if g.modify != nil {
		g.modify(&config)
	}
	vm := &loopbackVM{
		machine: &recorder{}, server: transport.NewServer(transport.ServerOptions{}),
		pool: transport.NewPool(g.pool(peer.Internal)),
	}
	replica, err := Start(Options{Settings: &config, StateMachine: vm.machine, Pool: vm.pool, Logger: g.logger})
	require.NoError(t, err)
	vm.replica = replica
	replica.Register(vm.server)
	listener := g.listen(t, listen)
	go func() { _ = vm.server.Serve(listener) }()
	return vm
}

func (g *loopbackGroup) listen(t testing.TB, address string) net.Listener {
	if listener := g.reserved[address]; listener != nil {
		delete(g.reserved, address)
		return listener
	}
	var listener net.Listener
	require.Eventually(t, func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	}, 30*time.Second, 50*time.Millisecond)
	return listener
}

func (g *loopbackGroup) startAll(t testing.TB) []*loopbackVM {
	var vms []*loopbackVM
	for _, peer := range g.peers {
		vms = append(vms, g.start(t, peer))
	}
	return vms
}

func leaderOf(t testing.TB, vms []*loopbackVM) *loopbackVM {
	var leader *loopbackVM
	require.Eventually(t, func() bool {
		for _, vm := range vms {
			if vm.replica.Leadership().IsLeader {
				leader = vm
				return true
			}
		}
		return false
	}, 30*time.Second, 10*time.Millisecond)
	return leader
}

// Three members over gRPC elect a leader and commit commands. After a restart of all of
// them, each must hold the same commands.
func TestGroupOverLoopbackElectsReplicatesAndRestarts(t *testing.T) {
	group := newLoopbackGroup(t, 3)
	vms := group.startAll(t)
	leader := leaderOf(t, vms)
	ctx := context.Background()
	for i := range 5 {
		result, err := leader.replica.Propose(ctx, fmt.Appendf(nil, "command-%d", i))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(i+1), string(result))
	}
	require.NoError(t, leader.replica.ReadBarrier(ctx))
	want := leader.machine.list()
	require.Len(t, want, 5)
	for _, vm := range vms {
		vm.stop(t)
	}

	vms = group.startAll(t)
	leader = leaderOf(t, vms)
	require.NoError(t, leader.replica.ReadBarrier(ctx))
	require.Equal(t, want, leader.machine.list())
	for _, vm := range vms {
		require.Eventually(t, func() bool { return len(vm.machine.list()) == 5 }, 10*time.Second, 10*time.Millisecond)
	}
	for _, vm := range vms {
		vm.stop(t)
	}
}
