package observe

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// PrometheusContentType is the HTTP content type of the output of WritePrometheus.
const PrometheusContentType = "text/plain; version=0.0.4; charset=utf-8"

// seriesName returns the registry key of a metric: its name and labels in the
// notation of the Prometheus text format.
func seriesName(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, len(labels))
	for i, label := range labels {
		parts[i] = label.Name + "=" + strconv.Quote(label.Value)
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

// series is a metric with one set of label values. Its labels are in the notation of
// the Prometheus text format, without the braces.
type series struct {
	name   string
	labels string
	metric any
}

// WritePrometheus writes all metrics in the Prometheus text format, sorted by name and
// labels.
func (m *Metrics) WritePrometheus(w io.Writer) error {
	var all []series
	m.registry.Each(func(key string, metric any) {
		name, labels, _ := strings.Cut(key, "{")
		all = append(all, series{name: name, labels: strings.TrimSuffix(labels, "}"), metric: metric})
	})
	sort.Slice(all, func(i, j int) bool {
		if all[i].name != all[j].name {
			return all[i].name < all[j].name
		}
		return all[i].labels < all[j].labels
	})
	buffered := bufio.NewWriter(w)
	previous := ""
	for _, entry := range all {
		if entry.name != previous {
			fmt.Fprintf(buffered, "# TYPE %s %s\n", entry.name, typeName(entry.metric))
			previous = entry.name
		}
		entry.write(buffered)
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

func typeName(metric any) string {
	switch metric.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Histogram:
		return "histogram"
	}
	return "gauge"
}

func (s series) write(w io.Writer) {
	switch metric := s.metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", s.withLabels("", ""), metric.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", s.withLabels("", ""), metric.Value())
	case *bucketHistogram:
		s.writeHistogram(w, metric)
	}
}

func (s series) writeHistogram(w io.Writer, histogram *bucketHistogram) {
	var cumulative int64
	for i, bound := range bucketBoundsMillis {
		cumulative += histogram.counts[i].Load()
		le := strconv.FormatFloat(float64(bound)/1000, 'g', -1, 64)
		fmt.Fprintf(w, "%s %d\n", s.withLabels("_bucket", `le="`+le+`"`), cumulative)
	}
	cumulative += histogram.counts[len(bucketBoundsMillis)].Load()
	fmt.Fprintf(w, "%s %d\n", s.withLabels("_bucket", `le="+Inf"`), cumulative)
	fmt.Fprintf(w, "%s %g\n", s.withLabels("_sum", ""), float64(histogram.Sum())/1000)
	fmt.Fprintf(w, "%s %d\n", s.withLabels("_count", ""), cumulative)
}

// withLabels returns the name of the series with suffix appended, followed by its
// labels and the extra label in braces.
func (s series) withLabels(suffix, extra string) string {
	labels := s.labels
	if labels != "" && extra != "" {
		labels += ","
	}
	labels += extra
	if labels == "" {
		return s.name + suffix
	}
	return s.name + suffix + "{" + labels + "}"
}
