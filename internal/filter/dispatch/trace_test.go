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

// TestBrokenHandshakeSendsNothing covers the point "tls" of docs/OUTCOMES.md.
func TestBrokenHandshakeSendsNothing(t *testing.T) {
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 1)) // part of the client's hello
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

func TestTrackerNeverMovesBackBeforeTheConnection(t *testing.T) {
	tracker := newTracker()
	trace := tracker.clientTrace()
	trace.GotConn(httptrace.GotConnInfo{})
	trace.ConnectStart("tcp", "10.0.1.1:80") // a late dial for another use
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
