package dispatch

import (
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/tcp"
)

const (
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
	return &http.Transport{
		DialContext:            tcp.Dialer(connectTimeout).DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
