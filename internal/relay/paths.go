// Package relay connects an entry VM to backend servers through another entry VM while it cannot reach them itself.
//
// Paths records which servers this VM reaches, Dialer opens connections by it, and Server relays the connections of other
// VMs. A relayed connection makes one hop: a Server connects to backend servers only. Both ends see the same bytes, so a
// request keeps its deadline, its cancellation and its outcome.
package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minBrokenPaths is the number of servers that only other VMs reach from which this VM is considered cut off from all
	// servers, unless it has reached any since.
	minBrokenPaths = 2
	// minFailedPaths is the same for servers of which it is not known whether other VMs reach them.
	minFailedPaths = 3
	// failureWindow is how long a failed connection counts towards minFailedPaths.
	failureWindow = 10 * time.Second
	// maxProbes limits the connections that one round of probes opens.
	maxProbes = 8
	// missRetention is how long a VM that did not reach a server either is asked after all others.
	missRetention = 5 * time.Second
	// resolveInterval is the minimum time between two searches for a VM that reaches the same server.
	resolveInterval = time.Second
	// minPeerBackoff and maxPeerBackoff bound the time in which a VM that failed to relay is not asked again.
	minPeerBackoff = time.Second
	maxPeerBackoff = 8 * time.Second
	// maxSuspects is the number of other paths that are checked when a connection fails or takes long, suspectInterval the
	// minimum time between two such checks.
	maxSuspects     = minBrokenPaths
	suspectInterval = 500 * time.Millisecond
	// retention is how long a path that is not used is kept.
	retention = time.Minute
)

// Peer is another entry VM that relays connections.
type Peer struct {
	VM   string
	Zone string
	// Address is the "ip:port" of its relay.
	Address string
	// CutOff is set while the VM reports that it reaches no server itself.
	CutOff bool
}

// path is what is known of the direct path to one server.
type path struct {
	// failedAt is when the first direct connection failed since the last one that was opened, zero if none has.
	// lastFailedAt is when the last one failed.
	failedAt     time.Time
	lastFailedAt time.Time
	// broken is set while another VM reaches the server and this VM does not.
	broken   bool
	probedAt time.Time
	// peer is the address of the VM that last reached the server, empty if none is known.
	peer string
	// missedBy holds when other VMs last did not reach the server, by the addresses of their relays.
	missedBy   map[string]time.Time
	resolvedAt time.Time
	// usedAt is when a connection for a request was last asked for.
	usedAt time.Time
}

// peerState is what is known of one peer.
type peerState struct {
	failures     int
	backoffUntil time.Time
	// open is the number of connections that the peer relays for this VM.
	open int
}

// Paths records which backend servers this VM reaches directly. Servers are identified by their "ip:port". The time is
// passed in. It is safe for concurrent use.
type Paths struct {
	mu    sync.Mutex
	paths map[string]*path
	// directAt is when any server last answered on a new direct connection.
	directAt time.Time
	// suspectedAt is when Suspects last returned servers.
	suspectedAt time.Time
	// peers is keyed by Peer.Address.
	peers map[string]*peerState
}

// NewPaths returns a Paths by which all servers are reachable.
func NewPaths() *Paths {
	return &Paths{paths: map[string]*path{}, peers: map[string]*peerState{}}
}

func (p *Paths) path(address string) *path {
	known := p.paths[address]
	if known == nil {
		known = &path{}
		p.paths[address] = known
	}
	return known
}

// DirectOpened records that a direct connection to a server was opened. It is no proof that the path carries data.
func (p *Paths) DirectOpened(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.path(address); !known.broken {
		known.failedAt = time.Time{}
	}
}

// DirectAnswered records that a server has answered on a new direct connection.
func (p *Paths) DirectAnswered(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	*known = path{probedAt: known.probedAt, resolvedAt: known.resolvedAt, usedAt: known.usedAt}
	p.directAt = now
}

// DirectFailed records that a direct connection to a server could not be opened.
func (p *Paths) DirectFailed(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	known.lastFailedAt = now
	if known.failedAt.IsZero() {
		known.failedAt = now
	}
}

// ReachedByPeer records that another VM has reached the server while this VM could not. peer is the address of its relay.
func (p *Paths) ReachedByPeer(now time.Time, address, peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	known.broken, known.peer = true, peer
	if known.failedAt.IsZero() {
		known.failedAt = now
	}
}

// MissedByPeer records that another VM does not reach the server either.
func (p *Paths) MissedByPeer(now time.Time, address, peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	if known.missedBy == nil {
		known.missedBy = map[string]time.Time{}
	}
	known.missedBy[peer] = now
	if known.peer == peer {
		known.peer = ""
	}
}

// ServerIsDown records that several other VMs do not reach the server either: most likely the server is at fault, not the
// path to it.
func (p *Paths) ServerIsDown(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	known.broken, known.peer = false, ""
}

// BeginResolve tells whether a VM that reaches the server should be searched now. It returns false for a while after it
// has returned true.
func (p *Paths) BeginResolve(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	if now.Sub(known.resolvedAt) < resolveInterval {
		return false
	}
	known.resolvedAt = now
	return true
}

// Forget drops what is known of the path to a server that is gone.
func (p *Paths) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.paths, address)
}

// Use records that a connection to a server is needed, and tells whether a peer should be asked for it first: the direct
// path is broken, or this VM is most likely cut off.
func (p *Paths) Use(now time.Time, address string) (peerFirst bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	known.usedAt = now
	broken, failed := p.count(now)
	return known.broken || broken >= minBrokenPaths || failed >= minFailedPaths
}

// IsBroken tells whether the server is most likely up although this VM does not reach it directly: another VM reaches it,
// or several other servers that this VM does not reach.
func (p *Paths) IsBroken(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.paths[address]
	broken, _ := p.count(now)
	return known != nil && known.broken || broken >= minBrokenPaths
}

// IsCutOff tells whether this VM most likely reaches no server directly. While no other VM reaches them either, the servers
// may be at fault.
func (p *Paths) IsCutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	broken, failed := p.count(now)
	return broken >= minBrokenPaths || failed >= minFailedPaths
}

// count returns the numbers of broken paths, and of those that are broken or have failed lately, that have not carried an
// answer since any path has.
func (p *Paths) count(now time.Time) (broken, failed int) {
	for _, known := range p.paths {
		if known.failedAt.IsZero() || known.failedAt.Before(p.directAt) {
			continue
		}
		if known.broken {
			broken++
		}
		if known.broken || now.Sub(known.lastFailedAt) < failureWindow {
			failed++
		}
	}
	return broken, failed
}

// Suspects returns servers whose paths should be checked because a connection to the given one has failed or takes long:
// those that were used last. It returns none while the answer is known, and for a while after it has returned some.
func (p *Paths) Suspects(now time.Time, address string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if broken, _ := p.count(now); broken >= minBrokenPaths || now.Sub(p.suspectedAt) < suspectInterval {
		return nil
	}
	var suspects []string
	for other, known := range p.paths {
		if other != address && !known.broken {
			suspects = append(suspects, other)
		}
	}
	slices.SortFunc(suspects, func(a, b string) int {
		return cmp.Or(p.paths[b].usedAt.Compare(p.paths[a].usedAt), cmp.Compare(a, b))
	})
	p.suspectedAt = now
	return suspects[:min(len(suspects), maxSuspects)]
}

// ProbeTargets returns the servers to which a direct connection should be tried now, those that were not tried for the
// longest time first: those with a broken path and, while this VM is cut off, all others as well. It drops what is known of
// servers that were not used for a while.
func (p *Paths) ProbeTargets(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	broken, failed := p.count(now)
	cutOff := broken >= minBrokenPaths || failed >= minFailedPaths
	var targets []string
	for address, known := range p.paths {
		if now.Sub(known.usedAt) > retention {
			delete(p.paths, address)
			continue
		}
		if known.broken || cutOff {
			targets = append(targets, address)
		}
	}
	slices.SortFunc(targets, func(a, b string) int {
		return cmp.Or(p.paths[a].probedAt.Compare(p.paths[b].probedAt), cmp.Compare(a, b))
	})
	targets = targets[:min(len(targets), maxProbes)]
	for _, address := range targets {
		p.paths[address].probedAt = now
	}
	return targets
}

// Peers returns the VMs to ask for a connection to a server, in this order: the one that last reached it; those that did not
// miss it recently; those of the own availability zone; those with the fewest connections for this VM. VMs that are cut
// off are left out, and those in backoff while there are others. reached tells whether the first one has reached the server before.
func (p *Paths) Peers(now time.Time, zone, address string, all []Peer) (usable []Peer, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(address)
	var waiting []Peer
	usable = make([]Peer, 0, len(all))
	for _, peer := range all {
		switch state := p.peers[peer.Address]; {
		case peer.CutOff:
		case state != nil && now.Before(state.backoffUntil):
			waiting = append(waiting, peer)
		default:
			usable = append(usable, peer)
		}
	}
	if len(usable) == 0 {
		usable = waiting
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	rank := func(peer Peer) int {
		at, hasMissed := known.missedBy[peer.Address]
		switch {
		case peer.Address == known.peer:
			return 0
		case hasMissed && now.Sub(at) < missRetention:
			return 3
		case peer.Zone == zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(usable, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(p.openAt(a.Address), p.openAt(b.Address)))
	})
	return usable, len(usable) > 0 && known.peer != "" && usable[0].Address == known.peer
}

func (p *Paths) openAt(address string) int {
	if state := p.peers[address]; state != nil {
		return state.open
	}
	return 0
}

// PeerFailed records that a peer could not relay, for a reason other than the server. In the backoff that follows, further
// failures change nothing.
func (p *Paths) PeerFailed(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.peer(address)
	if now.Before(state.backoffUntil) {
		return
	}
	state.backoffUntil = now.Add(min(minPeerBackoff<<min(state.failures, 8), maxPeerBackoff))
	state.failures++
}

// RelayOpened records that a peer relays a connection.
func (p *Paths) RelayOpened(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.peer(address)
	state.open++
	state.failures, state.backoffUntil = 0, time.Time{}
}

// RelayClosed records the end of a connection for which RelayOpened was called.
func (p *Paths) RelayClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(address).open--
}

// KeepPeers drops what is known of all VMs but the given ones, unless they relay a connection.
func (p *Paths) KeepPeers(peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, state := range p.peers {
		if state.open <= 0 && !slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Address == address }) {
			delete(p.peers, address)
		}
	}
}

func (p *Paths) peer(address string) *peerState {
	state := p.peers[address]
	if state == nil {
		state = &peerState{}
		p.peers[address] = state
	}
	return state
}
