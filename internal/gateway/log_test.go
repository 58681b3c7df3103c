package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

// blockedWriter blocks all writes until unblock is called.
type blockedWriter struct {
	unblocked chan struct{}
	once      sync.Once
}

func newBlockedWriter() *blockedWriter { return &blockedWriter{unblocked: make(chan struct{})} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	return len(p), nil
}

func (w *blockedWriter) unblock() { w.once.Do(func() { close(w.unblocked) }) }

// newServeFunc returns a function that serves one request of a route that is not streamed and logs to logger.
func newServeFunc(logger zerolog.Logger) func() {
	f := &fakes{}
	table := testTable()
	g := New(Options{
		Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f,
		StopsIn: func() (time.Duration, bool) { return 0, false },
		Zone:    "a", Incarnation: 1, Logger: logger, Metrics: observe.NewMetrics(),
	})
	answer := respond(200, "ok", nil)
	return func() {
		f.responses, f.attempts, f.outcomes = append(f.responses[:0], answer), f.attempts[:0], f.outcomes[:0]
		g.Serve(context.Background(), &Request{
			ID: "0c3a025e2713e635", Host: "h", Path: "/safe/x", Key: "key", ArrivedAt: time.Now(), Timeout: time.Second,
		}, &fakeCaller{})
	}
}

// Requests must be served at full speed while the process that reads the log has stopped reading.
func TestBlockedLogWriterDoesNotDelayRequests(t *testing.T) {
	writer := newBlockedWriter()
	lines := observe.NewLineWriter(writer)
	defer lines.Close(time.Second)
	defer writer.unblock()
	serveOne := newServeFunc(zerolog.New(lines).With().Timestamp().Logger())
	start := time.Now()
	const requests = 5000 // log more lines than the buffer of the LineWriter holds
	for range requests {
		serveOne()
	}
	require.Less(t, time.Since(start), 5*time.Second, "at most 1 ms per request")
}

// BenchmarkServeLogged compares serving without a log, with a log whose reader keeps up, and with one whose reader has
// stopped.
func BenchmarkServeLogged(b *testing.B) {
	blocked := newBlockedWriter()
	defer blocked.unblock()
	for name, out := range map[string]io.Writer{"none": nil, "free": io.Discard, "stopped": blocked} {
		b.Run(name, func(b *testing.B) {
			logger := zerolog.Nop()
			if out != nil {
				lines := observe.NewLineWriter(out)
				defer lines.Close(0)
				logger = zerolog.New(lines).With().Timestamp().Logger()
			}
			serveOne := newServeFunc(logger)
			for b.Loop() {
				serveOne()
			}
		})
	}
}

// The lines of a refusal did not tell an entry VM with an outdated route table from a caller's mistake.
func TestRefusalByTheRouteTableNamesItsVersionAndSource(t *testing.T) {
	for path, reason := range map[string]string{"/none/x": "no route matches the host and path", "/safe/x": "unknown key"} {
		var lines bytes.Buffer
		f := &fakes{}
		table := testTable()
		table.Version = 7
		g := New(Options{
			Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f,
			TableSource: func() TableSource {
				return TableSource{ControlVM: "10.0.0.1:1", Age: 3 * time.Second, Silent: time.Second}
			},
			StopsIn: func() (time.Duration, bool) { return 0, false },
			Zone:    "a", Incarnation: 1, Logger: zerolog.New(&lines), Metrics: observe.NewMetrics(),
		})
		g.Serve(context.Background(), &Request{ID: "1", Host: "h", Path: path, Key: "other", ArrivedAt: time.Now(), Timeout: time.Second}, &fakeCaller{})
		var line struct {
			Reason       string
			TableVersion uint64  `json:"table_version"`
			TableAge     float64 `json:"table_age"`
			ControlVM    string  `json:"control_vm"`
			Silent       float64
		}
		require.NoError(t, json.Unmarshal(lines.Bytes(), &line), lines.String())
		require.Equal(t, reason, line.Reason)
		require.EqualValues(t, 7, line.TableVersion)
		require.InDelta(t, 3000, line.TableAge, 1)
		require.Equal(t, "10.0.0.1:1", line.ControlVM)
		require.InDelta(t, 1000, line.Silent, 1)
	}
}
