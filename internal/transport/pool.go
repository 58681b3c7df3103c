package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

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
	connections map[string]*grpc.ClientConn
	closed      bool
}

// ErrPoolClosed is returned by Conn after Close.
var ErrPoolClosed = errors.New("the pool of connections is closed")

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.Dial == nil {
		options.Dial = dialTCP(options.SourceIP)
	}
	return &Pool{options: options, connections: map[string]*grpc.ClientConn{}}
}

// Conn returns the connection to address, "ip:port". It creates the connection on first use and doesn't wait until it
// is established. After Close it returns ErrPoolClosed.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	if conn, found := p.connections[address]; found {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.dialOptions()...)
	if err != nil {
		return nil, fmt.Errorf("connection to %s: %w", address, err)
	}
	p.connections[address] = conn
	return conn, nil
}

// Discard closes conn, whose peer is unresponsive, so that the next call of Conn creates a new connection. Calls in
// progress on conn fail at once. Discard does nothing if conn is no longer the connection to address.
func (p *Pool) Discard(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections[address] != conn {
		return
	}
	delete(p.connections, address)
	_ = conn.Close()
}

// Close closes all connections. Later calls of Conn return ErrPoolClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.connections {
		_ = conn.Close()
	}
	p.connections = map[string]*grpc.ClientConn{}
}

func (p *Pool) dialOptions() []grpc.DialOption {
	var creds credentials.TransportCredentials = insecure.NewCredentials()
	if p.options.Certificates != nil {
		creds = p.options.Certificates.clientCredentials()
	}
	retry := backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(p.options.Dial),
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
