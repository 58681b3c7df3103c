// Package eventstream splits a stream of server-sent events into whole events without decoding their data. A truncated
// event is never returned.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"godwityoke.example/godwityoke/internal/membudget"
)

// MaxEventBytes is the maximum size of an event, including the blank line that ends it.
const MaxEventBytes = 1 << 20

// ErrTooLarge means that an event exceeds MaxEventBytes.
var ErrTooLarge = errors.New("the event is too large")

// Event is one server-sent event.
type Event struct {
	// ID is the id of the event, if HasID is set.
	ID    uint64
	HasID bool
	// Raw is the event as received, including the blank line that ends it. It is valid until the next call of Next.
	Raw []byte
}

// Reader splits a stream into events.
type Reader struct {
	source *bufio.Reader
	// buffer holds the lines of the current event, whose capacity account counts.
	buffer  []byte
	account *membudget.Account
}

// NewReader returns a Reader of the events in source, which keeps the current event in memory of the account. It buffers
// source unless source is a *bufio.Reader.
func NewReader(source io.Reader, account *membudget.Account) *Reader {
	buffered, ok := source.(*bufio.Reader)
	if !ok {
		buffered = bufio.NewReader(source)
	}
	return &Reader{source: buffered, account: account}
}

// Next returns the next whole event. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends
// within an event, ErrTooLarge, an error for an id that is not a number, membudget.ErrExhausted, or the error of the source.
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

// readLine appends one line, including its line end, to the buffer. It returns io.EOF only if the buffer is empty.
func (r *Reader) readLine() error {
	for {
		part, err := r.source.ReadSlice('\n')
		if len(r.buffer)+len(part) > MaxEventBytes {
			return ErrTooLarge
		}
		if err := r.grow(len(r.buffer) + len(part)); err != nil {
			return err
		}
		r.buffer = append(r.buffer, part...)
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

// grow makes room for an event of size bytes.
func (r *Reader) grow(size int) error {
	if size <= cap(r.buffer) {
		return nil
	}
	capacity := min(max(size, 2*cap(r.buffer)), MaxEventBytes)
	if err := r.account.Grow(int64(capacity - cap(r.buffer))); err != nil {
		return err
	}
	r.buffer = append(make([]byte, 0, capacity), r.buffer...)
	return nil
}
