// Package dispatcher defines the types that the other packages share: jobs,
// their tasks, the fates of tasks and the outcomes of jobs. It performs no I/O.
package dispatcher
