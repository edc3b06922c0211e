// Package scheduler decides which jobs an instance accepts, on which target each
// task starts, and what follows from each answer, end and loss; it performs no
// I/O and takes the time as an argument.
//
// Events are passed in as method calls. What has to be done about them is
// collected as actions, which the caller takes with Drain and carries out.
package scheduler
