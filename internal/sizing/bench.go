package sizing

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Point is one value of one benchmark run.
type Point struct {
	// Series is the name of the benchmark without its size, for example
	// "BenchmarkPlace/two_choices".
	Series string
	// Parameter and Size are a "name=number" element of the benchmark's name; empty
	// and 0 in the point whose Series is the whole name.
	Parameter string
	Size      float64
	// Metric is the unit of Value, for example "ns/op".
	Metric string
	Value  float64
}

var (
	linePattern = regexp.MustCompile(`^(Benchmark\S+?)(?:-\d+)?\s+\d+\s+(.+)$`)
	sizePattern = regexp.MustCompile(`^([A-Za-z_]+)=([0-9.]+)$`)
)

// ReadBenchmarks parses the output of "go test -bench". Other lines are ignored.
func ReadBenchmarks(r io.Reader) ([]Point, error) {
	var points []Point
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		match := linePattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		points = append(points, parseLine(match[1], strings.Fields(match[2]))...)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	return points, nil
}

// parseLine returns the points of one output line. Each value gives a point with the
// whole name as its series, and one for each "name=number" element of the name, which
// keeps the other elements in its series.
func parseLine(name string, fields []string) []Point {
	bases := []Point{{Series: name}}
	parts := strings.Split(name, "/")
	for i, part := range parts {
		match := sizePattern.FindStringSubmatch(part)
		if match == nil {
			continue
		}
		size, _ := strconv.ParseFloat(match[2], 64) // a match of the pattern that is no number, such as "1.2.3", gives 0
		series := strings.Join(slices.Concat(parts[:i], parts[i+1:]), "/")
		bases = append(bases, Point{Series: series, Parameter: match[1], Size: size})
	}
	var points []Point
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			continue
		}
		for _, point := range bases {
			point.Value, point.Metric = value, fields[i+1]
			points = append(points, point)
		}
	}
	return points
}
