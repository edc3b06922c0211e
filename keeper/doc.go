// Package keeper decides whether a job may start. The keys of a failure domain
// are divided into slices. In each view of the domain's membership one member
// owns a slice and decides the jobs of its keys; before it starts a job, another
// member, the witness, stores a copy of the start record. When the owner of a
// slice changes, the new owner syncs: it collects the records from all members
// before it decides.
//
// A key is plain, chosen by the caller; issued, with a prefix of KeyPrefix that
// names its slice; or solo, with a prefix that names one incarnation, which
// decides it alone and without a witness. Solo keys serve an instance that has no
// view or reaches no other member, and jobs that arrive without a key.
//
// The package holds the views of one failure domain, the start records of the
// slices that this instance owns or witnesses, and the answers that are kept for
// resubmissions. It has no sockets, no wall clock and no global randomness:
// callers pass in log records, messages and the time, and carry out the returned
// events and messages.
package keeper
