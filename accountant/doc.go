// Package accountant appends the burn counts of an instance to the log stream
// burn and hourly sums of all instances to burn-hours, reads the counts of all instances back and serves GET /v1/burn.
package accountant
