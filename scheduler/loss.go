package scheduler

import (
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/isolator"
)

const (
	// maxStartDelay is the time from a claim within which the target has received the start request, if it ever does.
	maxStartDelay = 60 * time.Millisecond
	// maxClaimTransit is how long a claim may be under way. The target of a claim that arrives later was lost before.
	maxClaimTransit = 50 * time.Millisecond
)

// recordLoss records that a target was lost with the runs that occupied it. A target that drains is expected to end.
func (scheduler *Scheduler) recordLoss(target *target, evidence isolator.Evidence, now time.Time) {
	if target.Draining {
		return
	}
	loss := isolator.Loss{
		Target: target.ID, Incarnation: target.Incarnation, Address: target.Address, Evidence: evidence, At: now, Observer: scheduler.self,
	}
	if at, ok := scheduler.isolator.LostAt(target.ID, target.Incarnation); ok {
		loss.At = at
	}
	for _, run := range sortedRuns(target.allocations) {
		if allocation := target.allocations[run]; scheduler.occupiedAt(target, allocation, loss.At) {
			loss.Suspects = append(loss.Suspects, scheduler.suspect(run, allocation, loss.At))
		}
	}
	scheduler.mergeLoss(loss, true, now)
}

// occupiedAt reports whether a run may have been on the target's present incarnation when it was lost.
func (scheduler *Scheduler) occupiedAt(target *target, allocation *allocation, lostAt time.Time) bool {
	switch {
	case allocation.incarnation != target.Incarnation || allocation.claimedAt.After(lostAt.Add(maxClaimTransit)):
		return false
	case allocation.owner == scheduler.self:
		// The result of a start request that is under way decides.
		return !allocation.confirmedAt.IsZero() || allocation.unanswered
	}
	return !target.neverListed(allocation)
}

// neverListed reports whether the target has not listed a claimed run, although the run should have started well before
// the target's last list. The claim was rejected, and its withdrawal was lost or is under way.
func (target *target) neverListed(allocation *allocation) bool {
	return allocation.confirmedAt.IsZero() && allocation.claimedAt.Add(maxStartDelay).Before(target.lastPolled)
}

// recordRunLoss records that a run was lost with the incarnation of its target.
func (scheduler *Scheduler) recordRunLoss(target *target, run Run, allocation *allocation, evidence isolator.Evidence, at, now time.Time) {
	if target.Draining {
		return
	}
	scheduler.mergeLoss(isolator.Loss{
		Target: target.ID, Incarnation: allocation.incarnation, Address: target.Address, Evidence: evidence, At: at, Observer: scheduler.self,
		Suspects: []isolator.Suspect{scheduler.suspect(run, allocation, at)},
	}, true, now)
}

// recordLostRun records that the latest run of a task was lost.
func (scheduler *Scheduler) recordLostRun(task *task, now time.Time) {
	evidence := isolator.Silent
	if task.incarnation < task.runTarget.Incarnation {
		evidence = isolator.Restarted
	}
	lost := &allocation{owner: scheduler.self, incarnation: task.incarnation, claimedAt: task.startedAt}
	if task.accepted {
		lost.confirmedAt = now
	} else {
		lost.unanswered = true
	}
	scheduler.recordRunLoss(task.runTarget, task.run(), lost, evidence, now, now)
}

// suspect describes the run of an allocation on a target that is lost at the given time.
func (scheduler *Scheduler) suspect(run Run, allocation *allocation, lostAt time.Time) isolator.Suspect {
	suspect := isolator.Suspect{Task: run.Task, Attempt: run.Attempt, Age: max(0, lostAt.Sub(allocation.claimedAt)), Fate: allocation.fate()}
	if task, ok := scheduler.tasks[run.Task]; ok {
		suspect.Route = task.job.Route
	}
	return suspect
}

// fate returns what is known about the start of the run.
func (allocation *allocation) fate() isolator.Fate {
	switch {
	case !allocation.confirmedAt.IsZero():
		return isolator.Accepted
	case allocation.unanswered:
		return isolator.Unanswered
	}
	return isolator.Claimed
}

// recordStartOnLost records a run that may have been started on a target that was lost meanwhile.
func (scheduler *Scheduler) recordStartOnLost(target *target, run Run, now time.Time) {
	allocation, ok := target.allocations[run]
	if !ok || target.Draining || allocation.incarnation < target.Incarnation {
		// If the target has restarted meanwhile, its list shows where the run is.
		return
	}
	if lostAt, lost := scheduler.isolator.LostAt(target.ID, allocation.incarnation); lost && !allocation.claimedAt.After(lostAt) {
		scheduler.recordRunLoss(target, run, allocation, isolator.Silent, lostAt, now)
	}
}

// clearSuspect records that a target has not taken a run.
func (scheduler *Scheduler) clearSuspect(target *target, run Run, now time.Time) {
	if task, ok := scheduler.tasks[run.Task]; ok && task.latest(target.ID, run) {
		task.notTaken = append(task.notTaken, targetRun{target.ID, run})
	}
	if allocation, ok := target.allocations[run]; ok && scheduler.isolator.Lists(target.ID, allocation.incarnation, run.Task, run.Attempt) {
		scheduler.clearLostRun(target.ID, allocation.incarnation, run, now)
	}
}

// clearLostRun records that a run was not on an incarnation of a target when that was lost.
func (scheduler *Scheduler) clearLostRun(targetID string, incarnation int64, run Run, now time.Time) {
	cleared := isolator.Suspect{Task: run.Task, Attempt: run.Attempt, Age: time.Hour, Fate: isolator.Claimed, Cleared: true}
	scheduler.mergeLoss(isolator.Loss{
		Target: targetID, Incarnation: incarnation, Evidence: isolator.Silent, At: now, Observer: scheduler.self, Suspects: []isolator.Suspect{cleared},
	}, true, now)
}

// clearSurvivor clears a run that its target has listed of the losses of the target's incarnations before the given one. A
// run of an earlier submission, whose attempts had the same numbers, is another run.
func (scheduler *Scheduler) clearSurvivor(targetID string, before int64, run Run, allocation *allocation, now time.Time) {
	for _, lost := range scheduler.isolator.LostRuns(targetID, run.Task, run.Attempt) {
		if lost.Incarnation < before && !allocation.claimedAt.After(lost.StartedAt.Add(maxClaimTransit)) {
			scheduler.clearLostRun(targetID, lost.Incarnation, run, now)
		}
	}
}

// HandlePeerLoss merges a loss that another instance recorded, and adds what this instance knows about its own runs there. A
// loss may be the first news of a restart.
func (scheduler *Scheduler) HandlePeerLoss(loss isolator.Loss, now time.Time) {
	var added []isolator.Suspect
	if target, ok := scheduler.targets[loss.Target]; ok {
		scheduler.adoptIncarnation(target, &loss)
		target.refusing = target.refusing || loss.Evidence == isolator.Refused && loss.Incarnation == target.Incarnation
		for _, run := range sortedRuns(target.allocations) {
			allocation := target.allocations[run]
			if allocation.owner == scheduler.self && allocation.incarnation == loss.Incarnation && allocation.claimedAt.Before(loss.At) &&
				(!allocation.confirmedAt.IsZero() || allocation.unanswered) {
				added = append(added, scheduler.suspect(run, allocation, loss.At))
			}
		}
		if target.Incarnation > loss.Incarnation {
			loss.Evidence = isolator.Restarted
		}
		if target.Incarnation == loss.Incarnation && loss.Evidence == isolator.Restarted {
			// The news of the restart itself has been missed. The target's next list shows which runs have ended.
			for _, allocation := range target.allocations {
				allocation.restarted = true
			}
		}
	}
	loss.Suspects = append(loss.Suspects, added...)
	for i := range loss.Suspects {
		suspect := &loss.Suspects[i]
		task, ok := scheduler.tasks[suspect.Task]
		if ok && !suspect.Cleared && slices.Contains(task.notTaken, targetRun{loss.Target, Run{suspect.Task, suspect.Attempt}}) {
			suspect.Cleared = true
			added = append(added, *suspect)
		}
	}
	scheduler.mergePeerLoss(loss, added, now)
}

// adoptIncarnation corrects the incarnation of this instance's runs that another instance saw on the lost target. An
// instance may start a run there before it learns of a restart.
func (scheduler *Scheduler) adoptIncarnation(target *target, loss *isolator.Loss) {
	for _, suspect := range loss.Suspects {
		task, ok := scheduler.tasks[suspect.Task]
		if !ok || task.runTarget != target || !task.mayBeRunning() || !task.startedAt.Before(loss.At) {
			continue
		}
		task.incarnation = max(task.incarnation, loss.Incarnation)
		if allocation, ok := target.allocations[task.run()]; ok {
			allocation.incarnation = max(allocation.incarnation, loss.Incarnation)
		}
	}
}

// HandlePeerRestart handles another incarnation of a target that its reader has seen.
func (scheduler *Scheduler) HandlePeerRestart(targetID string, incarnation int64, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok || incarnation <= target.Incarnation {
		return
	}
	if pending := target.pending; pending != nil && pending.Incarnation == incarnation {
		scheduler.adoptPending(target, now)
	} else {
		scheduler.handleTargetRestart(target, incarnation, RestartReported, now)
		scheduler.voidLateStarts(target, now)
	}
	target.verified = incarnation
}

// mergeLoss merges a loss, shares it with the other instances if share is set and it brings anything new, and gives up
// the jobs that it convicts.
func (scheduler *Scheduler) mergeLoss(loss isolator.Loss, share bool, now time.Time) {
	scheduler.mergeAndShare(loss, loss.Suspects, share, now)
}

// mergePeerLoss merges a loss that another instance has sent, and shares what this instance has added to it.
func (scheduler *Scheduler) mergePeerLoss(loss isolator.Loss, added []isolator.Suspect, now time.Time) {
	scheduler.shared[lossKey{loss.Target, loss.Incarnation}] = true
	scheduler.mergeAndShare(loss, added, len(added) > 0, now)
}

// mergeAndShare merges a loss and, if share is set and it brings anything new, shares the runs that this instance has observed.
func (scheduler *Scheduler) mergeAndShare(loss isolator.Loss, observed []isolator.Suspect, share bool, now time.Time) {
	merged, change := scheduler.isolator.Record(loss)
	if change == isolator.Unchanged {
		return
	}
	if share {
		scheduler.shareLoss(merged, observed, change == isolator.Discovered, now)
	} else {
		scheduler.emit(LossRecorded{Loss: merged})
	}
	scheduler.applyLoss(&merged, now)
}

// applyLoss marks the jobs of the suspects, and gives up those of which a task must not start again.
func (scheduler *Scheduler) applyLoss(loss *isolator.Loss, now time.Time) {
	for _, suspect := range loss.Suspects {
		if task, ok := scheduler.tasks[suspect.Task]; ok {
			task.job.suspected = true
			scheduler.giveUpSuspected(task.job, now)
		}
	}
}

const (
	// convictionDetail is the detail of the answer to a job of which a task has crashed too many targets.
	convictionDetail = "targets crashed under a task of the job"
	// exhaustionDetail is the detail of the answer if targets are lost so often that the task may be sound.
	exhaustionDetail = "too many targets were lost under a task of the job"
)

// giveUpSuspected answers a job of which a task must not start again, and reports whether it did.
func (scheduler *Scheduler) giveUpSuspected(job *job, now time.Time) bool {
	outcome := scheduler.suspectedOutcome(job)
	if outcome == nil {
		return false
	}
	scheduler.finish(job, outcome, "targets were lost under a task of the job", now)
	return true
}

// suspectedOutcome returns the outcome of a job of which a task must not start again, and records why, or returns nil.
func (scheduler *Scheduler) suspectedOutcome(job *job) dispatcher.Outcome {
	for _, task := range job.tasks {
		switch scheduler.assess(task.name) {
		case isolator.Convicted:
			scheduler.emit(scheduler.givenUp(task))
			return dispatcher.NewFailed(convictionDetail, nil)
		case isolator.Exhausted:
			scheduler.emit(scheduler.givenUp(task))
			return dispatcher.NewUnknown(exhaustionDetail)
		case isolator.Free, isolator.Isolated, isolator.Held:
		}
	}
	return nil
}

// givenUp returns the record of a task that is given up, with the losses that count against it.
func (scheduler *Scheduler) givenUp(task *task) TaskGivenUp {
	targets := len(scheduler.targets)
	return TaskGivenUp{Job: task.job.ID, Task: task.name, Targets: targets, Losses: scheduler.isolator.Against(task.name, targets)}
}

// assess returns whether and where a task may start.
func (scheduler *Scheduler) assess(task string) isolator.Verdict {
	return scheduler.isolator.Assess(task, len(scheduler.targets))
}

// recordUnnoticedEnd records that a target has restarted without having been found lost before.
func (scheduler *Scheduler) recordUnnoticedEnd(target *target, former int64, now time.Time) {
	if _, known := scheduler.isolator.LostAt(target.ID, former); known || target.Draining {
		return
	}
	scheduler.mergeLoss(isolator.Loss{
		Target: target.ID, Incarnation: former, Address: target.Address, Evidence: isolator.Restarted, At: now, Observer: scheduler.self,
	}, false, now)
}

// observeIncarnation confirms the crashes of earlier incarnations of a target, and of earlier targets at its address.
// The other instances learn of the incarnation in the same way, by discovery or from the target's reader.
func (scheduler *Scheduler) observeIncarnation(targetID, address string, incarnation int64, now time.Time) {
	for _, loss := range scheduler.isolator.ObserveIncarnation(targetID, address, incarnation) {
		scheduler.emit(LossRecorded{Loss: loss})
		scheduler.applyLoss(&loss, now)
	}
}

// HandleReplaced handles the news that another target has the address at which on was known when it was polled. The
// target gets no work until it is known at another address or answers. If its present incarnation has answered at the
// address, its runs have ended.
func (scheduler *Scheduler) HandleReplaced(on Target, now time.Time) {
	target, ok := scheduler.targets[on.ID]
	if !ok || target.replaced || on.Address != target.Address || on.Incarnation != target.Incarnation {
		return
	}
	target.replaced = true
	if !target.addressVerified {
		target.unreachable = true
		scheduler.changedTargets[target.ID] = target.readBySelf
		return
	}
	scheduler.setUnreachable(target, true, now)
	scheduler.recordLoss(target, isolator.Restarted, now)
	for _, run := range sortedRuns(target.allocations) {
		if !target.allocations[run].confirmedAt.IsZero() {
			scheduler.handleRunLostInRestart(target, run, now)
		}
	}
	scheduler.place(now)
}

// HasEndedWith reports whether the news that another target has the address of the given one shows that a run does not go on:
// the present incarnation has answered at the address, or this instance has started the run there.
func (scheduler *Scheduler) HasEndedWith(on Target, run Run) bool {
	target, ok := scheduler.targets[on.ID]
	if !ok {
		return false
	}
	if allocation, ok := target.allocations[run]; ok && allocation.owner == scheduler.self && allocation.address == on.Address {
		return true
	}
	return on.Address == target.Address && on.Incarnation == target.Incarnation && target.addressVerified
}

// lists reports whether a target is known.
func (scheduler *Scheduler) lists(targetID string) bool {
	_, ok := scheduler.targets[targetID]
	return ok
}

// HandlePeerWithdrawnLoss removes an unconfirmed loss because the target has answered another instance.
func (scheduler *Scheduler) HandlePeerWithdrawnLoss(targetID string, incarnation int64, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok && target.Incarnation == incarnation {
		target.refusing = false
	}
	if scheduler.isolator.Withdraw(targetID, incarnation, now) {
		delete(scheduler.unshared, lossKey{targetID, incarnation})
		delete(scheduler.shared, lossKey{targetID, incarnation})
	}
}
