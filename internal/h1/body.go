package h1

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// lateWriteTimeout is how long a request may still be written after the server has ended a response that ends with its
// connection.
const lateWriteTimeout = 50 * time.Millisecond

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
	// endsWithConnection is set when the body ends where the server closes the connection.
	endsWithConnection bool
	// announcedClose is set when the response says that the server closes the connection after it.
	announcedClose bool
	// complete is set when the response was read to its end.
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if !errors.Is(err, io.EOF) || b.complete {
		return n, err
	}
	if b.endsWithConnection {
		if writeErr := b.awaitWritten(); writeErr != nil {
			return n, fmt.Errorf("the connection ended while the request was sent: %w", writeErr)
		}
	}
	b.complete = true
	return n, err
}

// awaitWritten waits until sending the request has ended, and returns its error. After the server has closed the
// connection, that takes at most lateWriteTimeout. A reset is reported to one call on the socket only: if that is the
// write, reads return io.EOF as at a proper end.
func (b *Body) awaitWritten() error {
	if err := b.conn.SetWriteDeadline(time.Now().Add(lateWriteTimeout)); err != nil {
		return err
	}
	err := <-b.written
	b.written <- err
	return err
}

// SetReadDeadline sets the deadline of all following reads.
func (b *Body) SetReadDeadline(at time.Time) error { return b.conn.SetReadDeadline(at) }

// ClosedByServer tells whether the server closes or resets the connection of a complete response within wait, although it has
// announced neither that nor a response that ends with its connection.
func (b *Body) ClosedByServer(wait time.Duration) bool {
	if !b.complete || b.announcedClose || b.conn.reader.Buffered() > 0 || b.conn.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	_, err := b.conn.reader.Peek(1)
	return err != nil && !IsTimeout(err)
}

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
