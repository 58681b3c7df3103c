// Package distribute propagates the accepted bundle from the control VMs to every VM, and the reports of all VMs to the
// control VMs. The VMs form a tree of gRPC streams: each entry VM watches an upstream, which is a control VM or another
// entry VM. It forwards bundles to a bounded number of watchers below it, and their reports to its upstream. Control
// VMs watch the leader.
//
// Each receiver verifies the digest and the signatures of a bundle. Accepting bundles from operators and replicating
// them by consensus is outside this package.
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
	// heartbeatInterval is the interval at which both sides of a stream send a message even if nothing has changed.
	heartbeatInterval = 1500 * time.Millisecond
	// unresponsiveAfter is the time without a message after which either side of a stream considers the other one
	// unresponsive and ends the stream.
	unresponsiveAfter = 4 * time.Second
	// reportInterval is the interval at which unchanged reports are confirmed.
	reportInterval = 5 * time.Second
	// reportDelay is the wait after a change of the bundle or of a report, so that one message carries all changes
	// within that time.
	reportDelay = 100 * time.Millisecond
	// maxPathLength is the maximum number of VMs on the path from a control VM to a watcher, both included.
	maxPathLength = 6
	// DefaultMaxWatchers is the default maximum number of watchers that one VM serves. Control VMs that watch the
	// leader don't count.
	DefaultMaxWatchers = 8
)

// Self identifies this VM to other VMs.
type Self struct {
	VM   string
	Zone string
	// Control is true on a control VM.
	Control bool
	// Incarnation increases with each start of the process.
	Incarnation uint64
}

// NodeOptions configures a Node.
type NodeOptions struct {
	Self Self
	// Keys verifies the signatures of received bundles.
	Keys *bundle.Keyring
	// Holder holds the bundle in force on this VM; the node puts newer bundles in force there.
	Holder *bundle.Holder
	// Servers returns the backend servers that this VM is responsible for. Nil means none.
	Servers func() []BackendServer
	// KnowsLeader reports whether this control VM knows the leader. It is nil on entry VMs.
	KnowsLeader func() bool
	// MaxWatchers is the maximum number of watchers that this VM serves; 0 means DefaultMaxWatchers.
	MaxWatchers int
	Log         zerolog.Logger
}

// Node is the state of one VM in the tree, which its Server and its Client share: the bundle in force, the path to a
// control VM, the reports of the VMs below and the members of the control group. It is safe for concurrent use.
type Node struct {
	options NodeOptions
	store   *Store
	reports *Reports

	mu sync.Mutex
	// upstreamPath is the path of the upstream; nil while there is none.
	upstreamPath []string
	// lastReport is the last report of this VM; nil before the first one.
	lastReport *distributepb.Report
	// knownControlVMs holds the members of the control group; nil while they are unknown.
	knownControlVMs *distributepb.ControlVMs
	// ready is true once the initial polling of peers is over.
	ready bool
}

// NewNode returns a node without a bundle.
func NewNode(options NodeOptions) *Node {
	if options.MaxWatchers == 0 {
		options.MaxWatchers = DefaultMaxWatchers
	}
	if options.Servers == nil {
		options.Servers = func() []BackendServer { return nil }
	}
	return &Node{options: options, store: NewStore(options.Holder), reports: NewReports()}
}

// Store returns the store with the bundle that the node forwards.
func (n *Node) Store() *Store { return n.store }

// Keys returns the keys that verify the signatures of bundles.
func (n *Node) Keys() *bundle.Keyring { return n.options.Keys }

// Reports returns the newest report of this VM and of each VM below it, ordered by VM name.
func (n *Node) Reports() []Report {
	now := time.Now()
	n.reports.Merge([]*distributepb.Report{n.ownReport()}, now)
	return n.reports.All(now)
}

// SetControlVMs sets the members of the control group as of a revision, which the server then forwards to watchers. It
// does nothing if vms is empty or if the same or a later revision is known.
func (n *Node) SetControlVMs(revision uint64, vms []Peer) {
	message := &distributepb.ControlVMs{Revision: revision}
	for _, vm := range vms {
		message.Vms = append(message.Vms, &distributepb.ControlVM{Name: vm.Name, Zone: vm.Zone, Internal: vm.Address})
	}
	n.applyControlVMs(message)
}

func (n *Node) applyControlVMs(message *distributepb.ControlVMs) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(message.GetVms()) > 0 && message.GetRevision() > n.knownControlVMs.GetRevision() {
		n.knownControlVMs = message
	}
}

func (n *Node) controlVMs() *distributepb.ControlVMs {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownControlVMs
}

// ControlVMs returns the members of the control group, nil while they are unknown.
func (n *Node) ControlVMs() []Peer {
	var peers []Peer
	for _, vm := range n.controlVMs().GetVms() {
		peers = append(peers, Peer{Name: vm.GetName(), Zone: vm.GetZone(), Address: vm.GetInternal(), Control: true})
	}
	return peers
}

// IsReady reports whether a bundle is in force on this VM and the initial polling of peers for the newest bundle is
// over. The VM must not serve requests before.
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

// path returns the names of the VMs from a control VM that knows the leader down to this VM, or nil while there is no
// such path.
func (n *Node) path() []string {
	if n.options.KnowsLeader != nil {
		if n.options.KnowsLeader() {
			return []string{n.options.Self.VM}
		}
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.upstreamPath) == 0 {
		return nil
	}
	return append(slices.Clone(n.upstreamPath), n.options.Self.VM)
}

// IsAttached reports whether this VM has a path to a control VM that knows the leader.
func (n *Node) IsAttached() bool { return len(n.path()) > 0 }

func (n *Node) setUpstreamPath(path []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstreamPath = path
}

// isUsablePath reports whether the VM self may watch an upstream with this path: the path starts at a control VM, with
// self it has at most maxPathLength VMs, and it doesn't contain self, which would be a loop.
func isUsablePath(path []string, self string) bool {
	return len(path) > 0 && len(path) < maxPathLength && !slices.Contains(path, self)
}

// applyBundle verifies a bundle received from the VM named from and puts it in force, unless the version in force is
// at least as high. It returns an error if the bundle is refused.
func (n *Node) applyBundle(message *distributepb.Bundle, from string) error {
	var base []byte
	if message.GetBase() != 0 {
		base = n.store.Content(message.GetBase())
	}
	verified, err := decodeBundle(message, base, n.options.Keys)
	if err != nil {
		observe.Log(n.options.Log, observe.BundleRefused).
			Uint64("version", message.GetVersion()).Str("from", from).Err(err).Send()
		return err
	}
	if n.store.put(verified, message) {
		observe.Log(n.options.Log, observe.BundleInForce).
			Uint64("version", verified.Version()).Str("digest", verified.Digest()).Str("from", from).Send()
	}
	return nil
}

// ownReport returns the report of this VM. Its sequence number increases with each change.
func (n *Node) ownReport() *distributepb.Report {
	newest := n.store.Newest()
	body := &distributepb.ReportBody{Version: newest.Version(), Digest: newest.Digest()}
	for _, server := range n.options.Servers() {
		body.Servers = append(body.Servers, serverToProto(server))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastReport != nil && proto.Equal(n.lastReport.GetBody(), body) {
		return n.lastReport
	}
	self := n.options.Self
	n.lastReport = &distributepb.Report{
		Vm: self.VM, Zone: self.Zone, Control: self.Control,
		Incarnation: self.Incarnation, Sequence: n.lastReport.GetSequence() + 1, Body: body,
	}
	return n.lastReport
}
