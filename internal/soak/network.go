package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maxChunkBytes is the maximum number of bytes forwarded at once.
	maxChunkBytes = 16 << 10
	// dialTimeout is the timeout of the connection attempt to the target node.
	dialTimeout = time.Second
	// listenCheckInterval is the interval at which forwardWhileListening checks an address on which no node listens.
	listenCheckInterval = 50 * time.Millisecond
)

// anyNode, as one end of a link, stands for all nodes.
const anyNode = "*"

// link is one direction of the traffic between two nodes.
type link struct{ from, to string }

// network is a TCP proxy between nodes that can block, delay, stall and reset their connections. It identifies a
// connecting node by its source IP address.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	// names holds the names of nodes by the source IP address of their connections.
	names map[string]string
	// blocked holds, by link, the number of block calls without their unblock call.
	blocked map[link]int
	// refused holds, by link, the number of refuse calls without their accept call.
	refused map[link]int
	delays  map[link]time.Duration
	relays  map[*relay]bool
	closed  bool

	listeners []net.Listener
	// listenersByNode holds the listeners that forward to a node. It is complete before dropDials is called.
	listenersByNode map[string][]*net.TCPListener
	running         sync.WaitGroup
}

// relay is a connection from one node to another through the network. It consists of the connection client, accepted
// from the node from, and the connection server, dialed to the node to.
type relay struct {
	from, to       string
	client, server *net.TCPConn
	// stalled is set on a relay that stays open but forwards no more bytes.
	stalled bool
	closed  bool
}

func newNetwork() *network {
	n := &network{names: map[string]string{}, blocked: map[link]int{}, refused: map[link]int{}, delays: map[link]time.Duration{}, relays: map[*relay]bool{},
		listenersByNode: map[string][]*net.TCPListener{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// setName sets the name of the node whose connections come from ip.
func (n *network) setName(ip, node string) { n.update(func() { n.names[ip] = node }) }

func (n *network) nameOf(ip string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[ip]
}

// forward listens on the address public and forwards each accepted connection to own, the address on which node listens.
func (n *network) forward(public, own, node string) error {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Linux attaches no filter to a multipath listener
	listener, err := listenWhenFree(func() (net.Listener, error) { return config.Listen(context.Background(), "tcp", public) })
	if err != nil {
		return err
	}
	n.update(func() {
		n.listeners = append(n.listeners, listener)
		n.listenersByNode[node] = append(n.listenersByNode[node], listener.(*net.TCPListener))
	})
	n.running.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return // closed by network.close
			}
			n.running.Go(func() { _ = n.relay(accepted.(*net.TCPConn), own, node) }) // the client sees the failure
		}
	})
	return nil
}

// forwardWhileListening is forward for an address on which node does not listen all the time. A connection is refused
// once an earlier one has found that node does not listen.
func (n *network) forwardWhileListening(public, own, node string) {
	n.running.Go(func() {
		for !n.isClosed() {
			probe, err := net.DialTimeout("tcp", own, dialTimeout)
			if err != nil {
				time.Sleep(listenCheckInterval)
				continue
			}
			_ = probe.Close()
			n.forwardUntilRefused(public, own, node)
		}
	})
}

// forwardUntilRefused forwards connections until own refuses one or the network is closed.
func (n *network) forwardUntilRefused(public, own, node string) {
	listener, err := net.Listen("tcp", public)
	if err != nil {
		return
	}
	n.update(func() {
		n.listeners = append(n.listeners, listener)
		if n.closed {
			_ = listener.Close()
		}
	})
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return // closed below or by network.close
		}
		n.running.Go(func() {
			if err := n.relay(accepted.(*net.TCPConn), own, node); errors.Is(err, syscall.ECONNREFUSED) {
				_ = listener.Close()
			}
		})
	}
}

func (n *network) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// relay forwards one connection to own until its end. It returns an error if it can't connect to own, and resets client.
func (n *network) relay(client *net.TCPConn, own, node string) error {
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String()) // always has a port
	r := &relay{from: n.nameOf(host), to: node, client: client}
	if n.isRefused(link{r.from, node}) {
		reset(client)
		return nil
	}
	// The target node must see the IP address of the node that connects.
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: client.RemoteAddr().(*net.TCPAddr).IP}}
	dialed, err := dialer.Dial("tcp", own)
	if err != nil {
		reset(client)
		return err
	}
	r.server = dialed.(*net.TCPConn)
	n.mu.Lock()
	n.relays[r] = true
	closed := n.closed
	n.mu.Unlock()
	if closed {
		n.closeRelay(r)
	}
	var both sync.WaitGroup
	both.Go(func() { n.pump(r, r.server, client, link{r.from, r.to}) })
	both.Go(func() { n.pump(r, client, r.server, link{r.to, r.from}) })
	both.Wait()
	n.closeRelay(r)
	n.mu.Lock()
	delete(n.relays, r)
	n.mu.Unlock()
	return nil
}

// pump copies one direction of a relay until the connection ends or the relay is closed.
func (n *network) pump(r *relay, to, from *net.TCPConn, direction link) {
	buffer := make([]byte, maxChunkBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !n.waitUntilOpen(r, direction) {
				return
			}
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				n.closeRelay(r)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if n.waitUntilOpen(r, direction) {
				_ = to.CloseWrite() // the other side may have closed already
			}
			return
		}
		if err != nil {
			n.closeRelay(r)
			return
		}
	}
}

// waitUntilOpen waits while the relay is stalled or the direction blocked, then for the delay of the direction. It
// reports whether the relay was still open before the delay.
func (n *network) waitUntilOpen(r *relay, direction link) bool {
	n.mu.Lock()
	for !r.closed && (r.stalled || n.isBlocked(direction)) {
		n.changed.Wait()
	}
	delay := max(n.delays[direction], n.delays[link{direction.from, anyNode}], n.delays[link{anyNode, direction.to}])
	closed := r.closed
	n.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

func (n *network) isBlocked(l link) bool {
	return n.blocked[l]+n.blocked[link{l.from, anyNode}]+n.blocked[link{anyNode, l.to}] > 0
}

// block holds back all bytes of a direction until unblock. Calls nest.
func (n *network) block(l link) { n.update(func() { n.blocked[l]++ }) }

func (n *network) unblock(l link) { n.update(func() { n.blocked[l]-- }) }

// refuse resets new connections from the start of a link to its end until accept. Calls nest.
func (n *network) refuse(l link) { n.update(func() { n.refused[l]++ }) }

func (n *network) accept(l link) { n.update(func() { n.refused[l]-- }) }

// dropDials drops the connection attempts to a node from the given IP addresses. It replaces the addresses of an earlier call.
func (n *network) dropDials(node string, sources []net.IP) error {
	for _, listener := range n.listenersByNode[node] {
		if err := dropDialsFrom(listener, sources); err != nil {
			return err
		}
	}
	return nil
}

// powerOff lets a node fall silent for good, as a VM without power: it acknowledges nothing, so that the send buffers of its
// peers fill, and dials to it get no answer.
func (n *network) powerOff(node string) error {
	var sockets []syscall.Conn
	for _, listener := range n.listenersByNode[node] {
		sockets = append(sockets, listener)
	}
	n.forEachRelay(node, func(r *relay) {
		r.stalled = true
		if r.to == node {
			sockets = append(sockets, r.client)
		} else {
			sockets = append(sockets, r.server)
		}
	})
	for _, socket := range sockets {
		if err := dropAllPackets(socket); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("drop packets to %s: %w", node, err)
		}
	}
	return nil
}

func (n *network) isRefused(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused[l] > 0
}

// delay delays each forwarded chunk of a direction by duration; 0 removes the delay.
func (n *network) delay(l link, duration time.Duration) { n.update(func() { n.delays[l] = duration }) }

// update calls change with the lock held and wakes the pumps that wait for a change.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	n.changed.Broadcast()
}

// forEachRelay calls do, with the lock held, for each relay from or to a node.
func (n *network) forEachRelay(node string, do func(*relay)) {
	n.update(func() {
		for r := range n.relays {
			if r.from == node || r.to == node {
				do(r)
			}
		}
	})
}

// resetLink resets the open connections from the start of a link to its end.
func (n *network) resetLink(l link) {
	n.forEachRelay(l.from, func(r *relay) {
		if r.from == l.from && r.to == l.to {
			n.closeRelayLocked(r)
		}
	})
}

// resetAll resets the open connections from and to a node.
func (n *network) resetAll(node string) { n.forEachRelay(node, n.closeRelayLocked) }

// stallAll permanently stalls the open connections from and to a node.
func (n *network) stallAll(node string) { n.forEachRelay(node, func(r *relay) { r.stalled = true }) }

func (n *network) closeRelay(r *relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeRelayLocked(r)
}

func (n *network) closeRelayLocked(r *relay) {
	if r.closed {
		return
	}
	r.closed = true
	reset(r.client)
	reset(r.server)
	n.changed.Broadcast()
}

// reset closes a connection and discards its unsent bytes, so that the peer sees a connection reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails on a closed connection only
	_ = conn.Close()
}

func (n *network) close() {
	n.update(func() {
		n.closed = true
		for _, listener := range n.listeners {
			_ = listener.Close()
		}
		for r := range n.relays {
			n.closeRelayLocked(r)
		}
	})
	n.running.Wait()
}
