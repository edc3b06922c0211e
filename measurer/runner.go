package measurer

import "time"

const (
	// runnerSlots and runnerConnections are the numbers of slots and connections of each runner; all instances of a
	// failure domain share the connections.
	runnerSlots       = 8
	runnerConnections = 60
)

// fault is the fault of a runner.
type fault int

const (
	noFault fault = iota
	failing       // reports an error immediately
	frozen        // starts tasks and never answers
	leaving       // rejects tasks with status 503
)

// answer is the answer of a runner to the start of a task.
type answer struct {
	status  status
	runTime time.Duration
}

// status is the class of an answer.
type status int

const (
	finished status = iota
	failed
	rejectedFull
	rejectedLeaving
)

// runner is a simulated target that runs tasks in its slots at its own speed, and queues further tasks up to its
// number of connections.
type runner struct {
	clock         *clock
	name          string
	speed         float64
	fault         fault
	listedLeaving bool // the instance list shows the runner as leaving
	running       int
	waiting       []func()
}

// start starts or queues a task of job and calls reply with the answer, unless the runner is frozen.
func (runner *runner) start(job *job, task int, reply func(answer)) {
	if runner.fault == leaving {
		reply(answer{status: rejectedLeaving})
		return
	}
	if runner.running+len(runner.waiting) >= runnerConnections {
		reply(answer{status: rejectedFull})
		return
	}
	job.starts[task]++
	nominalRunTime := job.tasks[task]
	switch {
	case runner.fault == failing:
		reply(answer{status: failed})
	case runner.fault == frozen:
	case runner.running < runnerSlots:
		runner.run(nominalRunTime, reply)
	default:
		runner.waiting = append(runner.waiting, func() { runner.run(nominalRunTime, reply) })
	}
}

// run runs a task with the given nominal run time in a free slot, and then starts the next waiting task.
func (runner *runner) run(nominalRunTime time.Duration, reply func(answer)) {
	runner.running++
	runTime := time.Duration(float64(nominalRunTime) / runner.speed)
	runner.clock.after(runTime, func() {
		runner.running--
		if len(runner.waiting) > 0 {
			next := runner.waiting[0]
			runner.waiting = runner.waiting[1:]
			next()
		}
		if runner.fault != frozen {
			reply(answer{status: finished, runTime: runTime})
		}
	})
}
