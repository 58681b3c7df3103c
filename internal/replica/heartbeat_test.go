package replica

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/consensuspb"
	"godwityoke.example/godwityoke/internal/replica/replicapb"
	"godwityoke.example/godwityoke/internal/settings"
)

// stallingProxy forwards TCP connections. After stallOpenConnections, the connections
// that are open by then stay open but carry no more data; new ones work.
type stallingProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// epoch is the number of calls of stallOpenConnections. Connections of an earlier
	// epoch are stalled.
	epoch           int
	connectionCount int
}

func newStallingProxy(t *testing.T, target string) *stallingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &stallingProxy{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// syncBuffer is a log buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (p *stallingProxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.connectionCount++
	epoch := p.epoch
	p.mu.Unlock()
	go p.copy(far, near, epoch)
	p.copy(near, far, epoch)
}

func (p *stallingProxy) copy(to, from net.Conn, epoch int) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		stalled := epoch != p.epoch
		p.mu.Unlock()
		if stalled {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *stallingProxy) stallOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
}

func (p *stallingProxy) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionCount
}

// All open connections of a group carry no more data, without an error from TCP. The
// members must open new connections and commit commands again.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	group := newLoopbackGroup(t, 3)
	var log syncBuffer
	group.logger = zerolog.New(&log)
	direct := group.peers
	var proxies []*stallingProxy
	for i, peer := range direct {
		proxy := newStallingProxy(t, peer.Internal)
		proxies = append(proxies, proxy)
		group.peers = append([]settings.Peer(nil), group.peers...)
		group.peers[i].Internal = proxy.listener.Addr().String()
	}
	var vms []*loopbackVM
	for i := range group.peers {
		vms = append(vms, group.startAt(t, group.peers[i], direct[i].Internal))
	}
	leader := leaderOf(t, vms)
	_, err := leader.replica.Propose(t.Context(), []byte("before"))
	require.NoError(t, err)
	before := 0
	for _, proxy := range proxies {
		before += proxy.connections()
		proxy.stallOpenConnections()
	}
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := leaderOf(t, vms).replica.Propose(ctx, []byte("after"))
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
	after := 0
	for _, proxy := range proxies {
		after += proxy.connections()
	}
	require.Greater(t, after, before)
	require.Contains(t, log.String(), errUnresponsive.Error())
	for _, vm := range vms {
		vm.stop(t)
	}
}

// Frames of another cluster or above the size limit end the stream. Other invalid
// messages are refused: they must not change the member's term or stop it.
func TestInvalidFramesDoNotDisturbMember(t *testing.T) {
	group := newLoopbackGroup(t, 1)
	vm := group.startAll(t)[0]
	leaderOf(t, []*loopbackVM{vm})
	conn, err := grpc.NewClient("passthrough:///"+group.peers[0].Internal,
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	before := vm.replica.Status()
	for name, c := range map[string]struct {
		frame *replicapb.Frame
		code  codes.Code
	}{
		"another cluster": {&replicapb.Frame{Cluster: "other"}, codes.PermissionDenied},
		"unknown kind":    {&replicapb.Frame{Cluster: "test", Message: &consensuspb.Message{Kind: 1 << 30}}, codes.OK},
		"stranger": {&replicapb.Frame{Cluster: "test", Message: &consensuspb.Message{
			Kind: uint32(consensus.MessageVote), To: 5, From: 6, Group: 7, Term: 1 << 60}}, codes.OK},
		"old term": {&replicapb.Frame{Cluster: "test", Message: &consensuspb.Message{
			Kind: uint32(consensus.MessageHeartbeat), To: uint64(before.ID), From: 6, Group: before.Group, Term: 1}}, codes.OK},
		"huge term": {&replicapb.Frame{Cluster: "test", Message: &consensuspb.Message{
			Kind: uint32(consensus.MessageAppend), To: uint64(before.ID), From: 6, Group: before.Group, Term: 1 << 62}}, codes.OK},
		"huge frame": {&replicapb.Frame{Cluster: "test", Message: &consensuspb.Message{
			Entries: []*consensuspb.Entry{{Data: make([]byte, 20<<20)}}}}, codes.ResourceExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			stream, err := replicapb.NewReplicaClient(conn).Exchange(ctx)
			require.NoError(t, err)
			if err := stream.Send(c.frame); err != nil {
				require.ErrorIs(t, err, io.EOF)
			}
			_, err = stream.Recv()
			require.Equal(t, c.code, status.Code(err))
		})
	}
	_, err = vm.replica.Propose(t.Context(), []byte("still works"))
	require.NoError(t, err)
	require.Equal(t, before.Term, vm.replica.Status().Term)
	vm.stop(t)
}

func TestStartRefusesInvalidOptions(t *testing.T) {
	config := settings.Defaults()
	_, err := Start(Options{Settings: &config, StateMachine: &recorder{}})
	require.ErrorContains(t, err, "data_dir")
	config.Control.ElectionTimeout = config.Control.HeartbeatInterval
	_, err = Start(Options{Settings: &config, StateMachine: &recorder{}})
	require.ErrorContains(t, err, "four heartbeats")
	require.False(t, errors.Is(err, ErrStopped))
}
