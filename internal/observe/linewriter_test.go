package observe

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func logTo(w io.Writer) zerolog.Logger { return zerolog.New(w) }

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewLineWriter(&out)
		logger := logTo(w)
		for i := range 50 {
			Log(logger, RequestPlaced).Int("i", i).Send()
		}
		w.Close(time.Second)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Len(t, lines, 50)
		require.Contains(t, lines[0], `"i":0`)
		require.Contains(t, lines[49], `"i":49`)
	})
}

// While the reader of the log is stopped, logging must not block, and the lines of
// failed requests must not be dropped in favour of ordinary ones. Once the reader goes
// on, the number of dropped lines is reported.
func TestStoppedReaderDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		w := NewLineWriter(pipe)
		logger := logTo(w)
		startedAt := time.Now()
		filler := strings.Repeat("x", 1000)
		const ordinary, failed = 5000, 60
		for i := range ordinary {
			Log(logger, RequestPlaced).Str("filler", filler).Send()
			if i%100 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		require.Equal(t, 50*100*time.Millisecond, time.Since(startedAt), "logging waited for the reader")
		for range failed {
			Log(logger, RequestBroken).Str("filler", filler).Send()
		}
		var out bytes.Buffer
		go func() { _, _ = io.Copy(&out, reader) }()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		text := out.String()
		require.Equal(t, failed, strings.Count(text, `"name":"request_broken"`))
		placed := strings.Count(text, `"name":"request_placed"`)
		require.LessOrEqual(t, len(text), maxPendingBytes+4096)
		require.Contains(t, text, `"name":"log_lines_left_out","lines":`+strconv.Itoa(ordinary-placed))
		w.Close(time.Second)
		_ = pipe.Close()
	})
}

func TestLinesOfOneEventAreLimitedPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewLineWriter(&out)
		logger := logTo(w)
		for range 3 {
			for range maxEventLinesPerSecond + 50 {
				Log(logger, RequestPlaced).Send()
			}
			Log(logger, RequestAnswered).Send()
			synctest.Wait()
			time.Sleep(1100 * time.Millisecond)
		}
		w.Close(time.Second)
		text := out.String()
		require.Equal(t, 3*maxEventLinesPerSecond, strings.Count(text, `"name":"request_placed"`))
		require.Equal(t, 3, strings.Count(text, `"name":"request_answered"`))
		require.Equal(t, 3, strings.Count(text, `"by_event":{"3205":50}`))
	})
}

// The line being written must stay intact while others are buffered.
func TestBufferedLinesDoNotOverwriteTheLineBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		w := NewLineWriter(pipe)
		lines := bufio.NewReader(reader)
		for round := range 5 {
			first, second := fmt.Sprintf("first %d\n", round), fmt.Sprintf("other %d\n", round)
			_, _ = io.WriteString(w, first)
			synctest.Wait() // the goroutine of w is blocked in its write of the first line
			_, _ = io.WriteString(w, second)
			for _, want := range []string{first, second} {
				line, err := lines.ReadString('\n')
				require.NoError(t, err)
				require.Equal(t, want, line)
			}
			synctest.Wait()
		}
		w.Close(time.Second)
		_ = pipe.Close()
	})
}

// A steady flow of other lines must not delay the report of dropped lines indefinitely.
func TestDroppedLinesAreReportedWhileOtherLinesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewLineWriter(&out)
		logger := logTo(w)
		for range maxEventLinesPerSecond + 1 {
			Log(logger, RequestPlaced).Send()
		}
		for range 30 {
			Log(logger, RequestAnswered).Send()
			time.Sleep(100 * time.Millisecond)
		}
		w.Close(time.Second)
		require.Equal(t, 1, strings.Count(out.String(), `"name":"log_lines_left_out","lines":1,`))
	})
}

func TestCloseReturnsAtItsTimeoutIfTheReaderIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		w := NewLineWriter(pipe)
		Log(logTo(w), RequestPlaced).Send()
		startedAt := time.Now()
		w.Close(time.Second)
		require.Equal(t, time.Second, time.Since(startedAt))
		_ = reader.Close() // ends the goroutine of the LineWriter
	})
}

func TestLinesThatCannotBeWrittenAreCountedAsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		_ = reader.Close()
		w := NewLineWriter(pipe)
		Log(logTo(w), RequestPlaced).Send()
		synctest.Wait()
		w.mu.Lock()
		require.Equal(t, 1, w.dropped[RequestPlaced.Number])
		w.mu.Unlock()
		w.Close(time.Second)
	})
}

// blockedWriter blocks each write until free is closed.
type blockedWriter struct{ free chan struct{} }

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.free
	return len(p), nil
}

// BenchmarkLogLine measures the cost of a log line with an output that never blocks
// and with one that always blocks.
func BenchmarkLogLine(b *testing.B) {
	blocked := &blockedWriter{free: make(chan struct{})}
	for name, out := range map[string]io.Writer{"free": io.Discard, "blocked": blocked} {
		b.Run(name, func(b *testing.B) {
			w := NewLineWriter(out)
			logger := logTo(w)
			for b.Loop() {
				Log(logger, RequestPlaced).Str("request", "0c3a025e2713e635").Str("server", "i-95d13d4741").Int("send", 1).
					Dur("waited", time.Millisecond).Send()
			}
			w.Close(0)
		})
	}
	close(blocked.free)
}
