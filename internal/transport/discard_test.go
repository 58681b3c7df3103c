package transport

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/tcp"
)

// blockableConn is a connection whose writes block once it is blocked, as those to a silent peer when the send buffer is full.
type blockableConn struct {
	net.Conn
	mu      sync.Mutex
	blocked bool
	closed  chan struct{}
	once    sync.Once
}

func (c *blockableConn) block() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
}

func (c *blockableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	blocked := c.blocked
	c.mu.Unlock()
	if blocked {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *blockableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// newBlockedPool returns a pool with a connection to a server, on which writes block and a call waits, and that connection.
func newBlockedPool(t *testing.T) (pool *Pool, address string, client *grpc.ClientConn, waiting <-chan error) {
	t.Helper()
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(ServerOptions{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	dialed := make(chan *blockableConn, 1)
	pool = NewPool(PoolOptions{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := tcp.Dialer(time.Second).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		blockable := &blockableConn{Conn: conn, closed: make(chan struct{})}
		dialed <- blockable
		return blockable, nil
	}})
	t.Cleanup(pool.Close)
	client, err = pool.Conn(listener.Addr().String())
	require.NoError(t, err)
	call := func() error {
		_, err := grpc_health_v1.NewHealthClient(client).Check(t.Context(), &grpc_health_v1.HealthCheckRequest{})
		return err
	}
	require.Equal(t, codes.Unimplemented, status.Code(call()))
	(<-dialed).block()
	ended := make(chan error, 1)
	go func() { ended <- call() }()
	time.Sleep(50 * time.Millisecond) // the call is being written
	return pool, listener.Addr().String(), client, ended
}

// closeLimit is far below the 5 s for which gRPC tries to announce the end of a connection.
const closeLimit = time.Second

// The end of a connection to a silent peer with a full send buffer took 5 s, in which the VM could use no other connection.
func TestDiscardOfABlockedConnectionDelaysNoOther(t *testing.T) {
	pool, address, client, waiting := newBlockedPool(t)
	discarded := make(chan struct{})
	go func() {
		pool.Discard(address, client)
		close(discarded)
	}()
	time.Sleep(10 * time.Millisecond)
	start := time.Now()
	_, err := pool.Conn("127.0.0.1:1")
	require.NoError(t, err)
	next, err := pool.Conn(address)
	require.NoError(t, err)
	require.NotSame(t, client, next)
	<-discarded
	require.Error(t, <-waiting, "a call in progress")
	require.Less(t, time.Since(start), closeLimit)
}

// A planned stop waited 5 s for each connection to a silent peer.
func TestClosingAPoolDoesNotWaitForABlockedConnection(t *testing.T) {
	pool, _, _, waiting := newBlockedPool(t)
	start := time.Now()
	pool.Close()
	require.Less(t, time.Since(start), closeLimit)
	require.Error(t, <-waiting)
	_, err := pool.Conn("127.0.0.1:1")
	require.ErrorIs(t, err, ErrPoolClosed)
}
