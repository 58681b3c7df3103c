// Package tcp opens TCP connections and listeners with socket options that make the
// kernel close a connection within a few seconds after its peer became unreachable:
// keep-alive probes on idle connections, and TCP_USER_TIMEOUT on sent data.
package tcp

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the idle time before the first keep-alive probe.
	keepAliveIdle = 3 * time.Second
	// keepAliveInterval is the interval between keep-alive probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which an idle connection
	// is closed.
	keepAliveCount = 3
	// unackedTimeout is the time after which a connection is closed if sent data is not
	// acknowledged.
	unackedTimeout = 6 * time.Second
	// minKeepAliveIdle and minKeepAliveInterval are the shortest times that the kernel's
	// options can express.
	minKeepAliveIdle     = time.Second
	minKeepAliveInterval = time.Second
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer that sets the options of this package on its connections.
// connectTimeout limits one dial; zero means no limit.
func Dialer(connectTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// DialerFrom returns a Dialer whose connections use the local IP address source. If
// source is empty, the system selects the address.
func DialerFrom(source string, connectTimeout time.Duration) *net.Dialer {
	dialer := Dialer(connectTimeout)
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return dialer
}

// Dial opens a connection to address, an "ip:port", with the options of this package. source and connectTimeout are those
// of DialerFrom. The kernel closes the connection once the peer has been unreachable for unreachableAfter, as in
// SetUnreachableAfter; 0 stands for the default of this package.
func Dial(ctx context.Context, source, address string, connectTimeout, unreachableAfter time.Duration) (*net.TCPConn, error) {
	opened, err := DialerFrom(source, connectTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := opened.(*net.TCPConn)
	if unreachableAfter <= 0 {
		return conn, nil
	}
	if err := SetUnreachableAfter(conn, unreachableAfter); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Listen opens a TCP listener that sets the options of this package on the accepted
// connections.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// SetUnreachableAfter makes the kernel close an open connection once its peer has been
// unreachable for the given time, at least 2 s, instead of the default of this package.
func SetUnreachableAfter(conn *net.TCPConn, unreachableAfter time.Duration) error {
	probes := int((unreachableAfter - minKeepAliveIdle) / minKeepAliveInterval)
	config := net.KeepAliveConfig{Enable: true, Idle: minKeepAliveIdle, Interval: minKeepAliveInterval, Count: max(1, probes)}
	if err := conn.SetKeepAliveConfig(config); err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("access the socket to set TCP_USER_TIMEOUT: %w", err)
	}
	return setUserTimeoutOf(raw, unreachableAfter)
}

// setUserTimeout sets TCP_USER_TIMEOUT to unackedTimeout. Accepted connections inherit
// it from the socket of the listener.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return setUserTimeoutOf(conn, unackedTimeout)
}

func setUserTimeoutOf(conn syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := conn.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access the socket to set TCP_USER_TIMEOUT: %w", err)
	}
	return setErr
}
