// Package emulator emulates the services of the platform in memory, for tests and for the quickstart: the log, the
// instance list, runners and workers.
package emulator
