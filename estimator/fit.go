package estimator

import (
	"math"
	"slices"
)

// minSizes is the smallest number of distinct sizes that a line is fitted to. Two points always lie on a line, so they
// would say nothing about the quality of the fit.
const minSizes = 3

// Fit is a line fitted by weighted least squares to the samples of one unit of one benchmark family.
type Fit struct {
	slope     float64
	intercept float64
	spread    float64
	low, high float64
	fitted    bool
}

// Slope returns the increase of the value per unit of size.
func (fit Fit) Slope() float64 { return fit.slope }

// Intercept returns the value at size zero.
func (fit Fit) Intercept() float64 { return fit.intercept }

// Spread returns the standard deviation of the residuals relative to the values.
func (fit Fit) Spread() float64 { return fit.spread }

// Fitted reports whether the line was fitted to at least three sizes, or all samples are zero. Otherwise it is constant
// at the largest sample.
func (fit Fit) Fitted() bool { return fit.fitted }

// At returns the value at size, at least zero.
func (fit Fit) At(size float64) float64 { return max(fit.intercept+fit.slope*size, 0) }

// Covers reports whether size lies within the range of measured sizes.
func (fit Fit) Covers(size float64) bool { return size >= fit.low && size <= fit.high }

// fitLine fits a line to samples, which must not be empty. It minimizes relative residuals: the sizes span up to three
// orders of magnitude, and with equal weights the noise of the largest size determines the intercept (the cost of
// starting one task was estimated at half its measured value).
func fitLine(samples []sample) Fit {
	var sizes []float64
	largest := 0.0
	for _, sample := range samples {
		sizes = append(sizes, sample.size)
		largest = max(largest, sample.value)
	}
	slices.Sort(sizes)
	fit := Fit{low: sizes[0], high: sizes[len(sizes)-1]}
	if largest == 0 || len(slices.Compact(sizes)) < minSizes {
		fit.intercept = largest
		fit.fitted = largest == 0
		return fit
	}
	var weightSum, sizeSum, valueSum, squareSum, productSum float64
	for _, sample := range samples {
		weight := weightOf(sample, largest)
		weightSum += weight
		sizeSum += weight * sample.size
		valueSum += weight * sample.value
		squareSum += weight * sample.size * sample.size
		productSum += weight * sample.size * sample.value
	}
	determinant := weightSum*squareSum - sizeSum*sizeSum
	fit.fitted = true
	fit.slope = (weightSum*productSum - sizeSum*valueSum) / determinant
	fit.intercept = (valueSum*squareSum - sizeSum*productSum) / determinant
	var squaredResiduals float64
	for _, sample := range samples {
		residual := sample.value - fit.intercept - fit.slope*sample.size
		squaredResiduals += weightOf(sample, largest) * residual * residual
	}
	fit.spread = math.Sqrt(squaredResiduals / float64(len(samples)-2))
	return fit
}

// weightOf returns the weight of a sample, the inverse square of its value. The lower bound on the value keeps a
// sample near zero from outweighing all others.
func weightOf(sample sample, largest float64) float64 {
	value := max(sample.value, largest*1e-6)
	return 1 / (value * value)
}

// fit returns the line fitted to the samples of one series, and false if there are none.
func (measurements *Measurements) fit(key seriesKey) (Fit, bool) {
	samples := measurements.samples[key]
	if len(samples) == 0 {
		return Fit{}, false
	}
	return fitLine(samples), true
}
