package scheduler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	// cancellationRetention is how long a cancelled job is kept from running: callers do not wait for longer, and what they
	// have sent before arrives earlier.
	cancellationRetention = time.Minute
	// maxCancellations bounds the memory for cancelled jobs; the earliest are forgotten first.
	maxCancellations = 8192
)

// cancelledDetail is the detail of the answer to a cancelled job.
const cancelledDetail = "the caller cancelled the job"

// Cancellation is a job that must not run any more.
type Cancellation struct {
	Job string
	At  time.Time
}

// Cancel abandons a job, also if it is submitted again or arrives only later, and reports whether it was active.
func (scheduler *Scheduler) Cancel(cancellation Cancellation, now time.Time) bool {
	if _, ok := scheduler.cancelledAt[cancellation.Job]; !ok {
		if len(scheduler.cancellations) >= maxCancellations {
			scheduler.forgetCancellations(1)
		}
		scheduler.cancelledAt[cancellation.Job] = cancellation.At
		scheduler.cancellations = append(scheduler.cancellations, cancellation)
	}
	active := scheduler.Has(cancellation.Job)
	scheduler.Abandon(cancellation.Job, cancelledDetail, now)
	return active
}

// Cancellations returns the cancelled jobs, for an instance that may have missed them.
func (scheduler *Scheduler) Cancellations() []Cancellation { return scheduler.cancellations }

// Cancelled reports whether a job must not run any more.
func (scheduler *Scheduler) Cancelled(job string) bool {
	_, cancelled := scheduler.cancelledAt[job]
	return cancelled
}

// answerCancelled answers a job that has been cancelled. A task may have run before.
func (scheduler *Scheduler) answerCancelled(info *Job) {
	scheduler.emit(AnswerJob{Job: info.ID, Outcome: dispatcher.NewUnknown(cancelledDetail), Started: true, Arrived: info.Arrived, Objective: info.Objective})
}

// expireCancellations forgets the jobs that were cancelled long ago.
func (scheduler *Scheduler) expireCancellations(now time.Time) {
	expired := 0
	for expired < len(scheduler.cancellations) && now.Sub(scheduler.cancellations[expired].At) >= cancellationRetention {
		expired++
	}
	scheduler.forgetCancellations(expired)
}

func (scheduler *Scheduler) forgetCancellations(count int) {
	for _, cancellation := range scheduler.cancellations[:count] {
		delete(scheduler.cancelledAt, cancellation.Job)
	}
	scheduler.cancellations = scheduler.cancellations[count:]
}
