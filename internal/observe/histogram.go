package observe

import (
	"math"
	"sort"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// bucketBoundsMillis lists the inclusive upper bounds of the histogram buckets, in
// milliseconds.
var bucketBoundsMillis = []int64{
	5, 10, 20, 30, 50, 75, 100, 150, 250, 400, 610, 1000,
	2000, 5000, 10_000, 30_000, 60_000, 300_000,
}

// bucketHistogram is a metrics.Histogram with fixed buckets, safe for concurrent
// use. A sampling histogram of go-metrics takes about 16 KB, which is too much for
// several histograms per team; this one takes less than 300 bytes.
type bucketHistogram struct {
	counts []atomic.Int64 // one per bucket, and a last one for larger values
	sum    atomic.Int64
	max    atomic.Int64
}

func newBucketHistogram() *bucketHistogram {
	return &bucketHistogram{counts: make([]atomic.Int64, len(bucketBoundsMillis)+1)}
}

// Update adds a value, in milliseconds.
func (h *bucketHistogram) Update(millis int64) {
	index := sort.Search(len(bucketBoundsMillis), func(i int) bool { return millis <= bucketBoundsMillis[i] })
	h.counts[index].Add(1)
	h.sum.Add(millis)
	for {
		old := h.max.Load()
		if millis <= old || h.max.CompareAndSwap(old, millis) {
			return
		}
	}
}

// Clear removes all values.
func (h *bucketHistogram) Clear() {
	for i := range h.counts {
		h.counts[i].Store(0)
	}
	h.sum.Store(0)
	h.max.Store(0)
}

// Count returns the number of values.
func (h *bucketHistogram) Count() int64 {
	var total int64
	for i := range h.counts {
		total += h.counts[i].Load()
	}
	return total
}

// Sum returns the sum of all values, in milliseconds.
func (h *bucketHistogram) Sum() int64 { return h.sum.Load() }

// Max returns the largest value, in milliseconds.
func (h *bucketHistogram) Max() int64 { return h.max.Load() }

// Min returns 0, because the smallest value is not recorded.
func (h *bucketHistogram) Min() int64 { return 0 }

// Mean returns the mean in milliseconds, or 0 if there are no values.
func (h *bucketHistogram) Mean() float64 {
	count := h.Count()
	if count == 0 {
		return 0
	}
	return float64(h.Sum()) / float64(count)
}

// Percentile returns the q-quantile in milliseconds, where q is a fraction from 0
// to 1: the upper bound of the bucket that contains it, or the largest value if that
// is lower.
func (h *bucketHistogram) Percentile(q float64) float64 {
	rank := int64(math.Ceil(q * float64(h.Count())))
	var seen int64
	for i := range bucketBoundsMillis {
		seen += h.counts[i].Load()
		if seen >= rank {
			return float64(min(bucketBoundsMillis[i], h.Max()))
		}
	}
	return float64(h.Max())
}

// Percentiles returns Percentile(q) for each q in qs.
func (h *bucketHistogram) Percentiles(qs []float64) []float64 {
	values := make([]float64, len(qs))
	for i, q := range qs {
		values[i] = h.Percentile(q)
	}
	return values
}

// Sample returns an empty sample, because individual values are not recorded.
func (h *bucketHistogram) Sample() metrics.Sample { return metrics.NilSample{} }

// Snapshot returns a copy, which later updates do not change.
func (h *bucketHistogram) Snapshot() metrics.Histogram {
	snapshot := newBucketHistogram()
	for i := range h.counts {
		snapshot.counts[i].Store(h.counts[i].Load())
	}
	snapshot.sum.Store(h.sum.Load())
	snapshot.max.Store(h.max.Load())
	return snapshot
}

// StdDev returns 0, because the standard deviation is not recorded.
func (h *bucketHistogram) StdDev() float64 { return 0 }

// Variance returns 0, because the variance is not recorded.
func (h *bucketHistogram) Variance() float64 { return 0 }
