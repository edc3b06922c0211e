// Package executor carries out what the scheduler decides: it orders targets to
// start and stop runs, looks after their leases and ends, and gives callers
// their answers.
package executor
