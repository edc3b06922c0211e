// Package executor carries out the decisions of the scheduler: it asks targets to start and stop runs, polls targets to
// renew their leases and collect run ends, and returns the outcomes of jobs to callers.
package executor
