package checker

import "time"

// Event is one entry of a history.
type Event interface {
	// When returns the time of the event.
	When() time.Time
}

// Timestamp is the time of an event; events embed it.
type Timestamp struct{ Time time.Time }

// When returns the time of the event.
func (timestamp Timestamp) When() time.Time { return timestamp.Time }

// Submitted is a submission of a job by a caller.
type Submitted struct {
	Timestamp
	// Submission is unique in the history; a resubmission of the same job has another one.
	Submission   int64
	Key          string
	Digest       string
	Tasks        []string
	Unrepeatable bool
}

// TaskStarted is the receipt of one task by a target.
type TaskStarted struct {
	Timestamp
	Key      string
	Digest   string
	Task     string
	Instance string
	Target   string
}

// CompleteAnswer is the receipt of a complete answer, with the results of Tasks, by the caller.
type CompleteAnswer struct {
	Timestamp
	Submission int64
	// Key and Digest are those of the job whose results the answer carries.
	Key    string
	Digest string
	Tasks  []string
}

// FailedAnswer is the receipt of a failed answer by the caller. NotStarted holds the tasks that the answer says have
// not started, Results those for which it carries results.
type FailedAnswer struct {
	Timestamp
	Submission int64
	NotStarted []string
	Results    []string
}

// Refused is the receipt of a refusal by the caller: the answer says that the job has not run.
type Refused struct {
	Timestamp
	Submission int64
	// Decided is the time at which the instance decided to refuse; if zero, the time of the receipt is used.
	Decided time.Time
}

// Cancelled is the receipt of an answer which says that the job was cancelled and never runs.
type Cancelled struct {
	Timestamp
	Key string
	// Decided is the time at which the instance decided the cancellation; if zero, the time of the receipt is used.
	Decided time.Time
}

// JobEnded is the end of a job's last task at its target; the retention of a plain key counts from it.
type JobEnded struct {
	Timestamp
	Key string
}

// UnknownAnswer is the receipt of an answer that does not say whether the job ran, or the loss of the caller's request.
type UnknownAnswer struct {
	Timestamp
	Submission int64
}

// TargetLeaving is the first sign, from any source, that a target leaves.
type TargetLeaving struct {
	Timestamp
	Target string
}

// TargetReturned means that a leaving target has returned to normal operation.
type TargetReturned struct {
	Timestamp
	Target string
}

// StopPlanned is the start of a planned stop of an instance.
type StopPlanned struct {
	Timestamp
	Instance string
}

// RequestDropped is an accepted request whose connection ended without an answer.
type RequestDropped struct {
	Timestamp
	Instance   string
	Submission int64
}

// BundleAccepted is the publication of a bundle that the log has accepted as the next one.
type BundleAccepted struct {
	Timestamp
	Version int64
}

// BundleInForce is an observation of the bundle that an instance uses.
type BundleInForce struct {
	Timestamp
	Instance string
	Version  int64
}

// InstanceUnreachable means that an instance can reach neither the log nor peers until InstanceReachable.
type InstanceUnreachable struct {
	Timestamp
	Instance string
}

// InstanceReachable is the end of InstanceUnreachable; it may also be an instance's first event.
type InstanceReachable struct {
	Timestamp
	Instance string
}
