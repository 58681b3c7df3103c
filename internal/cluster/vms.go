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
	// balancerWait is the time that a planned stop gives the balancer, several
	// times as long as it takes to see that an entry VM is not ready.
	balancerWait = 500 * time.Millisecond
	// operatorName names the operator key of a cluster.
	operatorName = "operator"
)

// vm is a VM whose listeners are open.
type vm struct {
	peer      settings.Peer
	role      settings.Role
	listeners process.Listeners
}

// topology is all VMs of a cluster. Every listener is open before the first
// process starts, so that each VM can be told the addresses of the others.
type topology struct {
	entries  []*vm
	controls []*vm
	// operator signs bundles.
	operator ed25519.PrivateKey
	folder   string
	links    *links
}

// openTopology opens the listeners of all VMs: the entry VMs of each zone, and
// one control VM in each zone when asked for.
func openTopology(scenario *load.Scenario, withControl bool, folder string) (*topology, error) {
	t := &topology{folder: folder}
	_, t.operator, _ = ed25519.GenerateKey(nil) // fails only when the random source does, which then panics
	for _, zone := range scenario.Fleet.Zones {
		for i := range scenario.Fleet.EntryVMsPerZone {
			peer := settings.Peer{Name: fmt.Sprintf("entry-%s%d", zone, i+1), Zone: zone}
			t.entries = append(t.entries, &vm{peer: peer, role: settings.RoleEntry})
		}
		if withControl {
			peer := settings.Peer{Name: "control-" + zone, Zone: zone}
			t.controls = append(t.controls, &vm{peer: peer, role: settings.RoleControl})
		}
	}
	for _, opened := range append(t.entries, t.controls...) {
		if err := opened.open(); err != nil {
			return nil, err
		}
	}
	var err error
	t.links, err = openLinks(scenario, append(t.entries, t.controls...))
	return t, err
}

func (v *vm) open() error {
	wanted := []*net.Listener{&v.listeners.Internal, &v.listeners.Operators}
	if v.role == settings.RoleEntry {
		wanted = []*net.Listener{&v.listeners.Internal, &v.listeners.Callers, &v.listeners.Backends}
	}
	for _, listener := range wanted {
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

// peersOf returns VMs as those of a zone are to reach them.
func (t *topology) peersOf(vms []*vm, zone string) []settings.Peer {
	peers := make([]settings.Peer, len(vms))
	for i, one := range vms {
		peers[i] = one.peer
		peers[i].Internal = t.links.address(zone, one.peer)
	}
	return peers
}

// seeds returns the announce addresses of the entry VMs of each zone.
func (t *topology) seeds() map[string][]string {
	seeds := map[string][]string{}
	for _, entry := range t.entries {
		seeds[entry.peer.Zone] = append(seeds[entry.peer.Zone], entry.peer.Backends)
	}
	return seeds
}

// settingsOf returns the settings of one VM.
func (t *topology) settingsOf(v *vm, options Options) *settings.Settings {
	config := settings.Defaults()
	config.Cluster = options.Scenario.Name
	config.VM = settings.VM{Name: v.peer.Name, Zone: v.peer.Zone}
	config.Roles = []settings.Role{v.role}
	config.Listen = settings.Listen{
		Callers: addressOf(v.listeners.Callers), Backends: v.peer.Backends,
		Internal: v.peer.Internal, Operators: v.peer.Operators,
	}
	config.EntryVMs, config.ControlVMs = t.peersOf(t.entries, v.peer.Zone), t.peersOf(t.controls, v.peer.Zone)
	config.Operators = settings.Operators{RequiredSignatures: 1, Keys: []settings.OperatorKey{{
		Name: operatorName, Ed25519: base64.StdEncoding.EncodeToString(t.operator.Public().(ed25519.PublicKey)),
	}}}
	if v.role == settings.RoleControl {
		config.DataDir = filepath.Join(t.folder, v.peer.Name)
		config.Control.Bootstrap = true
	}
	if len(t.controls) == 0 {
		config.BundleFile = options.Scenario.BundlePath
	}
	config.Routing.Policy = options.Policy
	config.Shutdown.BalancerWait = jsonc.Duration(balancerWait)
	return &config
}
