// Package emulator provides small stand-ins of the platform for tests and for
// the quickstart: the log service, the instance list, runners and workers.
package emulator
