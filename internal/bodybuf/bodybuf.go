// Package bodybuf keeps request bodies in pooled buffers under one bound for
// the whole process, so that large prompts are read once and forwarded as they
// are.
package bodybuf

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

var (
	// ErrTooLarge tells that a body exceeds the limit given to Read.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory tells that the bound of the pool is reached.
	ErrNoMemory = errors.New("the memory for bodies is used up")
)

const (
	// smallestBytes is the size of the smallest buffers.
	smallestBytes = 16 << 10
	// growthFactor is the ratio of the sizes of neighbouring classes.
	growthFactor = 2
	// classCount is the number of buffer sizes, the largest being 2 GiB.
	classCount = 18
)

// Pool hands out buffers of a few sizes up to a bound in total.
type Pool struct {
	limit int64
	used  atomic.Int64
	free  [classCount]sync.Pool
}

// NewPool returns a pool that hands out at most limit bytes at one time.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit}
}

// UsedBytes returns the bytes that are handed out.
func (p *Pool) UsedBytes() int64 { return p.used.Load() }

// classOf returns the smallest class that holds size bytes, and its size.
func classOf(size int64) (int, int64) {
	class, capacity := 0, int64(smallestBytes)
	for capacity < size && class < classCount-1 {
		class++
		capacity *= growthFactor
	}
	return class, capacity
}

func (p *Pool) take(size int64) ([]byte, error) {
	class, capacity := classOf(size)
	if p.used.Add(capacity) > p.limit {
		p.used.Add(-capacity)
		return nil, ErrNoMemory
	}
	if stored, ok := p.free[class].Get().(*[]byte); ok {
		return *stored, nil
	}
	return make([]byte, capacity), nil
}

func (p *Pool) put(buffer []byte) {
	class, capacity := classOf(int64(cap(buffer)))
	p.used.Add(-capacity)
	buffer = buffer[:cap(buffer)]
	p.free[class].Put(&buffer)
}

// Buffer is a body that was read. It returns to its pool when its owner and
// all its readers have let go of it.
type Buffer struct {
	pool   *Pool
	data   []byte
	length int
	holds  atomic.Int64
}

// Read reads body to its end. Expected is the announced length, or negative
// when it is unknown; the buffer is then grown by copying. It fails with
// ErrTooLarge beyond limit, ErrNoMemory, io.ErrUnexpectedEOF, or the error of
// body.
func (p *Pool) Read(body io.Reader, expected, limit int64) (*Buffer, error) {
	if expected > limit {
		return nil, ErrTooLarge
	}
	// One byte more than expected leaves room to see the end of the body.
	data, err := p.take(max(expected, 0) + 1)
	if err != nil {
		return nil, err
	}
	buffer := &Buffer{pool: p, data: data}
	buffer.holds.Store(1)
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
		read, err := body.Read(b.data[b.length:])
		b.length += read
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

// Bytes returns the body. It is valid until Release.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data[:b.length]
}

// Len returns the length of the body in bytes.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return int64(b.length)
}

// Release ends the owner's hold.
func (b *Buffer) Release() {
	if b != nil {
		b.letGo()
	}
}

func (b *Buffer) letGo() {
	if b.holds.Add(-1) == 0 {
		b.pool.put(b.data)
		b.data = nil
	}
}

// Reader returns a reader over the body that holds the buffer until Close.
func (b *Buffer) Reader() io.ReadCloser {
	b.holds.Add(1)
	return &reader{buffer: b}
}

// reader copies out of the buffer under a lock: an HTTP transport may still
// read after the call that it served has returned.
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
	count := copy(target, r.buffer.data[r.offset:r.buffer.length])
	r.offset += count
	if r.offset == r.buffer.length {
		return count, io.EOF
	}
	return count, nil
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.buffer.letGo()
	}
	return nil
}
