// Package keeper decides whether a job may start. It holds the views of one
// failure domain, the start records of the slices that this instance owns or
// witnesses, and the answers that are kept for resubmissions. It has no
// sockets, no wall clock and no global randomness: callers pass in log records,
// messages and the time, and carry out the returned events and messages.
package keeper
