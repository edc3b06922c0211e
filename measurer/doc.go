// Package measurer compares routing policies: it runs the decision packages
// router and limiter against small stand-ins of targets in virtual time.
package measurer
