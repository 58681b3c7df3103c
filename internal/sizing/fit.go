package sizing

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minFitSizes is the least number of sizes that a slope is taken from.
const minFitSizes = 3

// Source names the measured series that a line is worked out from.
type Source struct {
	Series    string
	Parameter string
	Metric    string
}

// Fit is a straight line through the measured points of a series.
type Fit struct {
	Source Source
	// Intercept and Slope give value = Intercept + Slope * size.
	Intercept float64
	Slope     float64
	// RSquared is 1 for points on the line.
	RSquared float64
	// Sizes are the measured sizes, ascending.
	Sizes []float64
	// RelativeSpread is the largest spread of repeated runs at one size, as a share of
	// their mean.
	RelativeSpread float64
}

// NewFit fits the points of source. A series needs three sizes or more.
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
		return nil, fmt.Errorf("%s by %s, %s: measured at %d sizes, needed: %d", source.Series, source.Parameter, source.Metric, len(bySize), minFitSizes)
	}
	fixed, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := &Fit{Source: source, Intercept: fixed, Slope: slope, RSquared: stat.RSquared(sizes, values, nil, fixed, slope)}
	for size, repeated := range bySize {
		fit.Sizes = append(fit.Sizes, size)
		fit.RelativeSpread = max(fit.RelativeSpread, spread(repeated))
	}
	slices.Sort(fit.Sizes)
	return fit, nil
}

func spread(values []float64) float64 {
	mean := stat.Mean(values, nil)
	if mean == 0 {
		return 0
	}
	return (slices.Max(values) - slices.Min(values)) / math.Abs(mean)
}

// At returns the value at size. Beyond the measured sizes it is extrapolated.
func (f *Fit) At(size float64) float64 { return max(0, f.Intercept+f.Slope*size) }

// IsExtrapolated reports whether size lies beyond the measured sizes.
func (f *Fit) IsExtrapolated(size float64) bool { return size > f.Sizes[len(f.Sizes)-1] }
