// Package restrainer decides how many connections an instance may hold to one target. It performs no I/O and takes the
// current time as an argument.
package restrainer
