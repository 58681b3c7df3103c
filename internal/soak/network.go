package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// proxyBuffer is the largest piece that is passed on at once.
	proxyBuffer = 16 << 10
	// proxyDial bounds a connection to the process behind a proxy.
	proxyDial = time.Second
)

// everyone stands for all nodes as one end of a link.
const everyone = "*"

// link is one direction between two nodes.
type link struct{ from, to string }

// network passes connections between nodes on and disturbs them. Nodes are
// told apart by the IP number that they connect from.
type network struct {
	names map[string]string

	mu      sync.Mutex
	changed *sync.Cond
	cuts    map[link]int
	delays  map[link]time.Duration
	relays  map[*relay]bool
	closed  bool

	listeners []net.Listener
	running   sync.WaitGroup
}

// relay is a connection through the network.
type relay struct {
	from, to       string
	client, server *net.TCPConn
	// silent relays pass nothing on any more.
	silent bool
	closed bool
}

func newNetwork() *network {
	n := &network{names: map[string]string{}, cuts: map[link]int{}, delays: map[link]time.Duration{}, relays: map[*relay]bool{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// name makes connections from an IP number those of a node.
func (n *network) name(ip, node string) { n.names[ip] = node }

// forward passes connections to the public address on to the node's own one.
func (n *network) forward(public, own, node string) error {
	listener, err := net.Listen("tcp", public)
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, listener)
	n.running.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return // closed at the end
			}
			n.running.Go(func() { n.relay(accepted.(*net.TCPConn), own, node) })
		}
	})
	return nil
}

func (n *network) relay(client *net.TCPConn, own, node string) {
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String()) // always has a port
	r := &relay{from: n.names[host], to: node, client: client}
	// The node behind sees the IP number of the one that connects.
	dialer := net.Dialer{Timeout: proxyDial, LocalAddr: &net.TCPAddr{IP: client.RemoteAddr().(*net.TCPAddr).IP}}
	dialed, err := dialer.Dial("tcp", own)
	if err != nil {
		reset(client)
		return
	}
	r.server = dialed.(*net.TCPConn)
	n.mu.Lock()
	n.relays[r] = true
	closed := n.closed
	n.mu.Unlock()
	if closed {
		n.end(r)
	}
	var both sync.WaitGroup
	both.Go(func() { n.pump(r, r.server, client, link{r.from, r.to}) })
	both.Go(func() { n.pump(r, client, r.server, link{r.to, r.from}) })
	both.Wait()
	n.end(r)
	n.mu.Lock()
	delete(n.relays, r)
	n.mu.Unlock()
}

// pump copies one direction of a relay.
func (n *network) pump(r *relay, to, from *net.TCPConn, direction link) {
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !n.admit(r, direction) {
				return
			}
			if _, failure := to.Write(buffer[:count]); failure != nil {
				n.end(r)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if n.admit(r, direction) {
				_ = to.CloseWrite() // the other side may have closed already
			}
			return
		}
		if err != nil {
			n.end(r)
			return
		}
	}
}

// admit waits until bytes may pass, and tells whether the relay still is open.
func (n *network) admit(r *relay, direction link) bool {
	n.mu.Lock()
	for !r.closed && (r.silent || n.isCut(direction)) {
		n.changed.Wait()
	}
	delay := max(n.delays[direction], n.delays[link{direction.from, everyone}], n.delays[link{everyone, direction.to}])
	closed := r.closed
	n.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

func (n *network) isCut(l link) bool {
	return n.cuts[l]+n.cuts[link{l.from, everyone}]+n.cuts[link{everyone, l.to}] > 0
}

// cut holds back all bytes of a direction until heal.
func (n *network) cut(l link) { n.update(func() { n.cuts[l]++ }) }

func (n *network) heal(l link) { n.update(func() { n.cuts[l]-- }) }

// delay slows each piece of a direction down; 0 ends it.
func (n *network) delay(l link, by time.Duration) { n.update(func() { n.delays[l] = by }) }

func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	n.changed.Broadcast()
}

// each calls do for the open relays of a node.
func (n *network) each(node string, do func(*relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.relays {
		if r.from == node || r.to == node {
			do(r)
		}
	}
	n.changed.Broadcast()
}

// resetAll resets the open connections of a node.
func (n *network) resetAll(node string) { n.each(node, n.endLocked) }

// silenceAll makes the open connections of a node silent for good.
func (n *network) silenceAll(node string) { n.each(node, func(r *relay) { r.silent = true }) }

func (n *network) end(r *relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endLocked(r)
}

func (n *network) endLocked(r *relay) {
	if r.closed {
		return
	}
	r.closed = true
	reset(r.client)
	reset(r.server)
	n.changed.Broadcast()
}

// reset closes a connection so that its other side sees a reset, unless all
// bytes were passed on.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails on a closed connection only
	_ = conn.Close()
}

func (n *network) close() {
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	n.update(func() {
		n.closed = true
		for r := range n.relays {
			n.endLocked(r)
		}
	})
	n.running.Wait()
}
