package h1

import (
	"errors"
	"io"
	"time"
)

// Body is the body of a response. Read returns io.EOF only when the response is complete. It is not safe for concurrent
// use.
type Body struct {
	client *Client
	conn   *conn
	reader io.ReadCloser
	// stopCancel detaches the connection from the context of the request. It returns false if that was cancelled.
	stopCancel func() bool
	// written receives the result of sending the request.
	written chan error
	// reusable is set when the server keeps the connection open and the response tells where its body ends.
	reusable bool
	// complete is set when the response was read to its end.
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// SetReadDeadline sets the deadline of all following reads.
func (b *Body) SetReadDeadline(at time.Time) error { return b.conn.SetReadDeadline(at) }

// Close returns the connection to the pool if it can be reused. Otherwise it closes the connection; if the response is
// not complete, the server then cancels the request.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.canReuse() {
		return b.conn.Close()
	}
	b.conn.account.Release()
	b.client.putIdle(b.conn)
	return nil
}

// canReuse tells whether the connection may carry another request: the request must be sent and the response received
// completely, with nothing after it.
func (b *Body) canReuse() bool {
	if !b.stopCancel() || !b.reusable || !b.complete || b.conn.reader.Buffered() > 0 {
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
