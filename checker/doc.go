// Package checker verifies the guarantees that the design page states. It reads
// a history of submissions, starts, answers, stops and bundles and reports each
// violation under the name of the guarantee.
package checker
