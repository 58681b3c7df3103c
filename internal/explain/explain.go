// Package explain extracts the log lines about one request from the logs of several VMs
// and merges them into one timeline.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line about a request.
type Line struct {
	VM string
	At time.Time
	// Name and Event are the name and number of the logged event.
	Name  string
	Event int
	// Text is the line from the start of its JSON object.
	Text string
}

type logLine struct {
	VM      string    `json:"vm"`
	Event   int       `json:"event"`
	Name    string    `json:"name"`
	Request string    `json:"request"`
	Time    time.Time `json:"time"`
}

// Read returns the lines of source whose request field equals request, in their order.
// Text before the JSON object of a line, as log collectors add it, is ignored. Lines
// without a valid JSON object are skipped. It returns an error if source cannot be read or
// a line exceeds 1 MiB.
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

// ErrNoLines means that the logs contain no line about the request.
var ErrNoLines = errors.New("no log lines found")

// Timeline merges the lines of several VMs by time. The lines of one VM keep their order,
// because its clock may have been set back between them.
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
