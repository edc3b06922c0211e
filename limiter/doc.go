// Package limiter decides which jobs an instance accepts and in which order
// their tasks start; it performs no I/O and takes the time as an argument.
package limiter
