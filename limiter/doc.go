// Package limiter admits or refuses jobs and schedules the start of their
// tasks. It performs no I/O and takes the current time as an argument.
package limiter
