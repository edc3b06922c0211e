// Package placer chooses the worker that runs a task under a lease, from declared and
// learned sizes and lagging usage reports; it performs no I/O.
package placer
