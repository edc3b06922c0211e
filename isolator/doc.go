// Package isolator determines which tasks may have crashed their targets, and whether and where they may start again. It
// performs no I/O.
//
// Its input are losses: targets that stopped responding or restarted, with the runs that were on them. Instances exchange
// losses, so that an assessment counts what happened under a task on all instances, including those that were lost.
// Merging is commutative and idempotent.
//
// Targets also end for reasons of their own. A loss counts against a task only if the target had accepted the task, and by how
// unlikely it would be for a sound one, given what else was lost around that time.
package isolator
