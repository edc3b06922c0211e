// Package recorder writes log lines asynchronously from a bounded queue, so that
// a slow log reader never blocks the code that logs.
package recorder
