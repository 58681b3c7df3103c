// Package bodybuf holds request bodies in pooled buffers under one memory limit for the whole process. Large prompts are
// read once and forwarded from the same buffer. Limits per request are passed in by the caller of Read.
package bodybuf

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

var (
	// ErrTooLarge means that a body exceeds the limit given to Read.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory means that the memory limit of the pool is reached.
	ErrNoMemory = errors.New("the memory for bodies is used up")
)

const (
	// minBufferBytes is the buffer size of the smallest class.
	minBufferBytes = 16 << 10
	// growthFactor is the ratio of the buffer sizes of adjacent classes.
	growthFactor = 2
	// sizeClasses is the number of size classes; buffers of the largest class have 2 GiB.
	sizeClasses = 18
)

// Pool provides buffers in fixed size classes, up to a limit on their total size. It is safe for concurrent use.
type Pool struct {
	maxBytes  int64
	usedBytes atomic.Int64
	free      [sizeClasses]sync.Pool
}

// NewPool returns a Pool whose buffers in use have at most maxBytes bytes in total.
func NewPool(maxBytes int64) *Pool {
	return &Pool{maxBytes: maxBytes}
}

// UsedBytes returns the total size of the buffers in use.
func (p *Pool) UsedBytes() int64 { return p.usedBytes.Load() }

// sizeClass returns the smallest class whose buffers hold size bytes, and the size of its buffers. Above 2 GiB it returns
// the largest class.
func sizeClass(size int64) (int, int64) {
	class, capacity := 0, int64(minBufferBytes)
	for capacity < size && class < sizeClasses-1 {
		class++
		capacity *= growthFactor
	}
	return class, capacity
}

func (p *Pool) take(size int64) ([]byte, error) {
	class, capacity := sizeClass(size)
	if p.usedBytes.Add(capacity) > p.maxBytes {
		p.usedBytes.Add(-capacity)
		return nil, ErrNoMemory
	}
	if stored, ok := p.free[class].Get().(*[]byte); ok {
		return *stored, nil
	}
	return make([]byte, capacity), nil
}

func (p *Pool) put(buffer []byte) {
	class, capacity := sizeClass(int64(cap(buffer)))
	p.usedBytes.Add(-capacity)
	buffer = buffer[:cap(buffer)]
	p.free[class].Put(&buffer)
}

// Buffer holds a body that was read completely. Its memory returns to the pool once the owner has called Release and all
// readers are closed.
type Buffer struct {
	pool   *Pool
	data   []byte
	length int
	// refs counts the owner and the open readers.
	refs atomic.Int64
}

// Read reads body to its end. Expected is the announced length in bytes, or negative if it is unknown; the buffer then
// grows by copying. The error is ErrTooLarge if the body is longer than limit bytes, ErrNoMemory, io.ErrUnexpectedEOF
// if the length is not the expected one, or wraps the error of body.
func (p *Pool) Read(body io.Reader, expected, limit int64) (*Buffer, error) {
	if expected > limit {
		return nil, ErrTooLarge
	}
	// With one byte more than expected, the end of the body is read without growing the buffer.
	data, err := p.take(max(expected, 0) + 1)
	if err != nil {
		return nil, err
	}
	buffer := &Buffer{pool: p, data: data}
	buffer.refs.Store(1)
	if err := buffer.fill(body, expected, limit); err != nil {
		buffer.Release()
		return nil, err
	}
	return buffer, nil
}

func (b *Buffer) fill(body io.Reader, expected, limit int64) error {
	for {
		if b.length == len(b.data) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		n, err := body.Read(b.data[b.length:])
		b.length += n
		if int64(b.length) > limit {
			return ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read the body: %w", err)
		}
	}
	if expected >= 0 && int64(b.length) != expected {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func (b *Buffer) grow(limit int64) error {
	if int64(b.length) > limit {
		return ErrTooLarge
	}
	larger, err := b.pool.take(int64(len(b.data)) + 1)
	if err != nil {
		return err
	}
	copy(larger, b.data)
	b.pool.put(b.data)
	b.data = larger
	return nil
}

// Bytes returns the body, nil for a nil Buffer. The slice is valid until Release.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data[:b.length]
}

// Len returns the length of the body in bytes, 0 for a nil Buffer.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return int64(b.length)
}

// Release drops the reference of the owner, who must not use the buffer afterwards. It does nothing for a nil Buffer.
func (b *Buffer) Release() {
	if b != nil {
		b.unref()
	}
}

func (b *Buffer) unref() {
	if b.refs.Add(-1) == 0 {
		b.pool.put(b.data)
		b.data = nil
	}
}

// Reader returns a reader over the body. It keeps the buffer in use until it is closed.
func (b *Buffer) Reader() io.ReadCloser {
	b.refs.Add(1)
	return &reader{buffer: b}
}

// reader locks against a concurrent Close, because an HTTP transport may still read a request body after RoundTrip has
// returned.
type reader struct {
	mu     sync.Mutex
	buffer *Buffer
	offset int
	closed bool
}

// Read implements io.Reader.
func (r *reader) Read(target []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return 0, io.ErrClosedPipe
	}
	n := copy(target, r.buffer.data[r.offset:r.buffer.length])
	r.offset += n
	if r.offset == r.buffer.length {
		return n, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.buffer.unref()
	}
	return nil
}
