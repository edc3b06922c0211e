// Package encoder translates jobs and outcomes to and from the JSON of the
// caller interface; it rejects unknown fields and names the field at fault.
package encoder
