// Package apportioner decides which instances start runs and which delegate their jobs, and how many connections to
// each target an instance may hold. It performs no I/O: each instance computes the same plan from the live instances
// that it knows.
package apportioner
