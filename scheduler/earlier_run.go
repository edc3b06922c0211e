package scheduler

import (
	"slices"
	"strings"
)

// findEarlierRuns records the runs of earlier submissions of a job's tasks that this instance knows of. A caller sends a job
// again when it has got no answer, while its runs may still go on; whoever has to end them may be late.
func (scheduler *Scheduler) findEarlierRuns(job *job) {
	record := func(target string, run Run) {
		if !strings.HasPrefix(run.Task, job.ID) {
			return
		}
		for _, task := range job.tasks {
			if task.name == run.Task && !slices.Contains(task.earlier, targetRun{target, run}) {
				task.earlier = append(task.earlier, targetRun{target, run})
				job.mayHaveStarted = true
			}
		}
	}
	for _, target := range scheduler.ordered {
		for run := range target.allocations {
			record(target.ID, run)
		}
	}
	for key := range scheduler.pendingStops {
		record(key.target, key.run)
	}
}

// earlierRunGoesOn reports whether a run of an earlier submission of a task may still go on, as far as this instance knows.
func (scheduler *Scheduler) earlierRunGoesOn(task *task) bool {
	task.earlier = slices.DeleteFunc(task.earlier, func(earlier targetRun) bool {
		_, ending := scheduler.pendingStops[earlier]
		target, ok := scheduler.targets[earlier.target]
		return !ending && !(ok && target.allocations[earlier.run] != nil)
	})
	return len(task.earlier) > 0
}
