package process

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/settings"
)

// gaugeInterval is the update interval of the distribution gauges.
const gaugeInterval = time.Second

var errBundleRequestPending = errors.New("other VMs are being asked for the newest bundle")

// distribution is the Component that receives bundles from other VMs, forwards them to
// the VMs that watch this one, and reports the version in force on this VM.
type distribution struct {
	host   *Host
	node   *distribute.Node
	server *distribute.Server
	// client is nil on control VMs, where package control runs a client that watches the
	// leader.
	client     *distribute.Client
	background sync.WaitGroup
	cancel     context.CancelFunc
}

// BuildDistribution is the Builder of the bundle distribution. It sets host.Distribution.
// It returns nil if the settings list no control VMs.
func BuildDistribution(host *Host) (Component, error) {
	if len(host.Settings.ControlVMs) == 0 {
		return nil, nil
	}
	d := &distribution{host: host}
	keys, err := newOperatorKeyring(host.Settings.Operators)
	if err != nil {
		return nil, err
	}
	options := distribute.NodeOptions{
		Self: distribute.Self{
			VM:          host.Settings.VM.Name,
			Zone:        host.Settings.VM.Zone,
			Control:     host.Settings.HasRole(settings.RoleControl),
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Keys:   keys,
		Holder: host.Bundles,
		Log:    host.Logger,
	}
	if host.Fleet != nil {
		options.Servers = d.servers
	}
	if options.Self.Control {
		options.KnowsLeader = func() bool { return host.Control != nil && host.Control.KnowsLeader() }
	}
	d.node = distribute.NewNode(options)
	d.server = distribute.NewServer(d.node)
	d.server.Register(host.GRPCServer)
	host.Distribution = d.node
	if !options.Self.Control {
		d.client = distribute.NewClient(distribute.ClientOptions{
			Node: d.node, Pool: host.PeerPool, Peers: d.peers, ReadyWait: host.Settings.Entry.ReadyWait.Std(),
		})
	}
	return d, nil
}

func newOperatorKeyring(operators settings.Operators) (*bundle.Keyring, error) {
	keys := make([]bundle.PublicKey, 0, len(operators.Keys))
	for _, key := range operators.Keys {
		keys = append(keys, bundle.PublicKey{Name: key.Name, Base64: key.Ed25519})
	}
	keyring, err := bundle.NewKeyring(operators.RequiredSignatures, keys)
	if err != nil {
		return nil, fmt.Errorf("operator keys of the settings: %w", err)
	}
	return keyring, nil
}

// peers returns the VMs that may be watched: the control VMs and all entry VMs. The
// control VMs come from the settings until the members of the control group are known.
func (d *distribution) peers() []distribute.Peer {
	peers := d.node.ControlVMs()
	if len(peers) == 0 {
		peers = configuredControlVMs(d.host.Settings)
	}
	for _, vm := range d.host.Settings.EntryVMs {
		peers = append(peers, distribute.Peer{Name: vm.Name, Zone: vm.Zone, Address: vm.Internal})
	}
	return peers
}

// configuredControlVMs returns the control VMs that the settings list.
func configuredControlVMs(config *settings.Settings) []distribute.Peer {
	peers := make([]distribute.Peer, 0, len(config.ControlVMs))
	for _, vm := range config.ControlVMs {
		peers = append(peers, distribute.Peer{Name: vm.Name, Zone: vm.Zone, Address: vm.Internal, Control: true})
	}
	return peers
}

// servers returns the backend servers that announce themselves to this VM and accept new
// work, for the report of this VM.
func (d *distribution) servers() []distribute.BackendServer {
	targets := d.host.Fleet.OrderTargets(time.Now())
	servers := make([]distribute.BackendServer, 0, len(targets))
	for _, server := range targets {
		servers = append(servers, distribute.BackendServer{
			ID: server.ID, Incarnation: server.Incarnation, Zone: server.Zone, Address: server.Address,
			Kind: server.Kind, Role: server.Role, Models: server.Models, ChecksFencing: server.ChecksFencing,
		})
	}
	return servers
}

// Start implements Component.
func (d *distribution) Start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	if d.client != nil {
		d.background.Go(func() { d.client.Run(ctx) })
	}
	d.background.Go(func() { d.runGaugeUpdates(ctx) })
	return nil
}

// runGaugeUpdates updates the gauges of the distribution every gaugeInterval until ctx
// ends.
func (d *distribution) runGaugeUpdates(ctx context.Context) {
	version := d.host.Metrics.Gauge("godwityoke_bundle_version")
	watchers := d.host.Metrics.Gauge("godwityoke_bundle_watchers")
	attached := d.host.Metrics.Gauge("godwityoke_bundle_attached")
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		version.Update(int64(d.node.Store().Newest().Version()))
		watchers.Update(int64(d.server.WatcherCount()))
		attached.Update(0)
		if d.node.IsAttached() {
			attached.Update(1)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// CheckReady implements Component.
func (d *distribution) CheckReady() error {
	if d.node.IsReady() {
		return nil
	}
	return errBundleRequestPending
}

// Stop implements Component.
func (d *distribution) Stop(context.Context) error {
	d.server.Stop()
	d.cancel()
	d.background.Wait()
	return nil
}
