package sizing

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minFitSizes is the minimum number of distinct sizes for a fit.
const minFitSizes = 3

// Source identifies the benchmark series of a cost.
type Source struct {
	Series    string
	Parameter string
	Metric    string
}

// Fit is a linear regression over the points of a series.
type Fit struct {
	Source Source
	// Intercept and Slope define the line: value = Intercept + Slope * size.
	Intercept float64
	Slope     float64
	// RSquared is the coefficient of determination; 1 if all points are on the line.
	RSquared float64
	// Sizes are the measured sizes, ascending.
	Sizes []float64
	// RelativeSpread is the maximum over all sizes of the difference between the
	// largest and the smallest value at that size, as a fraction of their mean.
	RelativeSpread float64
}

// NewFit fits the points of source. It returns an error if they have fewer than
// minFitSizes distinct sizes.
func NewFit(points []Point, source Source) (*Fit, error) {
	var sizes, values []float64
	bySize := map[float64][]float64{}
	for _, point := range points {
		if point.Series != source.Series || point.Parameter != source.Parameter || point.Metric != source.Metric {
			continue
		}
		sizes = append(sizes, point.Size)
		values = append(values, point.Value)
		bySize[point.Size] = append(bySize[point.Size], point.Value)
	}
	if len(bySize) < minFitSizes {
		return nil, fmt.Errorf("%s by %s, %s: measured at %d sizes, need at least %d", source.Series, source.Parameter, source.Metric, len(bySize), minFitSizes)
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := &Fit{Source: source, Intercept: intercept, Slope: slope, RSquared: stat.RSquared(sizes, values, nil, intercept, slope)}
	for size, repeats := range bySize {
		fit.Sizes = append(fit.Sizes, size)
		fit.RelativeSpread = max(fit.RelativeSpread, relativeSpread(repeats))
	}
	slices.Sort(fit.Sizes)
	return fit, nil
}

func relativeSpread(values []float64) float64 {
	mean := stat.Mean(values, nil)
	if mean == 0 {
		return 0
	}
	return (slices.Max(values) - slices.Min(values)) / math.Abs(mean)
}

// At returns the value of the line at size, at least 0. Beyond the measured sizes it is
// extrapolated.
func (f *Fit) At(size float64) float64 { return max(0, f.Intercept+f.Slope*size) }

// IsExtrapolated reports whether size is above the largest measured size.
func (f *Fit) IsExtrapolated(size float64) bool { return size > f.Sizes[len(f.Sizes)-1] }
