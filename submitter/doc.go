// Package submitter is the caller's library: it submits jobs to an entry
// instance and returns their whole answers.
package submitter
