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

// journal is a state machine that remembers its commands in order.
type journal struct {
	mu       sync.Mutex
	commands [][]byte
}

func (j *journal) Apply(_ uint64, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = append(j.commands, command)
	return fmt.Appendf(nil, "%d", len(j.commands))
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var data []byte
	for _, command := range j.commands {
		data = binary.AppendUvarint(data, uint64(len(command)))
		data = append(data, command...)
	}
	return data, nil
}

func (j *journal) Restore(snapshot []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = nil
	for len(snapshot) > 0 {
		length, n := binary.Uvarint(snapshot)
		j.commands = append(j.commands, bytes.Clone(snapshot[n:n+int(length)]))
		snapshot = snapshot[n+int(length):]
	}
	return nil
}

func (j *journal) list() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []string
	for _, command := range j.commands {
		list = append(list, string(command))
	}
	return list
}

// loopbackVM is one control VM over gRPC on loopback.
type loopbackVM struct {
	replica *Replica
	journal *journal
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

// loopbackGroup holds the settings of a group over loopback.
type loopbackGroup struct {
	peers   []settings.Peer
	folders map[string]string
	// reserved holds the listeners of VMs that were not started yet.
	reserved map[string]net.Listener
	logger   zerolog.Logger
	pool     func(address string) transport.PoolOptions
	tune     func(*settings.Settings)
}

func newLoopbackGroup(t testing.TB, size int) *loopbackGroup {
	group := &loopbackGroup{folders: map[string]string{}, reserved: map[string]net.Listener{}, logger: zerolog.Nop(), pool: func(string) transport.PoolOptions { return transport.PoolOptions{} }}
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

// startAt starts a VM that listens on another address than it is reached at.
func (g *loopbackGroup) startAt(t testing.TB, peer settings.Peer, listen string) *loopbackVM {
	chosen := settings.Defaults()
	chosen.Cluster = "test"
	chosen.VM = settings.VM{Name: peer.Name, Zone: peer.Zone}
	chosen.Listen.Internal = peer.Internal
	chosen.ControlVMs = g.peers
	chosen.DataDir = g.folders[peer.Name]
	chosen.Control.Bootstrap = true
	chosen.Control.HeartbeatInterval = jsonc.Duration(50 * time.Millisecond)
	chosen.Control.ElectionTimeout = jsonc.Duration(500 * time.Millisecond)
	if g.tune != nil {
		g.tune(&chosen)
	}
	vm := &loopbackVM{journal: &journal{}, server: transport.NewServer(transport.ServerOptions{}), pool: transport.NewPool(g.pool(peer.Internal))}
	replica, err := Start(Options{Settings: &chosen, StateMachine: vm.journal, Pool: vm.pool, Logger: g.logger})
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
	want := leader.journal.list()
	require.Len(t, want, 5)
	for _, vm := range vms {
		vm.stop(t)
	}

	vms = group.startAll(t)
	leader = leaderOf(t, vms)
	require.NoError(t, leader.replica.ReadBarrier(ctx))
	require.Equal(t, want, leader.journal.list())
	for _, vm := range vms {
		require.Eventually(t, func() bool { return len(vm.journal.list()) == 5 }, 10*time.Second, 10*time.Millisecond)
	}
	for _, vm := range vms {
		vm.stop(t)
	}
}
