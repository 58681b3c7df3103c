package site

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

// acceptRetryInterval is the time between two attempts to accept a connection while they
// fail.
const acceptRetryInterval = 50 * time.Millisecond

// closeCheckInterval is how often close checks whether all responses were sent.
const closeCheckInterval = 5 * time.Millisecond

// callerServers accepts the connections of callers. Each set of limits has its
// own HTTP server, and a connection stays with the server that it was opened on:
// new limits of headers and idle time apply to new connections only, and a change
// of the route table never closes an open connection.
type callerServers struct {
	listener net.Listener
	handler  http.Handler
	limits   func() routes.Limits
	errorLog *log.Logger
	running  sync.WaitGroup

	mu           sync.Mutex
	activeLimits routes.Limits
	// active passes new connections to the server with activeLimits; servers holds
	// it and those of earlier limits that still have connections.
	active  *handoffListener
	servers []*callerServer
	// fresh holds the connections without a whole request yet.
	fresh map[*callerConn]struct{}
	// busy holds the connections with a request whose response is not sent completely.
	busy map[*callerConn]struct{}
	// idleSince holds the connections that are kept open after a response, with its end.
	idleSince map[*callerConn]time.Time
	closed    bool
}

// callerConn is a caller's connection. It tells whether a part of the next request was read, which http.Server reports
// only once it has read the whole header.
type callerConn struct {
	net.Conn
	mu sync.Mutex
	// receiving is set once a part of the next request was read, abandoned once the connection was closed instead.
	receiving, abandoned bool
}

// Read implements net.Conn. It returns nothing of a request that arrived after abandon.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return 0, net.ErrClosed
	}
	c.receiving = true
	return n, err
}

// CloseWrite lets http.Server end an early response, such as one to a header beyond the limit, without a reset.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// beginNext reports that what is read from now on belongs to the next request.
func (c *callerConn) beginNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// isReceiving tells whether a part of the next request was read.
func (c *callerConn) isReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receiving
}

// abandon closes the connection and returns true, unless a part of the next request was read.
func (c *callerConn) abandon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		return false
	}
	c.abandoned = true
	_ = c.Conn.Close()
	return true
}

// SetLinger sets the behaviour of Close; see net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }

// setLinger sets the behaviour of Close of a TCP connection.
func setLinger(conn net.Conn, seconds int) error {
	if conn, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// callerConnKey is the key of a caller's connection in the contexts of its requests.
type callerConnKey struct{}

// ConnContext is the http.Server.ConnContext of servers for callers.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// SetResetOnClose determines whether the caller's connection of the request with this context is reset when it is closed, also
// by the end of this process. It is for a body that ends with the connection: until it is complete, its end must not look like
// a proper one.
func SetResetOnClose(ctx context.Context, reset bool) error {
	conn, ok := ctx.Value(callerConnKey{}).(net.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	if reset {
		return setLinger(conn, 0)
	}
	return setLinger(conn, -1)
}

// callerServer is the HTTP server of one set of limits. The mutex of callerServers
// guards its fields.
type callerServer struct {
	*http.Server
	accepting bool
	// conns is the number of open connections.
	conns int
}

func newCallerServers(listener net.Listener, handler http.Handler, limits func() routes.Limits, logger zerolog.Logger) *callerServers {
	return &callerServers{
		listener: listener, handler: handler, limits: limits, errorLog: log.New(errorLogWriter{logger}, "", 0),
		fresh: map[*callerConn]struct{}{}, busy: map[*callerConn]struct{}{}, idleSince: map[*callerConn]time.Time{},
	}
}

// errorLogWriter logs each line of an http.Server's error log as an event.
type errorLogWriter struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (w errorLogWriter) Write(p []byte) (int, error) {
	observe.Log(w.logger, observe.CallerServerError).Str("error", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}

// run accepts connections until the listener is closed, and then waits for the
// HTTP servers to end.
func (s *callerServers) run(ctx context.Context) {
	defer s.running.Wait()
	for ctx.Err() == nil {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return // the listener is closed when the process stops
		}
		if err != nil { // such as too many open files
			s.errorLog.Printf("accept a caller's connection: %v", err)
			time.Sleep(acceptRetryInterval)
			continue
		}
		if listener := s.activeListener(); listener == nil || !listener.handOff(&callerConn{Conn: conn}) {
			_ = conn.Close() // the process is stopping
		}
	}
}

// activeListener returns the listener of the HTTP server with the current limits,
// which it starts after a change of the limits. It is nil if s was closed before
// the first connection.
func (s *callerServers) activeListener() *handoffListener {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil && s.activeLimits == limits || s.closed {
		return s.active
	}
	if s.active != nil {
		_ = s.active.Close()
	}
	server := &callerServer{accepting: true}
	server.Server = &http.Server{
		Handler: s.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
		ErrorLog: s.errorLog, ConnContext: ConnContext, ConnState: func(conn net.Conn, state http.ConnState) { s.recordState(server, conn.(*callerConn), state) },
	}
	s.activeLimits, s.active = limits, newHandoffListener(s.listener.Addr())
	s.servers = append(s.servers, server)
	listener := s.active
	s.running.Go(func() {
		_ = server.Serve(listener) // ends when its listener is closed; its connections stay open
		s.mu.Lock()
		defer s.mu.Unlock()
		server.accepting = false
		s.dropUnused(server)
	})
	return listener
}

// recordState counts the open connections of a server and keeps fresh, busy and idleSince
// up to date.
func (s *callerServers) recordState(server *callerServer, conn *callerConn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fresh, conn)
	delete(s.busy, conn)
	delete(s.idleSince, conn)
	switch state {
	case http.StateNew:
		server.conns++
		s.fresh[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		server.conns--
		s.dropUnused(server)
	case http.StateActive:
		s.busy[conn] = struct{}{}
	case http.StateIdle:
		conn.beginNext()
		s.idleSince[conn] = time.Now()
	}
}

// dropUnused forgets a server that accepts no connections any more and has none
// open. The caller holds mu.
func (s *callerServers) dropUnused(server *callerServer) {
	if server.accepting || server.conns > 0 {
		return
	}
	s.servers = slices.DeleteFunc(s.servers, func(other *callerServer) bool { return other == server })
}

// closeIdle closes the connections that have been idle for at least minIdle after a
// response. It returns the number of the other connections that have had a request or on
// which one arrives. A connection is not closed right after a response that did not announce
// it, because its caller may send the next request at that moment.
func (s *callerServers) closeIdle(now time.Time, minIdle time.Duration) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left = len(s.busy)
	for conn := range s.fresh {
		if conn.isReceiving() {
			left++
		}
	}
	for conn, since := range s.idleSince {
		if now.Sub(since) < minIdle || !conn.abandon() {
			left++
		}
	}
	return left
}

// close closes the listener and the idle connections, and the others once they have
// sent their current response or ctx is done. Until then, requests that arrive on open
// connections are still served.
func (s *callerServers) close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	if s.active != nil {
		_ = s.active.Close()
	}
	s.mu.Unlock()
	for s.closeIdle(time.Now(), 0) > 0 && ctx.Err() == nil {
		select {
		case <-time.After(closeCheckInterval):
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// handoffListener is a net.Listener that returns connections which were accepted
// elsewhere and passed to handOff.
type handoffListener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newHandoffListener(address net.Addr) *handoffListener {
	return &handoffListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// handOff passes conn to a pending or later Accept. It returns false if the
// listener is closed; conn then remains with the caller.
func (l *handoffListener) handOff(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoffListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *handoffListener) Addr() net.Addr { return l.address }
