// Package explain joins the log lines of several processes about one request
// into one time line.
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Line is one log line about a request.
type Line struct {
	VM    string
	At    time.Time
	Name  string
	Event int
	// Text is the whole line.
	Text string
}

type logLine struct {
	VM      string    `json:"vm"`
	Event   int       `json:"event"`
	Name    string    `json:"name"`
	Request string    `json:"request"`
	Time    time.Time `json:"time"`
}

// Read returns the lines about request in the order of source. Text before the
// line's JSON, as log collectors add it, is passed over; lines without JSON are
// none of ours.
func Read(source io.Reader, request string) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) {
			continue
		}
		var parsed logLine
		if err := json.Unmarshal([]byte(text[start:]), &parsed); err != nil || parsed.Request != request {
			continue
		}
		lines = append(lines, Line{VM: parsed.VM, At: parsed.Time, Name: parsed.Name, Event: parsed.Event, Text: text[start:]})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log lines: %w", err)
	}
	return lines, nil
}

// ErrNoLines tells that no line names the request.
var ErrNoLines = errors.New("no line names the request")

// Timeline orders lines of several VMs. Lines of one VM keep their order, since
// its clock may have been set in between; those of different VMs are merged by
// their times.
func Timeline(lines []Line) []Line {
	var vms []string
	byVM := map[string][]Line{}
	for _, line := range lines {
		if byVM[line.VM] == nil {
			vms = append(vms, line.VM)
		}
		byVM[line.VM] = append(byVM[line.VM], line)
	}
	slices.Sort(vms)
	merged := make([]Line, 0, len(lines))
	for len(merged) < len(lines) {
		next := ""
		for _, vm := range vms {
			if len(byVM[vm]) > 0 && (next == "" || byVM[vm][0].At.Before(byVM[next][0].At)) {
				next = vm
			}
		}
		merged = append(merged, byVM[next][0])
		byVM[next] = byVM[next][1:]
	}
	return merged
}
