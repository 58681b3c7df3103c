package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/standin/answer"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

func startTest(t *testing.T) *Server {
	t.Helper()
	config := DefaultConfig()
	config.ServerID, config.Zone, config.MinDrainTime = "engine-1", "a", 0
	config.Models = []backendapi.ServedModel{{Name: "m", Version: "1", Adapters: []string{"x"}}}
	config.Speed.StepTime = 100 * time.Microsecond
	server, err := Start(config, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

const testPrompt = "a prompt of some length"

var testAnswer = answer.NewGenerator(answer.Source{Model: "m", Version: "1", Prompt: testPrompt})

type result struct {
	status int
	notRun bool
	chunks []backendapi.Chunk
	err    error
}

func (r result) text() string {
	var text strings.Builder
	for _, chunk := range r.chunks {
		text.WriteString(chunk.Text)
	}
	return text.String()
}

func generate(t *testing.T, server *Server, attempt string, tokens int, headers ...string) result {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d}`, testPrompt, tokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+backendapi.PathCompletions, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set(backendapi.HeaderAttempt, attempt)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := result{status: response.StatusCode, notRun: response.Header.Get(backendapi.HeaderNotRun) == "1"}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			var chunk backendapi.Chunk
			require.NoError(t, json.Unmarshal([]byte(data), &chunk))
			got.chunks = append(got.chunks, chunk)
		}
	}
	got.err = lines.Err()
	return got
}

func TestResumedAnswerContinuesTheSameText(t *testing.T) {
	complete := generate(t, startTest(t), "a", 10)
	resumed := generate(t, startTest(t), "b", 10, backendapi.HeaderResumeFrom, "4")
	require.Equal(t, testAnswer.Text(0, 10), complete.text())
	assert.Equal(t, testAnswer.Text(4, 10), resumed.text())
	end := resumed.chunks[len(resumed.chunks)-1]
	assert.Equal(t, backendapi.Chunk{Attempt: "b", Index: 10, End: true, Count: 10, FinishReason: "length", PromptTokens: 5}, end)
}

func TestCallForUnknownAdapterIsNotRun(t *testing.T) {
	server := startTest(t)
	got := generate(t, server, "a", 3, backendapi.HeaderAdapter, "none")
	assert.True(t, got.notRun)
	assert.Equal(t, http.StatusBadRequest, got.status)
	assert.Zero(t, server.Counters().Submitted)
}

func TestFaultsOfAStream(t *testing.T) {
	cases := map[fault.Kind]func(t *testing.T, got result){
		fault.Cut: func(t *testing.T, got result) {
			assert.Error(t, got.err)
			assert.Len(t, got.chunks, 2)
		},
		fault.Crossed: func(t *testing.T, got result) { assert.NotEqual(t, "a", got.chunks[2].Attempt) },
		fault.Repeat:  func(t *testing.T, got result) { assert.Equal(t, got.chunks[2], got.chunks[3]) },
		fault.Refuse: func(t *testing.T, got result) {
			assert.True(t, got.notRun)
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
		},
		fault.Error: func(t *testing.T, got result) {
			assert.False(t, got.notRun)
			assert.Equal(t, http.StatusInternalServerError, got.status)
		},
	}
	for kind, check := range cases {
		t.Run(string(kind), func(t *testing.T) {
			server := startTest(t)
			require.NoError(t, server.SetFault(fault.Fault{Kind: kind, Count: 1, AfterTokens: 2}))
			check(t, generate(t, server, "a", 6))
			again := generate(t, server, "b", 6)
			assert.Equal(t, testAnswer.Text(0, 6), again.text(), "a fault with count 1 hit a second call")
			assert.Zero(t, server.Counters().MemoryTokens)
		})
	}
}

func TestOrderWithLowerFencingTokenIsStale(t *testing.T) {
	server := startTest(t)
	now := time.Now()
	order := func(id string, fencing uint64, expires time.Time) backendapi.OrderStatus {
		return server.orders.execute(backendapi.Order{
			ID: id, Kind: backendapi.OrderSetRole, Role: backendapi.RoleDecode,
			Fencing: fencing, ExpiresUnixMillis: expires.UnixMilli(),
		}, now).Status
	}
	later := now.Add(time.Minute)
	assert.Equal(t, backendapi.OrderDone, order("1", 5, later))
	assert.Equal(t, backendapi.OrderStale, order("2", 4, later))
	assert.Equal(t, backendapi.OrderExpired, order("3", 6, now))
	assert.Equal(t, backendapi.OrderDone, order("1", 4, later), "a resent order did not get its first reply")
	server.orders.checksFencing = false
	assert.Equal(t, backendapi.OrderDone, order("4", 1, later))
}

func TestDrainFinishesStreams(t *testing.T) {
	server := startTest(t)
	done := make(chan result, 1)
	go func() { done <- generate(t, server, "a", 500) }()
	require.Eventually(t, func() bool { return server.Counters().DecodeTokens > 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, server.Drain(context.Background()))
	assert.Equal(t, testAnswer.Text(0, 500), (<-done).text())
}

func TestFaultsAreSwitchedOverHTTP(t *testing.T) {
	server := startTest(t)
	body := bytes.NewBufferString(`{"kind":"cut","count":-1}`)
	response, err := http.Post("http://"+server.Address()+"/standin/v1/faults", "application/json", body)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, server.faults.IsActive(fault.Cut))
	body = bytes.NewBufferString(`{"kind":"gone","count":1}`)
	response, err = http.Post("http://"+server.Address()+"/standin/v1/faults", "application/json", body)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// TestPromptInSegmentsOnTwoEngines prefills a prompt in two segments on two engines. The second
// engine has to generate the same answer as a single one, and to end the answer with an error
// when the first engine has lost its segment.
func TestPromptInSegmentsOnTwoEngines(t *testing.T) {
	first, second := startTest(t), startTest(t)
	segment := generate(t, first, "s1", 6, backendapi.HeaderSegment, "0-3", backendapi.HeaderPrefillOnly, "1")
	require.True(t, segment.chunks[0].End)
	var handle, imported backendapi.KVHandle
	post(t, first, backendapi.PathKVExport, backendapi.KVExportRequest{Attempt: "s1"}, &handle)
	require.EqualValues(t, 3, handle.Tokens)
	req := backendapi.KVImportRequest{Attempt: "i1", Source: first.Address(), Handle: handle.Handle, Remote: true}
	post(t, second, backendapi.PathKVImport, req, &imported)
	got := generate(t, second, "s2", 6, backendapi.HeaderSegment, "3-5", backendapi.HeaderKVHandle, imported.Handle)
	assert.Equal(t, testAnswer.Text(0, 6), got.text())

	req.Attempt = "i2"
	post(t, second, backendapi.PathKVImport, req, &imported)
	post(t, first, backendapi.PathCancel, backendapi.CancelRequest{Attempts: []string{"s1"}}, &backendapi.CancelReply{})
	lost := generate(t, second, "s3", 10_000, backendapi.HeaderSegment, "3-5", backendapi.HeaderKVHandle, imported.Handle)
	assert.NotEmpty(t, lost.chunks[len(lost.chunks)-1].Error)
	assert.Zero(t, first.Counters().MemoryTokens+second.Counters().MemoryTokens)
}

func post(t *testing.T, server *Server, path string, message, answer any) {
	t.Helper()
	body, err := json.Marshal(message)
	require.NoError(t, err)
	response, err := http.Post("http://"+server.Address()+path, "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, json.NewDecoder(response.Body).Decode(answer))
}
