package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

// stoppedReader takes nothing until it is freed.
type stoppedReader struct {
	free chan struct{}
	once sync.Once
}

func newStoppedReader() *stoppedReader { return &stoppedReader{free: make(chan struct{})} }

func (s *stoppedReader) Write(p []byte) (int, error) {
	<-s.free
	return len(p), nil
}

func (s *stoppedReader) resume() { s.once.Do(func() { close(s.free) }) }

// logged returns a function that serves one request of a plain route.
func logged(logger zerolog.Logger) func() {
	f := &fakes{}
	table := testTable()
	g := New(Options{
		Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f,
		StopsIn: func() (time.Duration, bool) { return 0, false },
		Zone:    "a", Incarnation: 1, Logger: logger, Metrics: observe.NewMetrics(),
	})
	answer := answers(200, "ok", nil)
	return func() {
		f.sends, f.attempts, f.ends = append(f.sends[:0], answer), f.attempts[:0], f.ends[:0]
		g.Serve(context.Background(), &Request{ID: "0c3a025e2713e635", Host: "h", Path: "/safe/x", Key: "key", ArrivedAt: time.Now(), Timeout: time.Second}, &fakeCaller{})
	}
}

// A reader of the log that has stopped must not hold a request up.
func TestStoppedLogReaderHoldsNoRequestUp(t *testing.T) {
	reader := newStoppedReader()
	lines := observe.NewLineWriter(reader)
	defer lines.Close(time.Second)
	defer reader.resume()
	serveOne := logged(zerolog.New(lines).With().Timestamp().Logger())
	begun := time.Now()
	const requests = 5000 // far more lines than the writer keeps
	for range requests {
		serveOne()
	}
	require.Less(t, time.Since(begun), 5*time.Second, "a millisecond a request")
}

// BenchmarkServeLogged compares a request without log, with a free and with a
// stopped reader.
func BenchmarkServeLogged(b *testing.B) {
	stopped := newStoppedReader()
	defer stopped.resume()
	for name, out := range map[string]io.Writer{"none": nil, "free": io.Discard, "stopped": stopped} {
		b.Run(name, func(b *testing.B) {
			logger := zerolog.Nop()
			if out != nil {
				lines := observe.NewLineWriter(out)
				defer lines.Close(0)
				logger = zerolog.New(lines).With().Timestamp().Logger()
			}
			serveOne := logged(logger)
			for b.Loop() {
				serveOne()
			}
		})
	}
}
