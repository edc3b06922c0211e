package limiter

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// KindLimits holds the limits of one kind of task.
type KindLimits struct {
	// MaxTasks is the largest number of tasks in one job; 0 means dispatcher.MaxTasks.
	MaxTasks int
	// MaxInFlight is the largest number of tasks that may run at once; 0 means no limit, and a negative number allows
	// none.
	MaxInFlight int
	// RunTime is the declared run time of one task, which is used until the first measured run time replaces it.
	RunTime time.Duration
}

// Config holds the parameters of a limiter.
type Config struct {
	// Kinds holds the limits by kind; a kind without an entry is limited only by dispatcher.MaxTasks.
	Kinds map[string]KindLimits
	// TeamQuotas holds the largest number of tasks that may run at once, by team; a team without an entry has no quota.
	TeamQuotas map[string]int
	// MaxQueued is the largest number of jobs with waiting tasks; 0 means 4096.
	MaxQueued int
	// ResponseTimeWeight and WastedMessageWeight are the bundle's response-time-weight and wasted-message-weight.
	// Neither may be negative; if both are 0, they count as equal.
	ResponseTimeWeight, WastedMessageWeight float64
	// Order is the order of the queue; nil means ByDeadline with a step derived from the weights.
	Order Order
}

// Order is the order in which waiting jobs start: ByDeadline, ByArrival or ByRemainingWork.
type Order interface{ isOrder() }

// ByDeadline rounds deadlines down to a multiple of step and starts the job with the earliest rounded deadline first.
// Among jobs with equal rounded deadlines, the one whose remaining tasks have the least total expected run time is
// first.
type ByDeadline struct{ step time.Duration }

// ByArrival starts jobs in the order in which they were admitted.
type ByArrival struct{}

// ByRemainingWork starts the job whose remaining tasks have the least total expected run time first.
type ByRemainingWork struct{}

func (ByDeadline) isOrder()      {}
func (ByArrival) isOrder()       {}
func (ByRemainingWork) isOrder() {}

// NewByDeadline returns an order that rounds deadlines down to a multiple of step; with a step of 0, it compares them
// exactly.
func NewByDeadline(step time.Duration) ByDeadline { return ByDeadline{step: step} }

// Job holds the properties of a job that admission and scheduling depend on.
type Job struct {
	kind     string
	team     string
	tasks    int
	deadline time.Time
}

// NewJob returns a job with the given number of tasks.
func NewJob(kind, team string, tasks int, deadline time.Time) Job {
	return Job{kind: kind, team: team, tasks: tasks, deadline: deadline}
}

// Ticket identifies an admitted job within its limiter.
type Ticket uint64

// Decision is the result of Admit: Runnable, Queued or Refused.
type Decision interface{ isDecision() }

// Runnable means that the job was admitted, is first in the queue and is held back by no limit; Next grants its tasks.
type Runnable struct{ ticket Ticket }

// Queued means that the job was admitted and waits behind other jobs or a limit; Next grants its tasks later.
type Queued struct {
	ticket  Ticket
	startAt time.Time
}

// Refused means that the job was not admitted; none of its tasks will be granted.
type Refused struct {
	reason  dispatcher.Reason
	detail  string
	retryAt time.Time
}

func (Runnable) isDecision() {}
func (Queued) isDecision()   {}
func (Refused) isDecision()  {}

// Ticket returns the ticket of the admitted job.
func (runnable Runnable) Ticket() Ticket { return runnable.ticket }

// Ticket returns the ticket of the admitted job.
func (queued Queued) Ticket() Ticket { return queued.ticket }

// StartAt returns the expected start time of the first task.
func (queued Queued) StartAt() time.Time { return queued.startAt }

// Reason returns the class of the refusal.
func (refused Refused) Reason() dispatcher.Reason { return refused.reason }

// Detail returns a sentence that explains the refusal.
func (refused Refused) Detail() string { return refused.detail }

// RetryAt returns the earliest time at which a retry may succeed, or the zero time if a retry does not help.
func (refused Refused) RetryAt() time.Time { return refused.retryAt }

// Grant permits the start of one task; it must be passed to Release exactly once.
type Grant struct {
	entry     *entry
	grantedAt time.Time
	first     bool
}

// Ticket returns the ticket of the job whose next task may start.
func (grant Grant) Ticket() Ticket { return grant.entry.ticket }

// First reports whether it is the first grant of the job; the start of the job must be recorded before the task
// is sent.
func (grant Grant) First() bool { return grant.first }

// Expired is a job whose deadline passed before all of its tasks were granted.
type Expired struct {
	ticket  Ticket
	granted int
}

// Ticket returns the ticket of the job.
func (expired Expired) Ticket() Ticket { return expired.ticket }

// Granted returns the number of tasks granted before the deadline; if it is 0, no task of the job has started.
func (expired Expired) Granted() int { return expired.granted }
