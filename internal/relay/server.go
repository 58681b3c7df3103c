package relay

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/serverstate"
)

const (
	// lateWriteTimeout is how long a request may still be written after the server has ended its bytes.
	lateWriteTimeout = 50 * time.Millisecond
	// requestTimeout bounds the reading of an openRequest and the writing of its answer.
	requestTimeout = time.Second
	// serverTimeout limits the time for connecting to a server. It is shorter than peerTimeout, so that the answer arrives
	// in time.
	serverTimeout = 150 * time.Millisecond
	// maxRelayed limits the connections that are relayed at the same time.
	maxRelayed = 512
	copyBytes  = 16 << 10
	// acceptRetryInterval is the time between two attempts to accept a connection while they fail.
	acceptRetryInterval = 50 * time.Millisecond
)

// Decision tells whether a Server may connect to a backend server.
type Decision uint8

// Values of Decision.
const (
	Allowed Decision = iota
	// UnknownServer means that there is no such server.
	UnknownServer
	// Blocked means that the server wants no requests from this VM for now.
	Blocked
	// PathBroken means that this VM does not reach the server although others do.
	PathBroken
	// Unavailable means that this VM stops or reaches no server itself.
	Unavailable
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Connect opens a direct connection to the server at address, an "ip:port".
	Connect func(ctx context.Context, address string, unreachableAfter time.Duration) (*net.TCPConn, error)
	// Admit decides whether a connection to the server at address, an "ip:port", may be relayed, and counts the request
	// that it is for, which ends within remaining; 0 stands for no limit.
	Admit func(address string, remaining time.Duration) Decision
	// IsEvacuated tells whether the server at address is in an evacuated zone, so that no connection for a new request to it
	// is relayed; nil if zones are not evacuated.
	IsEvacuated func(address string) bool
	// RecordStatement records what the server at address stated about itself in an answer that this VM relayed.
	RecordStatement func(address string, statement serverstate.Statement)
	Logger          zerolog.Logger
}

// Server relays connections of other entry VMs to backend servers.
type Server struct {
	options ServerOptions
	relayed atomic.Int64
	buffers sync.Pool
	running sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a Server. Serve starts it.
func NewServer(options ServerOptions) *Server {
	return &Server{
		options: options, conns: map[net.Conn]struct{}{},
		buffers: sync.Pool{New: func() any { return new([copyBytes]byte) }},
	}
}

// Relayed returns the number of connections that are relayed now.
func (s *Server) Relayed() int { return int(s.relayed.Load()) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		s.running.Go(func() {
			defer s.untrack(conn)
			s.handle(conn.(*net.TCPConn))
		})
	}
}

// Close ends all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		reset(conn)
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// handle serves one connection of another VM.
func (s *Server) handle(conn *net.TCPConn) {
	if err := conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return
	}
	request, err := readRequest(conn)
	if err != nil {
		observe.Log(s.options.Logger, observe.RelayRefused).Stringer("from", conn.RemoteAddr()).Err(err).Send()
		return
	}
	if request.Draining || request.BackoffMs > 0 {
		backoff := min(time.Duration(min(request.BackoffMs, math.MaxInt32))*time.Millisecond, serverstate.MaxBackoff)
		s.options.RecordStatement(request.Server, serverstate.Statement{Draining: request.Draining, Backoff: backoff})
		_ = writeAnswer(conn, statusConnected) // the sender needs no answer
		return
	}
	server, answer, err := s.connect(request)
	if err != nil {
		observe.Log(s.options.Logger, observe.RelayRefused).Stringer("from", conn.RemoteAddr()).Str("address", request.Server).Err(err).Send()
	}
	if err := writeAnswer(conn, answer); err != nil || server == nil {
		if server != nil {
			_ = server.Close()
		}
		return
	}
	defer func() { _ = server.Close() }()
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	s.relay(conn, server)
}

// connect opens the connection to the server of a request. It returns nil and the answer if there is none.
func (s *Server) connect(request openRequest) (*net.TCPConn, status, error) {
	if s.relayed.Load() >= maxRelayed {
		return nil, statusUnavailable, errUnavailable
	}
	if request.ForRequest && s.options.IsEvacuated != nil && s.options.IsEvacuated(request.Server) {
		return nil, statusBlocked, errEvacuated
	}
	switch s.options.Admit(request.Server, time.Duration(min(request.RemainingMs, math.MaxInt32))*time.Millisecond) {
	case Allowed:
	case UnknownServer:
		return nil, statusUnknownServer, errUnknownServer
	case Blocked:
		return nil, statusBlocked, errBlocked
	case PathBroken:
		return nil, statusPathBroken, errPathBroken
	default:
		return nil, statusUnavailable, errUnavailable
	}
	unreachableAfter := time.Duration(request.UnreachableAfterMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	conn, err := s.options.Connect(ctx, request.Server, unreachableAfter)
	switch {
	case err == nil:
		return conn, statusConnected, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, statusRefused, err
	}
	return nil, statusUnreachable, err
}

// relay copies bytes in both directions until one side is closed. The end of the server's bytes is passed on as such; a
// connection that the server resets is reset towards the caller's VM too, and so are all if this process is killed, so that
// an incomplete answer does not look complete.
func (s *Server) relay(conn, server *net.TCPConn) {
	s.relayed.Add(1)
	defer s.relayed.Add(-1)
	if err := conn.SetLinger(0); err != nil { // the kernel resets the connection unless its end is announced first
		return
	}
	var upstream sync.WaitGroup
	request := &requestWriter{server: server}
	upstream.Go(func() {
		s.copyRequest(request, conn) // ends when the other VM has closed its connection
		_ = server.Close()
	})
	readErr, writeErr := s.copy(conn, server)
	if readErr == nil {
		readErr = request.failure()
	}
	if readErr == nil && writeErr == nil {
		_ = conn.SetLinger(-1) // the end is sent after all bytes
		_ = conn.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
	} else if readErr != nil {
		reset(conn)
	} else {
		_ = conn.Close()
	}
	upstream.Wait()
}

// requestWriter writes a request to a server, and remembers whether that failed: a reset by the server is reported to one
// call on the socket only, and if that is a write, reads return io.EOF as at a proper end.
type requestWriter struct {
	server *net.TCPConn
	mu     sync.Mutex
	err    error
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.server.Write(p)
	w.err = err
	return n, err
}

// failure ends a write in progress, and returns the error of the last one.
func (w *requestWriter) failure() error {
	if err := w.server.SetWriteDeadline(time.Now().Add(lateWriteTimeout)); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// copyRequest copies the bytes of the other VM to the server until that VM closes its connection. It passes on nothing
// once the connection is closed: that VM closes it only after the answer, or to cancel the request.
func (s *Server) copyRequest(server io.Writer, conn *net.TCPConn) {
	buffer := s.buffers.Get().(*[copyBytes]byte)
	defer s.buffers.Put(buffer)
	for {
		n, err := conn.Read(buffer[:])
		if err != nil || isClosed(conn) {
			return
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// isClosed tells whether the peer has closed the connection and all its bytes were read. It does not block.
func isClosed(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Read(func(fd uintptr) bool {
		var next [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = peekErr == nil && n == 0 || peekErr != nil && !errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return closed || err != nil
}

// copy copies bytes until src ends or an error occurs. readErr is nil at the end of src.
func (s *Server) copy(dst, src net.Conn) (readErr, writeErr error) {
	buffer := s.buffers.Get().(*[copyBytes]byte)
	defer s.buffers.Put(buffer)
	for {
		n, err := src.Read(buffer[:])
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// reset closes a connection in such a way that its peer sees an error instead of the end of the data.
func reset(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
	_ = conn.Close()
}
