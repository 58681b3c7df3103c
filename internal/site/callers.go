package site

import (
	"context"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

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
	// draining is true once every connection has to be closed after its current response.
	draining bool
	closed   bool
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
	return &callerServers{listener: listener, handler: handler, limits: limits, errorLog: log.New(errorLogWriter{logger}, "", 0)}
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
		if err != nil {
			return // the listener is closed when the process stops
		}
		if listener := s.activeListener(); listener == nil || !listener.handOff(conn) {
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
		ErrorLog: s.errorLog, ConnState: func(_ net.Conn, state http.ConnState) { s.recordState(server, state) },
	}
	server.SetKeepAlivesEnabled(!s.draining)
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

// recordState counts the open connections of a server.
func (s *callerServers) recordState(server *callerServer, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		server.conns++
	case http.StateClosed, http.StateHijacked:
		server.conns--
		s.dropUnused(server)
	case http.StateActive, http.StateIdle:
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

// closeIdle closes idle connections at once and the others after their current
// response.
func (s *callerServers) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, server := range s.servers {
		server.SetKeepAlivesEnabled(false)
	}
}

// close closes the listener and the idle connections, and the others once they have
// sent their current response or ctx is done.
func (s *callerServers) close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	if s.active != nil {
		_ = s.active.Close()
	}
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	var closing sync.WaitGroup
	for _, server := range servers {
		closing.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	closing.Wait()
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
