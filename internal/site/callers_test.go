package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/routes"
)

// startCallers starts callerServers with a handler that always answers "ok" and with
// limits that the test can replace.
func startCallers(t *testing.T) (address string, limits *atomic.Pointer[routes.Limits], servers *callerServers) {
	t.Helper()
	limits = &atomic.Pointer[routes.Limits]{}
	limits.Store(&routes.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	servers = newCallerServers(listener, handler, func() routes.Limits { return *limits.Load() }, zerolog.Nop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		servers.run(context.Background())
	}()
	t.Cleanup(func() {
		closeAtOnce(servers)
		<-done
	})
	return listener.Addr().String(), limits, servers
}

// failingListener fails each Accept with an error of errs, as long as there is one.
type failingListener struct {
	net.Listener
	errs chan error
}

func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		return nil, err
	default:
		return l.Listener.Accept()
	}
}

func TestCallersAreAcceptedAfterAFailedAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &failingListener{Listener: inner, errs: make(chan error, 1)}
	listener.errs <- &net.OpError{Op: "accept", Err: syscall.EMFILE}
	answering := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	servers := newCallerServers(listener, answering, func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
	go servers.run(context.Background())
	t.Cleanup(func() { closeAtOnce(servers) })
	caller := dialCallers(t, inner.Addr().String())
	require.NoError(t, caller.SetDeadline(time.Now().Add(3*time.Second)))
	status, err := caller.get(0)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// closeAtOnce closes all connections, also those that are in use.
func closeAtOnce(servers *callerServers) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	servers.close(ctx)
}

// rawCaller is a caller's connection with full control of what is sent.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
	// body is the body of a response in progress.
	body io.Reader
}

func dialCallers(t *testing.T, address string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request with a header field of headerBytes bytes and returns the status
// of the response.
func (c *rawCaller) get(headerBytes int) (int, error) {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\nFiller: %s\r\n\r\n", strings.Repeat("x", headerBytes)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// A connection keeps the limits that it was opened with, and changed limits don't
// close it.
func TestChangedLimitsApplyToNewConnectionsOnly(t *testing.T) {
	address, limits, _ := startCallers(t)
	earlier := dialCallers(t, address)
	status, err := earlier.get(100)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)

	limits.Store(&routes.Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 100 * time.Millisecond})
	recent := dialCallers(t, address)
	status, err = recent.get(32 << 10)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, "the new limit of header bytes applies")
	time.Sleep(300 * time.Millisecond)
	_, err = recent.get(0)
	require.Error(t, err, "the new idle timeout applies")

	status, err = earlier.get(100)
	require.NoError(t, err, "changed limits don't close an open connection")
	require.Equal(t, http.StatusOK, status)
	status, err = earlier.get(32 << 10)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
}

func TestConnectionIsClosedAfterHeaderTimeout(t *testing.T) {
	address, limits, _ := startCallers(t)
	limits.Store(&routes.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 5 * time.Second})
	slow := dialCallers(t, address)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost: a\r\n")
	require.NoError(t, err)
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(3*time.Second)))
	_, err = slow.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func TestCloseIdleClosesIdleConnectionsOfAllLimits(t *testing.T) {
	address, limits, servers := startCallers(t)
	callers := []*rawCaller{dialCallers(t, address)}
	_, err := callers[0].get(0)
	require.NoError(t, err)
	limits.Store(&routes.Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second})
	callers = append(callers, dialCallers(t, address))
	_, err = callers[1].get(0)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return servers.closeIdle(time.Now(), 0) == 0 }, 3*time.Second, time.Millisecond)
	for _, caller := range callers {
		require.NoError(t, caller.SetReadDeadline(time.Now().Add(3*time.Second)))
		_, err := caller.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

func TestResponseInProgressIsSentBeforeItsConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	begun, ended := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-ended
		w.WriteHeader(http.StatusBadGateway)
	})
	servers := newCallerServers(listener, handler, func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
	go servers.run(context.Background())
	go func() {
		<-begun
		time.AfterFunc(50*time.Millisecond, func() { close(ended) })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		servers.close(ctx)
	}()
	status, err := dialCallers(t, listener.Addr().String()).get(0)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
}

func TestServersOfEarlierLimitsEndWithTheirConnections(t *testing.T) {
	address, limits, servers := startCallers(t)
	earlier := dialCallers(t, address)
	_, err := earlier.get(0)
	require.NoError(t, err)
	for i := range 20 {
		limits.Store(&routes.Limits{MaxHeaderBytes: 4<<10 + i + 1, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
		caller := dialCallers(t, address)
		_, err := caller.get(0)
		require.NoError(t, err)
		require.NoError(t, caller.Close())
	}
	count := func() int {
		servers.mu.Lock()
		defer servers.mu.Unlock()
		return len(servers.servers)
	}
	require.Eventually(t, func() bool { return count() == 2 }, 3*time.Second, 10*time.Millisecond, "the active one and that of an open connection")
	status, err := earlier.get(0)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, earlier.Close())
	require.Eventually(t, func() bool { return count() == 1 }, 3*time.Second, 10*time.Millisecond)
}

func TestPanicOfTheCallersHandlerIsLogged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lines := make(chan string, 10)
	logger := zerolog.New(writerFunc(func(p []byte) (int, error) { lines <- string(p); return len(p), nil }))
	panicking := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test") })
	servers := newCallerServers(listener, panicking, func() routes.Limits { return routes.Limits{} }, logger)
	go servers.run(context.Background())
	t.Cleanup(func() { closeAtOnce(servers) })
	_, err = dialCallers(t, listener.Addr().String()).get(0)
	require.Error(t, err)
	select {
	case line := <-lines:
		require.Contains(t, line, `"name":"caller_server_error"`)
		require.Contains(t, line, "panic serving")
	case <-time.After(3 * time.Second):
		require.Fail(t, "the panic was not logged")
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// hookedListener calls afterRead after each read of its connections that got bytes, before the bytes are returned.
type hookedListener struct {
	net.Listener
	afterRead func()
}

type hookedConn struct {
	net.Conn
	afterRead func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &hookedConn{conn, l.afterRead}, err
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

func TestRequestThatIsReadWhileItsConnectionIsClosedIsNotServed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var served atomic.Int32
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })
	var servers *callerServers
	var closing atomic.Bool
	listener := &hookedListener{inner, func() {
		if closing.Load() {
			servers.closeIdle(time.Now(), 0)
		}
	}}
	servers = newCallerServers(listener, handler, func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
	go servers.run(context.Background())
	t.Cleanup(func() { closeAtOnce(servers) })
	caller := dialCallers(t, inner.Addr().String())
	require.NoError(t, caller.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = caller.get(0)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return isIdle(servers) }, 3*time.Second, time.Millisecond)
	closing.Store(true)
	_, err = caller.get(0)
	require.Error(t, err, "the connection was closed before the request was read")
	time.Sleep(20 * time.Millisecond)
	require.EqualValues(t, 1, served.Load(), "a request was served whose answer has no connection")
}

// isIdle tells whether a connection waits for its next request.
func isIdle(servers *callerServers) bool {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	return len(servers.idleSince) > 0
}

func TestRequestWhoseHeadHasBegunIsAnsweredWhenConnectionsAreClosed(t *testing.T) {
	for name, first := range map[string]bool{"new connection": true, "kept connection": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
			servers := newCallerServers(listener, handler, func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
			go servers.run(context.Background())
			caller := dialCallers(t, listener.Addr().String())
			require.NoError(t, caller.SetDeadline(time.Now().Add(5*time.Second)))
			if !first {
				_, err := caller.get(0)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return isIdle(servers) }, 3*time.Second, time.Millisecond)
			}
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\n")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return isReceiving(servers) }, 3*time.Second, time.Millisecond)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				servers.close(ctx)
			}()
			time.Sleep(50 * time.Millisecond)
			status, err := caller.rest()
			require.NoError(t, err, "the connection was closed while a request arrived on it")
			require.Equal(t, http.StatusOK, status)
			<-closed
		})
	}
}

// isReceiving tells whether a part of a request was read.
func isReceiving(servers *callerServers) bool {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	conns := slices.AppendSeq(slices.Collect(maps.Keys(servers.fresh)), maps.Keys(servers.idleSince))
	return slices.ContainsFunc(conns, (*callerConn).isReceiving)
}

// rest sends the rest of a request whose request line was sent, and returns the status of the response.
func (c *rawCaller) rest() (int, error) {
	if _, err := io.WriteString(c, "Host: a\r\n\r\n"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func TestChangedLimitsKeepARequestInProgress(t *testing.T) {
	limits := &atomic.Pointer[routes.Limits]{}
	limits.Store(&routes.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	arrived, answer := make(chan struct{}, 1), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Filler") != "" {
			arrived <- struct{}{}
			<-answer
		}
		if r.Context().Err() == nil {
			_, _ = io.WriteString(w, "ok")
		}
	})
	servers := newCallerServers(listener, handler, func() routes.Limits { return *limits.Load() }, zerolog.Nop())
	go servers.run(context.Background())
	t.Cleanup(func() { closeAtOnce(servers) })
	caller, status := dialCallers(t, listener.Addr().String()), make(chan int, 1)
	go func() {
		got, _ := caller.get(1)
		status <- got
	}()
	<-arrived
	for i := range 5 {
		limits.Store(&routes.Limits{MaxHeaderBytes: 4<<10 + i + 1, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
		other := dialCallers(t, listener.Addr().String())
		_, err := other.get(0)
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond) // longer than the idle and the header timeout
	}
	close(answer)
	require.Equal(t, http.StatusOK, <-status)
}

func TestBodyThatEndsWithTheConnectionIsResetWhenTheVMExits(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	exited := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.NoError(t, SetResetOnClose(r.Context(), true))
		_, _ = io.WriteString(w, "begun")
		assert.NoError(t, http.NewResponseController(w).Flush())
		<-exited
	})
	servers := newCallerServers(listener, handler, func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
	go servers.run(context.Background())
	caller := dialCallers(t, listener.Addr().String())
	require.NoError(t, caller.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = io.WriteString(caller, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(caller.reader, nil)
	require.NoError(t, err)
	_, err = io.ReadFull(response.Body, make([]byte, len("begun")))
	require.NoError(t, err)
	closeAtOnce(servers)
	close(exited)
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
