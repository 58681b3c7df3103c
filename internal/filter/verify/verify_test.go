package verify

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
)

// TestIncompleteServiceAnswersAreRefused reads answers whose length or digest is right,
// wrong or missing. An incomplete answer must not be accepted as complete.
func TestIncompleteServiceAnswersAreRefused(t *testing.T) {
	sum := sha256.Sum256([]byte("calm sea"))
	right := hex.EncodeToString(sum[:])
	cases := []struct {
		name, body, digest string
		length             int64
		chunked            bool
		complete           bool
	}{
		{"length", "calm sea", "", 8, false, true},
		{"length too long", "calm sea", "", 9, false, false},
		{"length too short", "calm sea", "", 7, false, false},
		{"digest", "calm sea", right, -1, false, true},
		{"wrong digest", "calm sea!", right, 9, false, false},
		{"chunked", "calm sea", "", -1, true, true},
		{"neither", "calm sea", "", -1, false, false},
		{"beyond the limit", strings.Repeat("x", 101), "", 101, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := &http.Response{Header: http.Header{}, ContentLength: c.length, Body: io.NopCloser(strings.NewReader(c.body))}
			if c.digest != "" {
				response.Header.Set(backendapi.HeaderBodyDigest, c.digest)
			}
			if c.chunked {
				response.TransferEncoding = []string{"chunked"}
			}
			body, err := readAnswer(response, 100)
			require.Equal(t, c.complete, err == nil, err)
			if c.complete {
				require.Equal(t, c.body, string(body))
			}
		})
	}
}

func TestAnswerToAHeadRequestIsComplete(t *testing.T) {
	for name, length := range map[string]int64{"length of the body of a GET": 8, "no length": -1} {
		response := &http.Response{
			Header: http.Header{}, ContentLength: length, Body: http.NoBody, Request: &http.Request{Method: http.MethodHead},
		}
		body, err := readAnswer(response, 100)
		require.NoError(t, err, name)
		require.Empty(t, body, name)
	}
}

// TestOnlyTheNextChunkIsAccepted checks one chunk against an attempt that has two
// verified tokens and may have four. Repeated, skipped or foreign chunks must be
// refused, and so must an end mark with a wrong count.
func TestOnlyTheNextChunkIsAccepted(t *testing.T) {
	const id = "this"
	cases := []struct {
		name  string
		chunk backendapi.Chunk
		right bool
	}{
		{"next", backendapi.Chunk{Attempt: id, Index: 2, Text: "a"}, true},
		{"repeated", backendapi.Chunk{Attempt: id, Index: 1, Text: "a"}, false},
		{"gap", backendapi.Chunk{Attempt: id, Index: 3, Text: "a"}, false},
		{"another attempt", backendapi.Chunk{Attempt: "that", Index: 2, Text: "a"}, false},
		{"end", backendapi.Chunk{Attempt: id, End: true, Count: 2}, true},
		{"end with a token", backendapi.Chunk{Attempt: id, Index: 2, Text: "a", End: true, Count: 3}, true},
		{"end too early", backendapi.Chunk{Attempt: id, End: true, Count: 3}, false},
		{"end too late", backendapi.Chunk{Attempt: id, End: true, Count: 1}, false},
		{"end of another attempt", backendapi.Chunk{Attempt: "that", End: true, Count: 2}, false},
		{"end with an error", backendapi.Chunk{Attempt: id, End: true, Count: 2, Error: "out of memory"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := &filter.Call{VerifiedTokens: 2, Inference: filter.Inference{AnswerTokens: 4}, Attempt: &filter.Attempt{ID: id}}
			require.Equal(t, c.right, checkChunk(call, c.chunk) == nil)
		})
	}
	full := &filter.Call{VerifiedTokens: 4, Inference: filter.Inference{AnswerTokens: 4}, Attempt: &filter.Attempt{ID: id}}
	require.Error(t, checkChunk(full, backendapi.Chunk{Attempt: id, Index: 4, Text: "a"}), "a token above the maximum length must be refused")
}

// TestEventLengthIsLimited reads an event of 20 KiB, which is longer than the read
// buffer, and one of 80 KiB, which must be refused.
func TestEventLengthIsLimited(t *testing.T) {
	long := `{"attempt":"a","text":"` + strings.Repeat("x", 20<<10) + `"}`
	events := bufio.NewReader(strings.NewReader(": comment\n\ndata: " + long + "\n\ndata: {}\n\ndata: " + strings.Repeat("x", 80<<10)))
	chunk, err := readChunk(events)
	require.NoError(t, err)
	require.Len(t, chunk.Text, 20<<10)
	_, err = readChunk(events)
	require.NoError(t, err)
	_, err = readChunk(events)
	require.ErrorContains(t, err, "longer than")
	_, err = readChunk(bufio.NewReader(strings.NewReader(`data: {"end":true}`)))
	require.ErrorIs(t, err, io.EOF, "a line without a line feed must not be accepted")
}
