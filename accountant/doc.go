// Package accountant appends the answer counts of an instance to the log stream burn, and hourly sums of the counts of
// all instances to stream burn-hours. It reads the counts of all instances and serves the report of the error-budget
// burn rates, GET /v1/burn.
package accountant
