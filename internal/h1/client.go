// Package h1 sends HTTP/1.1 requests to backend servers, one at a time on a
// connection. Unlike a general client it tells whether a request can have
// reached the server, checks that an answer belongs to the request, and takes
// an answer as whole only when its framing says so.
package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/tcp"
)

const (
	// maxStrayAnswers bounds the answers to earlier requests that are skipped on
	// a kept connection.
	maxStrayAnswers = 2
	// maxIdlePerHost bounds the kept connections to one server.
	maxIdlePerHost = 16
	// concurrentBodyBytes is the size from which a body is written while the
	// answer is already awaited: servers may answer before they have read it.
	concurrentBodyBytes = 16 << 10
	// keepAliveMargin is how much sooner than the server announced a kept
	// connection is given up, so that both don't meet.
	keepAliveMargin = 700 * time.Millisecond
	readBufferBytes = 4 << 10
)

var (
	// ErrNotSent tells that nothing of the request can have reached the server.
	ErrNotSent = errors.New("the request was not sent")
	// ErrMalformed tells that the server sent something that is no answer to
	// the request.
	ErrMalformed = errors.New("malformed answer")
)

// Options configure a Client.
type Options struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// SourceIP is the local IP number of connections, empty for any.
	SourceIP string
	// MaxIdleTime is the idle age after which a connection is not used again.
	MaxIdleTime time.Duration
	// EchoHeader is the header of a request that the server repeats in its
	// answer; empty for none.
	EchoHeader string
}

// Client keeps connections to servers. It is safe for concurrent use.
type Client struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{options: options, idle: map[string][]*conn{}}
}

// Request is what is sent. Header holds nothing that concerns the connection.
type Request struct {
	Method string
	// Target is the path with the query as it stands on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a new connection: a kept one may have been closed by the
	// server without a notice that has arrived.
	NewConnection bool
}

// Response is an answer whose head has been read.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the answer is whole.
	Body *Body
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	idleSince time.Time
	maxIdle   time.Duration
	reused    bool
}

// Do sends a request to address and reads the head of its answer. The answer
// and its body are given up when ctx ends. The caller must close the body.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := c.connect(ctx, address, request.NewConnection)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	cancelled := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	response, err := c.exchange(connection, request, cancelled)
	if err != nil {
		cancelled()
		_ = connection.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		return nil, err
	}
	return response, nil
}

func (c *Client) exchange(connection *conn, request *Request, cancelled func() bool) (*Response, error) {
	body := &Body{client: c, conn: connection, cancelled: cancelled, written: make(chan error, 1)}
	head := c.head(request)
	if len(request.Body) < concurrentBodyBytes {
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
	answer, err := c.readHead(connection, request)
	if err != nil {
		return nil, err
	}
	body.reader = answer.Body
	body.reusable = !answer.Close && (answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0)
	connection.maxIdle = keepAlive(answer.Header, c.options.MaxIdleTime)
	return &Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}

// readHead reads heads until one belongs to the request: an extra answer to an
// earlier request may stand before it on a kept connection.
func (c *Client) readHead(connection *conn, request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for range maxStrayAnswers + 1 {
		answer, err := http.ReadResponse(connection.reader, asked)
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, fmt.Errorf("read the answer: %w", err)
			}
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if c.options.EchoHeader == "" || answer.Header.Get(c.options.EchoHeader) == request.Header.Get(c.options.EchoHeader) {
			return answer, nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: it belongs to another request", ErrMalformed)
}

// head returns the request line and the header.
func (c *Client) head(request *Request) []byte {
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

// keepAlive returns how long a connection may stay idle by the answer's header.
func keepAlive(header http.Header, longest time.Duration) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(longest, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return longest
}

// connect returns a kept connection or opens one.
func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		kept := c.take(address)
		if kept == nil {
			break
		}
		if time.Since(kept.idleSince) < kept.maxIdle && kept.quiet() {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	opened, err := tcp.DialerFrom(c.options.SourceIP, c.options.ConnectTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferBytes), address: address}, nil
}

func (c *Client) take(address string) *conn {
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

// keep puts a connection back.
func (c *Client) keep(connection *conn) {
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

// CloseIdleTo closes the kept connections to address, whose server is gone.
func (c *Client) CloseIdleTo(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, kept := range idle {
		_ = kept.Close()
	}
}

// CloseExpired closes connections that were idle for too long.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		left := idle[:0]
		for _, kept := range idle {
			if now.Sub(kept.idleSince) >= kept.maxIdle {
				_ = kept.Close()
				continue
			}
			left = append(left, kept)
		}
		if len(left) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = left
	}
}

// IsTimeout tells whether err is the end of a deadline.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
