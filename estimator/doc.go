// Package estimator reads benchmark output, fits a line per benchmark family
// over its sizes and sums the lines into a capacity table for the target scale.
package estimator
