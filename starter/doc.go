// Package starter starts tasks on runners over HTTP and classifies every failure by whether the task provably did not
// start.
package starter
