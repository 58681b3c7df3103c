package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTruncatedEventIsNotReturned(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: cut"
	reader := NewReader(strings.NewReader(stream), nil)
	var raw string
	var ids []uint64
	for {
		event, err := reader.Next()
		if err != nil {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			break
		}
		raw += string(event.Raw)
		if event.HasID {
			ids = append(ids, event.ID)
		}
	}
	require.Equal(t, []uint64{1, 2}, ids)
	require.Equal(t, stream[:strings.Index(stream, "id: 3")], raw, "events must keep their bytes")
}

func TestStreamEndBetweenEventsIsEOF(t *testing.T) {
	reader := NewReader(strings.NewReader("id: 1\n\n"), nil)
	_, err := reader.Next()
	require.NoError(t, err)
	_, err = reader.Next()
	require.ErrorIs(t, err, io.EOF)
}

func TestMalformedAndTooLargeEventsAreErrors(t *testing.T) {
	_, err := NewReader(strings.NewReader("id: x\n\n"), nil).Next()
	require.ErrorContains(t, err, "event id")
	_, err = NewReader(strings.NewReader("data: "+strings.Repeat("x", MaxEventBytes+10)), nil).Next()
	require.ErrorIs(t, err, ErrTooLarge)
}

func TestReadErrorOfTheSourceIsReturned(t *testing.T) {
	broken := errors.New("reset")
	_, err := NewReader(io.MultiReader(strings.NewReader("id: 1\n"), failingReader{broken}), nil).Next()
	require.ErrorIs(t, err, broken)
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
