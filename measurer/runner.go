package measurer

import "time"

const (
	// runnerSlots and runnerConnections are those of the deployments' runners; all instances of a failure
	// domain share the connections.
	runnerSlots       = 8
	runnerConnections = 60
)

// fault is what a runner does wrong.
type fault int

const (
	none    fault = iota
	failing       // reports an error at once
	frozen        // starts tasks and never answers
	leaving       // answers 503
)

// answer is what a runner says about one task.
type answer struct {
	status  status
	runTime time.Duration
}

// status is the class of an answer.
type status int

const (
	finished status = iota
	failed
	full
	gone
)

// runner is a stand-in of a target: slots that differ in speed, and a queue up to its connections.
type runner struct {
	clock   *clock
	name    string
	speed   float64
	fault   fault
	listed  bool // the instance list shows the runner as leaving
	running int
	waiting []func()
}

// start takes a task of job and calls reply with the answer, if it ever answers.
func (runner *runner) start(job *job, task int, reply func(answer)) {
	if runner.fault == leaving {
		reply(answer{status: gone})
		return
	}
	if runner.running+len(runner.waiting) >= runnerConnections {
		reply(answer{status: full})
		return
	}
	job.starts[task]++
	nominal := job.tasks[task]
	switch {
	case runner.fault == failing:
		reply(answer{status: failed})
	case runner.fault == frozen:
	case runner.running < runnerSlots:
		runner.run(nominal, reply)
	default:
		runner.waiting = append(runner.waiting, func() { runner.run(nominal, reply) })
	}
}

func (runner *runner) run(nominal time.Duration, reply func(answer)) {
	runner.running++
	runTime := time.Duration(float64(nominal) / runner.speed)
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
