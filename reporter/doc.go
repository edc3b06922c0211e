// Package reporter counts answers against the objective of each kind and turns
// the counts of all instances into burn rates and verdicts; it performs no I/O.
//
// # Counting each request once
//
// The owner of a key decides which instance counts its request: with the first
// answer that it hands to an instance it grants the count to that instance, and
// it denies it to every other one (Grant). The answering instance counts when
// the answer has been written to the caller, once per key (Record). A grant
// lives one to two retention periods.
//
// An answer given without the owner (it could not be reached) is kept apart as
// unclaimed: it is not part of the burn rate, but a verdict is only ok if it
// would stay ok with all of them counted as bad.
//
// The rule does not catch:
//   - a key that is resubmitted after its grant has expired, which counts again;
//   - a key whose owner died after the caller had its answer and before the
//     witness knew of it, which counts again when the successor answers;
//   - an answer whose write failed after the count was granted: if the caller
//     resubmits through another instance, the request is not counted;
//   - a write that succeeds locally although the caller never reads it.
//
// # Missing data
//
// An incarnation is expected to have a record for every minute from its first one to its final record, to the
// start of the next incarnation of the same instance, or to the end of the report. Minutes without a record are
// missing. An incarnation of which no record ever reached the log is not known to have run, and answers to
// malformed requests, which have no kind, are not counted.
//
// # Hourly sums
//
// A Sum stands for a run of consecutive records of the log and lists the minutes of each incarnation that it holds. A
// Ledger takes a sum only as a whole and only if it has counted none of these minutes.
package reporter
