package distribute_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/transport"
)

var operatorKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

func keyring(t testing.TB) *bundle.Keyring {
	public := base64.StdEncoding.EncodeToString(operatorKey.Public().(ed25519.PublicKey))
	ring, err := bundle.NewKeyring(1, []bundle.PublicKey{{Name: "ana", Base64: public}})
	require.NoError(t, err)
	return ring
}

// newBundle returns a signed bundle of the given version with the given number of teams.
func newBundle(t testing.TB, version uint64, teams int) *distribute.VerifiedBundle {
	content := &bundle.Bundle{Name: fmt.Sprint("bundle ", version)}
	for i := range teams {
		key := bundle.Digest([]byte(fmt.Sprint("key of team ", i)))
		content.Teams = append(content.Teams, bundle.Team{
			Name: fmt.Sprint("team-", i), KeySHA256: []string{key}, Priority: i % 9,
			SharePercent: 100 / float64(teams), Models: []string{"lace", "tide"},
		})
	}
	return signBundle(t, version, content)
}

// signBundle signs content as the given version and verifies the result.
func signBundle(t testing.TB, version uint64, content *bundle.Bundle) *distribute.VerifiedBundle {
	canonical, err := bundle.Canonical(content)
	require.NoError(t, err)
	accepted := &bundle.AcceptedBundle{Version: version, Digest: bundle.Digest(canonical)}
	accepted.Signatures = []bundle.Signature{bundle.Sign(bundle.Statement{Version: version, Digest: accepted.Digest}, "ana", operatorKey)}
	result, err := distribute.VerifyBundle(accepted, canonical, keyring(t))
	require.NoError(t, err)
	return result
}

// vm is one VM of a test tree.
type vm struct {
	peer        distribute.Peer
	node        *distribute.Node
	service     *distribute.Server
	holder      *bundle.Holder
	knowsLeader atomic.Bool
	stop        func()
}

// tree is a set of VMs on a network.
type tree struct {
	t          testing.TB
	network    *network
	vms        map[string]*vm
	startCount uint64
	// servers holds the backend servers that each VM reports from its next start on, by VM name.
	servers map[string][]distribute.BackendServer

	mu    sync.Mutex
	peers []distribute.Peer
}

func newTree(t testing.TB, delay time.Duration) *tree {
	return &tree{t: t, network: newNetwork(delay), vms: map[string]*vm{}, servers: map[string][]distribute.BackendServer{}}
}

func (tr *tree) allPeers() []distribute.Peer {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]distribute.Peer(nil), tr.peers...)
}

// addPeer adds a VM to the peers that all VMs know, without starting it.
func (tr *tree) addPeer(name, zone string, control bool) distribute.Peer {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	peer := distribute.Peer{Name: name, Zone: zone, Address: name, Control: control}
	tr.peers = append(tr.peers, peer)
	return peer
}

// start starts the process of a VM, with a new incarnation and without a bundle.
func (tr *tree) start(peer distribute.Peer) *vm {
	tr.startCount++
	v := &vm{peer: peer, holder: bundle.NewHolder()}
	v.knowsLeader.Store(true)
	options := distribute.NodeOptions{
		Self:   distribute.Self{VM: peer.Name, Zone: peer.Zone, Control: peer.Control, Incarnation: tr.startCount},
		Keys:   keyring(tr.t),
		Holder: v.holder,
		Log:    zerolog.Nop(),
	}
	servers := tr.servers[peer.Name]
	options.Servers = func() []distribute.BackendServer { return servers }
	if peer.Control {
		options.KnowsLeader = v.knowsLeader.Load
	}
	v.node = distribute.NewNode(options)
	v.service = distribute.NewServer(v.node)
	server := transport.NewServer(transport.ServerOptions{})
	v.service.Register(server)
	v.stop = tr.serve(v, server)
	tr.vms[peer.Name] = v
	return v
}

// serve runs the gRPC server of v and, on entry VMs, its client. It returns a function that stops both.
func (tr *tree) serve(v *vm, server *grpc.Server) func() {
	listener := tr.network.listen(v.peer.Name)
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	pool := transport.NewPool(transport.PoolOptions{Dial: tr.network.dialer(v.peer.Name)})
	ctx, cancel := context.WithCancel(context.Background())
	if !v.peer.Control {
		client := distribute.NewClient(distribute.ClientOptions{Node: v.node, Pool: pool, Peers: tr.allPeers, ReadyWait: 2 * time.Second})
		group.Go(func() { client.Run(ctx) })
	}
	return func() {
		cancel()
		v.service.Stop()
		pool.Close()
		server.Stop()
		group.Wait()
	}
}

func (tr *tree) stop() {
	for _, v := range tr.vms {
		v.stop()
	}
}

// version returns the version in force on a VM.
func (v *vm) version() uint64 { return v.node.Store().Newest().Version() }
