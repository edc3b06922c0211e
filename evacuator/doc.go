// Package evacuator keeps the operator's requests to evacuate failure domains: nothing may start on the targets of an evacuated
// domain until the request is withdrawn. It performs no I/O and is not safe for concurrent use.
//
// Its input are versioned records, from the store or from other instances. For each domain the record with the highest version
// counts, so that records can arrive in any order and any number of times.
package evacuator
