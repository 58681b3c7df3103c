package distribute_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/test/bufconn"
)

// network connects VMs in memory. Links can be cut, which fails new
// connections and silences open ones, or silenced, which leaves new ones alone.
type network struct {
	delay time.Duration

	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	cut       map[[2]string]bool
	links     []*link
}

var errCut = errors.New("the link is cut")

func newNetwork(delay time.Duration) *network {
	return &network{delay: delay, listeners: map[string]*bufconn.Listener{}, cut: map[[2]string]bool{}}
}

func (n *network) listen(vm string) *bufconn.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[vm] = bufconn.Listen(1 << 20)
	return n.listeners[vm]
}

// dialer returns the dialer of one VM; addresses are VM names.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		listener, found := n.listeners[to]
		cut := n.cut[[2]string{from, to}]
		n.mu.Unlock()
		if cut || !found {
			return nil, errCut
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

// setCut cuts or joins both directions between each pair of a and b.
func (n *network) setCut(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			n.mu.Lock()
			n.cut[[2]string{x, y}], n.cut[[2]string{y, x}] = cut, cut
			n.mu.Unlock()
			if cut {
				n.silence(x, y)
			}
		}
	}
}

// silence makes the open connections between a and b go silent for good.
func (n *network) silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.from == a && l.to == b || l.from == b && l.to == a {
			l.lostOut.Store(true)
			l.lostIn.Store(true)
		}
	}
}

// silenceToDialer loses what b sends on connections that a opened.
func (n *network) silenceToDialer(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.from == a && l.to == b {
			l.lostIn.Store(true)
		}
	}
}

// bytes returns what was carried over all links, in both directions.
func (n *network) bytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int64
	for _, l := range n.links {
		sum += l.carried.Load()
	}
	return sum
}
