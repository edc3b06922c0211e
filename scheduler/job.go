package scheduler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/locator"
)

// taskState is the state of a task of this instance.
type taskState int

const (
	// A blocked task waits for earlier steps.
	blocked taskState = iota
	// A waiting task is queued until a target has capacity.
	waiting
	// A starting task has a start request in flight.
	starting
	// A running task was accepted by a target.
	running
	// A stopping task is queued again once the run whose stop was requested is known to have ended.
	stopping
	// An uncertain task may be running on a target that does not answer, until the target's lease has ended.
	uncertain
	// A done task has ended with success.
	done
)

// task is one task of a job of this instance.
type task struct {
	job      *job
	step     int
	name     string
	state    taskState
	attempt  int64
	failures int
	// restarts counts the starts after a run that was lost or stopped.
	restarts int
	// lossReason is why the latest run counts as lost, if the task waits because of that.
	lossReason LossReason
	// runTarget is the target of the latest run.
	runTarget *target
	// incarnation is the target's incarnation when the latest run was started or last listed; 0 if unknown.
	incarnation int64
	// accepted means that the target accepted or listed the latest run.
	accepted bool
	// notTaken lists the runs that their targets did not take.
	notTaken []targetRun
	// uncertainUntil is when the lease has ended that the start of an uncertain task asked for.
	uncertainUntil time.Time
	// answeredAt is when the target last answered that it has no room for the latest run, whose start had got no answer before; zero
	// if it has not.
	answeredAt time.Time
	// stopAcceptedAt is when the target accepted the stop of the latest run, or zero, and endEvidence what showed its end.
	stopAcceptedAt time.Time
	endEvidence    EndEvidence
	startedAt      time.Time
	predicted      time.Duration
	// missingSince is when the target first omitted the run from its list, or zero.
	missingSince time.Time
	// earlier holds the runs of earlier submissions of the task that may still go on.
	earlier []targetRun
	// avoided holds the IDs of the targets that failed or rejected the task.
	avoided map[string]bool
	// wrongOn is the ID of the target that last held the task to be wrong; empty if none has.
	wrongOn string
}

func (task *task) run() Run { return Run{task.name, task.attempt} }

// latest reports whether run on the given target is the latest run of the task. Attempt numbers start over when a job
// is submitted again, so messages about an earlier submission can carry the same attempt number on another target.
func (task *task) latest(targetID string, run Run) bool {
	return task.runTarget != nil && task.runTarget.ID == targetID && task.attempt == run.Attempt
}

func (task *task) spec() *Step { return &task.job.Steps[task.step] }

// stopAge returns the time since the target accepted the stop of the latest run, or 0 if it has not.
func (task *task) stopAge(now time.Time) time.Duration {
	if task.stopAcceptedAt.IsZero() {
		return 0
	}
	return now.Sub(task.stopAcceptedAt)
}

// mayBeRunning reports whether a run of the task may be active.
func (task *task) mayBeRunning() bool {
	switch task.state {
	case starting, running, stopping, uncertain:
		return true
	case blocked, waiting, done:
	}
	return false
}

func (task *task) avoid(target *target) {
	if task.avoided == nil {
		task.avoided = make(map[string]bool)
	}
	task.avoided[target.ID] = true
}

// job is a job of this instance that has no outcome yet.
type job struct {
	Job
	tasks []*task
	// unfinished counts the tasks of each step that are not done.
	unfinished []int
	// mayHaveStarted means that a target accepted a start, or may have.
	mayHaveStarted bool
	// suspected means that a task was on a target that was lost.
	suspected bool
	load      Load
	// limited means that the deadline is when this instance stops, and its caller would wait for longer.
	limited bool
	// startDeadline is when the job is refused if no task has started.
	startDeadline time.Time
	// announceAt is when the job is announced to the other instances next.
	announceAt time.Time
}

func newJob(info Job) *job {
	job := &job{Job: info, unfinished: make([]int, len(info.Steps)), announceAt: info.Arrived.Add(locator.AnnounceAfter)}
	for number, step := range info.Steps {
		job.unfinished[number] = len(step.Tasks)
		state := blocked
		if len(step.DependsOn) == 0 {
			state = waiting
		}
		for _, name := range step.Tasks {
			job.tasks = append(job.tasks, &task{job: job, step: number, name: name, state: state})
		}
	}
	return job
}

// neverStarted reports whether it is certain that no task of the job has run or is about to run.
func (job *job) neverStarted() bool {
	if job.mayHaveStarted {
		return false
	}
	for _, task := range job.tasks {
		if task.mayBeRunning() {
			return false
		}
	}
	return true
}

// remainingCriticalPath returns the total estimate along the longest chain of dependent steps that are not done.
func (job *job) remainingCriticalPath() time.Duration {
	return criticalPath(job.Steps, func(step int) bool { return job.unfinished[step] > 0 })
}

// criticalPath returns the total estimate along the longest chain of dependent steps, including only steps for which
// counts returns true.
func criticalPath(steps []Step, counts func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for number := range steps {
		for _, earlier := range steps[number].DependsOn {
			ends[number] = max(ends[number], ends[earlier])
		}
		if counts(number) {
			ends[number] += steps[number].Estimate
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// stepReady reports whether all steps that the step depends on are done.
func (job *job) stepReady(step int) bool {
	for _, earlier := range job.Steps[step].DependsOn {
		if job.unfinished[earlier] > 0 {
			return false
		}
	}
	return true
}

func (job *job) finished() bool {
	for _, unfinished := range job.unfinished {
		if unfinished > 0 {
			return false
		}
	}
	return true
}
