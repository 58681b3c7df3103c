package site

import (
	"context"
	"net"
	"net/http"
	"sync"

	"godwityoke.example/godwityoke/internal/routes"
)

// callerServers serves the callers' listener. Each set of limits has an HTTP
// server of its own, and a connection keeps the limits under which it was
// opened: a change of the route table never closes one.
type callerServers struct {
	listener net.Listener
	handler  http.Handler
	limits   func() routes.Limits
	running  sync.WaitGroup

	mu      sync.Mutex
	current routes.Limits
	// newest takes new connections; servers holds all that have served any.
	newest  *handedListener
	servers []*http.Server
	// leaving is set once answers close their connections.
	leaving bool
	closed  bool
}

func newCallerServers(listener net.Listener, handler http.Handler, limits func() routes.Limits) *callerServers {
	return &callerServers{listener: listener, handler: handler, limits: limits}
}

// run accepts connections until the listener is closed.
func (s *callerServers) run(ctx context.Context) {
	defer s.running.Wait()
	for ctx.Err() == nil {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed, as the process stops
		}
		if server := s.server(); server == nil || !server.hand(conn) {
			_ = conn.Close() // the process stops
		}
	}
}

// server returns the listener of the server with the limits in force.
func (s *callerServers) server() *handedListener {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest != nil && s.current == limits || s.closed {
		return s.newest
	}
	if s.newest != nil {
		_ = s.newest.Close()
	}
	server := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
	}
	server.SetKeepAlivesEnabled(!s.leaving)
	s.current, s.newest = limits, newHandedListener(s.listener.Addr())
	s.servers = append(s.servers, server)
	newest := s.newest
	s.running.Go(func() { _ = server.Serve(newest) }) // ends with its listener
	return newest
}

// closeIdle closes idle connections, and others after their answer.
func (s *callerServers) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for _, server := range s.servers {
		server.SetKeepAlivesEnabled(false)
	}
}

// close ends all connections.
func (s *callerServers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	if s.newest != nil {
		_ = s.newest.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// handedListener is a listener whose connections another one has accepted.
type handedListener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newHandedListener(address net.Addr) *handedListener {
	return &handedListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// hand passes a connection on and tells whether it was taken.
func (l *handedListener) hand(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

// Accept implements net.Listener.
func (l *handedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *handedListener) Addr() net.Addr { return l.address }
