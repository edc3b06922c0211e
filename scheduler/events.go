package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/isolator"
)

// HandleStartResult processes the result of a StartTask action.
func (scheduler *Scheduler) HandleStartResult(targetID string, run Run, result StartResult, now time.Time) {
	target := scheduler.targets[targetID]
	task := scheduler.tasks[run.Task]
	current := task != nil && task.state == starting && task.latest(targetID, run)
	if task != nil && result.mayHaveRun() {
		task.job.mayHaveStarted = true
	}
	if target != nil && !target.readBySelf {
		scheduler.recordContention(target, run, result)
	}
	switch result {
	case StartTaken, StartTakenAgain:
		if result == StartTakenAgain && target != nil {
			scheduler.recordLateStart(target, run, now)
		}
		scheduler.handleStartTaken(target, task, current, run, now)
	case StartUnanswered:
		if target != nil {
			// The claim of the run keeps its capacity until the stop is answered; other capacity stays in use.
			if target.recordUnanswered(1, startedAt(target, run, now)) {
				target.heldUntil = now.Add(unansweredBackoff)
			}
			scheduler.recordUnansweredStart(target, run, now)
			scheduler.recordStartOnLost(target, run, now)
			scheduler.requestStop(target, run, "start was not answered", !current, now)
		}
		if current {
			task.state = stopping
			task.avoid(task.runTarget)
		}
	case StartNoRoom, StartStale, StartLate, StartRefused, StartImpossible, StartUnsent, StartUnconnected, StartFenced, StartWithheld, StartNoConnection, StartDenied:
		scheduler.handleStartRejected(target, run, result, now)
		if current {
			scheduler.requeueRejected(task, result, now)
		}
	}
	scheduler.place(now)
}

// startedAt returns when the start of a run was decided, or now if the run is not known.
func startedAt(target *target, run Run, now time.Time) time.Time {
	if allocation, ok := target.allocations[run]; ok {
		return allocation.claimedAt
	}
	return now
}

func (scheduler *Scheduler) handleStartTaken(target *target, task *task, current bool, run Run, now time.Time) {
	lost := false
	if target != nil {
		target.recordResponse(now)
		target.unreachable = false
		if allocation, ok := target.allocations[run]; ok {
			allocation.confirmedAt = now
			// The run lasts for as long as the lease that the target had by then.
			target.extendLease(now, LeaseListed)
			target.addressVerified = target.addressVerified || allocation.address == target.Address && allocation.incarnation == target.Incarnation
		} else {
			lost = true
		}
		scheduler.recordStartOnLost(target, run, now)
	}
	switch {
	case current && lost:
		// The run was listed, and was lost with its target, before the answer to the start arrived.
		task.state, task.accepted = stopping, true
		scheduler.requestStop(target, run, "run was lost before its start was answered", false, now)
	case current:
		task.state, task.accepted = running, true
		if _, ending := scheduler.pendingStops[targetRun{target.ID, run}]; ending {
			task.state = stopping
		}
	case target != nil && (task == nil || !task.latest(target.ID, run) || task.state == waiting):
		// While the start request was in flight, the job was abandoned or the task put back into the queue.
		scheduler.requestStop(target, run, "run is no longer needed", true, now)
	}
}

// handleStartRejected updates the view of a target that did not take a run.
func (scheduler *Scheduler) handleStartRejected(target *target, run Run, result StartResult, now time.Time) {
	if target == nil {
		return
	}
	if result != StartStale {
		scheduler.clearSuspect(target, run, now)
	}
	allocation := scheduler.releaseRun(target, run)
	scheduler.forgetStop(targetRun{target.ID, run})
	scheduler.emit(WithdrawClaim{Target: target.ID, Run: run})
	if allocation != nil && (allocation.incarnation != target.Incarnation || allocation.address != target.Address) {
		// The answer came from a former incarnation, or from another target at its address.
		return
	}
	scheduler.recordRejection(target, result, now)
}

// recordRejection updates what is known of a target by its answer to a start that it did not take.
func (scheduler *Scheduler) recordRejection(target *target, result StartResult, now time.Time) {
	switch result {
	case StartNoRoom:
		target.recordResponse(now)
		scheduler.handleNoRoom(target, now)
	case StartRefused:
		target.exclude(now)
		target.recordResponse(now)
	case StartUnsent:
		// An unsent start does not show why, and does not undo that the target's host is known to refuse connections.
		scheduler.setUnreachable(target, target.refusing, now)
	case StartUnconnected:
		target.heldUntil = now.Add(unconnectedBackoff)
	case StartFenced:
		target.recordFenced(now)
	case StartDenied:
		scheduler.handleNoRoom(target, now)
	case StartNoConnection:
		target.unconnectedUntil = now.Add(noConnectionBackoff)
	case StartTaken, StartTakenAgain, StartStale, StartLate, StartImpossible, StartUnanswered, StartWithheld:
	}
}

// handleNoRoom handles a rejection or a denial for lack of capacity. If another instance reads the target, the free capacity in its
// last report counts as zero until the next report. Otherwise, or if that report is too old to count, the target gets no work for
// rejectionBackoff: the claim of the run that took the capacity is still on its way.
func (scheduler *Scheduler) handleNoRoom(target *target, now time.Time) {
	if target.readBySelf || target.reportedAt.IsZero() || now.Sub(target.reportedAt) > reportTTL {
		target.heldUntil = now.Add(rejectionBackoff)
		return
	}
	target.reportedFree = Resources{}
}

// rejectionBackoff is how long a full target gets no new work; by then the next run end is likely to be known.
const rejectionBackoff = 15 * time.Millisecond

// unconnectedBackoff is how long a target gets no new work from an instance that could not connect to it in time. If the target is
// the cause, its reader reports it within this time.
const unconnectedBackoff = 520 * time.Millisecond

// noConnectionBackoff is how long a target gets no new work from an instance whose connections to it are all in use. A start
// request occupies a connection for a shorter time.
const noConnectionBackoff = 15 * time.Millisecond

// unansweredBackoff is how long a target that leaves requests unanswered gets no new work, until it is known whether it
// answers the stop request.
const unansweredBackoff = 200 * time.Millisecond

// requeueRejected puts a task back into the queue after a rejected start.
func (scheduler *Scheduler) requeueRejected(task *task, result StartResult, now time.Time) {
	switch result {
	case StartImpossible:
		task.avoid(task.runTarget)
		task.wrongOn = task.runTarget.ID
		if len(task.avoided) >= task.job.MaxFailures {
			scheduler.finish(task.job, dispatcher.NewFailed("targets hold the task to be wrong", nil), "task is invalid", now)
			return
		}
	case StartStale, StartRefused, StartUnsent, StartUnconnected:
		task.avoid(task.runTarget)
	case StartTaken, StartTakenAgain, StartNoRoom, StartLate, StartUnanswered, StartFenced, StartWithheld, StartNoConnection, StartDenied:
	}
	task.lossReason = ""
	scheduler.enqueue(task)
	scheduler.refuseOverdue(task.job, now)
}

// refuseOverdue refuses a job that has waited too long for its first start, and reports whether it did.
func (scheduler *Scheduler) refuseOverdue(job *job, now time.Time) bool {
	if now.Before(job.startDeadline) || !job.neverStarted() {
		return false
	}
	scheduler.abort(job, dispatcher.ReasonOverload, "no room in time", now)
	return true
}

// StopAttempts is how often the first request to stop a run is sent before it counts as not answered.
const StopAttempts = 2

// HandleStopResult processes the result of a StopRun action; stopped means that the target accepted the request. An accepted stop
// is not an end: a target takes some time to carry it out, and more if it gets too little processor time.
func (scheduler *Scheduler) HandleStopResult(targetID string, run Run, stopped bool, now time.Time) {
	key := targetRun{targetID, run}
	target := scheduler.targets[targetID]
	unanswered := scheduler.recordStopResult(key, stopped, now)
	switch {
	case target == nil:
	case stopped:
		target.recordResponse(now)
		target.heldUntil = time.Time{}
	case unanswered > 0 && target.recordUnanswered(unanswered, startedAt(target, run, now)):
		scheduler.setUnreachable(target, false, now)
	}
	task := scheduler.tasks[run.Task]
	if task == nil || task.state != stopping && task.state != uncertain || !task.latest(targetID, run) {
		return
	}
	pending, ok := scheduler.pendingStops[key]
	switch {
	case ok && pending.isAccepted():
		task.state, task.stopAcceptedAt = stopping, pending.acceptedAt
	case ok && stopped:
		// The request for another incarnation is under way.
	case stopped:
		scheduler.requeueStopped(task, EndOmitted, now)
		scheduler.place(now)
	default:
		task.state = uncertain
		// A start request expires with the lease that it asks for, which counts from when the request was sent.
		task.uncertainUntil = task.startedAt.Add(LeaseDuration + leaseMargin)
	}
}

// HandleStopGone processes the result of a StopRun action that shows that the run's target is gone.
func (scheduler *Scheduler) HandleStopGone(targetID string, run Run, now time.Time) {
	scheduler.settleStop(targetRun{targetID, run}, EndRestarted, now)
	scheduler.place(now)
}

// requeueLost queues a task again whose run was lost or stopped.
func (scheduler *Scheduler) requeueLost(task *task, reason LossReason, now time.Time) {
	task.restarts++
	task.lossReason = reason
	target := task.runTarget
	scheduler.emit(RunLost{
		Target: target.ID, Incarnation: task.incarnation, Run: task.run(), Job: task.job.ID, Reason: reason, Restarts: task.restarts,
		Lease: target.leaseEvidence, RenewalAge: now.Sub(target.lastRenewal()), ListAge: now.Sub(target.lastPolled),
		End: task.endEvidence, StopAge: task.stopAge(now), Outstanding: scheduler.outstandingFor(target.ID, task.run(), now),
	})
	if reason == LossLapsed || reason == LossUnanswered || task.incarnation < task.runTarget.Incarnation {
		scheduler.recordLostRun(task, now)
		if !scheduler.Has(task.job.ID) {
			return
		}
	}
	if task.restarts > maxRestarts {
		scheduler.finish(task.job, dispatcher.NewUnknown("a task was lost too often"), "runs of a task were lost or stopped too often", now)
		return
	}
	scheduler.enqueue(task)
}

// HandleEnd processes the end of a run, as listed by the target or forwarded by its reader.
func (scheduler *Scheduler) HandleEnd(targetID string, end End, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		if target.isDoubtful(&end, now) {
			target.allocations[end.Run].restarted = true
			return
		}
		scheduler.handleTargetEnd(target, end, now)
	}
	if task, ok := scheduler.tasks[end.Run.Task]; ok {
		scheduler.handleTaskEnd(task, targetID, end, now)
	}
	scheduler.place(now)
}

// isDoubtful reports whether an end may belong to a run of a former incarnation or to one that occupies the target now. Only the
// list of the present incarnation tells. An instance of an earlier revision does not send the incarnation.
func (target *target) isDoubtful(end *End, now time.Time) bool {
	if _, ok := target.allocations[end.Run]; !ok || end.Incarnation != 0 || end.Cause == Done || target.restartedAt.IsZero() {
		return false
	}
	return now.Sub(target.restartedAt) < maxRequestDelay
}

// handleTargetEnd releases the capacity of a run that has ended.
func (scheduler *Scheduler) handleTargetEnd(target *target, end End, now time.Time) {
	listedAt := now.Add(-end.Age)
	if end.Cause != NeverRan && listedAt.After(target.lastHeard) {
		target.recordResponse(listedAt)
	}
	key := targetRun{target.ID, end.Run}
	allocation, ok := target.allocations[end.Run]
	claimedAt := time.Time{}
	if ok {
		claimedAt = allocation.claimedAt
	}
	if pending, ok := scheduler.pendingStops[key]; ok && end.endsRun(pending.incarnation, claimedAt, now) {
		scheduler.forgetStop(key)
	}
	if ok && end.endsRun(allocation.incarnation, allocation.claimedAt, now) {
		scheduler.releaseRun(target, end.Run)
		if end.Cause != NeverRan {
			scheduler.clearSurvivor(target.ID, math.MaxInt64, end.Run, allocation, now)
		}
		target.recordEnd(end.Run, allocation, end.Cause, listedAt)
	}
	if target.readBySelf {
		if !ok || allocation.owner != scheduler.self {
			end.Incarnation = cmp.Or(end.Incarnation, target.Incarnation)
			scheduler.foreignEnds[key] = recordedEnd{end, now}
		}
		scheduler.offerCapacity(target, now)
	}
}

// releaseRun removes the allocation of a run and returns it, or nil if there is none.
func (scheduler *Scheduler) releaseRun(target *target, run Run) *allocation {
	allocation := target.releaseRun(run)
	if allocation != nil && target.readBySelf {
		scheduler.changedTargets[target.ID] = true
	}
	return allocation
}

func (scheduler *Scheduler) handleTaskEnd(task *task, targetID string, end End, now time.Time) {
	if end.Cause != NeverRan {
		task.job.mayHaveStarted = true
	}
	scheduler.recordOverlap(task, targetID, end, now)
	isLatest := task.latest(targetID, end.Run) && end.endsRun(task.incarnation, task.startedAt, now)
	isActive := isLatest && task.mayBeRunning()
	switch {
	case end.Cause == Done && task.state != done:
		if task.mayBeRunning() && !isActive {
			scheduler.requestStop(task.runTarget, task.run(), "an earlier run succeeded", false, now)
		}
		scheduler.completeTask(task, now)
	case !isActive:
	case end.Cause == Failed:
		scheduler.handleTaskFailure(task, now)
	case end.Cause == Stopped, end.Cause == NeverRan && task.state == stopping:
		scheduler.requeueStopped(task, EndListed, now)
	case end.Cause == Lapsed:
		scheduler.requeueLost(task, LossLapsed, now)
	}
}

// recordOverlap records that an earlier run of a task went on to its own end after the latest one had been started. A run that
// was stopped or has lapsed may have ended long before its end was listed.
func (scheduler *Scheduler) recordOverlap(task *task, targetID string, end End, now time.Time) {
	listedAfter := now.Add(-end.Age).Sub(task.startedAt)
	if end.Cause != Done && end.Cause != Failed || end.Run.Attempt >= task.attempt || !task.mayBeRunning() || listedAfter <= 0 {
		return
	}
	scheduler.emit(RunsOverlapped{
		Target: targetID, Run: end.Run, Cause: end.Cause, LaterTarget: task.runTarget.ID, Later: task.run(), ListedAfter: listedAfter,
	})
}

func (scheduler *Scheduler) completeTask(task *task, now time.Time) {
	job := task.job
	task.state = done
	scheduler.isolator.Exonerate(task.name)
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
		scheduler.finish(task.job, dispatcher.NewFailed("a task has failed as often as its route allows", nil), "a task failed too often", now)
		return
	}
	scheduler.enqueue(task)
}

// HandlePoll processes the running and ended runs that a target listed. The caller passes the ends to HandleEnd. HandlePoll
// returns false if the answer is a late one of a former incarnation, which must be ignored together with its ends.
func (scheduler *Scheduler) HandlePoll(targetID string, poll PollResult) bool {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return true
	}
	if poll.Incarnation != 0 && poll.Incarnation < target.Incarnation && poll.Sent.Before(target.incarnationSince) {
		return false
	}
	now := poll.Answered
	target.recordResponse(now)
	target.lastPolled, target.refusing = now, false
	if target.unreachable {
		target.unreachable = false
		scheduler.changedTargets[targetID] = target.readBySelf
	}
	if !poll.Sent.Before(target.fencedAt) {
		target.fencedAt = time.Time{}
	}
	scheduler.recordAnswer(target, &poll)
	scheduler.withdrawLoss(target, poll.Sent)
	scheduler.settleStops(target, &poll)
	listed := make(map[Run]bool, len(poll.Running)+len(poll.Ended))
	for _, active := range poll.Running {
		listed[active.Run] = true
		scheduler.confirmRun(target, active, now)
	}
	for _, end := range poll.Ended {
		listed[end.Run] = true
	}
	scheduler.updateOwnerless(targetID, &poll)
	for _, run := range sortedRuns(target.allocations) {
		allocation := target.allocations[run]
		switch {
		case listed[run] || !allocation.mayHaveBegun() || !allocation.confirmedAt.Before(poll.Sent):
		case allocation.restarted && poll.Named != 0 && poll.Named != target.Incarnation:
			// The next poll names the present incarnation, which refuses orders for former ones from then on.
		case allocation.restarted && target.readBySelf && now.Sub(target.readSince) >= missingTimeout:
			scheduler.handleRunLostInRestart(target, run, now)
		default:
			scheduler.handleMissingRun(target, run, allocation, now)
		}
	}
	scheduler.place(now)
	return true
}

// confirmRun records that a target lists a run as running, and adds an allocation if the run was not known.
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
		scheduler.awaitListedRun(target, active.Run)
	}
	scheduler.clearSurvivor(target.ID, target.Incarnation, active.Run, known, now)
	known.confirmedAt, known.missingSince, known.restarted = now, time.Time{}, false
	known.incarnation = target.Incarnation
	if task := scheduler.tasks[active.Run.Task]; task != nil && task.latest(target.ID, active.Run) {
		task.incarnation, task.accepted, task.missingSince = target.Incarnation, true, time.Time{}
		scheduler.resumeRun(task)
	}
	// Another instance may have renewed the lease just before the poll.
	target.extendLease(now, LeaseListed)
}

// resumeRun takes the latest run of a waiting task back that had counted as lost and is listed by its target.
func (scheduler *Scheduler) resumeRun(task *task) {
	if task.state != waiting || task.lossReason == LossStopped {
		return
	}
	scheduler.dequeue(task)
	task.state = running
	if _, ending := scheduler.pendingStops[targetRun{task.runTarget.ID, task.run()}]; ending {
		task.state = stopping
	}
}

// handleMissingRun handles a run that its target listed before but lists no longer: either another instance
// acknowledged its end, or its lease expired.
func (scheduler *Scheduler) handleMissingRun(target *target, run Run, allocation *allocation, now time.Time) {
	if allocation.missingSince.IsZero() {
		allocation.missingSince = now
		if task := scheduler.tasks[run.Task]; task != nil && task.latest(target.ID, run) && task.state == running {
			task.missingSince = now
			return
		}
	}
	if now.Sub(allocation.missingSince) >= missingTimeout || allocation.owner != scheduler.self {
		key := targetRun{target.ID, run}
		if _, ending := scheduler.pendingStops[key]; ending {
			// Whether or not the target has accepted the stop, the run has ended.
			scheduler.settleStop(key, EndOmitted, now)
			return
		}
		scheduler.releaseRun(target, run)
	}
}

// handleTargetRestart drops the learned state of the target's previous incarnation. Whether its runs have ended shows
// only in the target's list: an instance that had not learned of the restart may have started runs since.
func (scheduler *Scheduler) handleTargetRestart(target *target, incarnation int64, evidence RestartEvidence, now time.Time) {
	previous := target.Incarnation
	target.Incarnation, target.incarnationSince, target.addressVerified = incarnation, now, false
	if previous == 0 {
		target.described = incarnation
		return
	}
	target.restartedAt, target.refusing, target.delayedUntil = now, false, now.Add(maxRequestDelay)
	scheduler.forgetReport(target, now)
	defer scheduler.observeIncarnation(target.ID, target.Address, incarnation, now)
	scheduler.recordUnnoticedEnd(target, previous, now)
	scheduler.emit(TargetRestarted{Target: target.ID, Incarnation: incarnation, Previous: previous, Runs: target.occupyingRuns(now), Evidence: evidence})
	target.speed = learnedSpeed{}
	target.resetExclusions()
	for _, allocation := range target.allocations {
		allocation.restarted = true
	}
	scheduler.updateSuspended(target.ID)
}

// handleRunLostInRestart handles a run that a restarted target does not list. The reader receives all ends, so the run
// has ended with the previous incarnation. A new reader does not know of ends that the former one has acknowledged.
func (scheduler *Scheduler) handleRunLostInRestart(target *target, run Run, now time.Time) {
	allocation := scheduler.releaseRun(target, run)
	scheduler.forgetStop(targetRun{target.ID, run})
	if allocation != nil && (target.replaced || allocation.incarnation < target.Incarnation) {
		scheduler.recordRunLoss(target, run, allocation, isolator.Restarted, now, now)
	}
	task := scheduler.tasks[run.Task]
	if task != nil && task.latest(target.ID, run) && task.mayBeRunning() && task.state != starting {
		scheduler.requeueLost(task, LossRestarted, now)
	}
}

// MarkUnreachable records that the target did not answer; it gets no work until it does. refused means that its host
// refused the connection.
func (scheduler *Scheduler) MarkUnreachable(targetID string, refused bool, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.setUnreachable(target, refused, now)
	}
}

func (scheduler *Scheduler) setUnreachable(target *target, refused bool, now time.Time) {
	evidence := isolator.Silent
	if refused {
		evidence = isolator.Refused
	}
	target.refusing = refused
	scheduler.recordLoss(target, evidence, now)
	if !target.unreachable {
		target.unreachable, target.unreachableSince, target.leaseAnnounced = true, now, false
	}
	if target.readBySelf {
		scheduler.changedTargets[target.ID] = true
	}
}

// HandlePeerClaim records another instance's claim on a target that this instance reads. If the run has already ended,
// it returns the end and true.
func (scheduler *Scheduler) HandlePeerClaim(owner string, claim Claim, now time.Time) (End, bool) {
	claimedAt := now.Add(-claim.Age)
	target, ok := scheduler.targets[claim.Target]
	if recorded, found := scheduler.foreignEnds[targetRun{claim.Target, claim.Run}]; found && !(ok && target.listsAfter(claim.Run, recorded.Incarnation)) &&
		recorded.answers(&claim, claimedAt) {
		if ok {
			// The start has renewed the lease of the other runs.
			target.extendLease(claimedAt, LeaseClaimed)
		}
		recorded.Age = now.Sub(recorded.at)
		return recorded.End, true
	}
	if !ok || !target.readBySelf {
		return End{}, false
	}
	if known, ok := target.allocations[claim.Run]; ok && known.owner == owner {
		known.repeatedAt, known.ownerLost = now, false
		return End{}, false
	}
	added := &allocation{owner: owner, ownerContact: scheduler.contactWith(owner), resources: claim.Resources, estimate: claim.Estimate, claimedAt: claimedAt, repeatedAt: now}
	incarnation := cmp.Or(claim.Incarnation, target.Incarnation)
	if known, ok := target.allocations[claim.Run]; ok {
		added.confirmedAt, added.restarted, incarnation = known.confirmedAt, known.restarted, known.incarnation
	}
	target.allocate(claim.Run, added)
	added.incarnation = incarnation
	target.extendLease(now, LeaseClaimed)
	scheduler.recordRunResources(claim.Resources)
	if target.unreachable {
		scheduler.recordLoss(target, isolator.Silent, now)
	}
	scheduler.changedTargets[target.ID] = true
	scheduler.offerCapacity(target, now)
	return End{}, false
}

// answers reports whether the end is that of a claimed run. Its owner decides by the age of the end if it cannot be told.
func (recorded *recordedEnd) answers(claim *Claim, claimedAt time.Time) bool {
	if claim.Incarnation != 0 && recorded.Incarnation != 0 && recorded.Incarnation <= claim.Incarnation {
		// An incarnation never runs the same attempt again.
		return recorded.Incarnation == claim.Incarnation
	}
	// An end from before the start belongs to a run of an earlier submission, whose attempts had the same numbers.
	return !recorded.at.Before(claimedAt.Add(-maxClaimTransit))
}

// listsAfter reports whether the target has listed a run on a later incarnation than the given one.
func (target *target) listsAfter(run Run, incarnation int64) bool {
	allocation, ok := target.allocations[run]
	return ok && !allocation.confirmedAt.IsZero() && !allocation.restarted && allocation.incarnation > incarnation
}

// HandlePeerWithdrawal drops the claim of a run that does not occupy its target.
func (scheduler *Scheduler) HandlePeerWithdrawal(targetID string, run Run, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.releaseRun(target, run)
		scheduler.offerCapacity(target, now)
		scheduler.place(now)
	}
}

// recordRunResources updates the moving average of the processor capacity that a run claims.
func (scheduler *Scheduler) recordRunResources(resources Resources) {
	const smoothingDivisor = 16
	if scheduler.typicalMilliCores == 0 {
		scheduler.typicalMilliCores = resources.MilliCores
	}
	scheduler.typicalMilliCores += (resources.MilliCores - scheduler.typicalMilliCores) / smoothingDivisor
}

// HandlePeerStop requests the stop of a run once on behalf of an instance that got no answer from the target, and that goes on
// requesting it.
func (scheduler *Scheduler) HandlePeerStop(from, targetID string, run Run) {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return
	}
	if allocation, ok := target.allocations[run]; ok && allocation.owner != "" && allocation.owner != from {
		// The job has been sent again to the owner, whose attempts have the same numbers.
		return
	}
	if _, pending := scheduler.pendingStops[targetRun{targetID, run}]; !pending {
		scheduler.emit(StopRun{RunTarget: target.Target, Run: run, Reason: "requested by an instance that got no answer"})
	}
}

// HandlePeerDemand records the number of waiting tasks of another instance. Negative numbers count as zero.
func (scheduler *Scheduler) HandlePeerDemand(owner string, demand Demand) {
	for priority := range demand {
		demand[priority] = max(demand[priority], 0)
	}
	scheduler.peerDemands[owner] = demand
}

// RemovePeer drops the demand of a lost instance and its reports on shares. Its runs renew no leases.
func (scheduler *Scheduler) RemovePeer(owner string) {
	delete(scheduler.peerDemands, owner)
	for _, shares := range scheduler.arbiters {
		shares.RemovePeer(owner)
	}
	scheduler.loseContact(owner)
	for _, target := range scheduler.ordered {
		for _, allocation := range target.allocations {
			allocation.ownerLost = allocation.ownerLost || allocation.owner == owner
		}
	}
}

// Place starts the waiting tasks that fit; call it after changes reported by other instances.
func (scheduler *Scheduler) Place(now time.Time) { scheduler.place(now) }

// SetReader sets whether this instance is the reader of a target.
func (scheduler *Scheduler) SetReader(targetID string, reads bool, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok || target.readBySelf == reads {
		return
	}
	target.readBySelf, target.unreachableByReader = reads, false
	if reads {
		target.readSince, target.lastReport, target.lastReportAt = now, CapacityReport{}, time.Time{}
		if target.unreachable {
			// Another reader may have reported meanwhile that the target responds.
			target.unreachableSince, target.leaseAnnounced = now, false
			scheduler.changedTargets[targetID] = true
		}
		scheduler.takeOverCold(target, now)
		// The first poll shows what is running there.
		target.heldUntil = now.Add(rejectionBackoff)
		return
	}
	delete(scheduler.changedTargets, targetID)
	for run, allocation := range target.allocations {
		if allocation.owner != scheduler.self {
			scheduler.keepAwaited(target, run, allocation, now)
			target.releaseRun(run)
		}
	}
}

// Claims returns the claims of this instance's runs on targets that others read, to be sent to the readers again.
func (scheduler *Scheduler) Claims(now time.Time) []Claim {
	var claims []Claim
	for _, name := range slices.Sorted(maps.Keys(scheduler.tasks)) {
		if task := scheduler.tasks[name]; task.claimsRun() && !task.runTarget.readBySelf {
			claims = append(claims, task.claim(now))
		}
	}
	return claims
}

// claimsRun reports whether the claim of the latest run is repeated.
func (task *task) claimsRun() bool { return task.mayBeRunning() && task.state != uncertain }

// repeatOwnClaims repeats the claims of this instance's runs on the targets that it reads itself. Without a repeated claim, the
// reader of a target withholds its free capacity. Claims from before a pause are not repeated: callers may have given up the runs
// meanwhile and sent their jobs elsewhere.
func (scheduler *Scheduler) repeatOwnClaims(now time.Time) {
	for _, task := range scheduler.tasks {
		if !task.claimsRun() || !task.runTarget.readBySelf {
			continue
		}
		if allocation, ok := task.runTarget.allocations[task.run()]; ok && allocation.claimedAt.After(scheduler.resumedAt) {
			allocation.repeatedAt = now
		}
	}
}

// claim returns the claim of the latest run.
func (task *task) claim(now time.Time) Claim {
	claim := Claim{
		Target: task.runTarget.ID, Run: task.run(), Resources: task.spec().Resources, Estimate: task.spec().Estimate,
		Incarnation: task.incarnation, Age: now.Sub(task.startedAt),
	}
	if allocation, ok := task.runTarget.allocations[claim.Run]; ok {
		claim.Resources = allocation.resources
	}
	return claim
}

// CapacityReport is a reader's report of the free capacity of a target.
type CapacityReport struct {
	Target string
	// Incarnation is the incarnation of the target that the report is about; 0 if it has not answered yet.
	Incarnation int64
	// Reporter is the incarnation of the instance that sent the report; empty in reports of this instance.
	Reporter     string
	FreeCapacity Resources
	// Unreachable means that the target does not answer its reader, which has stopped renewing its lease.
	Unreachable bool
}

// DueReports returns reports for the targets whose free capacity differs from the last report. A report also shows the
// other instances that the target still has a reader.
func (scheduler *Scheduler) DueReports(now time.Time) []CapacityReport {
	var reports []CapacityReport
	for _, id := range slices.Sorted(maps.Keys(scheduler.changedTargets)) {
		target, ok := scheduler.targets[id]
		if ok && (scheduler.offered[id] || target.readBySelf && scheduler.withholdsReport(target)) {
			continue
		}
		delete(scheduler.changedTargets, id)
		if ok && target.readBySelf {
			if report := target.report(now); report != target.lastReport {
				target.lastReport, target.lastReportAt = report, now
				reports = append(reports, report)
			}
		}
	}
	return reports
}

// RenewalReport returns a report for a target whose lease was just renewed, if the last report is old.
func (scheduler *Scheduler) RenewalReport(targetID string, now time.Time) (CapacityReport, bool) {
	target, ok := scheduler.targets[targetID]
	if !ok || !target.readBySelf || scheduler.offered[targetID] || now.Sub(target.lastReportAt) < reportInterval || scheduler.withholdsReport(target) {
		return CapacityReport{}, false
	}
	target.lastReport, target.lastReportAt = target.report(now), now
	return target.lastReport, true
}
