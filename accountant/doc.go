// Package accountant appends the answer counts of an instance to the log stream burn, and hourly sums of the counts of
// all instances to stream burn-hours. It reads the counts of all instances back and serves the burn report, GET
// /v1/burn.
package accountant
