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
	// Unrepeatable marks a job that may run at most once, however late it is resubmitted.
	Unrepeatable bool
	// Forwarded marks a submission that another instance has forwarded; it is not forwarded again.
	Forwarded bool
}

// Decision is the answer to Submit, Refuse, Cancel and Find.
type Decision interface{ isDecision() }

// StartNow means that the caller must start the job now and then call Finish.
type StartNow struct{}

// AwaitWitness means that a StartGranted, CancelConfirmed, AttemptLost, RefusalConfirmed or
// RefusalUnconfirmed event with this ticket follows.
type AwaitWitness struct{ Ticket uint64 }

// AwaitConfirmation means that a RefusalConfirmed or RefusalUnconfirmed event with this ticket follows.
type AwaitConfirmation struct{ Ticket uint64 }

// Joined means that the job is pending or running here. An OutcomeKnown event with this key follows, or, if
// Ticket is not 0, one of the events that AwaitWitness names.
type Joined struct{ Ticket uint64 }

// Answer means that the outcome is known now; a refusal in it is true.
type Answer struct{ Outcome dispatcher.Outcome }

// AnswerLost means that the job started in an instance that cannot be asked: the answer is failed, and each
// task has this fate, Finished or OutcomeUnknown.
type AnswerLost struct{ Fate dispatcher.Fate }

// RetryLater means that the slice is being handed over, or that this instance has to read the log first. Nothing is
// stored: the same call, repeated after a few milliseconds, may decide; otherwise the answer is Outcome.
type RetryLater struct{ Outcome dispatcher.Unknown }

// Forward means that another instance decides, or holds the answer.
type Forward struct {
	To Member
	// ToHolder says that To is not the owner but ran the job, or issued its solo key; a submission that was
	// forwarded to the owner is forwarded once more to such an instance.
	ToHolder bool
}

// ForwardDomain means that an instance of another failure domain decides.
type ForwardDomain struct{ Domain string }

// Running is the answer to Find for a job that waits for its witness or runs here.
type Running struct{}

// Absent is the answer to Find for a job that the owner would still start.
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

// Event tells the server what became of an earlier decision.
type Event interface{ isEvent() }

// StartGranted means that the caller must start the job now and then call Finish.
type StartGranted struct {
	Key    string
	Ticket uint64
}

// AttemptFailed means that the attempt ends without a start; the job is answered with Outcome, or submitted
// again if Resubmit is set (the slice has another owner now).
type AttemptFailed struct {
	Key      string
	Ticket   uint64
	Outcome  dispatcher.Unknown
	Resubmit bool
}

// RefusalConfirmed means that the refusal is true and may be released.
type RefusalConfirmed struct {
	Key     string
	Ticket  uint64
	Refusal dispatcher.Refused
	// Decided is the time of the decision that was confirmed; no start of the job precedes it.
	Decided time.Time
}

// RefusalUnconfirmed means that the job is answered with Outcome instead of the refusal.
type RefusalUnconfirmed struct {
	Key     string
	Ticket  uint64
	Outcome dispatcher.Unknown
}

// CancelConfirmed means that the job never starts; the cancelling caller and all waiters may be told so.
type CancelConfirmed struct {
	Key    string
	Ticket uint64
}

// RefusalSuperseded means that a refusal is replaced by Outcome, because a new view has another answer.
type RefusalSuperseded struct {
	Key     string
	Ticket  uint64
	Outcome dispatcher.Outcome
}

// OutcomeKnown means that the job ended; it goes to every waiter of the key.
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
