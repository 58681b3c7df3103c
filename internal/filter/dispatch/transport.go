package dispatch

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection
	// that has gone silent while it waits for an answer.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unackedTimeout ends a connection whose sent bytes are not acknowledged.
	unackedTimeout = 5 * time.Second
	// idleTimeout closes a connection that serves no request.
	idleTimeout = 30 * time.Second
	// maxIdlePerServer bounds the connections kept for each backend server.
	maxIdlePerServer = 64
	// maxResponseHeaderBytes bounds the header of a back end's answer.
	maxResponseHeaderBytes = 64 << 10
)

// NewTransport returns a transport to backend servers. A fresh transport opens
// a connection for each request: net/http sends a request again by itself only
// on a connection that was used before.
func NewTransport(connectTimeout time.Duration, fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: limitUnacked,
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func limitUnacked(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
