package scheduler

import (
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/arbiter"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/isolator"
)

// Resources is an amount of processor time, memory and accelerators, as required by a task or offered by a target.
type Resources struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether resources fit into free.
func (resources Resources) Fits(free Resources) bool {
	return resources.MilliCores <= free.MilliCores && resources.MemoryMB <= free.MemoryMB && resources.Accelerators <= free.Accelerators
}

// countIn returns how many tasks with these resources fit into free.
func (resources Resources) countIn(free Resources) int64 {
	count := free.MilliCores / max(resources.MilliCores, 1)
	if resources.MemoryMB > 0 {
		count = min(count, free.MemoryMB/resources.MemoryMB)
	}
	if resources.Accelerators > 0 {
		count = min(count, free.Accelerators/resources.Accelerators)
	}
	return max(count, 0)
}

// Plus returns the sum of resources and other.
func (resources Resources) Plus(other Resources) Resources {
	return Resources{resources.MilliCores + other.MilliCores, resources.MemoryMB + other.MemoryMB, resources.Accelerators + other.Accelerators}
}

// Minus returns resources less other.
func (resources Resources) Minus(other Resources) Resources {
	return Resources{resources.MilliCores - other.MilliCores, resources.MemoryMB - other.MemoryMB, resources.Accelerators - other.Accelerators}
}

// max returns the larger amount of each resource.
func (resources Resources) max(other Resources) Resources {
	return Resources{max(resources.MilliCores, other.MilliCores), max(resources.MemoryMB, other.MemoryMB), max(resources.Accelerators, other.Accelerators)}
}

// min returns the smaller amount of each resource.
func (resources Resources) min(other Resources) Resources {
	return Resources{min(resources.MilliCores, other.MilliCores), min(resources.MemoryMB, other.MemoryMB), min(resources.Accelerators, other.Accelerators)}
}

// Target describes one incarnation of a target, as found by service discovery.
type Target struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Labels   []string
	Capacity Resources
	Draining bool
	// Incarnation grows with each restart under the same ID; 0 if unknown.
	Incarnation int64
	// ColdUntil is the end of the time for which the target is slow after its start or after a time without work; zero if it is
	// not.
	ColdUntil time.Time
}

// hasLabel reports whether the target has the label. Every target has the empty label.
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

// Step is a set of identical tasks of a job.
type Step struct {
	// Tasks holds the name of each task.
	Tasks     []string
	Resources Resources
	// Estimate is the declared run time of one task; it may be far off.
	Estimate time.Duration
	// DependsOn lists the indexes of the earlier steps whose tasks must all be done first.
	DependsOn []int
	// Label, if set, must be among the labels of the target.
	Label string
	// MaxPerTarget limits how many tasks of the step run on one target at a time; 0 means no limit.
	MaxPerTarget int
}

// Job is a job submitted by a caller.
type Job struct {
	ID       string
	Route    string
	Service  string
	Body     string
	Steps    []Step
	Priority int
	// Share is the share of the job's route and caller; 0 if unknown.
	Share arbiter.Share
	// MaxFailures is how many failed runs of one task make the job fail.
	MaxFailures int
	// Arrived is when the whole request had been received, and Deadline is when its caller stops waiting.
	Arrived  time.Time
	Deadline time.Time
	// Objective is the time by which an answer counts as on time.
	Objective time.Time
}

// CriticalPath returns the total estimate along the longest chain of dependent steps.
func (job *Job) CriticalPath() time.Duration {
	return criticalPath(job.Steps, func(int) bool { return true })
}

// Run is one attempt to run a task.
type Run struct {
	Task    string
	Attempt int64
}

// Cause describes how a run ended.
type Cause int

// Causes of the end of a run. The values are sent between instances.
const (
	// Done means that the run succeeded.
	Done Cause = iota + 1
	// Failed means that the run failed, through its own fault or the target's.
	Failed
	// Stopped means that the run ended because of a stop request.
	Stopped
	// Lapsed means that the target's lease expired.
	Lapsed
	// NeverRan means that the target did not accept the run.
	NeverRan
)

// String returns the name used in logs.
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

// StartResult is the result of a request to start a run.
type StartResult int

// Results of a start request.
const (
	// StartTaken means that the target runs the task.
	StartTaken StartResult = iota + 1
	// StartNoRoom means that the target lacks capacity for the task; nothing was started.
	StartNoRoom
	// StartStale means that the target has recorded a later run of the task; nothing was started.
	StartStale
	// StartLate means that the request reached the target after its deadline; nothing was started.
	StartLate
	// StartRefused means that the target is unhealthy or has another incarnation; nothing was started.
	StartRefused
	// StartImpossible means that the target considers the request invalid; nothing was started.
	StartImpossible
	// StartUnanswered means that it is unknown whether the target runs the task.
	StartUnanswered
	// StartUnsent means that the request never left the instance.
	StartUnsent
	// StartUnconnected means that no connection to the target was ready in time, so that nothing left the instance. Its own link
	// or processor may be the cause.
	StartUnconnected
	// StartFenced means that the target did nothing, because it has seen a request for a later incarnation.
	StartFenced
	// StartWithheld means that the target's failure domain was evacuated before the request was sent, so that nothing was sent.
	StartWithheld
	// StartNoConnection means that no connection to the target was free, or that the target refused a new one while it answers on
	// others, so that nothing left the instance.
	StartNoConnection
	// StartDenied means that the target's reader has denied the reservation, so that nothing was sent to the target.
	StartDenied
	// StartTakenAgain means that the target runs the task, and that a connection broke over which the start had been sent before, so that
	// a copy of it may be carried out later.
	StartTakenAgain
)

// mayHaveRun reports whether the task runs, has run or may have run.
func (result StartResult) mayHaveRun() bool {
	switch result {
	case StartTaken, StartTakenAgain, StartUnanswered, StartStale:
		return true
	case StartNoRoom, StartLate, StartRefused, StartImpossible, StartUnsent, StartUnconnected, StartFenced, StartWithheld, StartNoConnection, StartDenied:
	}
	return false
}

// IsTaken reports whether the target runs the task.
func (result StartResult) IsTaken() bool { return result == StartTaken || result == StartTakenAgain }

// String returns the name used in logs and metrics.
func (result StartResult) String() string {
	names := []string{"unknown", "taken", "no-room", "stale", "late", "refused", "impossible", "unanswered", "unsent", "unconnected", "fenced", "withheld", "no-connection", "denied", "taken-again"}
	if int(result) < len(names) && result > 0 {
		return names[result]
	}
	return names[0]
}

// ActiveRun is a run that a target lists as running.
type ActiveRun struct {
	Run Run
	// MilliCores is the recent processor usage of the run as measured by the target; 0 if unknown.
	MilliCores int64
}

// End is a run that a target lists as ended.
type End struct {
	// Seq numbers the ends of one incarnation of the target, starting at 1.
	Seq   int64
	Run   Run
	Cause Cause
	// Incarnation is the incarnation of the target that listed the end; 0 if unknown.
	Incarnation int64
	// Age is the time since the end was listed.
	Age time.Duration
}

// endsRun reports whether the end may be that of a run that was started at the given time and was last known on the given
// incarnation of its target. Attempt numbers start over when a job is submitted again, so that the end of a run of an
// earlier submission can name the same run.
func (end *End) endsRun(incarnation int64, startedAt, now time.Time) bool {
	if end.Incarnation != 0 && end.Incarnation < incarnation {
		return false
	}
	return !now.Add(maxAgeError - end.Age).Before(startedAt)
}

// maxAgeError is by how much the age of an end may be overestimated. The end of an earlier submission's run is older: its
// caller waits for longer before it sends the job again.
const maxAgeError = 100 * time.Millisecond

// PollResult is a target's answer to a poll.
type PollResult struct {
	Incarnation int64
	// Named is the incarnation that the request named; 0 if unknown. Once a target has seen a request that names its present
	// incarnation, it refuses orders for former ones.
	Named int64
	// Address is the address that was polled; empty if it is the known one.
	Address string
	Running []ActiveRun
	Ended   []End
	// Sent is when the request was sent, and Answered when the answer had arrived.
	Sent     time.Time
	Answered time.Time
}

// listsRunning reports whether the target lists a run as running.
func (poll *PollResult) listsRunning(run Run) bool {
	return slices.ContainsFunc(poll.Running, func(active ActiveRun) bool { return active.Run == run })
}

// listsEnd reports whether the target lists the end of a run.
func (poll *PollResult) listsEnd(run Run) bool {
	return slices.ContainsFunc(poll.Ended, func(end End) bool { return end.Run == run })
}

// Claim announces that an instance starts a run on a target and uses capacity there.
type Claim struct {
	Target    string
	Run       Run
	Resources Resources
	Estimate  time.Duration
	// Incarnation is the incarnation of the target that the instance knew of when it started the run; 0 if unknown.
	Incarnation int64
	// Age is the time since the start was decided.
	Age time.Duration
}

// Action is something that the caller of the scheduler has to do: StartTask, StopRun, RelayStop, SuspendRenewals, QueryOwner,
// AnnounceLeaseEnd, AnnounceJob, AwaitRunEnd, WithdrawClaim, OfferCapacity, AnswerJob, LossRecorded, LossWithdrawn or TargetVerified, or to record: RunLost, RunsOverlapped,
// TaskGivenUp, TargetRestarted, TargetGuarded, TargetDescribed, TargetCold or TargetWarm.
type Action interface{ isAction() }

// StartTask asks to start a run on a target.
type StartTask struct {
	Claim
	RunTarget Target
	Job       string
	Body      string
	// Arrived is when the job arrived, and Issued when the start was decided; the requested lease counts from Issued.
	Arrived time.Time
	Issued  time.Time
	// Deadline is when the caller of the job stops waiting; the request must not be sent later.
	Deadline time.Time
	// FreeCapacity is the estimated free capacity of the target before the start.
	FreeCapacity Resources
	// FreeCapacityAge is the age of the report that FreeCapacity comes from; 0 on targets that this instance reads.
	FreeCapacityAge time.Duration
	// FreeCapacityEvidence is what FreeCapacity was derived from.
	FreeCapacityEvidence CapacityEvidence
	// Reserve means that the target's reader is to be asked for a reservation before the request is sent.
	Reserve bool
	// Predicted is the expected run time on this target.
	Predicted time.Duration
	// TransmittedAt is when this instance's link will have sent the request.
	TransmittedAt time.Time
	// Unanswered counts the earlier requests for this start that got no answer.
	Unanswered int
	// OutstandingOn is another target that may still carry out a start of the task for OutstandingFor; empty if there is none.
	OutstandingOn  string
	OutstandingFor time.Duration
}

// StopRun asks to stop a run on a target.
type StopRun struct {
	RunTarget Target
	Run       Run
	Reason    string
	// Repeated means that an earlier request has got no answer; this one is sent once only.
	Repeated bool
	// ListedFor is the time since a run without a live owner was first listed or claimed, and Disowned is how many instances have
	// answered that they do not own it; zero for other runs.
	ListedFor time.Duration
	Disowned  int
}

// Attempts returns how often the request is sent before it counts as not answered.
func (stop *StopRun) Attempts() int {
	if stop.Repeated {
		return 1
	}
	return StopAttempts
}

// AnswerJob asks to send the outcome of a job to its callers.
type AnswerJob struct {
	Job     string
	Outcome dispatcher.Outcome
	// Started reports whether a task of the job has run or may have run.
	Started bool
	// Arrived and Objective are copied from the job.
	Arrived   time.Time
	Objective time.Time
	// Load is the load on which the admission was decided.
	Load Load
}

// Load is the load at the time when a job was admitted or refused.
type Load struct {
	// TasksAhead counts the waiting tasks of all instances with the same or a more urgent priority. FreeSlots is how
	// many tasks of the job's resources could start at once; counting stops at TasksAhead plus the job's own tasks.
	TasksAhead int64
	FreeSlots  int64
	// ExpectedWait is the expected time until the last task of the job's first steps gets capacity, and MaxWait the
	// longest acceptable wait.
	ExpectedWait time.Duration
	MaxWait      time.Duration
	// Share is the job's share and Shares the decision on it, if the job was lent capacity or refused for its share.
	Share  arbiter.Share
	Shares arbiter.Decision
}

// WithdrawClaim asks to withdraw the claim of a run at the reader of the target, because the run does not occupy the
// target.
type WithdrawClaim struct {
	Target string
	Run    Run
}

// Suspension is a lease that must not be renewed, so that a run which does not answer stop requests lapses.
type Suspension struct {
	Target string
	// Incarnation is the incarnation of the target; 0 if unknown.
	Incarnation int64
	Run         Run
	// Until is when the lease has ended; zero means that it may be renewed again.
	Until time.Time
}

// SuspendRenewals asks all other instances to apply a suspension.
type SuspendRenewals struct{ Suspension }

// AnnounceLeaseEnd asks to notify the owners of runs on a target, which its reader cannot reach, of the end of its lease by the
// requests of all instances.
type AnnounceLeaseEnd struct {
	Target string
	To     []string
	End    time.Time
}

// RelayStop asks to have the target's reader stop a run that this instance cannot stop itself.
type RelayStop struct {
	Target string
	Run    Run
}

// OfferCapacity asks to offer freed capacity to one instance before it is reported to the others.
type OfferCapacity struct {
	CapacityReport
	To string
}

// LossReason is why a run is considered lost.
type LossReason string

// Reasons for the loss of a run. The values are used in logs and metrics.
const (
	// LossLapsed means that the lease of the target is over by all requests that are known.
	LossLapsed LossReason = "lapsed"
	// LossMissing means that the target lists the run neither as running nor as ended.
	LossMissing LossReason = "missing"
	// LossRestarted means that the target has another incarnation.
	LossRestarted LossReason = "target-restarted"
	// LossStopped means that the run was stopped.
	LossStopped LossReason = "stopped"
	// LossUnanswered means that the start got no answer, and was stopped or has lapsed.
	LossUnanswered LossReason = "unanswered"
)

// RunLost records that a task of this instance is queued again because its run was lost or stopped.
type RunLost struct {
	Target string
	// Incarnation is the incarnation of the target; 0 if unknown.
	Incarnation int64
	Run         Run
	Job         string
	Reason      LossReason
	// Restarts counts the losses of the task since its job was submitted, including this one.
	Restarts int
	// Lease is the evidence for the end of the target's lease, and RenewalAge the time since the lease was last renewed
	// by it.
	Lease      LeaseEvidence
	RenewalAge time.Duration
	// ListAge is the time since the target last listed its runs to this instance or its reader.
	ListAge time.Duration
	// End is what showed that a stopped run has ended, and StopAge the time since the target accepted the stop; 0 if that is not
	// known.
	End     EndEvidence
	StopAge time.Duration
	// Outstanding is how much longer a start of the run that got no answer may be carried out by a later incarnation of the target;
	// 0 if each start was answered.
	Outstanding time.Duration
}

// RunsOverlapped records that a run of a task of this instance went on to its own end after a later one had been started.
type RunsOverlapped struct {
	Target string
	Run    Run
	Cause  Cause
	// LaterTarget and Later are those of the later run, which was started ListedAfter before the end was listed.
	LaterTarget string
	Later       Run
	ListedAfter time.Duration
}

// TaskGivenUp records that a job is answered as failed because of one of its tasks, with the losses that count against the
// task.
type TaskGivenUp struct {
	Job  string
	Task string
	// Targets is the number of known targets.
	Targets int
	Losses  []isolator.Incrimination
}

// OccupyingRun is a run that occupies a target, and the time since its instance claimed the capacity.
type OccupyingRun struct {
	Run Run
	Age time.Duration
}

// LossRecorded records that a loss is new, or that something new is known about it. If Share is set, it asks to send the
// loss to all other instances.
type LossRecorded struct {
	isolator.Loss
	Share bool
	// Discovered means that this instance is the first one to know of runs that were on the target.
	Discovered bool
}

// LossWithdrawn asks to notify all other instances that an incarnation of a target responds again.
type LossWithdrawn struct {
	Target      string
	Incarnation int64
}

// TargetVerified asks to notify all other instances which incarnation of a target has answered, although an entry of
// discovery names another one or another address.
type TargetVerified struct {
	Target      string
	Incarnation int64
}

// TargetRestarted records that a target has another incarnation than before. Runs lists the runs that were not known to
// have ended.
type TargetRestarted struct {
	Target      string
	Incarnation int64
	Previous    int64
	Runs        []OccupyingRun
	// Evidence is what showed the restart.
	Evidence RestartEvidence
}

// RestartEvidence is what showed that a target has restarted.
type RestartEvidence string

// Evidence for the restart of a target. The values are used in logs.
const (
	// RestartAnswered means that the target has answered this instance.
	RestartAnswered RestartEvidence = "answer"
	// RestartDiscovered means that an entry of discovery names the incarnation.
	RestartDiscovered RestartEvidence = "entry"
	// RestartReported means that another instance has sent the news.
	RestartReported RestartEvidence = "peer"
)

// TargetGuarded records that a restarted target has answered a request that names its present incarnation, so that it refuses
// orders for former ones.
type TargetGuarded struct {
	Target      string
	Incarnation int64
	// After is the time since this instance has known of the incarnation.
	After time.Duration
	// At is when the answer arrived.
	At    time.Time
	Asker GuardAsker
	// Outstanding is the number of starts of this instance that got no answer and that the target may still carry out.
	Outstanding int
}

// GuardAsker is what an instance was to a target when it sent the request. The values are used in logs.
type GuardAsker string

// Instances that ask a target, by what the target is to them.
const (
	// AskerReader is the instance that reads the target for all.
	AskerReader GuardAsker = "reader"
	// AskerOwner is another instance, a start of which may still be carried out there.
	AskerOwner GuardAsker = "owner"
	// AskerOther is any other instance.
	AskerOther GuardAsker = "other"
)

func (StartTask) isAction()        {}
func (StopRun) isAction()          {}
func (AnswerJob) isAction()        {}
func (WithdrawClaim) isAction()    {}
func (RelayStop) isAction()        {}
func (SuspendRenewals) isAction()  {}
func (QueryOwner) isAction()       {}
func (AnnounceLeaseEnd) isAction() {}
func (OfferCapacity) isAction()    {}
func (RunLost) isAction()          {}
func (RunsOverlapped) isAction()   {}
func (TaskGivenUp) isAction()      {}
func (LossRecorded) isAction()     {}
func (LossWithdrawn) isAction()    {}
func (TargetRestarted) isAction()  {}
func (TargetGuarded) isAction()    {}
func (TargetVerified) isAction()   {}
