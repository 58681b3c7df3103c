package transport_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"godwityoke.example/godwityoke/internal/tcp"
	"godwityoke.example/godwityoke/internal/transport"
)

// recordingListener keeps the connections that it accepts.
type recordingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.conns = append(l.conns, conn)
	}
	return conn, err
}

func socketOption(t *testing.T, conn net.Conn, option int) (value int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		require.NoError(t, err)
	}))
	return value
}

// gRPC replaces the TCP_USER_TIMEOUT of package tcp, which decides when keep-alive probes give up.
func TestIdleConnectionBetweenVMsIsClosedAfterFourSecondsWithoutPackets(t *testing.T) {
	inner, err := tcp.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	listener := &recordingListener{Listener: inner}
	server := transport.NewServer(transport.ServerOptions{Log: zerolog.Nop()})
	grpc_health_v1.RegisterHealthServer(server, health.NewServer())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	var dialed net.Conn
	pool := transport.NewPool(transport.PoolOptions{Dial: func(ctx context.Context, address string) (conn net.Conn, err error) {
		dialed, err = tcp.Dialer(time.Second).DialContext(ctx, "tcp", address)
		return dialed, err
	}})
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(inner.Addr().String())
	require.NoError(t, err)
	_, err = grpc_health_v1.NewHealthClient(conn).Check(t.Context(), &grpc_health_v1.HealthCheckRequest{})
	require.NoError(t, err)
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": listener.conns[0]} {
		probeAt := time.Duration(socketOption(t, conn, unix.TCP_KEEPIDLE)) * time.Second
		closedAt := probeAt + time.Duration(socketOption(t, conn, unix.TCP_KEEPINTVL))*time.Second
		userTimeout := time.Duration(socketOption(t, conn, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		require.Equal(t, 3*time.Second, userTimeout, name)
		require.LessOrEqual(t, userTimeout, closedAt, "%s: only one probe is sent", name)
		require.Equal(t, 4*time.Second, closedAt, name)
	}
}
