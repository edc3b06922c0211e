// Package dispatcher holds the vocabulary of jobs, tasks, fates and outcomes
// that the other packages share; it performs no I/O.
package dispatcher
