package cluster

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/settings"
)

const (
	// balancerWait is the time that a graceful stop gives the load balancer to notice
	// that an entry VM is not ready. On the loopback interface a load balancer needs only
	// a fraction of it.
	balancerWait = 500 * time.Millisecond
	// operatorName is the name of the operator key of a cluster.
	operatorName = "operator"
)

// vm is a VM of a topology. The name and zone of peer and the role are set first; the method
// open sets the listeners and the addresses of peer.
type vm struct {
	peer      settings.Peer
	role      settings.Role
	listeners process.Listeners
}

// topology holds the VMs of a cluster and the network between them. All listeners are open
// before the first process starts, because the settings of each VM list the addresses of
// the others.
type topology struct {
	entryVMs   []*vm
	controlVMs []*vm
	// operatorKey signs bundles.
	operatorKey ed25519.PrivateKey
	// dir is the parent of the data folders of the control VMs.
	dir   string
	links *delayLinks
}

// openTopology opens the listeners of all VMs: the entry VMs of each zone and, with
// withControl, one control VM in each zone. The control VMs keep their data below dir.
func openTopology(scenario *load.Scenario, withControl bool, dir string) (*topology, error) {
	t := &topology{dir: dir}
	_, t.operatorKey, _ = ed25519.GenerateKey(nil) // a failure of the random source panics
	for _, zone := range scenario.Fleet.Zones {
		for i := range scenario.Fleet.EntryVMsPerZone {
			peer := settings.Peer{Name: fmt.Sprintf("entry-%s%d", zone, i+1), Zone: zone}
			t.entryVMs = append(t.entryVMs, &vm{peer: peer, role: settings.RoleEntry})
		}
		if withControl {
			peer := settings.Peer{Name: "control-" + zone, Zone: zone}
			t.controlVMs = append(t.controlVMs, &vm{peer: peer, role: settings.RoleControl})
		}
	}
	for _, v := range append(t.entryVMs, t.controlVMs...) {
		if err := v.open(); err != nil {
			return nil, err
		}
	}
	var err error
	t.links, err = openDelayLinks(scenario, append(t.entryVMs, t.controlVMs...))
	return t, err
}

// open opens the listeners that the role of the VM needs.
func (v *vm) open() error {
	targets := []*net.Listener{&v.listeners.Internal, &v.listeners.Operators}
	if v.role == settings.RoleEntry {
		targets = []*net.Listener{&v.listeners.Internal, &v.listeners.Callers, &v.listeners.Backends}
	}
	for _, listener := range targets {
		opened, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("VM %s: %w", v.peer.Name, err)
		}
		*listener = opened
	}
	v.peer.Internal = addressOf(v.listeners.Internal)
	v.peer.Backends = addressOf(v.listeners.Backends)
	v.peer.Operators = addressOf(v.listeners.Operators)
	return nil
}

func addressOf(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// peersOf returns vms as peers in the settings of a VM in zone. The internal address of a
// VM in another zone is that of a delayed link.
func (t *topology) peersOf(vms []*vm, zone string) []settings.Peer {
	peers := make([]settings.Peer, len(vms))
	for i, v := range vms {
		peers[i] = v.peer
		peers[i].Internal = t.links.address(zone, v.peer)
	}
	return peers
}

// seeds returns the addresses at which the entry VMs of each zone accept announcements.
func (t *topology) seeds() map[string][]string {
	seeds := map[string][]string{}
	for _, entry := range t.entryVMs {
		seeds[entry.peer.Zone] = append(seeds[entry.peer.Zone], entry.peer.Backends)
	}
	return seeds
}

// settingsOf returns the settings of v.
func (t *topology) settingsOf(v *vm, options Options) *settings.Settings {
	config := settings.Defaults()
	config.Cluster = options.Scenario.Name
	config.VM = settings.VM{Name: v.peer.Name, Zone: v.peer.Zone}
	config.Roles = []settings.Role{v.role}
	config.Listen = settings.Listen{
		Callers: addressOf(v.listeners.Callers), Backends: v.peer.Backends,
		Internal: v.peer.Internal, Operators: v.peer.Operators,
	}
	config.EntryVMs, config.ControlVMs = t.peersOf(t.entryVMs, v.peer.Zone), t.peersOf(t.controlVMs, v.peer.Zone)
	config.Operators = settings.Operators{RequiredSignatures: 1, Keys: []settings.OperatorKey{{
		Name: operatorName, Ed25519: base64.StdEncoding.EncodeToString(t.operatorKey.Public().(ed25519.PublicKey)),
	}}}
	if v.role == settings.RoleControl {
		config.DataDir = filepath.Join(t.dir, v.peer.Name)
		config.Control.Bootstrap = true
	}
	if len(t.controlVMs) == 0 {
		config.BundleFile = options.Scenario.BundlePath
	}
	config.Routing.Policy = options.Policy
	config.Shutdown.BalancerWait = jsonc.Duration(balancerWait)
	return &config
}
