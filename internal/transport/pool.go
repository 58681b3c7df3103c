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

// PoolOptions configures the connections of a Pool. The zero value gives
// plaintext connections without an identity.
type PoolOptions struct {
	Identity Identity
	// Certificates gives the files for mutual TLS; nil means plaintext.
	Certificates *Certificates
	// SourceIP is the local IP number of connections, empty for any.
	SourceIP string
	// Dial replaces the TCP dialer. Nil means TCP.
	Dial DialFunc
}

// Pool keeps one connection for each address of another VM. It is safe for
// concurrent use.
type Pool struct {
	options     PoolOptions
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	closed      bool
}

// ErrPoolClosed tells that the pool was closed.
var ErrPoolClosed = errors.New("the pool of connections is closed")

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.Dial == nil {
		options.Dial = dialTCP(options.SourceIP)
	}
	return &Pool{options: options, connections: map[string]*grpc.ClientConn{}}
}

// Conn returns the connection to address, made when first asked for. It does
// not wait until the connection is up.
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

// Discard closes conn, whose peer went silent, and lets the next call of Conn
// open a new connection. Calls in progress on conn fail at once. It does
// nothing when conn was replaced before.
func (p *Pool) Discard(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections[address] != conn {
		return
	}
	delete(p.connections, address)
	_ = conn.Close()
}

// Close closes all connections. Conn fails from then on.
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
	retry := backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax}
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

// dialTCP opens TCP connections whose death is noticed in a few seconds,
// whether they are idle or not.
func dialTCP(source string) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return tcp.DialerFrom(source, dialTimeout).DialContext(ctx, "tcp", address)
	}
}
