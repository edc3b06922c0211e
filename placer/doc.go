// Package placer chooses the worker that runs a task under a lease, by the
// declared and observed resources of tasks and by possibly outdated usage
// reports. It performs no I/O.
package placer
