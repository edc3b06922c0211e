package scheduler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/locator"
)

// AnnounceJob asks to announce to the other instances that a job has been active here for some time.
type AnnounceJob struct{ Job string }

func (AnnounceJob) isAction() {}

// announceJob announces an active job if its next announcement is due. The caller of the job may hand it in again elsewhere.
func (scheduler *Scheduler) announceJob(job *job, now time.Time) {
	if _, active := scheduler.jobs[job.ID]; active && !now.Before(job.announceAt) && !scheduler.mayBeAbandoned(job, now) {
		job.announceAt = now.Add(locator.AnnounceInterval)
		scheduler.emit(AnnounceJob{job.ID})
	}
}

// ActiveJobIDs returns the IDs of the active jobs for an instance that may have missed announcements.
func (scheduler *Scheduler) ActiveJobIDs(now time.Time) []string {
	var active []string
	for id, job := range scheduler.jobs {
		if !scheduler.mayBeAbandoned(job, now) {
			active = append(active, id)
		}
	}
	return active
}

// HandlePeerAnnouncement handles the announcement of a job that another instance sent at the given time. If this one has the job too, its
// caller has handed it in twice, and one of the two instances was out of contact with the other. It is abandoned where its tasks
// would start again beside the runs elsewhere: on an instance that was paused, so that others have stopped its runs, or that has none.
func (scheduler *Scheduler) HandlePeerAnnouncement(key locator.Key, sent, now time.Time) {
	job, ok := scheduler.jobsByKey[key]
	// An announcement that a cut has held up may be about an earlier submission.
	if !ok || sent.Before(job.Arrived) || job.hasRuns() && !job.Arrived.Before(scheduler.resumedAt) {
		return
	}
	scheduler.Abandon(job.ID, "another instance runs the job", now)
}

// hasRuns reports whether a run of the job may be active.
func (job *job) hasRuns() bool {
	for _, task := range job.tasks {
		if task.mayBeRunning() {
			return true
		}
	}
	return false
}

// Concerns reports whether this instance has a job, has completed it recently, or knows of earlier runs of it that may go on.
func (scheduler *Scheduler) Concerns(info Job, now time.Time) bool {
	if at, ok := scheduler.completedAt[info.ID]; ok && now.Sub(at) < completedRetention {
		return true
	}
	job := newJob(info)
	scheduler.findEarlierRuns(job)
	for _, task := range job.tasks {
		if scheduler.earlierRunGoesOn(task, now) {
			return true
		}
	}
	return scheduler.Has(info.ID)
}
