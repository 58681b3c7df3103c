// Package transport carries gRPC between the system's own processes.
package transport

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// pingInterval is the idle time after which a connection is probed.
	pingInterval = 10 * time.Second
	// pingTimeout is the silence after which a probed connection is closed.
	pingTimeout = 2 * time.Second
	// maxMessageBytes bounds each message between VMs.
	maxMessageBytes = 16 << 20
)

// Pool keeps one connection for each address of another VM.
type Pool struct {
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{connections: map[string]*grpc.ClientConn{}}
}

// Conn returns the connection to address, made when first asked for. It does
// not wait until the connection is up.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, found := p.connections[address]; found {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, fmt.Errorf("connection to %s: %w", address, err)
	}
	p.connections[address] = conn
	return conn, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		_ = conn.Close()
	}
	p.connections = map[string]*grpc.ClientConn{}
}

// NewServer returns a gRPC server for the internal listener of a VM.
func NewServer() *grpc.Server {
	return grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
	)
}
