package scheduler

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/isolator"
	"github.com/hyssoplift/hyssoplift/locator"
)

// AnnounceJob asks to announce to the other instances that a job has been active here for some time, or that it was given up here while
// a start of it is outstanding.
type AnnounceJob struct {
	Job     string
	GivenUp bool
}

func (AnnounceJob) isAction() {}

// Key returns the key under which the job is announced.
func (announce AnnounceJob) Key() locator.Key {
	if announce.GivenUp {
		return locator.GivenUpKeyOf(announce.Job)
	}
	return locator.KeyOf(announce.Job)
}

// announceJob announces an active job if its next announcement is due. The caller of the job may hand it in again elsewhere.
func (scheduler *Scheduler) announceJob(job *job, now time.Time) {
	if _, active := scheduler.jobs[job.ID]; active && !now.Before(job.announceAt) && !scheduler.mayBeAbandoned(job, now) {
		job.announceAt = now.Add(locator.AnnounceInterval)
		scheduler.emit(AnnounceJob{Job: job.ID})
	}
}

// announceOutstanding announces the jobs that were given up here while a start of them is outstanding. Only this instance knows where
// their tasks must not start, so that a job that is handed in again elsewhere is joined here.
func (scheduler *Scheduler) announceOutstanding(now time.Time) {
	outstanding := make(map[string]bool)
	for id := range scheduler.outstandingJobs(now) {
		outstanding[id] = true
		if !now.Before(scheduler.outstandingAnnouncedUntil[id]) {
			scheduler.outstandingAnnouncedUntil[id] = now.Add(locator.AnnounceInterval)
			scheduler.emit(AnnounceJob{Job: id, GivenUp: true})
		}
	}
	maps.DeleteFunc(scheduler.outstandingAnnouncedUntil, func(id string, _ time.Time) bool { return !outstanding[id] })
}

// outstandingJobs returns the IDs of the jobs without an outcome that are not active, and of which a start is outstanding. A job may be
// returned more than once.
func (scheduler *Scheduler) outstandingJobs(now time.Time) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, late := range scheduler.lateStarts {
			id := isolator.JobOf(late.run.Task)
			if _, completed := scheduler.completedAt[id]; completed || scheduler.Has(id) || scheduler.Cancelled(id) || !scheduler.isOutstanding(late, now) {
				continue
			}
			if !yield(id) {
				return
			}
		}
	}
}

// GivenUpJobIDs returns the IDs of the jobs that were given up here while a start of them is outstanding, for an instance that may have
// missed announcements.
func (scheduler *Scheduler) GivenUpJobIDs(now time.Time) []string {
	return slices.Compact(slices.Sorted(scheduler.outstandingJobs(now)))
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

// Concerns reports whether this instance has a job, has completed it recently, or knows of earlier runs of it that may go on or of starts
// that may be carried out.
func (scheduler *Scheduler) Concerns(info Job, now time.Time) bool {
	if at, ok := scheduler.completedAt[info.ID]; ok && now.Sub(at) < completedRetention {
		return true
	}
	job := newJob(info)
	scheduler.findEarlierRuns(job)
	for _, task := range job.tasks {
		if scheduler.earlierRunGoesOn(task, now) || scheduler.hasOutstandingOf(task.name, now) {
			return true
		}
	}
	return scheduler.Has(info.ID)
}
