package distribute_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/test/bufconn"
)

// network connects VMs in memory. A partition makes new connections fail and drops all bytes on open ones. A blackhole
// drops the bytes on open connections only.
type network struct {
	delay time.Duration

	mu          sync.Mutex
	listeners   map[string]*bufconn.Listener
	partitioned map[[2]string]bool
	links       []*link
}

var errPartitioned = errors.New("the network is partitioned")

func newNetwork(delay time.Duration) *network {
	return &network{delay: delay, listeners: map[string]*bufconn.Listener{}, partitioned: map[[2]string]bool{}}
}

func (n *network) listen(vm string) *bufconn.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[vm] = bufconn.Listen(1 << 20)
	return n.listeners[vm]
}

// dialer returns the dialer of the VM from. Addresses are VM names.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		listener, found := n.listeners[to]
		isPartitioned := n.partitioned[[2]string{from, to}]
		n.mu.Unlock()
		if isPartitioned || !found {
			return nil, errPartitioned
		}
		conn, err := listener.DialContext(ctx)
		if err != nil {
			return nil, err
		}
		l := newLink(conn, from, to, n.delay)
		n.mu.Lock()
		n.links = append(n.links, l)
		n.mu.Unlock()
		return l, nil
	}
}

// setPartitioned sets or ends the partition between each VM of a and each VM of b, in both directions. Connections that
// were open when the partition began remain blackholed after its end.
func (n *network) setPartitioned(a, b []string, partitioned bool) {
	for _, x := range a {
		for _, y := range b {
			n.mu.Lock()
			n.partitioned[[2]string{x, y}], n.partitioned[[2]string{y, x}] = partitioned, partitioned
			n.mu.Unlock()
			if partitioned {
				n.blackhole(x, y)
			}
		}
	}
}

// blackhole drops all further bytes on the open connections between a and b, in both directions.
func (n *network) blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.from == a && l.to == b || l.from == b && l.to == a {
			l.dropOutgoing.Store(true)
			l.dropIncoming.Store(true)
		}
	}
}

// blackholeToDialer drops all further bytes from b to a on open connections that a dialed.
func (n *network) blackholeToDialer(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.from == a && l.to == b {
			l.dropIncoming.Store(true)
		}
	}
}

// carriedBytes returns the number of bytes carried over all links, in both directions.
func (n *network) carriedBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int64
	for _, l := range n.links {
		sum += l.carriedBytes.Load()
	}
	return sum
}
