package bodybuf

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadIsBounded(t *testing.T) {
	const limit = 100_000
	text := strings.Repeat("x", limit)
	cases := []struct {
		name     string
		body     string
		expected int64
		pool     int64
		err      error
	}{
		{"known length", text, limit, 1 << 20, nil},
		{"unknown length", text, -1, 1 << 20, nil},
		{"empty", "", 0, 1 << 20, nil},
		{"announced length above the limit", text + "x", limit + 1, 1 << 20, ErrTooLarge},
		{"content above the limit", text + "x", -1, 1 << 20, ErrTooLarge},
		{"pool limit reached", text, limit, limit, ErrNoMemory},
		{"pool limit reached while growing", text, -1, limit, ErrNoMemory},
		{"shorter than announced", "x", 2, 1 << 20, io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := NewPool(c.pool)
			buffer, err := pool.Read(strings.NewReader(c.body), c.expected, limit)
			require.ErrorIs(t, err, c.err)
			if c.err == nil {
				require.Equal(t, c.body, string(buffer.Bytes()))
				require.Positive(t, pool.UsedBytes())
				buffer.Release()
			}
			require.Zero(t, pool.UsedBytes())
		})
	}
}

// An HTTP transport may read the body after the owner has released the buffer. Its memory must not be reused until the
// reader is closed.
func TestReadersKeepTheBuffer(t *testing.T) {
	pool := NewPool(1 << 20)
	buffer, err := pool.Read(strings.NewReader("calm sea"), 8, 100)
	require.NoError(t, err)
	reader := buffer.Reader()
	buffer.Release()
	require.Positive(t, pool.UsedBytes())
	read, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, "calm sea", string(read))
	require.NoError(t, reader.Close())
	require.NoError(t, reader.Close())
	require.Zero(t, pool.UsedBytes())
	_, err = reader.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

// Run under the race detector, it also finds unsynchronized access to the pool and to the readers.
func TestBuffersOfConcurrentUsersAreSeparate(t *testing.T) {
	pool := NewPool(64 << 20)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			want := bytes.Repeat([]byte{byte('a' + i)}, 50_000)
			for range 50 {
				buffer, err := pool.Read(bytes.NewReader(want), -1, 100_000)
				if err != nil {
					t.Error(err)
					return
				}
				reader := buffer.Reader()
				buffer.Release()
				got, _ := io.ReadAll(reader)
				_ = reader.Close()
				if !bytes.Equal(want, got) {
					t.Error("read the bytes of another body")
				}
			}
		})
	}
	group.Wait()
	require.Zero(t, pool.UsedBytes())
}
