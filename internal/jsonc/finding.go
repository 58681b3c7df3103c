package jsonc

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a position in a file. Line and Column count from 1; Column counts
// bytes.
type Position struct {
	Line   int
	Column int
}

// Finding is one mistake in a file.
type Finding struct {
	File     string
	Position Position
	// Path is the path of the value, such as "teams[3].models[0]".
	Path string
	// Problem says what is wrong.
	Problem string
	// Allowed describes the allowed values. It may be empty.
	Allowed string
}

// String formats f as "file:line:column: path: problem, allowed: values".
func (f Finding) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Position.Line, f.Position.Column, f.Path, f.Problem)
	if f.Allowed != "" {
		text += ", allowed: " + f.Allowed
	}
	return text
}

// Findings holds all mistakes of a file, so that they are reported together.
type Findings []Finding

// Error implements error. It returns one finding per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, finding := range fs {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the findings by position. Those at the same position keep their
// order.
func (fs Findings) Sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		a, b := fs[i].Position, fs[j].Position
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
