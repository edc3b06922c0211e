// Package estimator derives a capacity estimate from benchmark output: it fits a line over the measured sizes of
// each benchmark family and sums the fitted costs into a capacity table for the target scale.
package estimator
