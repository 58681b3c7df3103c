package pipeline_test

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// pipeNetwork connects the clients and servers of one test by net.Pipe. A
// goroutine that waits on a pipe is durably blocked for synctest, unlike one
// that waits on a socket.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: map[string]*pipeListener{}}
}

func (n *pipeNetwork) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// dial implements http.Transport.DialContext.
func (n *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if l.onDial != nil {
		if err := l.onDial(ctx); err != nil {
			return nil, err
		}
	}
	client, server := net.Pipe()
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts the connections to one address of a pipeNetwork.
type pipeListener struct {
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
	// onDial, when set, runs before each dial and may delay it or let it fail.
	onDial func(ctx context.Context) error
	// onAccept, when set, gets each connection first. It returns true when it
	// handles the connection in place of the server.
	onAccept func(conn net.Conn) bool
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	for {
		select {
		case conn := <-l.incoming:
			if l.onAccept != nil && l.onAccept(conn) {
				continue
			}
			return conn, nil
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
