// Package eventstream reads server-sent events as whole blocks of bytes, so
// that an event that was cut off is never passed on.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// ErrTooLarge tells that an event exceeds MaxEventBytes.
var ErrTooLarge = errors.New("the event is too large")

// Event is one event with the bytes that it came in.
type Event struct {
	// ID is the event's id; HasID is false for an event without a numeric id.
	ID    uint64
	HasID bool
	// Raw holds the event with the blank line that ends it. It is valid until
	// the next call of Next.
	Raw []byte
}

// Reader splits a stream into events.
type Reader struct {
	source *bufio.Reader
	buffer []byte
}

// NewReader returns a Reader of source.
func NewReader(source io.Reader) *Reader {
	buffered, ok := source.(*bufio.Reader)
	if !ok {
		buffered = bufio.NewReader(source)
	}
	return &Reader{source: buffered}
}

// Next returns the next whole event. It returns io.EOF at the end of the
// stream and io.ErrUnexpectedEOF when the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	event := Event{}
	for {
		start := len(r.buffer)
		if err := r.readLine(); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = r.buffer
			return event, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return Event{}, fmt.Errorf("event id %q: %w", value, err)
			}
			event.ID, event.HasID = id, true
		}
	}
}

// readLine appends one line with its end to the buffer.
func (r *Reader) readLine() error {
	for {
		part, err := r.source.ReadSlice('\n')
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > MaxEventBytes {
			return ErrTooLarge
		}
		switch {
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.buffer) > 0:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}
