package dispatch

import (
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/tcp"
)

const (
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 30 * time.Second
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 64
	// maxResponseHeaderBytes is the maximum size of a response header.
	maxResponseHeaderBytes = 64 << 10
)

// NewTransport returns a transport to backend servers. With fresh set, each
// request opens a connection. This keeps net/http from resending a request by
// itself, which it does only after an error on a reused connection.
func NewTransport(connectTimeout time.Duration, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            tcp.Dialer(connectTimeout).DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
