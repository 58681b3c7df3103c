// Package tcp holds the socket options by which connections that have gone
// silent are found.
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
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent
	// connection on which nothing is being sent.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unackedTimeout ends a connection whose sent bytes are not acknowledged.
	unackedTimeout = 6 * time.Second
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer for connections that must not stay silent unnoticed.
func Dialer(connectTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive(), Control: limitUnacked}
}

// DialerFrom is as Dialer, for connections from a local IP number; empty leaves
// the choice to the system.
func DialerFrom(source string, connectTimeout time.Duration) *net.Dialer {
	dialer := Dialer(connectTimeout)
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return dialer
}

// Listen opens a listener whose connections must not stay silent unnoticed.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: limitUnacked}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// limitUnacked sets TCP_USER_TIMEOUT. Accepted connections inherit it.
func limitUnacked(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach the socket: %w", err)
	}
	return failure
}
