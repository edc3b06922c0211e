package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// HandleStartResult takes what came of the order to start a run.
func (scheduler *Scheduler) HandleStartResult(targetID string, run Run, result StartResult, now time.Time) {
	target := scheduler.targets[targetID]
	task := scheduler.tasks[run.Task]
	current := task != nil && task.state == starting && task.latest(targetID, run)
	if task != nil && result.mayHaveRun() {
		task.job.mayHaveStarted = true
	}
	switch result {
	case StartTaken:
		scheduler.handleStartTaken(target, task, current, run, now)
	case StartUnanswered:
		if target != nil {
			target.heldUntil = now.Add(unansweredBackoff)
			scheduler.emit(StopRun{On: target.Target, Run: run, Reason: "start was not answered"})
		}
		if current {
			task.state = stopping
			task.avoid(task.runTarget)
		}
	case StartNoRoom, StartStale, StartLate, StartRefused, StartImpossible, StartUnsent:
		scheduler.handleStartRejected(target, run, result, now)
		if current {
			scheduler.requeueRejected(task, result, now)
		}
	}
	scheduler.place(now)
}

func (scheduler *Scheduler) handleStartTaken(target *target, task *task, current bool, run Run, now time.Time) {
	if target != nil {
		target.lastHeard = now
		target.unreachable = false
		if allocation, ok := target.allocations[run]; ok {
			allocation.confirmedAt = now
		}
	}
	switch {
	case current:
		task.state = running
	case target != nil && (task == nil || !task.latest(target.ID, run) || task.state == waiting):
		// The job was given up while the order was on its way.
		scheduler.emit(StopRun{On: target.Target, Run: run, Reason: "job was given up"})
	}
}

// handleStartRejected corrects what is believed of a target that did not take a run.
func (scheduler *Scheduler) handleStartRejected(target *target, run Run, result StartResult, now time.Time) {
	if target == nil {
		return
	}
	scheduler.releaseRun(target, run)
	scheduler.emit(WithdrawClaim{Target: target.ID, Run: run})
	switch result {
	case StartNoRoom:
		target.lastHeard = now
		scheduler.handleNoRoom(target, now)
	case StartRefused:
		target.exclude(now)
		target.lastHeard = now
	case StartUnsent:
		scheduler.setUnreachable(target)
	case StartTaken, StartStale, StartLate, StartImpossible, StartUnanswered:
	}
}

// handleNoRoom corrects the room of a target that has rejected a run: a report that said otherwise is void until the next
// one, and a reader waits for the claim of the run that came first.
func (scheduler *Scheduler) handleNoRoom(target *target, now time.Time) {
	if target.isReader || target.reportedAt.IsZero() {
		target.heldUntil = now.Add(rejectionBackoff)
		return
	}
	target.reportedFree = Resources{}
}

// rejectionBackoff keeps work back from a target without room until the next end is likely to be known.
const rejectionBackoff = 15 * time.Millisecond

// unansweredBackoff keeps work back from a target that left a start unanswered until it is known whether it answers the
// order to stop.
const unansweredBackoff = 200 * time.Millisecond

// requeueRejected puts a task back into the queue after a rejection.
func (scheduler *Scheduler) requeueRejected(task *task, result StartResult, now time.Time) {
	switch result {
	case StartImpossible:
		task.avoid(task.runTarget)
		if len(task.avoided) >= task.job.MaxFailures {
			scheduler.finish(task.job, dispatcher.NewFailed("targets hold the task to be wrong", nil), "task is wrong", now)
			return
		}
	case StartStale, StartRefused, StartUnsent:
		task.avoid(task.runTarget)
	case StartTaken, StartNoRoom, StartLate, StartUnanswered:
	}
	scheduler.enqueue(task)
	scheduler.refuseOverdue(task.job, now)
}

// refuseOverdue gives a job up that has waited for its first start as long as it may, and reports whether it did.
func (scheduler *Scheduler) refuseOverdue(job *job, now time.Time) bool {
	if now.Before(job.startDeadline) || !job.neverStarted() {
		return false
	}
	scheduler.abort(job, dispatcher.ReasonOverload, "no room in time", now)
	return true
}

// HandleStopResult takes what came of the order to stop a run; stopped means that the target has taken the order.
func (scheduler *Scheduler) HandleStopResult(targetID string, run Run, stopped bool, now time.Time) {
	target := scheduler.targets[targetID]
	switch {
	case target == nil:
	case stopped:
		target.heldUntil = time.Time{}
	default:
		scheduler.setUnreachable(target)
	}
	task := scheduler.tasks[run.Task]
	if task == nil || task.state != stopping || !task.latest(targetID, run) {
		return
	}
	if stopped {
		task.notBefore = now.Add(MaxStopDuration)
		scheduler.requeueLost(task, now)
		return
	}
	task.state = uncertain
	// An order is void after the lease that it asked for, which began when it was sent.
	task.notBefore = task.startedAt.Add(LeaseDuration + leaseMargin)
	scheduler.emit(RelayStop{Target: targetID, Run: run})
}

// requeueLost queues a task anew whose run was lost or stopped.
func (scheduler *Scheduler) requeueLost(task *task, now time.Time) {
	task.restarts++
	if task.restarts > maxRestarts {
		scheduler.finish(task.job, dispatcher.NewUnknown("a task was lost too often"), "task was lost too often", now)
		return
	}
	scheduler.enqueue(task)
}

// HandleEnd takes the end of a run that a target listed, or that the reader of the target told of.
func (scheduler *Scheduler) HandleEnd(targetID string, end End, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		if end.Cause != NeverRan {
			target.lastHeard = now
		}
		allocation := scheduler.releaseRun(target, end.Run)
		if allocation != nil {
			target.recordEnd(end.Run, allocation, end.Cause, now)
		}
		if target.isReader {
			if allocation == nil || allocation.owner != scheduler.self {
				scheduler.foreignEnds[targetRun{targetID, end.Run}] = recordedEnd{end, now}
			}
			scheduler.offerCapacity(target, now)
		}
	}
	if task, ok := scheduler.tasks[end.Run.Task]; ok {
		scheduler.handleTaskEnd(task, targetID, end, now)
	}
	scheduler.place(now)
}

// releaseRun frees the room of a run and returns what was known of it, or nil.
func (scheduler *Scheduler) releaseRun(target *target, run Run) *allocation {
	allocation := target.releaseRun(run)
	if allocation != nil && target.isReader {
		scheduler.changedTargets[target.ID] = true
	}
	return allocation
}

func (scheduler *Scheduler) handleTaskEnd(task *task, targetID string, end End, now time.Time) {
	if end.Cause != NeverRan {
		task.job.mayHaveStarted = true
	}
	own := task.latest(targetID, end.Run)
	latest := own && task.mayBeRunning()
	switch {
	case end.Cause == Done && task.state != done:
		if task.mayBeRunning() && !latest {
			scheduler.emit(StopRun{On: task.runTarget.Target, Run: task.run(), Reason: "an earlier run is done"})
		}
		scheduler.completeTask(task, now)
	case !latest && task.state == waiting && own:
		// The run that was ordered to stop has ended.
		task.notBefore = time.Time{}
	case !latest:
	case end.Cause == Failed:
		scheduler.handleTaskFailure(task, now)
	case end.Cause == Stopped, end.Cause == Lapsed:
		task.notBefore = time.Time{}
		scheduler.requeueLost(task, now)
	}
}

func (scheduler *Scheduler) completeTask(task *task, now time.Time) {
	job := task.job
	task.state = done
	scheduler.dequeue(task)
	job.unfinished[task.step]--
	if job.finished() {
		scheduler.finish(job, dispatcher.NewComplete(nil), "", now)
		return
	}
	if job.unfinished[task.step] > 0 {
		return
	}
	for _, other := range job.tasks {
		if other.state == blocked && job.stepReady(other.step) {
			scheduler.enqueue(other)
		}
	}
}

func (scheduler *Scheduler) handleTaskFailure(task *task, now time.Time) {
	task.failures++
	task.avoid(task.runTarget)
	if task.failures >= task.job.MaxFailures {
		scheduler.finish(task.job, dispatcher.NewFailed("a task has failed as often as its route allows", nil), "a task has failed", now)
		return
	}
	scheduler.enqueue(task)
}

// HandlePoll takes what a target told of its runs, and returns its ends in their order.
func (scheduler *Scheduler) HandlePoll(targetID string, poll PollResult) {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return
	}
	now := poll.Answered
	target.lastHeard, target.lastPolled = now, now
	if target.unreachable {
		target.unreachable = false
		scheduler.changedTargets[targetID] = target.isReader
	}
	if poll.Incarnation != 0 && poll.Incarnation > target.Incarnation {
		scheduler.handleTargetRestart(target, poll.Incarnation, now)
	}
	listed := make(map[Run]bool, len(poll.Running)+len(poll.Ended))
	for _, active := range poll.Running {
		listed[active.Run] = true
		scheduler.confirmRun(target, active, now)
	}
	for _, end := range poll.Ended {
		listed[end.Run] = true
	}
	for run, allocation := range target.allocations {
		if !listed[run] && !allocation.confirmedAt.IsZero() && allocation.confirmedAt.Before(poll.Sent) {
			scheduler.handleMissingRun(target, run, allocation, now)
		}
	}
	scheduler.place(now)
}

func (scheduler *Scheduler) confirmRun(target *target, active ActiveRun, now time.Time) {
	known, ok := target.allocations[active.Run]
	if !ok {
		resources := Resources{MilliCores: active.MilliCores}
		if resources.MilliCores <= 0 {
			resources.MilliCores = defaultMilliCores
		}
		known = &allocation{resources: resources, claimedAt: now}
		target.allocate(active.Run, known)
		scheduler.changedTargets[target.ID] = true
	}
	known.confirmedAt, known.missingSince = now, time.Time{}
	// Another instance may have renewed the lease just before.
	target.extendLease(now)
}

// handleMissingRun handles a run that its target does not list any more though it had it: its end was noted by another
// instance, or its lease has lapsed.
func (scheduler *Scheduler) handleMissingRun(target *target, run Run, allocation *allocation, now time.Time) {
	if allocation.missingSince.IsZero() {
		allocation.missingSince = now
		if task := scheduler.tasks[run.Task]; task != nil && task.latest(target.ID, run) && task.state == running {
			task.missingSince = now
			return
		}
	}
	if now.Sub(allocation.missingSince) >= missingTimeout || allocation.owner != scheduler.self {
		scheduler.releaseRun(target, run)
	}
}

// handleTargetRestart drops what a former incarnation of the target ran.
func (scheduler *Scheduler) handleTargetRestart(target *target, incarnation int64, now time.Time) {
	known := target.Incarnation != 0
	target.Incarnation = incarnation
	if !known {
		return
	}
	target.speed = learnedSpeed{}
	target.probation, target.failureStreak, target.exclusions = false, 0, 0
	target.excludedUntil, target.heldUntil = time.Time{}, time.Time{}
	for _, run := range sortedRuns(target.allocations) {
		if target.allocations[run].confirmedAt.IsZero() {
			continue
		}
		scheduler.releaseRun(target, run)
		task := scheduler.tasks[run.Task]
		if task != nil && task.latest(target.ID, run) && task.mayBeRunning() && task.state != starting {
			task.notBefore = time.Time{}
			scheduler.requeueLost(task, now)
		}
	}
}

// MarkUnreachable notes that the target did not answer; it gets no work until it does.
func (scheduler *Scheduler) MarkUnreachable(targetID string) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.setUnreachable(target)
	}
}

func (scheduler *Scheduler) setUnreachable(target *target) {
	target.unreachable = true
	if target.isReader {
		scheduler.changedTargets[target.ID] = true
	}
}

// HandlePeerClaim takes the claim of another instance on a target that this one reads. It returns the end of the run if
// that is known already.
func (scheduler *Scheduler) HandlePeerClaim(owner string, claim Claim, now time.Time) (End, bool) {
	if recorded, ok := scheduler.foreignEnds[targetRun{claim.Target, claim.Run}]; ok {
		return recorded.End, true
	}
	target, ok := scheduler.targets[claim.Target]
	if !ok || !target.isReader {
		return End{}, false
	}
	if known, ok := target.allocations[claim.Run]; ok && known.owner == owner {
		known.repeatedAt = now
		return End{}, false
	}
	added := &allocation{owner: owner, resources: claim.Resources, estimate: claim.Estimate, claimedAt: now, repeatedAt: now}
	if known, ok := target.allocations[claim.Run]; ok {
		added.claimedAt, added.confirmedAt = known.claimedAt, known.confirmedAt
	}
	target.allocate(claim.Run, added)
	target.extendLease(now)
	scheduler.recordRunSize(claim.Resources)
	scheduler.changedTargets[target.ID] = true
	scheduler.offerCapacity(target, now)
	return End{}, false
}

// HandlePeerWithdrawal takes that a claimed run does not occupy its target.
func (scheduler *Scheduler) HandlePeerWithdrawal(targetID string, run Run, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.releaseRun(target, run)
		scheduler.offerCapacity(target, now)
		scheduler.place(now)
	}
}

// recordRunSize learns the usual size of a run.
func (scheduler *Scheduler) recordRunSize(resources Resources) {
	const weight = 16
	if scheduler.typicalMilliCores == 0 {
		scheduler.typicalMilliCores = resources.MilliCores
	}
	scheduler.typicalMilliCores += (resources.MilliCores - scheduler.typicalMilliCores) / weight
}

// HandlePeerStop stops a run for an instance that cannot do it itself.
func (scheduler *Scheduler) HandlePeerStop(targetID string, run Run) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.emit(StopRun{On: target.Target, Run: run, Reason: "its instance cannot reach the target"})
	}
}

// HandlePeerReport takes the room of a target from its reader, which says so if the target is lost to it.
func (scheduler *Scheduler) HandlePeerReport(report CapacityReport, now time.Time) {
	target, ok := scheduler.targets[report.Target]
	if !ok || target.isReader {
		return
	}
	target.reportedFree, target.reportedAt, target.unreachableByReader = report.FreeCapacity, now, report.Unreachable
	if !report.Unreachable {
		target.lastHeard, target.lastPolled = now, now
		target.extendLease(now.Add(cutOffRenewalTime))
		return
	}
	// The reader has not renewed the lease since it lost the target.
	if end := now.Add(LeaseDuration + leaseMargin); end.Before(target.leaseEnd) {
		target.leaseEnd = end
	}
}

// HandlePeerDemand takes the waiting tasks of another instance.
func (scheduler *Scheduler) HandlePeerDemand(owner string, demand Demand) {
	scheduler.peerDemands[owner] = demand
}

// RemovePeer forgets the waiting tasks of an instance that is not heard of any more.
func (scheduler *Scheduler) RemovePeer(owner string) { delete(scheduler.peerDemands, owner) }

// Place starts what finds room after news of other instances.
func (scheduler *Scheduler) Place(now time.Time) { scheduler.place(now) }

// SetReader says whether this instance reads the ends of a target from now on.
func (scheduler *Scheduler) SetReader(targetID string, reads bool, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok || target.isReader == reads {
		return
	}
	target.isReader, target.unreachableByReader = reads, false
	if reads {
		// The first look shows what runs there.
		target.heldUntil = now.Add(rejectionBackoff)
		return
	}
	delete(scheduler.changedTargets, targetID)
	for run, allocation := range target.allocations {
		if allocation.owner != scheduler.self {
			target.releaseRun(run)
		}
	}
}

// Claims returns the claims of own runs, to be repeated to the readers of their targets.
func (scheduler *Scheduler) Claims() []Claim {
	var claims []Claim
	for _, name := range slices.Sorted(maps.Keys(scheduler.tasks)) {
		task := scheduler.tasks[name]
		if task.mayBeRunning() && task.state != uncertain && !task.runTarget.isReader {
			claims = append(claims, Claim{Target: task.runTarget.ID, Run: task.run(), Resources: task.spec().Resources, Estimate: task.spec().Estimate})
		}
	}
	return claims
}

// CapacityReport is the room of a target that this instance reads.
type CapacityReport struct {
	Target       string
	FreeCapacity Resources
	// Unreachable means that the target does not answer, and that its lease is not renewed any more.
	Unreachable bool
}

// DueReports returns the targets whose room differs from what was reported last, and those that are occupied and were
// not reported for a while; a report also says that the target is looked after.
func (scheduler *Scheduler) DueReports(now time.Time) []CapacityReport {
	var reports []CapacityReport
	for _, id := range slices.Sorted(maps.Keys(scheduler.changedTargets)) {
		target, ok := scheduler.targets[id]
		if ok && scheduler.offered[id] {
			continue
		}
		delete(scheduler.changedTargets, id)
		if ok && target.isReader {
			if report := target.report(now); report != target.lastReport {
				target.lastReport, target.lastReportAt = report, now
				reports = append(reports, report)
			}
		}
	}
	return reports
}

// RenewalReport returns the report of a target whose lease was renewed, if the last one is old.
func (scheduler *Scheduler) RenewalReport(targetID string, now time.Time) (CapacityReport, bool) {
	target, ok := scheduler.targets[targetID]
	if !ok || !target.isReader || scheduler.offered[targetID] || now.Sub(target.lastReportAt) < reportInterval {
		return CapacityReport{}, false
	}
	target.lastReport, target.lastReportAt = target.report(now), now
	return target.lastReport, true
}
