// Package reporter counts answers against the objective of each kind and computes the error-budget burn rates and
// verdicts from the counts of all instances. It performs no I/O.
//
// # Counting each request once
//
// The owner of a key decides which instance counts the request with that key. It grants the count to the first instance
// to which it returns an answer, and denies it to all others (Reporter.GrantCount). The instance that answers the
// caller counts the answer after it was written, once per key (Reporter.Record). A grant is valid for one to two
// retention periods.
//
// An answer is counted separately, as unclaimed, if the owner was unreachable, if the outcome is not known yet, or if
// there is no space left to store the key. Unclaimed answers are not part of the burn rate, but a verdict is only ok if
// it would still be ok with all of them counted as bad.
//
// Known inaccuracies:
//   - A key that is resubmitted after its grant has expired counts again.
//   - If the owner of a key crashes after the caller received the answer and before the witness, which stores copies of
//     the owner's records, received the outcome, the request counts again when the next owner answers.
//   - If writing an answer fails after the count was granted and the caller resubmits through another instance, the
//     request is not counted.
//   - A write that succeeds locally counts although the caller may never read it.
//
// # Missing data
//
// An incarnation is expected to have a record for every minute from its first one to its final record. Without a final
// record, records are expected until the start of the next incarnation of the same instance, or else until the end of
// the report. Minutes without a record are missing. An incarnation of which no record ever reached the log is not known
// to have run. Answers to malformed requests, which have no kind, are not counted.
//
// # Hourly sums
//
// An HourlySum replaces a range of consecutive records of the log and lists the minutes of each incarnation in it. An
// Aggregator adds a sum only as a whole, and only if it has counted none of these minutes.
package reporter
