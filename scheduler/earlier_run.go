package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/hyssoplift/hyssoplift/isolator"
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
	scheduler.addOwnerless(query.Target, query.Run, now)
	if task := scheduler.tasks[query.Run.Task]; task != nil && (task.state == waiting || task.state == blocked) {
		scheduler.addEarlierRun(task, targetRun{query.Target, query.Run})
	}
}

// addOwnerless remembers a run that a target has listed and that may go on until its lease has ended.
func (scheduler *Scheduler) addOwnerless(target string, run Run, now time.Time) {
	if _, ok := scheduler.ownerless[target][run]; !ok {
		if scheduler.ownerlessCount >= maxOwnerlessRuns {
			return
		}
		scheduler.ownerlessCount++
	}
	if scheduler.ownerless[target] == nil {
		scheduler.ownerless[target] = make(map[Run]ownerlessRun)
	}
	scheduler.ownerless[target][run] = ownerlessRun{listedBy: now, until: now.Add(unknownRunTimeout)}
}

// keepAwaited remembers a run that this instance forgets as the former reader of its target, if a task waits for its end.
func (scheduler *Scheduler) keepAwaited(target *target, run Run, allocation *allocation, now time.Time) {
	task := scheduler.tasks[run.Task]
	if task == nil || allocation.confirmedAt.IsZero() || !slices.Contains(task.earlier, targetRun{target.ID, run}) {
		return
	}
	scheduler.addOwnerless(target.ID, run, now)
	scheduler.emit(AwaitRunEnd{target.ID})
}

// updateOwnerless updates what is known of the ownerless runs on a target by its list.
func (scheduler *Scheduler) updateOwnerless(target string, poll *PollResult) {
	runs := scheduler.ownerless[target]
	for run, known := range runs {
		switch {
		case poll.listsRunning(run) && !poll.listsEnd(run):
			runs[run] = ownerlessRun{listedBy: poll.Answered, until: poll.Answered.Add(LeaseDuration + leaseMargin)}
		case poll.Sent.After(known.listedBy):
			scheduler.removeOwnerless(target, run)
		}
	}
}

func (scheduler *Scheduler) removeOwnerless(target string, run Run) {
	scheduler.ownerlessCount--
	if delete(scheduler.ownerless[target], run); len(scheduler.ownerless[target]) == 0 {
		delete(scheduler.ownerless, target)
	}
}

// expireOwnerless forgets the ownerless runs that have lapsed.
func (scheduler *Scheduler) expireOwnerless(now time.Time) {
	for target, runs := range scheduler.ownerless {
		for run, known := range runs {
			if !now.Before(known.until) {
				scheduler.removeOwnerless(target, run)
			}
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
	for target, runs := range scheduler.ownerless {
		for run := range runs {
			record(target, run)
		}
	}
	for i := range scheduler.lateStarts {
		job.mayHaveStarted = job.mayHaveStarted || isolator.JobOf(scheduler.lateStarts[i].run.Task) == job.ID
	}
}

// addEarlierRun lets a task wait for the end of a run of an earlier submission.
func (scheduler *Scheduler) addEarlierRun(task *task, earlier targetRun) {
	if slices.Contains(task.earlier, earlier) {
		return
	}
	task.earlier = append(task.earlier, earlier)
	task.job.mayHaveStarted = true
	if _, ok := scheduler.ownerless[earlier.target][earlier.run]; ok {
		scheduler.emit(AwaitRunEnd{earlier.target})
	}
}

// awaitsEndOn reports whether a task waits for the end of an ownerless run on a target.
func (scheduler *Scheduler) awaitsEndOn(target string) bool {
	for run := range scheduler.ownerless[target] {
		if task := scheduler.tasks[run.Task]; task != nil && slices.Contains(task.earlier, targetRun{target, run}) {
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
		return !ending && !(ok && target.allocations[earlier.run] != nil) && !now.Before(scheduler.ownerless[earlier.target][earlier.run].until)
	})
	return len(task.earlier) > 0
}
