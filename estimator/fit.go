package estimator

import (
	"math"
	"slices"
)

// minSizes is the number of different sizes below which a line says nothing about growth.
const minSizes = 3

// Fit is a line fitted by weighted least squares to the samples of one unit of one benchmark family.
type Fit struct {
	slope     float64
	intercept float64
	spread    float64
	low, high float64
	fitted    bool
}

// Slope returns the growth per unit of size.
func (fit Fit) Slope() float64 { return fit.slope }

// Intercept returns the value at size zero.
func (fit Fit) Intercept() float64 { return fit.intercept }

// Spread returns the standard deviation of the residuals as a share of the values.
func (fit Fit) Spread() float64 { return fit.spread }

// Fitted reports whether at least three sizes were measured; otherwise the line is flat at the largest sample.
func (fit Fit) Fitted() bool { return fit.fitted }

// At returns the value at size, never negative.
func (fit Fit) At(size float64) float64 { return max(fit.intercept+fit.slope*size, 0) }

// Covers reports whether size lies within the measured sizes.
func (fit Fit) Covers(size float64) bool { return size >= fit.low && size <= fit.high }

// fitLine returns the line through samples, of which there is at least one. Each residual is weighted by its
// sample's value: the sizes span up to three orders of magnitude, and with equal weights the noise of the largest
// size decides the intercept (a start of one task came out at half its measured cost).
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
	var weights, size, value, squares, products float64
	for _, sample := range samples {
		weight := weightOf(sample, largest)
		weights += weight
		size += weight * sample.size
		value += weight * sample.value
		squares += weight * sample.size * sample.size
		products += weight * sample.size * sample.value
	}
	determinant := weights*squares - size*size
	fit.fitted = true
	fit.slope = (weights*products - size*value) / determinant
	fit.intercept = (value*squares - size*products) / determinant
	var residuals float64
	for _, sample := range samples {
		residual := sample.value - fit.intercept - fit.slope*sample.size
		residuals += weightOf(sample, largest) * residual * residual
	}
	fit.spread = math.Sqrt(residuals / float64(len(samples)-2))
	return fit
}

// weightOf returns the weight of a sample; the floor keeps a sample near zero from outweighing all others.
func weightOf(sample sample, largest float64) float64 {
	value := max(sample.value, largest*1e-6)
	return 1 / (value * value)
}

// fit returns the line of one unit of a family, and whether it was measured at all.
func (measurements *Measurements) fit(key series) (Fit, bool) {
	samples := measurements.samples[key]
	if len(samples) == 0 {
		return Fit{}, false
	}
	return fitLine(samples), true
}
