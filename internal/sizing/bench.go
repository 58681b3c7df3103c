package sizing

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Point is one measured value of one benchmark.
type Point struct {
	// Series names the benchmark without its size, such as
	// "BenchmarkPlace/two_choices".
	Series string
	// Parameter and Size are the last "name=number" of the benchmark's name;
	// empty and 0 where it has none.
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

func readLine(name string, fields []string) []Point {
	base := Point{}
	var series []string
	for _, part := range strings.Split(name, "/") {
		match := sizePart.FindStringSubmatch(part)
		if match == nil {
			series = append(series, part)
			continue
		}
		base.Parameter = match[1]
		base.Size, _ = strconv.ParseFloat(match[2], 64) // the pattern admits numbers only
	}
	base.Series = strings.Join(series, "/")
	var points []Point
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			continue
		}
		point := base
		point.Value, point.Metric = value, fields[i+1]
		points = append(points, point)
	}
	return points
}
