package scheduler

import (
	"strings"
	"time"
)

// taskState is where a task of an own job stands.
type taskState int

const (
	// blocked tasks wait for earlier steps.
	blocked taskState = iota
	// waiting tasks wait for room.
	waiting
	// starting tasks have an order to start under way.
	starting
	// running tasks were taken by their target.
	running
	// stopping tasks have an order to stop under way, after which they start anew.
	stopping
	// uncertain tasks may run on a target that does not answer, until its lease has ended.
	uncertain
	// done tasks have ended with success.
	done
)

// task is a task of an own job.
type task struct {
	job      *job
	step     int
	name     string
	state    taskState
	attempt  int64
	failures int
	// restarts counts the starts after a run that was lost or stopped.
	restarts int
	// runTarget is the target of the latest run.
	runTarget *target
	// notBefore keeps the task from starting while an earlier run may still be at work.
	notBefore time.Time
	startedAt time.Time
	predicted time.Duration
	// missingSince is when the target first listed its runs without this one, zero if it did not.
	missingSince time.Time
	// avoided holds the targets that failed or rejected the task.
	avoided map[string]bool
}

func (task *task) run() Run { return Run{task.name, task.attempt} }

// latest reports whether a run on a target is the latest one of the task. The numbers of attempts begin anew when a job
// is submitted again, so that news of runs of an earlier submission can name the same attempt on another target.
func (task *task) latest(targetID string, run Run) bool {
	return task.runTarget != nil && task.runTarget.ID == targetID && task.attempt == run.Attempt
}

func (task *task) spec() *Step { return &task.job.Steps[task.step] }

// mayBeRunning reports whether a run of the task may be at work.
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

// job is an own job that has no answer yet.
type job struct {
	Job
	tasks []*task
	// unfinished counts the tasks of each step that are not done.
	unfinished []int
	// mayHaveStarted means that a target has taken a start, or may have taken one.
	mayHaveStarted bool
	load           Load
	// startDeadline is when the job is refused if no task has started.
	startDeadline time.Time
}

func newJob(info Job) *job {
	job := &job{Job: info, unfinished: make([]int, len(info.Steps))}
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

// neverStarted reports whether certainly no task of the job has run or is about to.
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

// remainingCriticalPath returns the declared run time of the longest chain of steps that are not done.
func (job *job) remainingCriticalPath() time.Duration {
	return criticalPath(job.Steps, func(step int) bool { return job.unfinished[step] > 0 })
}

// criticalPath returns the declared run time of the longest chain of the steps that count.
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

// stepReady reports whether all steps that the step waits for are done.
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

// jobOf returns the ID of the job that a task belongs to: the name of a task begins with it and a dot.
func jobOf(taskName string) string {
	id, _, _ := strings.Cut(taskName, ".")
	return id
}
