// Package encoder converts jobs and outcomes to and from the JSON of the HTTP
// API for callers. It rejects requests with unknown fields, and its errors name
// the field at fault.
package encoder
