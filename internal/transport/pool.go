package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"godwityoke.example/godwityoke/internal/tcp"
)

// DialFunc opens a connection to the "ip:port" address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// PoolOptions configures the connections of a Pool. The zero value means plaintext connections without an identity.
type PoolOptions struct {
	Identity Identity
	// Certificates provides the certificates for mutual TLS; nil means plaintext.
	Certificates *Certificates
	// SourceIP is the local IP address of connections. If it is empty, the system selects one.
	SourceIP string
	// Dial opens connections; nil means TCP.
	Dial DialFunc
}

// Pool holds one gRPC connection for each address. It is safe for concurrent use.
type Pool struct {
	options     PoolOptions
	mu          sync.Mutex
	connections map[string]*connection
	closed      bool
}

// connection is the gRPC connection to one address.
type connection struct {
	client *grpc.ClientConn

	mu sync.Mutex
	// network is the network connection that was opened last, nil before the first one. Earlier ones have ended.
	network net.Conn
	aborted bool
	// refused is set if the last attempt to connect was refused.
	refused bool
}

// dial returns a DialFunc that opens connections by open and lets abort close them.
func (c *connection) dial(open DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		opened, err := open(ctx, address)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refused = errors.Is(err, syscall.ECONNREFUSED)
		if err != nil {
			return nil, err
		}
		if c.aborted {
			_ = opened.Close()
			return nil, net.ErrClosed
		}
		c.network = opened
		return opened, nil
	}
}

// close closes the connection. After limit it closes the network connection: gRPC goes on for seconds to announce the end to
// a peer that receives nothing.
func (c *connection) close(limit time.Duration) {
	timer := time.AfterFunc(limit, c.abort)
	defer timer.Stop()
	_ = c.client.Close()
}

// abort closes the network connection.
func (c *connection) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	if c.network != nil {
		_ = c.network.Close()
	}
}

// ErrPoolClosed is returned by Conn after Close.
var ErrPoolClosed = errors.New("the pool of connections is closed")

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.Dial == nil {
		options.Dial = dialTCP(options.SourceIP)
	}
	return &Pool{options: options, connections: map[string]*connection{}}
}

// Conn returns the connection to address, "ip:port". It creates the connection on first use and doesn't wait until it
// is established. After Close it returns ErrPoolClosed.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	if known, found := p.connections[address]; found {
		return known.client, nil
	}
	conn := &connection{}
	client, err := grpc.NewClient("passthrough:///"+address, p.dialOptions(conn.dial(p.options.Dial))...)
	if err != nil {
		return nil, fmt.Errorf("connection to %s: %w", address, err)
	}
	conn.client = client
	p.connections[address] = conn
	return client, nil
}

// Discard closes conn, whose peer is unresponsive, so that the next call of Conn creates a new connection. Calls in
// progress on conn fail at once. Discard does nothing if conn is no longer the connection to address.
func (p *Pool) Discard(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	known := p.connections[address]
	if known == nil || known.client != conn {
		p.mu.Unlock()
		return
	}
	delete(p.connections, address)
	p.mu.Unlock()
	known.abort()
	_ = known.client.Close()
}

// IsRefused reports whether the last attempt to connect to address was refused, as by a machine whose process has not
// started yet.
func (p *Pool) IsRefused(address string) bool {
	p.mu.Lock()
	known := p.connections[address]
	p.mu.Unlock()
	if known == nil {
		return false
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	return known.refused
}

// Close closes all connections, within closeTimeout. Later calls of Conn return ErrPoolClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	connections := p.connections
	p.connections = nil
	p.mu.Unlock()
	var closing sync.WaitGroup
	for _, conn := range connections {
		closing.Go(func() { conn.close(closeTimeout) })
	}
	closing.Wait()
}

func (p *Pool) dialOptions(dial DialFunc) []grpc.DialOption {
	var creds credentials.TransportCredentials = insecure.NewCredentials()
	if p.options.Certificates != nil {
		creds = p.options.Certificates.clientCredentials()
	}
	retry := backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: dialTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithStaticStreamWindowSize(streamWindowBytes),
		grpc.WithStaticConnWindowSize(connWindowBytes),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithUnaryInterceptor(p.options.Identity.unaryClient),
		grpc.WithStreamInterceptor(p.options.Identity.streamClient),
	}
}

// dialTCP returns a DialFunc for TCP connections from sourceIP, or from any address if it is empty. Package tcp sets
// their keepalive and user timeout, so that a dead connection is detected within seconds, whether it is idle or not.
func dialTCP(sourceIP string) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return tcp.DialerFrom(sourceIP, dialTimeout).DialContext(ctx, "tcp", address)
	}
}
