package observe

import (
	"bytes"
	"cmp"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxPendingBytes is the maximum size of the lines that are buffered for a slow
	// reader, about a thousand lines.
	maxPendingBytes = 256 << 10
	// maxPendingInfoBytes is the part of maxPendingBytes that lines below the
	// warning level may use. The rest is reserved for warnings and errors, such as
	// the lines of failed requests.
	maxPendingInfoBytes = maxPendingBytes * 3 / 4
	// maxEventLinesPerSecond limits the lines of one event below the warning level.
	maxEventLinesPerSecond = 200
	// maxRetainedBufferBytes is the maximum capacity of a buffer that is reused after
	// a write.
	maxRetainedBufferBytes = 16 << 10
)

// LineWriter writes log lines in a separate goroutine, so that a slow or stopped
// reader of the output never blocks a caller that logs. It drops lines when its
// buffer is full or when one event is logged too often, and logs the number of
// dropped lines by event as LogLinesLeftOut. Its methods are safe for concurrent
// use.
type LineWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	// second is the Unix time to which counts belongs.
	second int64
	// counts holds the number of lines in the current second, by event number.
	counts map[int]int
	// dropped holds the number of dropped lines since the last report, by event
	// number.
	dropped map[int]int
	closed  bool
}

// NewLineWriter returns a LineWriter that writes to out and starts its goroutine,
// which ends after Close.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{
		out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), counts: map[int]int{}, dropped: map[int]int{},
	}
	go w.run()
	return w
}

// Write implements io.Writer. The argument must be one whole line.
func (w *LineWriter) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. The argument must be one whole line.
// WriteLevel does not wait for the output and returns no error: lines beyond the
// limits are dropped and counted.
func (w *LineWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	event := eventNumber(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := time.Now().Unix(); second != w.second {
		w.second = second
		clear(w.counts)
	}
	limit := maxPendingBytes
	belowWarning := level < zerolog.WarnLevel
	if belowWarning {
		limit = maxPendingInfoBytes
	}
	if w.closed || len(w.pending)+len(line) > limit || belowWarning && w.counts[event] >= maxEventLinesPerSecond {
		w.dropped[event]++
		return len(line), nil
	}
	w.counts[event]++
	w.pending = append(w.pending, line...)
	w.signal()
	return len(line), nil
}

func (w *LineWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close stops accepting lines and waits until the buffered ones are written, at most
// for timeout.
func (w *LineWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes the buffered lines. While lines have been dropped, it reports their
// number about once a second.
func (w *LineWriter) run() {
	defer close(w.done)
	var spare []byte
	var report <-chan time.Time
	for {
		if report == nil && w.hasDropped() {
			report = time.After(time.Second)
		}
		select {
		case <-w.wake:
		case <-report:
			report = nil
			w.reportDropped()
		}
		for {
			chunk, closed := w.take(spare)
			spare = chunk // the previous spare buffer collects lines now
			if len(chunk) == 0 {
				if closed {
					return
				}
				break
			}
			if _, err := w.out.Write(chunk); err != nil {
				w.countDropped(chunk) // the error cannot be logged, as the log itself has failed
			}
		}
	}
}

func (w *LineWriter) hasDropped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.dropped) > 0
}

// take returns the buffered lines and reuses spare as the buffer for further ones.
func (w *LineWriter) take(spare []byte) (chunk []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cap(spare) > maxRetainedBufferBytes {
		spare = nil
	}
	chunk, w.pending = w.pending, spare[:0]
	return chunk, w.closed
}

// countDropped counts the lines of a chunk that could not be written.
func (w *LineWriter) countDropped(chunk []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for line := range bytes.Lines(chunk) {
		w.dropped[eventNumber(line)]++
	}
}

// reportDropped appends a LogLinesLeftOut line with the dropped lines by event.
func (w *LineWriter) reportDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	type eventCount struct{ event, lines int }
	var counts []eventCount
	total := 0
	for event, lines := range w.dropped {
		counts = append(counts, eventCount{event, lines})
		total += lines
	}
	slices.SortFunc(counts, func(a, b eventCount) int { return cmp.Compare(a.event, b.event) })
	byEvent := zerolog.Dict()
	for _, count := range counts {
		byEvent.Int(strconv.Itoa(count.event), count.lines)
	}
	var line bytes.Buffer
	logger := zerolog.New(&line).With().Timestamp().Logger()
	Log(logger, LogLinesLeftOut).Int("lines", total).Dict("by_event", byEvent).Send()
	clear(w.dropped)
	w.pending = append(w.pending, line.Bytes()...)
}

var eventField = []byte(`"event":`)

// eventNumber returns the event number of a JSON log line, or 0 if it has none.
func eventNumber(line []byte) int {
	at := bytes.Index(line, eventField)
	if at < 0 {
		return 0
	}
	number := 0
	for _, digit := range line[at+len(eventField):] {
		if digit < '0' || digit > '9' {
			break
		}
		number = 10*number + int(digit-'0')
	}
	return number
}
