package h1

import (
	"errors"
	"io"
	"time"
)

// Body is the body of an answer. Reading it to io.EOF means that the answer is
// whole.
type Body struct {
	client    *Client
	conn      *conn
	reader    io.ReadCloser
	cancelled func() bool
	// written gets the result of sending the request's body.
	written  chan error
	reusable bool
	ended    bool
	closed   bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// SetReadDeadline bounds the following reads.
func (b *Body) SetReadDeadline(at time.Time) error { return b.conn.SetReadDeadline(at) }

// Close gives the connection back when the answer was read to its end, and
// closes it otherwise, which makes the server drop the request.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.keepable() {
		return b.conn.Close()
	}
	b.client.keep(b.conn)
	return nil
}

// keepable tells whether the connection may carry another request: nothing of
// this one may still be on its way in either direction.
func (b *Body) keepable() bool {
	if !b.cancelled() || !b.reusable || !b.ended || b.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-b.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	return b.conn.SetDeadline(time.Time{}) == nil
}
