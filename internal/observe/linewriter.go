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
	// maxPendingBytes bounds the lines that wait for a slow reader: about a
	// thousand lines.
	maxPendingBytes = 256 << 10
	// ordinaryPendingBytes is the part of it that lines below the warning level
	// may use; the rest stays for the lines of failed requests.
	ordinaryPendingBytes = maxPendingBytes * 3 / 4
	// maxKindLines bounds the lines of one event in a second, below the warning
	// level.
	maxKindLines = 200
	// keptBufferBytes is the buffer that is kept between writes.
	keptBufferBytes = 16 << 10
)

// LineWriter writes log lines from a goroutine of its own, so that a reader
// that stops costs lines but no time. It bounds lines by event and second, and
// reports in a line of its own what it left out. Its methods are safe for
// concurrent use.
type LineWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	// second is the one that counts holds the lines of.
	second int64
	counts map[int]int
	// leftOut counts lines by event since the last report.
	leftOut map[int]int
	closed  bool
}

// NewLineWriter returns a writer to out. Close ends it.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{
		out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), counts: map[int]int{}, leftOut: map[int]int{},
	}
	go w.run()
	return w
}

// Write implements io.Writer for one whole line.
func (w *LineWriter) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter for one whole line. It never
// blocks and never fails: lines over the bounds are left out and counted.
func (w *LineWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	kind := eventOf(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := time.Now().Unix(); second != w.second {
		w.second = second
		clear(w.counts)
	}
	bound := maxPendingBytes
	ordinary := level < zerolog.WarnLevel
	if ordinary {
		bound = ordinaryPendingBytes
	}
	if w.closed || len(w.pending)+len(line) > bound || ordinary && w.counts[kind] >= maxKindLines {
		w.leftOut[kind]++
		return len(line), nil
	}
	w.counts[kind]++
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

// Close writes what waits, for at most the given time.
func (w *LineWriter) Close(patience time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(patience):
	}
}

// run writes what is pending. A report of lines that were left out comes a
// second after the first of them.
func (w *LineWriter) run() {
	defer close(w.done)
	var spare []byte
	var report <-chan time.Time
	for {
		if report == nil && w.leavesOut() {
			report = time.After(time.Second)
		}
		select {
		case <-w.wake:
		case <-report:
			report = nil
			w.reportLeftOut()
		}
		for {
			chunk, closed := w.take(spare)
			if len(chunk) == 0 {
				if closed {
					return
				}
				break
			}
			if _, err := w.out.Write(chunk); err != nil {
				w.lose(chunk) // there is no other place to report to
			}
			spare = chunk
		}
	}
}

func (w *LineWriter) leavesOut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.leftOut) > 0
}

// take returns what is pending and leaves spare for further lines.
func (w *LineWriter) take(spare []byte) (chunk []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cap(spare) > keptBufferBytes {
		spare = nil
	}
	chunk, w.pending = w.pending, spare[:0]
	return chunk, w.closed
}

// lose counts the lines of a chunk that could not be written.
func (w *LineWriter) lose(chunk []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for line := range bytes.Lines(chunk) {
		w.leftOut[eventOf(line)]++
	}
}

// reportLeftOut appends the line that counts what was left out.
func (w *LineWriter) reportLeftOut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	type kindCount struct{ kind, lines int }
	var kinds []kindCount
	total := 0
	for kind, lines := range w.leftOut {
		kinds = append(kinds, kindCount{kind, lines})
		total += lines
	}
	slices.SortFunc(kinds, func(a, b kindCount) int { return cmp.Compare(a.kind, b.kind) })
	byEvent := zerolog.Dict()
	for _, one := range kinds {
		byEvent.Int(strconv.Itoa(one.kind), one.lines)
	}
	var line bytes.Buffer
	logger := zerolog.New(&line).With().Timestamp().Logger()
	Log(logger, LogLinesLeftOut).Int("lines", total).Dict("by_event", byEvent).Send()
	clear(w.leftOut)
	w.pending = append(w.pending, line.Bytes()...)
}

var eventField = []byte(`"event":`)

// eventOf returns the event number of a line, 0 when it has none.
func eventOf(line []byte) int {
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
