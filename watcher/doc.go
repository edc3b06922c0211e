// Package watcher is the failure detector and membership proposer of an instance.
// From the platform's instance list, the heartbeats of peers and the views read
// from the log it derives which peers to suspect and which view to propose next.
// It performs no I/O.
package watcher
