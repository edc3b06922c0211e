package checker

import "time"

// Event is one entry of a history.
type Event interface {
	// When returns the time of the event.
	When() time.Time
}

// At is the time of an event; events embed it.
type At struct{ Time time.Time }

// When returns the time of the event.
func (at At) When() time.Time { return at.Time }

// Submitted is a request by a caller.
type Submitted struct {
	At
	// Submission is unique in the history; a resubmission of a job has its own.
	Submission   int64
	Key          string
	Digest       string
	Tasks        []string
	Unrepeatable bool
}

// TaskStarted is the receipt of one task by a target.
type TaskStarted struct {
	At
	Key      string
	Digest   string
	Task     string
	Instance string
	Target   string
}

// CompleteAnswer is the receipt by the caller of a complete answer with the results of Tasks.
type CompleteAnswer struct {
	At
	Submission int64
	// Key and Digest are those of the job whose results the answer carries.
	Key    string
	Digest string
	Tasks  []string
}

// FailedAnswer is the receipt by the caller of a failed answer; NotStarted holds the tasks whose fate is
// said to be not-started, Results the tasks for which it carries results.
type FailedAnswer struct {
	At
	Submission int64
	NotStarted []string
	Results    []string
}

// Refused is the receipt by the caller of an answer that says "not run".
type Refused struct {
	At
	Submission int64
	// Decided is the time at which the instance decided to refuse; a zero time stands for the receipt.
	Decided time.Time
}

// Cancelled is the receipt of an answer that says that the job was cancelled and never runs.
type Cancelled struct {
	At
	Key string
	// Decided is the time at which the instance knew it; a zero time stands for the receipt.
	Decided time.Time
}

// JobEnded is the end of a job's last task at its target; the retention of a plain key counts from here.
type JobEnded struct {
	At
	Key string
}

// UnknownAnswer is the receipt by the caller of an answer that makes no claim, or the loss of its request.
type UnknownAnswer struct {
	At
	Submission int64
}

// TargetLeaving is the first sign, from any source, that a target leaves; TargetBack is its return.
type TargetLeaving struct {
	At
	Target string
}

// TargetReturned is the end of a target's leaving.
type TargetReturned struct {
	At
	Target string
}

// StopPlanned is the start of a planned stop of an instance.
type StopPlanned struct {
	At
	Instance string
}

// RequestDropped is a request that an instance had accepted and whose connection ended without an answer.
type RequestDropped struct {
	At
	Instance   string
	Submission int64
}

// BundleAccepted is the publication of a bundle that won its place in the log.
type BundleAccepted struct {
	At
	Version int64
}

// BundleInForce is an observation of the bundle that an instance serves with.
type BundleInForce struct {
	At
	Instance string
	Version  int64
}

// InstanceUnreachable says that an instance can reach neither the log nor peers, until Reachable.
type InstanceUnreachable struct {
	At
	Instance string
}

// InstanceReachable is the end of Unreachable; an instance's first event may be a Reachable.
type InstanceReachable struct {
	At
	Instance string
}
