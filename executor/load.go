package executor

import "time"

// Load describes how busy an instance was since the previous report.
type Load struct {
	// ActiveJobs and WaitingTasks are the numbers at the time of the report.
	ActiveJobs   int
	WaitingTasks int64
	// Polls is the number of polls of targets so far, UnansweredPolls that of those that got no answer.
	Polls           int64
	UnansweredPolls int64
	// TickDelay is the longest time by which a tick was late: how long this instance waited for its processor.
	TickDelay time.Duration
}

// TakeLoad returns the load, and begins a new period for the longest delay.
func (executor *Executor) TakeLoad() Load {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	load := Load{
		ActiveJobs:      executor.scheduler.ActiveJobs(),
		WaitingTasks:    executor.waitingTasks(),
		Polls:           int64(executor.meter.polls.Get()),
		UnansweredPolls: int64(executor.meter.unansweredPolls.Get()),
		TickDelay:       executor.tickDelay,
	}
	executor.tickDelay = 0
	return load
}

// waitingTasks returns the number of tasks that wait for capacity; the caller holds the lock.
func (executor *Executor) waitingTasks() int64 {
	waiting := int64(0)
	for _, count := range executor.scheduler.Demand() {
		waiting += count
	}
	return waiting
}
