package scheduler

import (
	"slices"
	"time"
)

// siblingsOn counts the tasks of the same step as the given one of which a run may be at work on a target. That need not be
// the latest run of a task that counts as running: it may be one that is being stopped since an earlier one has succeeded, one
// of an earlier submission, or one of another instance.
func (scheduler *Scheduler) siblingsOn(added *task, target *target, now time.Time) int {
	var present []*task
	record := func(sibling *task) {
		if sibling != nil && sibling.job == added.job && sibling.step == added.step && !slices.Contains(present, sibling) {
			present = append(present, sibling)
		}
	}
	for run := range target.allocations {
		record(scheduler.tasks[run.Task])
	}
	for run, known := range scheduler.ownerless[target.ID] {
		if now.Before(known.until) {
			record(scheduler.tasks[run.Task])
		}
	}
	for _, sibling := range added.job.tasks {
		if sibling.step == added.step && (sibling.runTarget == target && sibling.mayBeRunning() || scheduler.endsEarlierRun(sibling, target)) {
			record(sibling)
		}
	}
	return len(present)
}

// endsEarlierRun reports whether a run of an earlier submission of a task must end on a target and is not known to have ended.
func (scheduler *Scheduler) endsEarlierRun(task *task, target *target) bool {
	return slices.ContainsFunc(task.earlier, func(earlier targetRun) bool {
		_, ending := scheduler.pendingStops[earlier]
		return ending && earlier.target == target.ID
	})
}

// endsLatestRun reports whether the latest run of a task that is done must end and is not known to have ended.
func (scheduler *Scheduler) endsLatestRun(task *task) bool {
	if task.state != done || task.runTarget == nil {
		return false
	}
	_, ending := scheduler.pendingStops[targetRun{task.runTarget.ID, task.run()}]
	return ending
}
