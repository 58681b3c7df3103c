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

// Point is one measured value of one benchmark.
type Point struct {
	// Series names the benchmark without the size, such as
	// "BenchmarkPlace/two_choices".
	Series string
	// Parameter and Size are a "name=number" of the benchmark's name; empty
	// and 0 for the point that keeps the whole name.
	Parameter string
	Size      float64
	Metric    string
	Value     float64
}

var (
	benchmarkLine = regexp.MustCompile(`^(Benchmark\S+?)(?:-\d+)?\s+\d+\s+(.+)$`)
	sizePart      = regexp.MustCompile(`^([A-Za-z_]+)=([0-9.]+)$`)
)

// ReadBenchmarks reads the output of "go test -bench".
func ReadBenchmarks(r io.Reader) ([]Point, error) {
	var points []Point
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		match := benchmarkLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		points = append(points, readLine(match[1], strings.Fields(match[2]))...)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	return points, nil
}

// readLine returns the points of one line, for each size in the name of the
// benchmark one of each value: the other sizes stay in the series.
func readLine(name string, fields []string) []Point {
	bases := []Point{{Series: name}}
	parts := strings.Split(name, "/")
	for i, part := range parts {
		match := sizePart.FindStringSubmatch(part)
		if match == nil {
			continue
		}
		size, _ := strconv.ParseFloat(match[2], 64) // the pattern admits numbers only
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
