// Package recorder writes log lines from a bounded queue, so that logging never
// blocks the work that it tells of.
package recorder
