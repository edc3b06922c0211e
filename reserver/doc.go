// Package reserver decides when an instance asks the reader of a target for a reservation of free capacity before it sends
// a start request. It asks only while such starts often fail, since the answer takes a round trip to the reader.
package reserver
