package keeper

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Submission is one request to run a job.
type Submission struct {
	// Key is the idempotency key; it must not be empty (see Keeper.AnonymousKey).
	Key    string
	Digest dispatcher.Digest
	// Deadline is the time after which the job is not started any more.
	Deadline time.Time
	// Unrepeatable marks a job that may run at most once, however late it is resubmitted; it needs an issued or solo
	// key.
	Unrepeatable bool
	// Forwarded marks a submission that another instance has forwarded; it is not forwarded to an owner again.
	Forwarded bool
}

// Decision is the result of Submit, Refuse, Cancel and Find.
type Decision interface{ isDecision() }

// StartNow means that the caller must start the job now and then call Finish.
type StartNow struct{}

// AwaitWitness means that a witness has been asked to store the record. A StartGranted, CancelConfirmed or
// AttemptFailed event with this ticket follows or, if the attempt ends as a refusal, one of the events of
// AwaitConfirmation.
type AwaitWitness struct{ Ticket uint64 }

// AwaitConfirmation means that a refusal waits until another member confirms the view in which it was decided. A
// RefusalConfirmed, RefusalUnconfirmed or RefusalSuperseded event with this ticket follows.
type AwaitConfirmation struct{ Ticket uint64 }

// Joined means that the job is already pending or running here. An OutcomeKnown event with this key follows or, if
// Ticket is not 0, one of the events of AwaitWitness with this ticket.
type Joined struct{ Ticket uint64 }

// Answer means that the outcome is known now; a refusal in it needs no confirmation.
type Answer struct{ Outcome dispatcher.Outcome }

// AnswerLost means that the job started but its answer is not available: its instance cannot be asked, or the answer
// was dropped. The job is answered as failed, and each task has this fate, FateFinished or FateUnknown.
type AnswerLost struct{ Fate dispatcher.Fate }

// RetryLater means that the slice is being handed over, or that this instance has to read the log first. Nothing is
// stored. The same call may succeed after a few milliseconds; a caller that stops retrying answers with Outcome.
type RetryLater struct{ Outcome dispatcher.Unknown }

// Forward means that another instance decides the job or holds its answer.
type Forward struct {
	To Member
	// ToHolder is set if To is not the owner but the instance that ran the job or issued its solo key. A submission
	// that was forwarded to the owner may be forwarded once more to such an instance.
	ToHolder bool
}

// ForwardDomain means that an instance of another failure domain decides the job.
type ForwardDomain struct{ Domain string }

// Running is the result of Find for a job that waits for its witness or runs here.
type Running struct{}

// Absent is the result of Find for a job without a record, which the owner would start if it were submitted.
type Absent struct{}

// AlreadyStarted means that the job has started and cannot be cancelled or refused any more.
type AlreadyStarted struct{}

func (StartNow) isDecision()          {}
func (AwaitWitness) isDecision()      {}
func (AwaitConfirmation) isDecision() {}
func (Joined) isDecision()            {}
func (Answer) isDecision()            {}
func (AnswerLost) isDecision()        {}
func (RetryLater) isDecision()        {}
func (Forward) isDecision()           {}
func (ForwardDomain) isDecision()     {}
func (Running) isDecision()           {}
func (Absent) isDecision()            {}
func (AlreadyStarted) isDecision()    {}

// Event is the result of an earlier decision that had to wait.
type Event interface{ isEvent() }

// StartGranted means that the caller must start the job now and then call Finish.
type StartGranted struct {
	Key    string
	Ticket uint64
}

// AttemptFailed means that the attempt ends without a start. The job is answered with Outcome or, if Resubmit is set
// because the slice has another owner now, submitted again.
type AttemptFailed struct {
	Key      string
	Ticket   uint64
	Outcome  dispatcher.Unknown
	Resubmit bool
}

// RefusalConfirmed means that the refusal is valid and may be sent to the caller.
type RefusalConfirmed struct {
	Key     string
	Ticket  uint64
	Refusal dispatcher.Refused
	// Decided is the time of the confirmed decision; the job has not started before it.
	Decided time.Time
}

// RefusalUnconfirmed means that the job is answered with Outcome instead of the refusal.
type RefusalUnconfirmed struct {
	Key     string
	Ticket  uint64
	Outcome dispatcher.Unknown
}

// CancelConfirmed means that the job never starts; the caller that cancelled it and all callers that wait for it may be
// answered.
type CancelConfirmed struct {
	Key    string
	Ticket uint64
}

// RefusalSuperseded means that a waiting refusal is replaced by Outcome, because in a new view the job has another
// answer.
type RefusalSuperseded struct {
	Key     string
	Ticket  uint64
	Outcome dispatcher.Outcome
}

// OutcomeKnown means that the job ended; the outcome is for every caller that waits for the key.
type OutcomeKnown struct {
	Key     string
	Outcome dispatcher.Outcome
}

func (StartGranted) isEvent()       {}
func (AttemptFailed) isEvent()      {}
func (RefusalConfirmed) isEvent()   {}
func (RefusalUnconfirmed) isEvent() {}
func (CancelConfirmed) isEvent()    {}
func (RefusalSuperseded) isEvent()  {}
func (OutcomeKnown) isEvent()       {}
