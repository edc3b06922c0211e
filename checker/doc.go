// Package checker reads a history of submissions, starts, answers and bundles
// and judges each promise of the design page by its name.
package checker
