// Package reporter counts answers against the objective of each kind and computes the error-budget burn rates and
// verdicts from the counts of all instances. It performs no I/O.
//
// # Counting each request once
//
// The owner of a key decides which instance counts its request. With the first answer that it returns to an instance
// it grants the count to that instance, and it denies the count to all others (Reporter.GrantCount). The answering
// instance counts the answer after it was written to the caller, once per key (Reporter.Record). A grant is valid for
// one to two retention periods.
//
// An answer given while the owner was unreachable is counted separately as unclaimed. It is not part of the burn rate,
// but a verdict is only ok if it would still be ok with all unclaimed answers counted as bad.
//
// Known inaccuracies:
//   - A key that is resubmitted after its grant has expired counts again.
//   - If the owner of a key crashes after the caller received its answer and before the witness learned of it, the
//     request counts again when the successor answers.
//   - If writing an answer fails after the count was granted and the caller resubmits through another instance, the
//     request is not counted.
//   - A write that succeeds locally counts although the caller may never read it.
//
// # Missing data
//
// An incarnation is expected to have a record for every minute from its first one to its final record, to the
// start of the next incarnation of the same instance, or to the end of the report. Minutes without a record are
// missing. An incarnation of which no record ever reached the log is not known to have run. Answers to malformed
// requests, which have no kind, are not counted.
//
// # Hourly sums
//
// An HourlySum replaces a range of consecutive records of the log and lists the minutes of each incarnation in it. An
// Aggregator adds a sum only as a whole, and only if it has counted none of these minutes.
package reporter
