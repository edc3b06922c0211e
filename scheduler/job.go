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
	// on is the target of the latest run.
	on *target
	// notBefore keeps the task from starting while an earlier run may still be at work.
	notBefore time.Time
	started   time.Time
	predicted time.Duration
	// missing is when the target first listed its runs without this one, zero if it did not.
	missing time.Time
	// avoided holds the targets that failed or rejected the task.
	avoided map[string]bool
}

func (task *task) run() Run { return Run{task.name, task.attempt} }

// latest reports whether a run on a target is the latest one of the task. The numbers of attempts begin anew when a job
// is submitted again, so that news of runs of an earlier submission can name the same attempt on another target.
func (task *task) latest(targetID string, run Run) bool {
	return task.on != nil && task.on.ID == targetID && task.attempt == run.Attempt
}

func (task *task) spec() *Step { return &task.job.Steps[task.step] }

// occupies reports whether a run of the task may be at work.
func (task *task) occupies() bool {
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
	// open counts the tasks of each step that are not done.
	open []int
	// started means that a target has taken a start, or may have taken one.
	started bool
	load    Load
	// giveUp is when the job is refused if no task has started.
	giveUp time.Time
}

func newJob(info Job) *job {
	job := &job{Job: info, open: make([]int, len(info.Steps))}
	for number, step := range info.Steps {
		job.open[number] = len(step.Tasks)
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

// untouched reports whether certainly no task of the job has run or is about to.
func (job *job) untouched() bool {
	if job.started {
		return false
	}
	for _, task := range job.tasks {
		if task.occupies() {
			return false
		}
	}
	return true
}

// chain returns the declared run time of the longest chain of steps that are not done.
func (job *job) chain() time.Duration {
	return longestChain(job.Steps, func(step int) bool { return job.open[step] > 0 })
}

// longestChain returns the declared run time of the longest chain of the steps that count.
func longestChain(steps []Step, counts func(step int) bool) time.Duration {
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

// ready reports whether all steps that the step waits for are done.
func (job *job) ready(step int) bool {
	for _, earlier := range job.Steps[step].DependsOn {
		if job.open[earlier] > 0 {
			return false
		}
	}
	return true
}

func (job *job) finished() bool {
	for _, open := range job.open {
		if open > 0 {
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
