// Package warmer decides how much work a cold target gets: one that is slow for some time after its start or after a time
// without work. Its load returns in steps, so that it does not fall behind at once. The package performs no I/O and takes
// the current time as an argument.
package warmer
