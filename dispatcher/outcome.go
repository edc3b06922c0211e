package dispatcher

import (
	"encoding/json"
	"time"
)

// Fate is the final state of one task.
type Fate string

// Fates of a task.
const (
	// FateNotStarted means that the task provably did not start on any target.
	FateNotStarted Fate = "not-started"
	// FateUnknown means that the task may have started and its result is not known.
	FateUnknown Fate = "unknown"
	// FateFinished means that the target returned a result.
	FateFinished Fate = "finished"
	// FateFailed means that the target ran the task and reported an error.
	FateFailed Fate = "failed"
)

// TaskFate holds the name and the fate of one task of a failed job.
type TaskFate struct {
	Name   string `json:"name" cbor:"name"`
	Fate   Fate   `json:"fate" cbor:"fate"`
	Detail string `json:"detail,omitempty" cbor:"detail,omitempty"`
}

// TaskResult holds the name and the result of one task of a complete job.
type TaskResult struct {
	Name   string          `json:"name" cbor:"name"`
	Result json.RawMessage `json:"result" cbor:"result"`
}

// Outcome is the answer to a job: Complete, Failed, Refused or Unknown.
type Outcome interface{ isOutcome() }

// Complete is the answer to a job whose tasks have all finished.
type Complete struct{ results []TaskResult }

// Failed is the answer to a job that started but did not finish all of its tasks; it holds no results.
type Failed struct {
	fates  []TaskFate
	detail string
}

// Refused is the answer to a job of which no task has started or will start.
type Refused struct {
	reason  Reason
	detail  string
	field   string
	retryAt time.Time
}

// Unknown is the answer to a job of which it is not known whether any task started.
type Unknown struct{ detail string }

func (Complete) isOutcome() {}
func (Failed) isOutcome()   {}
func (Refused) isOutcome()  {}
func (Unknown) isOutcome()  {}

// NewComplete returns a complete answer with one result per task, in the job's order.
func NewComplete(results []TaskResult) Complete { return Complete{results: results} }

// Results returns one result per task, in the job's order.
func (complete Complete) Results() []TaskResult { return complete.results }

// NewFailed returns a failed answer with one fate per task, in the job's order.
func NewFailed(detail string, fates []TaskFate) Failed { return Failed{detail: detail, fates: fates} }

// Fates returns one fate per task, in the job's order.
func (failed Failed) Fates() []TaskFate { return failed.fates }

// Detail returns why the job failed.
func (failed Failed) Detail() string { return failed.detail }

// NewUnknown returns an answer that leaves open whether any task started.
func NewUnknown(detail string) Unknown { return Unknown{detail: detail} }

// Detail returns why the outcome is unknown.
func (unknown Unknown) Detail() string { return unknown.detail }

// NewRefused returns a refusal. The field is empty if no request field is at fault, and retryAt is zero if no time
// for a retry is known.
func NewRefused(reason Reason, detail, field string, retryAt time.Time) Refused {
	return Refused{reason: reason, detail: detail, field: field, retryAt: retryAt}
}

// Reason returns the class of the refusal.
func (refused Refused) Reason() Reason { return refused.reason }

// Detail returns a sentence that explains the refusal.
func (refused Refused) Detail() string { return refused.detail }

// Field returns the path of the request field at fault, or an empty string.
func (refused Refused) Field() string { return refused.field }

// RetryAt returns the earliest time at which a retry may succeed, or the zero time if none is known.
func (refused Refused) RetryAt() time.Time { return refused.retryAt }

// Reason is the class of a refusal.
type Reason string

// Reasons for a refusal.
const (
	// ReasonInvalid means that the request is malformed.
	ReasonInvalid Reason = "invalid"
	// ReasonTooLarge means that the request exceeds a size limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonUnknownKind means that the bundle in force has no such kind or team.
	ReasonUnknownKind Reason = "unknown-kind"
	// ReasonKeyConflict means that the idempotency key belongs to a different job.
	ReasonKeyConflict Reason = "key-conflict"
	// ReasonCancelled means that the caller cancelled the job before it started.
	ReasonCancelled Reason = "cancelled"
	// ReasonOverload means that the instance is full, or that the job would wait too long for its deadline.
	ReasonOverload Reason = "overload"
	// ReasonUnavailable means that the instance cannot accept the job now.
	ReasonUnavailable Reason = "unavailable"
	// ReasonDeadline means that the deadline passed before the job started.
	ReasonDeadline Reason = "deadline"
	// ReasonImpossible means that the job can never run: it exceeds a limit, or no target is large enough.
	ReasonImpossible Reason = "impossible"
)

// OutcomeClass returns the class of an outcome as used in logs and metrics: complete, failed, refused or unknown.
func OutcomeClass(outcome Outcome) string {
	switch outcome.(type) {
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}
