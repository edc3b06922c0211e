// Package measurer compares routing policies by simulation: it runs the
// packages router and limiter against simulated targets in virtual time.
package measurer
