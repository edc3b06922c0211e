// Package scheduler decides which jobs an instance accepts and on which target each task starts, and reacts to start
// results, run ends and failures. It performs no I/O and takes the current time as an argument.
//
// Events are passed in as method calls. The resulting actions are queued; the caller collects them with TakeActions and
// carries them out.
//
// Each target has one reader: the instance that polls it on behalf of all others, renews its lease, acknowledges its
// run ends and broadcasts its free capacity. The other instances send the reader a claim for each run that they start
// there.
package scheduler
