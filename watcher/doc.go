// Package watcher turns the platform's instance list and the heartbeats of peers
// into suspicion and proposals for the next view; it performs no I/O.
package watcher
