package dispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/request"
)

// TestBrokenTLSHandshakeCountsAsNotSent closes the connection during the TLS
// handshake. It covers the step "tls" of docs/OUTCOMES.md.
func TestBrokenTLSHandshakeCountsAsNotSent(t *testing.T) {
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 1)) // part of the ClientHello
			_ = server.Close()
		}()
		return client, nil
	}}
	tracker := newTracker()
	ctx := httptrace.WithClientTrace(t.Context(), tracker.clientTrace())
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://10.0.1.1/", nil)
	require.NoError(t, err)
	_, err = transport.RoundTrip(outgoing)
	require.Error(t, err)
	step, sent := tracker.state()
	require.Equal(t, request.StepTLS, step)
	require.False(t, sent)
}

// TestTrackerIgnoresDialAfterConnection reports a dial after the request got a
// connection. The tracker must not go back to the step "dial", which would count
// the request as not sent.
func TestTrackerIgnoresDialAfterConnection(t *testing.T) {
	tracker := newTracker()
	trace := tracker.clientTrace()
	trace.GotConn(httptrace.GotConnInfo{})
	trace.ConnectStart("tcp", "10.0.1.1:80") // net/http dials a spare connection
	step, sent := tracker.state()
	require.Equal(t, request.StepHeaders, step)
	require.True(t, sent)
	trace.WroteHeaders()
	trace.WroteRequest(httptrace.WroteRequestInfo{Err: errors.New("cut")})
	step, _ = tracker.state()
	require.Equal(t, request.StepBody, step)
	trace.WroteRequest(httptrace.WroteRequestInfo{})
	step, _ = tracker.state()
	require.Equal(t, request.StepWait, step)
}
