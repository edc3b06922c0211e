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
		task.job.started = true
	}
	switch result {
	case StartTaken:
		scheduler.startTaken(target, task, current, run, now)
	case StartUnanswered:
		if target != nil {
			target.heldUntil = now.Add(unansweredPause)
			scheduler.act(StopRun{On: target.Target, Run: run, Reason: "start was not answered"})
		}
		if current {
			task.state = stopping
			task.avoid(task.on)
		}
	case StartNoRoom, StartStale, StartLate, StartRefused, StartImpossible, StartUnsent:
		scheduler.startRejected(target, run, result, now)
		if current {
			scheduler.retryStart(task, result, now)
		}
	}
	scheduler.place(now)
}

func (scheduler *Scheduler) startTaken(target *target, task *task, current bool, run Run, now time.Time) {
	if target != nil {
		target.news = now
		target.unreachable = false
		if occupant, ok := target.occupants[run]; ok {
			occupant.confirmed = now
		}
	}
	switch {
	case current:
		task.state = running
	case target != nil && (task == nil || !task.latest(target.ID, run) || task.state == waiting):
		// The job was given up while the order was on its way.
		scheduler.act(StopRun{On: target.Target, Run: run, Reason: "job was given up"})
	}
}

// startRejected corrects what is believed of a target that did not take a run.
func (scheduler *Scheduler) startRejected(target *target, run Run, result StartResult, now time.Time) {
	if target == nil {
		return
	}
	scheduler.vacate(target, run)
	scheduler.act(WithdrawClaim{Target: target.ID, Run: run})
	switch result {
	case StartNoRoom:
		target.news = now
		scheduler.noRoom(target, now)
	case StartRefused:
		target.exclude(now)
		target.news = now
	case StartUnsent:
		scheduler.setUnreachable(target)
	case StartTaken, StartStale, StartLate, StartImpossible, StartUnanswered:
	}
}

// noRoom corrects the room of a target that has rejected a run: a report that said otherwise is void until the next
// one, and a reader waits for the claim of the run that came first.
func (scheduler *Scheduler) noRoom(target *target, now time.Time) {
	if target.reader || target.reportedAt.IsZero() {
		target.heldUntil = now.Add(rejectedPause)
		return
	}
	target.reported = Resources{}
}

// rejectedPause keeps work back from a target without room until the next end is likely to be known.
const rejectedPause = 15 * time.Millisecond

// unansweredPause keeps work back from a target that left a start unanswered until it is known whether it answers the
// order to stop.
const unansweredPause = 200 * time.Millisecond

// retryStart puts a task back into the queue after a rejection.
func (scheduler *Scheduler) retryStart(task *task, result StartResult, now time.Time) {
	switch result {
	case StartImpossible:
		task.avoid(task.on)
		if len(task.avoided) >= task.job.MaxFailures {
			scheduler.finish(task.job, dispatcher.NewFailed("targets hold the task to be wrong", nil), "task is wrong", now)
			return
		}
	case StartStale, StartRefused, StartUnsent:
		task.avoid(task.on)
	case StartTaken, StartNoRoom, StartLate, StartUnanswered:
	}
	scheduler.enqueue(task)
	scheduler.refuseOverdue(task.job, now)
}

// refuseOverdue gives a job up that has waited for its first start as long as it may, and reports whether it did.
func (scheduler *Scheduler) refuseOverdue(job *job, now time.Time) bool {
	if now.Before(job.giveUp) || !job.untouched() {
		return false
	}
	scheduler.giveUp(job, dispatcher.ReasonOverload, "no room in time", now)
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
		scheduler.restart(task, now)
		return
	}
	task.state = uncertain
	// An order is void after the lease that it asked for, which began when it was sent.
	task.notBefore = task.started.Add(LeaseDuration + leaseSlack)
	scheduler.act(RelayStop{Target: targetID, Run: run})
}

// restart queues a task anew whose run was lost or stopped.
func (scheduler *Scheduler) restart(task *task, now time.Time) {
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
			target.news = now
		}
		occupant := scheduler.vacate(target, end.Run)
		if occupant != nil {
			target.noteEnd(end.Run, occupant, end.Cause, now)
		}
		if target.reader {
			if occupant == nil || occupant.owner != scheduler.self {
				scheduler.ended[targetRun{targetID, end.Run}] = pastEnd{end, now}
			}
			scheduler.offer(target, now)
		}
	}
	if task, ok := scheduler.tasks[end.Run.Task]; ok {
		scheduler.taskEnded(task, targetID, end, now)
	}
	scheduler.place(now)
}

// vacate frees the room of a run and returns what was known of it, or nil.
func (scheduler *Scheduler) vacate(target *target, run Run) *occupant {
	occupant := target.vacate(run)
	if occupant != nil && target.reader {
		scheduler.changed[target.ID] = true
	}
	return occupant
}

func (scheduler *Scheduler) taskEnded(task *task, targetID string, end End, now time.Time) {
	if end.Cause != NeverRan {
		task.job.started = true
	}
	own := task.latest(targetID, end.Run)
	latest := own && task.occupies()
	switch {
	case end.Cause == Done && task.state != done:
		if task.occupies() && !latest {
			scheduler.act(StopRun{On: task.on.Target, Run: task.run(), Reason: "an earlier run is done"})
		}
		scheduler.taskDone(task, now)
	case !latest && task.state == waiting && own:
		// The run that was ordered to stop has ended.
		task.notBefore = time.Time{}
	case !latest:
	case end.Cause == Failed:
		scheduler.taskFailed(task, now)
	case end.Cause == Stopped, end.Cause == Lapsed:
		task.notBefore = time.Time{}
		scheduler.restart(task, now)
	}
}

func (scheduler *Scheduler) taskDone(task *task, now time.Time) {
	job := task.job
	task.state = done
	scheduler.dequeue(task)
	job.open[task.step]--
	if job.finished() {
		scheduler.finish(job, dispatcher.NewComplete(nil), "", now)
		return
	}
	if job.open[task.step] > 0 {
		return
	}
	for _, other := range job.tasks {
		if other.state == blocked && job.ready(other.step) {
			scheduler.enqueue(other)
		}
	}
}

func (scheduler *Scheduler) taskFailed(task *task, now time.Time) {
	task.failures++
	task.avoid(task.on)
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
	target.news, target.looked = now, now
	if target.unreachable {
		target.unreachable = false
		scheduler.changed[targetID] = target.reader
	}
	if poll.Incarnation != 0 && poll.Incarnation > target.Incarnation {
		scheduler.restarted(target, poll.Incarnation, now)
	}
	listed := make(map[Run]bool, len(poll.Running)+len(poll.Ended))
	for _, active := range poll.Running {
		listed[active.Run] = true
		scheduler.rowSeen(target, active, now)
	}
	for _, end := range poll.Ended {
		listed[end.Run] = true
	}
	for run, occupant := range target.occupants {
		if !listed[run] && !occupant.confirmed.IsZero() && occupant.confirmed.Before(poll.Sent) {
			scheduler.notListed(target, run, occupant, now)
		}
	}
	scheduler.place(now)
}

func (scheduler *Scheduler) rowSeen(target *target, active ActiveRun, now time.Time) {
	known, ok := target.occupants[active.Run]
	if !ok {
		resources := Resources{MilliCores: active.MilliCores}
		if resources.MilliCores <= 0 {
			resources.MilliCores = unknownSize
		}
		known = &occupant{size: resources, claimed: now}
		target.occupy(active.Run, known)
		scheduler.changed[target.ID] = true
	}
	known.confirmed, known.missing = now, time.Time{}
	// Another instance may have renewed the lease just before.
	target.extendLease(now)
}

// notListed handles a run that its target does not list any more though it had it: its end was noted by another
// instance, or its lease has lapsed.
func (scheduler *Scheduler) notListed(target *target, run Run, occupant *occupant, now time.Time) {
	if occupant.missing.IsZero() {
		occupant.missing = now
		if task := scheduler.tasks[run.Task]; task != nil && task.latest(target.ID, run) && task.state == running {
			task.missing = now
			return
		}
	}
	if now.Sub(occupant.missing) >= missingTime || occupant.owner != scheduler.self {
		scheduler.vacate(target, run)
	}
}

// restarted drops what a former incarnation of the target ran.
func (scheduler *Scheduler) restarted(target *target, incarnation int64, now time.Time) {
	known := target.Incarnation != 0
	target.Incarnation = incarnation
	if !known {
		return
	}
	target.speed = learnedSpeed{}
	target.trial, target.streak, target.exclusions = false, 0, 0
	target.excludedUntil, target.heldUntil = time.Time{}, time.Time{}
	for _, run := range sortedRuns(target.occupants) {
		if target.occupants[run].confirmed.IsZero() {
			continue
		}
		scheduler.vacate(target, run)
		task := scheduler.tasks[run.Task]
		if task != nil && task.latest(target.ID, run) && task.occupies() && task.state != starting {
			task.notBefore = time.Time{}
			scheduler.restart(task, now)
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
	if target.reader {
		scheduler.changed[target.ID] = true
	}
}

// HandlePeerClaim takes the claim of another instance on a target that this one reads. It returns the end of the run if
// that is known already.
func (scheduler *Scheduler) HandlePeerClaim(owner string, claim Claim, now time.Time) (End, bool) {
	if past, ok := scheduler.ended[targetRun{claim.Target, claim.Run}]; ok {
		return past.End, true
	}
	target, ok := scheduler.targets[claim.Target]
	if !ok || !target.reader {
		return End{}, false
	}
	if known, ok := target.occupants[claim.Run]; ok && known.owner == owner {
		known.repeated = now
		return End{}, false
	}
	added := &occupant{owner: owner, size: claim.Resources, estimate: claim.Estimate, claimed: now, repeated: now}
	if known, ok := target.occupants[claim.Run]; ok {
		added.claimed, added.confirmed = known.claimed, known.confirmed
	}
	target.occupy(claim.Run, added)
	target.extendLease(now)
	scheduler.noteSize(claim.Resources)
	scheduler.changed[target.ID] = true
	scheduler.offer(target, now)
	return End{}, false
}

// HandlePeerWithdrawal takes that a claimed run does not occupy its target.
func (scheduler *Scheduler) HandlePeerWithdrawal(targetID string, run Run, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.vacate(target, run)
		scheduler.offer(target, now)
		scheduler.place(now)
	}
}

// noteSize learns the usual size of a run.
func (scheduler *Scheduler) noteSize(resources Resources) {
	const weight = 16
	if scheduler.usualSize == 0 {
		scheduler.usualSize = resources.MilliCores
	}
	scheduler.usualSize += (resources.MilliCores - scheduler.usualSize) / weight
}

// HandlePeerStop stops a run for an instance that cannot do it itself.
func (scheduler *Scheduler) HandlePeerStop(targetID string, run Run) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.act(StopRun{On: target.Target, Run: run, Reason: "its instance cannot reach the target"})
	}
}

// HandlePeerReport takes the room of a target from its reader, which says so if the target is lost to it.
func (scheduler *Scheduler) HandlePeerReport(report CapacityReport, now time.Time) {
	target, ok := scheduler.targets[report.Target]
	if !ok || target.reader {
		return
	}
	target.reported, target.reportedAt, target.lost = report.FreeCapacity, now, report.Unreachable
	if !report.Unreachable {
		target.news, target.looked = now, now
		target.extendLease(now.Add(renewalTime))
		return
	}
	// The reader has not renewed the lease since it lost the target.
	if end := now.Add(LeaseDuration + leaseSlack); end.Before(target.leaseEnd) {
		target.leaseEnd = end
	}
}

// HandlePeerDemand takes the waiting tasks of another instance.
func (scheduler *Scheduler) HandlePeerDemand(owner string, demand Demand) {
	scheduler.demands[owner] = demand
}

// RemovePeer forgets the waiting tasks of an instance that is not heard of any more.
func (scheduler *Scheduler) RemovePeer(owner string) { delete(scheduler.demands, owner) }

// Place starts what finds room after news of other instances.
func (scheduler *Scheduler) Place(now time.Time) { scheduler.place(now) }

// SetReader says whether this instance reads the ends of a target from now on.
func (scheduler *Scheduler) SetReader(targetID string, reads bool, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok || target.reader == reads {
		return
	}
	target.reader, target.lost = reads, false
	if reads {
		// The first look shows what runs there.
		target.heldUntil = now.Add(rejectedPause)
		return
	}
	delete(scheduler.changed, targetID)
	for run, occupant := range target.occupants {
		if occupant.owner != scheduler.self {
			target.vacate(run)
		}
	}
}

// Claims returns the claims of own runs, to be repeated to the readers of their targets.
func (scheduler *Scheduler) Claims() []Claim {
	var claims []Claim
	for _, name := range slices.Sorted(maps.Keys(scheduler.tasks)) {
		task := scheduler.tasks[name]
		if task.occupies() && task.state != uncertain && !task.on.reader {
			claims = append(claims, Claim{Target: task.on.ID, Run: task.run(), Resources: task.spec().Resources, Estimate: task.spec().Estimate})
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
	for _, id := range slices.Sorted(maps.Keys(scheduler.changed)) {
		target, ok := scheduler.targets[id]
		if ok && scheduler.offered[id] {
			continue
		}
		delete(scheduler.changed, id)
		if ok && target.reader {
			if report := target.report(now); report != target.told {
				target.told, target.toldAt = report, now
				reports = append(reports, report)
			}
		}
	}
	return reports
}

// RenewalReport returns the report of a target whose lease was renewed, if the last one is old.
func (scheduler *Scheduler) RenewalReport(targetID string, now time.Time) (CapacityReport, bool) {
	target, ok := scheduler.targets[targetID]
	if !ok || !target.reader || scheduler.offered[targetID] || now.Sub(target.toldAt) < reportTime {
		return CapacityReport{}, false
	}
	target.told, target.toldAt = target.report(now), now
	return target.told, true
}
