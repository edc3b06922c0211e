package scheduler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// EndJobsBy makes all jobs, also those that are submitted later, end by the time at which this instance stops. A job that cannot end
// by then is answered as soon as that is known.
func (scheduler *Scheduler) EndJobsBy(at time.Time) {
	scheduler.stopsAt = at
	for _, job := range scheduler.jobs {
		scheduler.limitDeadline(job)
	}
}

// limitDeadline brings the deadline of a job forward to when this instance stops.
func (scheduler *Scheduler) limitDeadline(job *job) {
	if !scheduler.stopsAt.IsZero() && scheduler.stopsAt.Before(job.Deadline) {
		job.Deadline, job.limited = scheduler.stopsAt, true
	}
}

// deadlineReason returns why a job that would miss its deadline is not served, given what is said if the caller stops waiting then.
func (job *job) deadlineReason(detail string) (dispatcher.Reason, string) {
	if job.limited {
		return dispatcher.ReasonUnavailable, "the instance stops before the job can end"
	}
	return dispatcher.ReasonDeadline, detail
}
