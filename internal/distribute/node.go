// Package distribute brings the accepted bundle to every VM and reports of all
// VMs back to the control VMs. VMs form a tree: control VMs at the root serve a
// bounded number of watchers, entry VMs pass on what they receive.
package distribute

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute/distributepb"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// heartbeatInterval is the longest time between two messages of a stream,
	// in both directions.
	heartbeatInterval = 1500 * time.Millisecond
	// silentAfter is the silence after which a stream is abandoned.
	silentAfter = 4 * time.Second
	// reportInterval is how often unchanged reports are confirmed.
	reportInterval = 5 * time.Second
	// reportDelay collects changes of reports before they are sent.
	reportDelay = 100 * time.Millisecond
	// maxPath bounds the VMs from a control VM to a watcher.
	maxPath = 6
	// DefaultMaxWatchers is the number of watchers that one VM serves.
	DefaultMaxWatchers = 8
)

// Self is what a VM tells of itself.
type Self struct {
	VM      string
	Zone    string
	Control bool
	// Incarnation grows with each start of the process.
	Incarnation uint64
}

// NodeOptions configures a Node.
type NodeOptions struct {
	Self Self
	Keys *bundle.Keyring
	// Holder receives the bundles that are put in force on this VM.
	Holder *bundle.Holder
	// Servers lists the backend servers that this VM is responsible for. It
	// may be nil.
	Servers func() []BackendServer
	// KnowsLeader tells whether this VM is a control VM that knows the leader. Nil
	// on entry VMs.
	KnowsLeader func() bool
	// MaxWatchers bounds the watchers served, 0 for DefaultMaxWatchers.
	MaxWatchers int
	Log         zerolog.Logger
}

// Node is one VM's part of the tree: what its server passes on and its client
// receives. It is safe for concurrent use.
type Node struct {
	options NodeOptions
	store   *Store
	reports *Reports

	mu       sync.Mutex
	upstream []string
	own      *distributepb.Report
	control  *distributepb.ControlVMs
	ready    bool
}

// NewNode returns a node that holds no bundle.
func NewNode(options NodeOptions) *Node {
	if options.MaxWatchers == 0 {
		options.MaxWatchers = DefaultMaxWatchers
	}
	if options.Servers == nil {
		options.Servers = func() []BackendServer { return nil }
	}
	return &Node{options: options, store: NewStore(options.Holder), reports: NewReports()}
}

// Store returns what the node passes on.
func (n *Node) Store() *Store { return n.store }

// Keys returns the keys that bundles are verified with.
func (n *Node) Keys() *bundle.Keyring { return n.options.Keys }

// Reports returns the newest report of each VM below this one and of this VM
// itself.
func (n *Node) Reports() []Report {
	now := time.Now()
	n.reports.Merge([]*distributepb.Report{n.ownReport()}, now)
	return n.reports.All(now)
}

// SetControlVMs takes the members of the control group as of a revision and
// passes them on, unless a later revision is known.
func (n *Node) SetControlVMs(revision uint64, vms []Peer) {
	message := &distributepb.ControlVMs{Revision: revision}
	for _, vm := range vms {
		message.Vms = append(message.Vms, &distributepb.ControlVM{Name: vm.Name, Zone: vm.Zone, Internal: vm.Address})
	}
	n.receiveControlVMs(message)
}

func (n *Node) receiveControlVMs(message *distributepb.ControlVMs) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(message.GetVms()) > 0 && message.GetRevision() > n.control.GetRevision() {
		n.control = message
	}
}

func (n *Node) controlVMs() *distributepb.ControlVMs {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control
}

// ControlVMs returns the members of the control group, nil before they are
// learnt.
func (n *Node) ControlVMs() []Peer {
	var peers []Peer
	for _, vm := range n.controlVMs().GetVms() {
		peers = append(peers, Peer{Name: vm.GetName(), Zone: vm.GetZone(), Address: vm.GetInternal(), Control: true})
	}
	return peers
}

// IsReady reports whether the VM has asked for the newest bundle and holds one.
// Before that it must not serve requests.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && n.options.Holder.Current() != nil
}

func (n *Node) setReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = true
}

// path returns the VMs from a control VM that knows the leader down to this
// one, or nil while there is no such path.
func (n *Node) path() []string {
	if n.options.KnowsLeader != nil {
		if n.options.KnowsLeader() {
			return []string{n.options.Self.VM}
		}
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.upstream) == 0 {
		return nil
	}
	return append(slices.Clone(n.upstream), n.options.Self.VM)
}

// IsAttached reports whether a path to a control VM that knows the leader is up.
func (n *Node) IsAttached() bool { return len(n.path()) > 0 }

func (n *Node) setUpstream(path []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstream = path
}

// usablePath reports whether a VM may watch an upstream with this path: the
// path leads to a control VM, is short, and does not come back to the VM.
func usablePath(path []string, self string) bool {
	return len(path) > 0 && len(path) < maxPath && !slices.Contains(path, self)
}

// receive verifies a bundle from another VM and puts it in force.
func (n *Node) receive(message *distributepb.Bundle, from string) error {
	var base []byte
	if message.GetBase() != 0 {
		base = n.store.Content(message.GetBase())
	}
	sealed, err := open(message, base, n.options.Keys)
	if err != nil {
		observe.Log(n.options.Log, observe.BundleRefused).
			Uint64("version", message.GetVersion()).Str("from", from).Err(err).Send()
		return err
	}
	if n.store.put(sealed, message) {
		observe.Log(n.options.Log, observe.BundleInForce).
			Uint64("version", sealed.Version()).Str("digest", sealed.Digest()).Str("from", from).Send()
	}
	return nil
}

// ownReport returns this VM's report; its sequence grows when it changes.
func (n *Node) ownReport() *distributepb.Report {
	newest := n.store.Newest()
	body := &distributepb.ReportBody{Version: newest.Version(), Digest: newest.Digest()}
	for _, server := range n.options.Servers() {
		body.Servers = append(body.Servers, serverMessage(server))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own != nil && proto.Equal(n.own.GetBody(), body) {
		return n.own
	}
	self := n.options.Self
	n.own = &distributepb.Report{
		Vm: self.VM, Zone: self.Zone, Control: self.Control,
		Incarnation: self.Incarnation, Sequence: n.own.GetSequence() + 1, Body: body,
	}
	return n.own
}
