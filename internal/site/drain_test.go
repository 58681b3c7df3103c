package site

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/gateway"
	"godwityoke.example/godwityoke/internal/relay"
	"godwityoke.example/godwityoke/internal/routes"
)

// startDrain connects a caller to callerServers with the given handler, calls before, and then drains and closes them as
// a planned stop does.
func startDrain(t *testing.T, handler http.HandlerFunc, before func(caller *rawCaller)) *rawCaller {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &Entry{
		settings: &Settings{StopLimit: 8 * time.Second}, logger: zerolog.Nop(), relay: relay.NewServer(relay.ServerOptions{}),
	}
	e.gateway = gateway.New(gateway.Options{StopsIn: e.stopsIn})
	servers := newCallerServers(listener, handler, func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
	go servers.run(context.Background())
	caller := dialCallers(t, listener.Addr().String())
	require.NoError(t, caller.SetDeadline(time.Now().Add(9*time.Second)))
	before(caller)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.drain(time.Now(), servers)
		closeAtOnce(servers)
	}()
	t.Cleanup(func() { <-stopped })
	return caller
}

func TestRequestWhoseBodyArrivesDuringAPlannedStopIsAnswered(t *testing.T) {
	t.Parallel()
	reading := make(chan struct{})
	caller := startDrain(t, func(w http.ResponseWriter, r *http.Request) {
		close(reading)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}, func(caller *rawCaller) {
		_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
		require.NoError(t, err)
		<-reading
	})
	time.Sleep(balancerWait + time.Second)
	_, err := io.WriteString(caller, "dy")
	require.NoError(t, err)
	response, err := http.ReadResponse(caller.reader, nil)
	require.NoError(t, err, "the connection was closed without an answer")
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestRequestAfterAStreamThatBeganBeforeAPlannedStopIsAnswered(t *testing.T) {
	t.Parallel()
	ends := make(chan struct{})
	caller := startDrain(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "event")
		if r.URL.Path == "/stream" {
			_ = http.NewResponseController(w).Flush()
			<-ends
		}
	}, func(caller *rawCaller) {
		_, err := io.WriteString(caller, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(caller.reader, nil)
		require.NoError(t, err)
		require.False(t, response.Close)
		_, err = io.ReadFull(response.Body, make([]byte, len("event")))
		require.NoError(t, err)
		caller.body = response.Body
	})
	time.Sleep(balancerWait + time.Second)
	close(ends)
	_, err := io.Copy(io.Discard, caller.body)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	status, err := caller.get(0)
	require.NoError(t, err, "the connection was closed after a response that had not announced it")
	require.Equal(t, http.StatusOK, status)
}

func TestRequestThatArrivesWhileLastResponsesAreSentIsAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	begun, ended := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			close(begun)
			<-ended
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	servers := newCallerServers(listener, handler, func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
	go servers.run(context.Background())
	late, busy := dialCallers(t, listener.Addr().String()), dialCallers(t, listener.Addr().String())
	_, err = io.WriteString(busy, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	<-begun
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		servers.close(ctx)
	}()
	time.Sleep(100 * time.Millisecond)
	status, err := late.get(0)
	close(ended)
	<-closed
	require.NoError(t, err, "the connection was closed after the request was read")
	require.Equal(t, http.StatusServiceUnavailable, status)
}
