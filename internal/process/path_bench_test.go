package process_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/process"
)

// benchmarkBody is the beginning of a request body, with the number of answer tokens.
const benchmarkBody = `{"max_tokens":%d,"model":"scribe","stream":true,"prompt":"`

// BenchmarkRequest measures a stream from an engine that answers without delay, called
// directly and through an entry VM. Client, entry VM and engine run in the same process, so
// the difference is the cost of the request path.
func BenchmarkRequest(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(answerWithoutDelay))
	defer engine.Close()
	config := entrySettings(b)
	p, err := process.Start(b.Context(), process.Options{Settings: config, Logger: zerolog.Nop(), Bundles: bundleWithoutLimits(b)})
	require.NoError(b, err)
	defer p.Kill()
	stop := sendHeartbeats(b, p.Addresses().Backends, strings.TrimPrefix(engine.URL, "http://"))
	defer stop()
	require.Eventually(b, func() bool { return len(p.Host().Fleet.All(time.Now())) == 1 }, time.Second, time.Millisecond)
	for _, c := range []struct{ prompt, answer int }{{1000, 16}, {1000, 256}, {1_000_000, 16}} {
		body := fmt.Sprintf(benchmarkBody, c.answer) + strings.Repeat("word", c.prompt) + `"}`
		name := fmt.Sprintf("prompt=%d/answer=%d", c.prompt, c.answer)
		b.Run(name+"/direct", func(b *testing.B) { measure(b, engine.URL, body) })
		b.Run(name+"/path", func(b *testing.B) { measure(b, "http://"+p.Addresses().Callers, body) })
	}
}

// bundleWithoutLimits returns a holder of the example bundle without the team's limits.
func bundleWithoutLimits(b *testing.B) *bundle.Holder {
	loaded, findings, err := bundle.Load(exampleBundle(b))
	require.NoError(b, err)
	require.Empty(b, findings)
	loaded.Teams[0].Limits = bundle.TeamLimits{}
	holder := bundle.NewHolder()
	holder.Advance(&bundle.AcceptedBundle{Version: 2, Bundle: loaded})
	return holder
}

func answerWithoutDelay(w http.ResponseWriter, r *http.Request) {
	count := int64(0)
	_, _ = fmt.Fscanf(r.Body, benchmarkBody, &count)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	id := r.Header.Get(backendapi.HeaderAttempt)
	for i := range count {
		writeChunk(w, backendapi.Chunk{Attempt: id, Index: i, Text: "word "})
	}
	writeChunk(w, backendapi.Chunk{Attempt: id, End: true, Count: count, FinishReason: "stop"})
}

// sendHeartbeats announces an engine every 500 ms until stop is called.
func sendHeartbeats(b *testing.B, to, engine string) (stop func()) {
	done := make(chan struct{})
	go func() {
		for sequence := uint64(1); ; sequence++ {
			announce(b, to, backendapi.Announcement{
				ServerID: "engine-1", Incarnation: 1, Sequence: sequence, Kind: backendapi.KindEngine, Zone: "a",
				Address: engine, State: backendapi.StateServing, MemoryTokens: 2 << 20,
				Models: []backendapi.ServedModel{{Name: "scribe", Version: "1"}},
			})
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	return func() { close(done) }
}

// measure sends requests sequentially and reports latency percentiles and the processor
// time of this process per request.
func measure(b *testing.B, url, body string) {
	b.ReportAllocs()
	var elapsed []time.Duration
	before := cpuTime()
	for b.Loop() {
		started := time.Now()
		response := post(b, url+"/v1/completions", body)
		_, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, response.StatusCode)
		elapsed = append(elapsed, time.Since(started))
	}
	used := cpuTime() - before
	slices.Sort(elapsed)
	b.ReportMetric(float64(elapsed[len(elapsed)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(elapsed[len(elapsed)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(used.Microseconds())/float64(len(elapsed)), "cpu-us/op")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail for the calling process
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
