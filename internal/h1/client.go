// Package h1 is an HTTP/1.1 client for backend servers that sends one request at a time on a connection. Unlike net/http
// it reports whether a request can have reached the server, checks that a response belongs to the request, and never
// presents a truncated response as complete. It does not retry and does not follow redirects.
package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/membudget"
	"godwityoke.example/godwityoke/internal/tcp"
)

const (
	// maxStrayResponses limits the responses that are skipped before the one to the request: responses to earlier
	// requests on a reused connection, and informational (1xx) ones.
	maxStrayResponses = 2
	// maxRequestsPerConn limits the requests on one connection, whose ids it keeps.
	maxRequestsPerConn = 256
	// maxIdlePerHost limits the idle connections to one address.
	maxIdlePerHost = 16
	// minConcurrentBodyBytes is the size from which a body is written concurrently with reading the response, because
	// servers may respond before they have read the whole body.
	minConcurrentBodyBytes = 16 << 10
	// keepAliveMargin is subtracted from the idle timeout that the server announces, so that no request is sent while
	// the server closes the connection.
	keepAliveMargin = 700 * time.Millisecond
	readBufferBytes = 4 << 10
	// maxStatus is the largest valid status of a response.
	maxStatus = 599
	// maxHeadBytes limits the status line and the header of a response, including any read-ahead of its body.
	maxHeadBytes = 64 << 10
	// uncountedHeadBytes is the part of a head that does not count in Options.Buffers: it
	// stays in the connection's read buffer.
	uncountedHeadBytes = 4 << 10
	// maxStrayBodyBytes limits the body of a response that is skipped.
	maxStrayBodyBytes = 1 << 20
)

var (
	// ErrNotSent means that no part of the request can have reached the server.
	ErrNotSent = errors.New("the request was not sent")
	// ErrRelayed means that the exchange failed on a connection that another VM relays, so that the failure may be one of
	// that VM.
	ErrRelayed = errors.New("on a relayed connection")
	// ErrMalformed means that the server sent something that is not a response to the request.
	ErrMalformed = errors.New("malformed response")
)

// Options configure a Client.
type Options struct {
	// ConnectTimeout limits the time for opening a connection.
	ConnectTimeout time.Duration
	// SourceIP is the local IP address of connections, empty for any.
	SourceIP string
	// MaxIdleTime is the idle time after which a connection is not reused. The server may announce a shorter one.
	MaxIdleTime time.Duration
	// Dial opens a connection to an "ip:port" whose server's VM may be unreachable for the given time before the kernel
	// closes it, 0 for the default of package tcp. Nil stands for a direct connection. A connection with a method
	// RelayedBy is used for one request only; the methods Answered and Failed of one are called after its first exchange.
	Dial func(ctx context.Context, address string, unreachableAfter time.Duration) (net.Conn, error)
	// EchoHeader is the name of a request header that the server repeats in its response, by which responses are
	// matched to requests; empty for none. A request without it, or with the value of an earlier request on a kept
	// connection, gets another connection.
	EchoHeader string
	// Buffers bounds the bytes of the heads of all responses; nil for no bound.
	Buffers *membudget.Budget
}

// Client sends requests and keeps idle connections to servers. It is safe for concurrent use.
type Client struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
}

// NewClient returns a Client without connections.
func NewClient(options Options) *Client {
	return &Client{options: options, idle: map[string][]*conn{}}
}

// Request is a request to a server.
type Request struct {
	Method string
	// Target is the path with the query, exactly as sent on the request line.
	Target string
	Host   string
	// Header must not contain Host, Content-Length or hop-by-hop fields.
	Header http.Header
	Body   []byte
	// NewConnection requires a new connection. It is for requests that must not run twice: on a reused connection
	// that the server is closing, it stays unknown whether the request has run.
	NewConnection bool
	// UnreachableAfter is the time after which the request fails if the server's VM is unreachable, 0 for the default
	// of package tcp. A request with one gets a connection of its own.
	UnreachableAfter time.Duration
}

// Response is a response whose head has been read.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only when the response is complete. It must be closed.
	Body *Body
	// RelayedBy is the address of the VM that relayed the connection, empty for a direct connection.
	RelayedBy string
	// HasLength is set when the server announced the length of the body.
	HasLength bool
	// EndsWithConnection is set when the server announced no length, so that the body ends where the server closes the
	// connection. Whether it had sent everything is then not known.
	EndsWithConnection bool
}

// relayedConn is a connection that another VM relays.
type relayedConn interface {
	// RelayedBy returns the address of that VM.
	RelayedBy() string
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	// limited is the source of reader.
	limited *limitedReader
	reader  *bufio.Reader
	address string
	// idleSince is when the connection was last returned to the pool, idleTimeout how long it may stay there.
	idleSince   time.Time
	idleTimeout time.Duration
	reused      bool
	// relayedBy is the address of the VM that relays the connection, empty for a direct one.
	relayedBy string
	// account counts the bytes of the last head.
	account *membudget.Account
	// echoes holds the values of EchoHeader in all requests.
	echoes map[string]struct{}
}

// mayCarry tells whether the response to a request with this value of EchoHeader can be told from those to earlier ones.
func (c *conn) mayCarry(echo string) bool {
	_, used := c.echoes[echo]
	return echo == "" || !used && len(c.echoes) < maxRequestsPerConn
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.account.Release()
	return c.Conn.Close()
}

// limitedReader returns ErrMalformed once it has read limit bytes, and the error of account
// once that can't hold what was read beyond uncountedHeadBytes.
type limitedReader struct {
	source  io.Reader
	limit   int
	account *membudget.Account
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limit <= 0 {
		return 0, fmt.Errorf("%w: the head exceeds %d bytes", ErrMalformed, maxHeadBytes)
	}
	n, err := l.source.Read(p[:min(len(p), l.limit)])
	l.limit -= n
	if l.account != nil && l.limit < maxHeadBytes-uncountedHeadBytes {
		if err := l.account.Grow(int64(n)); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	return n, err
}

// observedConn is a connection whose first exchange is reported.
type observedConn interface {
	// Answered is called when the head of the first response has arrived.
	Answered()
	// Failed is called when the first exchange has ended without a response.
	Failed()
}

// Do sends a request to address, an "ip:port", and reads the head of the response. Cancelling ctx aborts the exchange,
// including reads of the body. The caller must close the body. Errors wrap ErrNotSent, ErrMalformed, ErrRelayed, the
// error of ctx, or the network error.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := c.connect(ctx, address, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	response, err := c.exchange(connection, request, stopCancel)
	if err != nil {
		stopCancel()
		if observed, ok := connection.Conn.(observedConn); ok && !connection.reused {
			observed.Failed()
		}
		_ = connection.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		if connection.relayedBy != "" {
			err = fmt.Errorf("%w by %s: %w", ErrRelayed, connection.relayedBy, err)
		}
		return nil, err
	}
	return response, nil
}

func (c *Client) exchange(connection *conn, request *Request, stopCancel func() bool) (*Response, error) {
	body := &Body{client: c, conn: connection, stopCancel: stopCancel, written: make(chan error, 1)}
	head := c.encodeHead(request)
	if len(request.Body) < minConcurrentBodyBytes {
		head = append(head, request.Body...)
		if n, err := connection.Write(head); err != nil {
			if n == 0 && !connection.reused {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return nil, fmt.Errorf("send the request: %w", err)
		}
		body.written <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, request.Body}
			_, err := buffers.WriteTo(connection.Conn)
			body.written <- err
		}()
	}
	response, err := c.readHead(connection, request)
	if err != nil {
		return nil, err
	}
	if observed, ok := connection.Conn.(observedConn); ok && !connection.reused {
		observed.Answered()
	}
	body.reader = response.Body
	body.endsWithConnection = endsWithConnection(response)
	body.announcedClose = response.Close || body.endsWithConnection
	body.reusable = !response.Close && request.UnreachableAfter == 0 && connection.relayedBy == "" && !body.endsWithConnection
	connection.idleTimeout = idleTimeout(response.Header, c.options.MaxIdleTime)
	return &Response{
		Status: response.StatusCode, Header: response.Header, Body: body, RelayedBy: connection.relayedBy,
		HasLength: response.ContentLength >= 0, EndsWithConnection: body.endsWithConnection,
	}, nil
}

// endsWithConnection tells whether only the end of the connection shows where the body ends. A response to a HEAD request has
// no body.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// readHead reads responses until one belongs to the request. On a reused connection it may be preceded by extra
// responses to earlier requests, which are discarded.
func (c *Client) readHead(connection *conn, request *Request) (*http.Response, error) {
	matching := &http.Request{Method: request.Method}
	for range maxStrayResponses + 1 {
		connection.account.Release()
		connection.limited.limit, connection.limited.account = maxHeadBytes, connection.account
		response, err := http.ReadResponse(connection.reader, matching)
		connection.limited.limit, connection.limited.account = math.MaxInt, nil
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, fmt.Errorf("read the response: %w", err)
			}
			if errors.Is(err, ErrMalformed) {
				return nil, err
			}
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if !isValidStatus(response.StatusCode) {
			return nil, fmt.Errorf("%w: status %03d", ErrMalformed, response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if c.options.EchoHeader == "" || response.Header.Get(c.options.EchoHeader) == request.Header.Get(c.options.EchoHeader) {
			return response, nil
		}
		if endsWithConnection(response) {
			break // its end would be that of the response to the request
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBodyBytes+1))
		if err != nil || response.Close || skipped > maxStrayBodyBytes {
			break
		}
	}
	return nil, fmt.Errorf("%w: the response belongs to another request", ErrMalformed)
}

// isValidStatus reports whether a server may respond with a status: RFC 9110, section 15. No request asks to switch protocols.
func isValidStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// encodeHead returns the encoded request line and header.
func (c *Client) encodeHead(request *Request) []byte {
	head := make([]byte, 0, 1024)
	head = append(head, request.Method...)
	head = append(head, ' ')
	head = append(head, request.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, request.Host...)
	head = append(head, "\r\n"...)
	for name, values := range request.Header {
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.Body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

// idleTimeout returns how long a connection may stay idle: the timeout in the Keep-Alive field of the response less
// keepAliveMargin, at most maxIdleTime.
func idleTimeout(header http.Header, maxIdleTime time.Duration) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(maxIdleTime, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return maxIdleTime
}

// connect returns an idle connection to address that may carry the request, or opens one. Idle connections that have
// expired or were closed by the server are discarded.
func (c *Client) connect(ctx context.Context, address string, request *Request) (*conn, error) {
	echo := request.Header.Get(c.options.EchoHeader)
	needsNew := request.NewConnection || request.UnreachableAfter > 0 || c.options.EchoHeader != "" && echo == ""
	for !needsNew {
		kept := c.takeIdle(address)
		if kept == nil {
			break
		}
		if kept.mayCarry(echo) && time.Since(kept.idleSince) < kept.idleTimeout && kept.isIdle() {
			kept.reused = true
			kept.echoes[echo] = struct{}{}
			return kept, nil
		}
		_ = kept.Close()
	}
	opened, err := c.dial(ctx, address, request.UnreachableAfter)
	if err != nil {
		return nil, err
	}
	limited := &limitedReader{source: opened, limit: math.MaxInt}
	connection := &conn{
		Conn: opened, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), address: address, echoes: map[string]struct{}{echo: {}},
		account: c.options.Buffers.Account(address),
	}
	if relayed, ok := opened.(relayedConn); ok {
		connection.relayedBy = relayed.RelayedBy()
	}
	return connection, nil
}

// dial opens a connection to address.
func (c *Client) dial(ctx context.Context, address string, unreachableAfter time.Duration) (net.Conn, error) {
	if c.options.Dial != nil {
		return c.options.Dial(ctx, address, unreachableAfter)
	}
	return tcp.Dial(ctx, c.options.SourceIP, address, c.options.ConnectTimeout, unreachableAfter)
}

// takeIdle removes and returns the most recently used idle connection to address, or nil.
func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	c.idle[address] = idle[:len(idle)-1]
	return last
}

// putIdle returns a connection to the pool, or closes it if the pool holds maxIdlePerHost connections to its server.
func (c *Client) putIdle(connection *conn) {
	connection.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[connection.address]
	if len(idle) >= maxIdlePerHost {
		_ = connection.Close()
		return
	}
	c.idle[connection.address] = append(idle, connection)
}

// CloseIdleTo closes the idle connections to address, for a server that is gone.
func (c *Client) CloseIdleTo(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, kept := range idle {
		_ = kept.Close()
	}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	all := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, idle := range all {
		for _, kept := range idle {
			_ = kept.Close()
		}
	}
}

// CloseExpired closes the connections that have been idle for longer than their idle timeout.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		remaining := idle[:0]
		for _, kept := range idle {
			if now.Sub(kept.idleSince) >= kept.idleTimeout {
				_ = kept.Close()
				continue
			}
			remaining = append(remaining, kept)
		}
		if len(remaining) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = remaining
	}
}

// IsTimeout tells whether err means that the deadline of a connection has passed.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
