package scheduler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Resources is what a task occupies on a target, or what a target offers.
type Resources struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether size fits into room.
func (resources Resources) Fits(room Resources) bool {
	return resources.MilliCores <= room.MilliCores && resources.MemoryMB <= room.MemoryMB && resources.Accelerators <= room.Accelerators
}

// countIn returns how many tasks of a size fit into room.
func (resources Resources) countIn(room Resources) int64 {
	count := room.MilliCores / max(resources.MilliCores, 1)
	if resources.MemoryMB > 0 {
		count = min(count, room.MemoryMB/resources.MemoryMB)
	}
	if resources.Accelerators > 0 {
		count = min(count, room.Accelerators/resources.Accelerators)
	}
	return max(count, 0)
}

// Plus returns the sum of both sizes.
func (resources Resources) Plus(other Resources) Resources {
	return Resources{resources.MilliCores + other.MilliCores, resources.MemoryMB + other.MemoryMB, resources.Accelerators + other.Accelerators}
}

// Minus returns size without other.
func (resources Resources) Minus(other Resources) Resources {
	return Resources{resources.MilliCores - other.MilliCores, resources.MemoryMB - other.MemoryMB, resources.Accelerators - other.Accelerators}
}

// Target is what discovery tells of one incarnation of a target.
type Target struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Labels   []string
	Capacity Resources
	Draining bool
	// Incarnation differs after each restart under the same ID; 0 if it is not known.
	Incarnation int64
}

// hasLabel reports whether the target carries label; every target carries the empty label.
func (target *Target) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range target.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// Step is a set of like tasks of a job.
type Step struct {
	// Tasks holds the name of each task.
	Tasks     []string
	Resources Resources
	// Estimate is the declared run time of one task, which may be far off.
	Estimate time.Duration
	// DependsOn lists the earlier steps whose tasks must all be done first.
	DependsOn []int
	// Label must be among the labels of the target, if it is set.
	Label string
	// MaxPerTarget bounds how many tasks of the step run on one target; 0 means no bound.
	MaxPerTarget int
}

// Job is a request of a caller.
type Job struct {
	ID       string
	Route    string
	Service  string
	Body     string
	Steps    []Step
	Priority int
	// MaxFailures is how many runs of a task may fail before the job has failed.
	MaxFailures int
	// Arrived is when the whole request was there, and Deadline when its caller stops waiting.
	Arrived  time.Time
	Deadline time.Time
	// Objective is when the answer is due to count as in time.
	Objective time.Time
}

// CriticalPath returns the declared run time of the longest chain of the job's steps.
func (job *Job) CriticalPath() time.Duration {
	return longestChain(job.Steps, func(int) bool { return true })
}

// Run is one start of a task.
type Run struct {
	Task    string
	Attempt int64
}

// Cause is how a run ended.
type Cause int

// Causes of the end of a run.
const (
	// Done means that the run succeeded.
	Done Cause = iota + 1
	// Failed means that the run failed by its own fault or by that of its target.
	Failed
	// Stopped means that the run was stopped by an order.
	Stopped
	// Lapsed means that the lease of the target expired.
	Lapsed
	// NeverRan means that the target did not take the run.
	NeverRan
)

// String returns the name that logs use.
func (cause Cause) String() string {
	switch cause {
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Stopped:
		return "stopped"
	case Lapsed:
		return "lapsed"
	case NeverRan:
		return "never-ran"
	}
	return "unknown"
}

// StartResult is what came of the order to start a run.
type StartResult int

// Results of an order to start a run.
const (
	// StartTaken means that the target runs the task.
	StartTaken StartResult = iota + 1
	// StartNoRoom means that the target has no room for the task; nothing was started.
	StartNoRoom
	// StartStale means that the target knows a later run of the task; nothing was started.
	StartStale
	// StartLate means that the order reached the target after its deadline; nothing was started.
	StartLate
	// StartRefused means that the target is unhealthy or another incarnation; nothing was started.
	StartRefused
	// StartImpossible means that the target holds the order to be wrong; nothing was started.
	StartImpossible
	// StartUnanswered means that it is not known whether the target runs the task.
	StartUnanswered
	// StartUnsent means that the order never left the instance.
	StartUnsent
)

// mayHaveRun reports whether the task runs, ran before, or may do so.
func (result StartResult) mayHaveRun() bool {
	switch result {
	case StartTaken, StartUnanswered, StartStale:
		return true
	case StartNoRoom, StartLate, StartRefused, StartImpossible, StartUnsent:
	}
	return false
}

// String returns the name that logs use.
func (result StartResult) String() string {
	names := []string{"unknown", "taken", "no-room", "stale", "late", "refused", "impossible", "unanswered", "unsent"}
	if int(result) < len(names) && result > 0 {
		return names[result]
	}
	return names[0]
}

// ActiveRun is one run that a target lists as running.
type ActiveRun struct {
	Run Run
	// MilliCores is what the run used lately, by the target's own measure; 0 if unknown.
	MilliCores int64
}

// End is one run that a target lists as ended.
type End struct {
	// Seq counts the ends of one incarnation of the target from 1.
	Seq   int64
	Run   Run
	Cause Cause
}

// PollResult is what a target told of itself.
type PollResult struct {
	Incarnation int64
	Running     []ActiveRun
	Ended       []End
	// Sent is when the question left, and Answered when the answer was there.
	Sent     time.Time
	Answered time.Time
}

// Claim says that an instance starts a run on a target and so occupies room there.
type Claim struct {
	Target    string
	Run       Run
	Resources Resources
	Estimate  time.Duration
}

// Action is something that the scheduler asks its owner to do: StartTask,
// StopRun, RelayStop, Withdraw, Offer or Answer.
type Action interface{ isAction() }

// StartTask asks to start a run on a target.
type StartTask struct {
	Claim
	On   Target
	Job  string
	Body string
	// Arrived is when the job arrived, and Issued when the start was decided, from which its lease counts.
	Arrived time.Time
	Issued  time.Time
	// FreeCapacity is what was believed to be free on the target before the start.
	FreeCapacity Resources
	// FreeCapacityAge is how old the report of the room is; 0 on targets that this instance reads.
	FreeCapacityAge time.Duration
	// Predicted is the run time that is expected on this target.
	Predicted time.Duration
}

// StopRun asks to stop a run on a target.
type StopRun struct {
	On     Target
	Run    Run
	Reason string
}

// AnswerJob gives the outcome of a job to its callers.
type AnswerJob struct {
	Job     string
	Outcome dispatcher.Outcome
	// Started tells whether a task of the job has run or may have.
	Started bool
	// Arrived and Objective are those of the job.
	Arrived   time.Time
	Objective time.Time
	// Load is what a refusal was decided by.
	Load Load
}

// Load is how much work waited when a job was admitted or refused.
type Load struct {
	// TasksAhead counts the tasks of all instances that come no later, and Free how many tasks of the job's size find room; from
	// Ahead and the job's own tasks on, it is not counted further.
	TasksAhead int64
	FreeSlots  int64
	// ExpectedWait is when the last task of the job's first steps would have found room, and Patience how long it could wait.
	ExpectedWait time.Duration
	MaxWait      time.Duration
}

// WithdrawClaim asks to tell the reader of a target that a run does not occupy it.
type WithdrawClaim struct {
	Target string
	Run    Run
}

// RelayStop asks the reader of a target to stop a run that this instance cannot stop.
type RelayStop struct {
	Target string
	Run    Run
}

// OfferCapacity asks to tell an instance first of room that has become free.
type OfferCapacity struct {
	To           string
	Target       string
	FreeCapacity Resources
}

func (StartTask) isAction()     {}
func (StopRun) isAction()       {}
func (AnswerJob) isAction()     {}
func (WithdrawClaim) isAction() {}
func (RelayStop) isAction()     {}
func (OfferCapacity) isAction() {}
