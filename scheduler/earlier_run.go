package scheduler

import (
	"slices"
	"strings"
	"time"
)

// maxOwnerlessRuns bounds the memory for runs whose owner is in question.
const maxOwnerlessRuns = 4096

// ownerlessRun is a run whose owner is in question: when a target has listed it at the latest, and until when it may go on.
type ownerlessRun struct{ listedBy, until time.Time }

// AwaitRunEnd asks to poll a target until it no longer lists a run that a task of this instance waits for.
type AwaitRunEnd struct{ Target string }

func (AwaitRunEnd) isAction() {}

// recordOwnerless remembers a run whose owner another instance asks for. If the owner is lost, its caller sends the job again to
// any instance, perhaps before the run has ended.
func (scheduler *Scheduler) recordOwnerless(query OwnedRun, now time.Time) {
	key := targetRun{query.Target, query.Run}
	if _, ok := scheduler.ownerless[key]; !ok && len(scheduler.ownerless) >= maxOwnerlessRuns {
		return
	}
	scheduler.ownerless[key] = ownerlessRun{listedBy: now, until: now.Add(unknownRunTimeout)}
	if task := scheduler.tasks[query.Run.Task]; task != nil && (task.state == waiting || task.state == blocked) && task.runTarget == nil {
		scheduler.addEarlierRun(task, key)
	}
}

// updateOwnerless updates what is known of the ownerless runs on a target by its list.
func (scheduler *Scheduler) updateOwnerless(poll *PollResult, target string, listed func(Run) bool) {
	for key, run := range scheduler.ownerless {
		switch {
		case key.target != target:
		case listed(key.run):
			scheduler.ownerless[key] = ownerlessRun{listedBy: poll.Answered, until: poll.Answered.Add(LeaseDuration + leaseMargin)}
		case poll.Sent.After(run.listedBy):
			delete(scheduler.ownerless, key)
		}
	}
}

// findEarlierRuns records the runs of earlier submissions of a job's tasks that this instance knows of. A caller sends a job
// again when it has got no answer, while its runs may still go on; whoever has to end them may be late.
func (scheduler *Scheduler) findEarlierRuns(job *job) {
	record := func(target string, run Run) {
		if !strings.HasPrefix(run.Task, job.ID) {
			return
		}
		for _, task := range job.tasks {
			if task.name == run.Task {
				scheduler.addEarlierRun(task, targetRun{target, run})
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
	for key := range scheduler.ownerless {
		record(key.target, key.run)
	}
}

// addEarlierRun lets a task wait for the end of a run of an earlier submission.
func (scheduler *Scheduler) addEarlierRun(task *task, earlier targetRun) {
	if slices.Contains(task.earlier, earlier) {
		return
	}
	task.earlier = append(task.earlier, earlier)
	task.job.mayHaveStarted = true
	if _, ok := scheduler.ownerless[earlier]; ok {
		scheduler.emit(AwaitRunEnd{earlier.target})
	}
}

// awaitsEndOn reports whether a task waits for the end of an ownerless run on a target.
func (scheduler *Scheduler) awaitsEndOn(target string) bool {
	for key := range scheduler.ownerless {
		if key.target != target {
			continue
		}
		if task := scheduler.tasks[key.run.Task]; task != nil && slices.Contains(task.earlier, key) {
			return true
		}
	}
	return false
}

// earlierRunGoesOn reports whether a run of an earlier submission of a task may still go on, as far as this instance knows.
func (scheduler *Scheduler) earlierRunGoesOn(task *task, now time.Time) bool {
	task.earlier = slices.DeleteFunc(task.earlier, func(earlier targetRun) bool {
		_, ending := scheduler.pendingStops[earlier]
		target, ok := scheduler.targets[earlier.target]
		return !ending && !(ok && target.allocations[earlier.run] != nil) && !now.Before(scheduler.ownerless[earlier].until)
	})
	return len(task.earlier) > 0
}
