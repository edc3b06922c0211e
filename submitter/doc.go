// Package submitter is the client library: it submits jobs to an entry instance and returns their complete answers.
package submitter
