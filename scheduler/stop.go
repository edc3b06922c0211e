package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minStopInterval is the time between two requests to stop a run, which doubles with each one that gets no answer up to
	// maxStopInterval: on a narrow link that is full, each further request delays the others.
	minStopInterval = 200 * time.Millisecond
	maxStopInterval = 400 * time.Millisecond
	// suspensionTransit is how long the message that suspends the renewals of a lease may be under way.
	suspensionTransit = 50 * time.Millisecond
	// MaxSuspension is how long a lease lasts at most once its renewals are suspended.
	MaxSuspension = LeaseDuration + leaseMargin + suspensionTransit
	// maxAcceptedStop is how long a run that its target lists may go on after the target has accepted its stop. After that, the
	// lease must end it.
	maxAcceptedStop = 600 * time.Millisecond
	// minListInterval is the time between two lists of a target that are requested to learn of the end of a run there, which
	// doubles with each list up to maxListInterval. If the end is not under way by then, a message has been lost.
	minListInterval = 50 * time.Millisecond
	maxListInterval = 400 * time.Millisecond
)

// EndEvidence is what showed that a run whose stop was accepted has ended.
type EndEvidence string

// Evidence for the end of a run. The values are used in logs.
const (
	// EndListed means that the target has listed the end.
	EndListed EndEvidence = "end"
	// EndOmitted means that the target has listed the run neither as running nor as ended since it accepted the stop.
	EndOmitted EndEvidence = "list"
	// EndLapsed means that the target's lease is over.
	EndLapsed EndEvidence = "lease"
	// EndRestarted means that the target has another incarnation, or is gone.
	EndRestarted EndEvidence = "restart"
)

// pendingStop describes a run that must end and is not known to have ended. A lease covers all runs of its target, so
// that it is renewed for the sake of other runs too: the run ends only by a stop request that the target carries out, or
// once no instance renews the lease.
type pendingStop struct {
	reason string
	// incarnation and address are those of the target that was last requested to stop the run; 0 if unknown.
	incarnation int64
	address     string
	// since is when the stop was first requested, and requestedAt when it was last requested.
	since       time.Time
	requestedAt time.Time
	// underWay counts the requests without a result, and failures those that got no answer.
	underWay int
	failures int
	// unwanted means that no job of this instance waits for the end of the run. Its caller may send the job again at any
	// time, to any instance.
	unwanted bool
	// lapsesAt is when the lease has ended after its renewals were suspended; zero while they are not.
	lapsesAt time.Time
	// acceptedAt is when the incarnation accepted the stop; zero if it has not. The run goes on until its end is known.
	acceptedAt time.Time
	// missing is the evidence of the first list after that without the run, at missingSince, and lists counts the lists.
	missing      EndEvidence
	missingSince time.Time
	lists        int
	// nextListAt is when another list is needed to learn of the end.
	nextListAt time.Time
}

// requestStop requests the stop of a run, and again until the run is known to have ended.
func (scheduler *Scheduler) requestStop(target *target, run Run, reason string, unwanted bool, now time.Time) {
	key := targetRun{target.ID, run}
	pending, ok := scheduler.pendingStops[key]
	if !ok {
		pending = &pendingStop{since: now}
		scheduler.pendingStops[key] = pending
	}
	if pending.isAccepted() && pending.incarnation == target.Incarnation && pending.address == target.Address {
		pending.unwanted = pending.unwanted || unwanted
		return
	}
	if pending.isAccepted() {
		pending.since, pending.acceptedAt, pending.missingSince = now, time.Time{}, time.Time{}
	}
	pending.reason, pending.requestedAt = reason, now
	pending.incarnation, pending.address = target.Incarnation, target.Address
	pending.underWay++
	stop := StopRun{RunTarget: target.Target, Run: run, Reason: reason, Repeated: pending.failures > 0}
	if allocation, ok := target.allocations[run]; ok && (allocation.owner == "" || allocation.ownerLost) {
		stop.ListedFor, stop.Disowned = now.Sub(allocation.claimedAt), len(allocation.disowned)
	}
	scheduler.emit(stop)
	if unwanted {
		pending.unwanted = true
		scheduler.suspendRenewals(key, pending, now)
	}
}

// recordStopResult records the result of a request to stop a run, and returns how many attempts without an answer count as
// evidence that the target does not respond. Those of repeated requests do not: they say nothing new about it.
func (scheduler *Scheduler) recordStopResult(key targetRun, stopped bool, now time.Time) int {
	pending, ok := scheduler.pendingStops[key]
	if !ok && stopped {
		// Another instance has asked for the request.
		if target, known := scheduler.targets[key.target]; known && target.allocations[key.run] != nil {
			pending = &pendingStop{since: now, incarnation: target.Incarnation, address: target.Address}
			scheduler.pendingStops[key] = pending
			scheduler.acceptStop(key, pending, now)
		}
		return 0
	}
	if !ok {
		return StopAttempts
	}
	pending.underWay = max(0, pending.underWay-1)
	switch {
	case stopped && pending.underWay == 0:
		scheduler.acceptStop(key, pending, now)
		return 0
	case stopped || pending.isAccepted():
		// The requests may have been for different incarnations.
		return 0
	}
	pending.failures++
	scheduler.suspendRenewals(key, pending, now)
	if pending.failures == 1 {
		scheduler.emit(RelayStop{Target: key.target, Run: key.run})
		return StopAttempts
	}
	return 0
}

func (pending *pendingStop) isAccepted() bool { return !pending.acceptedAt.IsZero() }

// acceptStop records that a target has accepted the stop of a run. The end of a run that the target has is listed within
// MaxStopDuration, unless the target is late.
func (scheduler *Scheduler) acceptStop(key targetRun, pending *pendingStop, now time.Time) {
	if pending.isAccepted() {
		return
	}
	scheduler.resumeRenewals(key, pending)
	pending.acceptedAt, pending.nextListAt, pending.failures = now, now, 0
	if target, ok := scheduler.targets[key.target]; ok {
		if allocation, ok := target.allocations[key.run]; ok && !allocation.confirmedAt.IsZero() {
			pending.nextListAt = now.Add(MaxStopDuration)
		}
	}
}

// NextList returns when a list of a target is needed to learn of the end of a run whose stop it has accepted, and false if
// there is no such run.
func (scheduler *Scheduler) NextList(targetID string) (time.Time, bool) {
	var next time.Time
	for key, pending := range scheduler.pendingStops {
		if key.target == targetID && pending.isAccepted() && pending.missingSince.IsZero() && (next.IsZero() || pending.nextListAt.Before(next)) {
			next = pending.nextListAt
		}
	}
	return next, !next.IsZero()
}

// HandleStopList processes a list that was requested to learn of the ends of stopped runs.
func (scheduler *Scheduler) HandleStopList(targetID string, poll PollResult) {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return
	}
	isKnown := func(run Run) bool {
		_, ending := scheduler.pendingStops[targetRun{targetID, run}]
		return ending || target.allocations[run] != nil
	}
	if !target.readBySelf {
		// Only the reader keeps track of the runs of others.
		poll.Running = slices.DeleteFunc(poll.Running, func(active ActiveRun) bool { return !isKnown(active.Run) })
	}
	if !scheduler.HandlePoll(targetID, poll) || target.readBySelf {
		// The reader's poller processes and acknowledges the ends.
		return
	}
	for _, end := range poll.Ended {
		if isKnown(end.Run) {
			end.Incarnation = poll.Incarnation
			scheduler.HandleEnd(targetID, end, poll.Answered)
		}
	}
}

// settleStops ends the waits for runs that a target does not list although it was asked after it had accepted their stops.
func (scheduler *Scheduler) settleStops(target *target, poll *PollResult) {
	if len(scheduler.pendingStops) == 0 {
		return
	}
	now := poll.Answered
	for _, key := range scheduler.stopsOn(target.ID) {
		pending := scheduler.pendingStops[key]
		restarted := poll.Incarnation != 0 && poll.Incarnation != pending.incarnation
		isRunning := poll.listsRunning(key.run)
		switch {
		case !pending.isAccepted() || poll.Sent.Before(pending.acceptedAt):
		case isRunning && restarted:
			scheduler.requestStop(target, key.run, pending.reason, pending.unwanted, now)
		case isRunning || poll.listsEnd(key.run):
			pending.nextListAt = now.Add(min(minListInterval<<min(pending.lists, 8), maxListInterval))
			pending.lists++
			pending.missingSince = time.Time{}
		default:
			evidence := EndOmitted
			if restarted {
				evidence = EndRestarted
			}
			pending.recordMissing(evidence, now)
			if allocation, ok := target.allocations[key.run]; ok && allocation.owner == scheduler.self && allocation.mayHaveBegun() && !(target.readBySelf && now.Sub(target.readSince) >= missingTimeout) {
				continue // Another reader may have acknowledged the end and sent it.
			}
			scheduler.settleStop(key, pending.missing, now)
		}
	}
}

// recordMissing records that a run may no longer be on its target. Its end may be under way from another instance.
func (pending *pendingStop) recordMissing(evidence EndEvidence, now time.Time) {
	if pending.missingSince.IsZero() {
		pending.missing, pending.missingSince = evidence, now
	}
}

// recordRestartOfStopped records that another incarnation of a target than that which accepted stops has answered.
func (scheduler *Scheduler) recordRestartOfStopped(target *target, now time.Time) {
	for _, key := range scheduler.stopsOn(target.ID) {
		if pending := scheduler.pendingStops[key]; pending.isAccepted() && pending.incarnation != target.Incarnation {
			pending.recordMissing(EndRestarted, now)
		}
	}
}

// stopsOn returns the runs on a target that must end, in a fixed order.
func (scheduler *Scheduler) stopsOn(targetID string) []targetRun {
	var stops []targetRun
	for key := range scheduler.pendingStops {
		if key.target == targetID {
			stops = append(stops, key)
		}
	}
	slices.SortFunc(stops, compareTargetRuns)
	return stops
}

// settleStop ends the wait for a run that is known to have ended: its capacity is free, and its task may start again.
func (scheduler *Scheduler) settleStop(key targetRun, evidence EndEvidence, now time.Time) {
	scheduler.forgetStop(key)
	if target, ok := scheduler.targets[key.target]; ok && scheduler.releaseRun(target, key.run) != nil {
		scheduler.emit(WithdrawClaim{Target: key.target, Run: key.run})
	}
	if task, ok := scheduler.tasks[key.run.Task]; ok && task.latest(key.target, key.run) && (task.state == stopping || task.state == uncertain) {
		scheduler.requeueStopped(task, evidence, now)
	}
}

// requeueStopped queues a task again whose run was stopped and is known to have ended.
func (scheduler *Scheduler) requeueStopped(task *task, evidence EndEvidence, now time.Time) {
	task.endEvidence = evidence
	scheduler.requeueLost(task, LossStopped, now)
}

// suspendRenewals lets the lease of a target lapse that does not answer the request to stop an unwanted run. The caller of
// the run's job sends the job again some time after it has got no answer; by then the run must have ended.
func (scheduler *Scheduler) suspendRenewals(key targetRun, pending *pendingStop, now time.Time) {
	target, ok := scheduler.targets[key.target]
	if !ok || !pending.isOverdue(target.allocations[key.run], now) && (!pending.unwanted || pending.failures == 0) || !pending.lapsesAt.IsZero() {
		return
	}
	pending.lapsesAt = now.Add(MaxSuspension)
	suspension := Suspension{Target: key.target, Incarnation: target.Incarnation, Run: key.run, Until: pending.lapsesAt}
	scheduler.applySuspension(scheduler.self, suspension, now)
	scheduler.emit(SuspendRenewals{Suspension: suspension})
}

// isOverdue reports whether the target has not carried out a stop that it accepted.
func (pending *pendingStop) isOverdue(allocation *allocation, now time.Time) bool {
	return pending.isAccepted() && now.Sub(pending.acceptedAt) >= maxAcceptedStop && allocation != nil && allocation.confirmedAt.Sub(pending.acceptedAt) > MaxStopDuration
}

// forgetStop forgets that a run must end, because it has ended or was never there.
func (scheduler *Scheduler) forgetStop(key targetRun) {
	pending, ok := scheduler.pendingStops[key]
	if !ok {
		return
	}
	delete(scheduler.pendingStops, key)
	scheduler.resumeRenewals(key, pending)
}

// resumeRenewals ends the suspension of renewals for a run that must end.
func (scheduler *Scheduler) resumeRenewals(key targetRun, pending *pendingStop) {
	if !pending.lapsesAt.IsZero() {
		pending.lapsesAt = time.Time{}
		suspension := Suspension{Target: key.target, Run: key.run}
		scheduler.applySuspension(scheduler.self, suspension, time.Time{})
		scheduler.emit(SuspendRenewals{Suspension: suspension})
	}
}

// repeatStops requests the stop of runs again that may still go on, and forgets those that have lapsed.
func (scheduler *Scheduler) repeatStops(now time.Time) {
	if len(scheduler.pendingStops) == 0 {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(scheduler.pendingStops), compareTargetRuns) {
		pending := scheduler.pendingStops[key]
		target, ok := scheduler.targets[key.target]
		if pending.isAccepted() && ok {
			scheduler.checkAcceptedStop(target, key, pending, now)
			continue
		}
		if !ok || now.Sub(pending.since) >= maxRequestDelay || scheduler.stopLapsed(target, key.run, pending, now) {
			scheduler.forgetStop(key)
			continue
		}
		interval := maxStopInterval
		if !target.unreachable && !target.unreachableByReader {
			interval = min(minStopInterval<<min(max(0, pending.failures-1), 8), maxStopInterval)
		}
		if pending.underWay == 0 && now.Sub(pending.requestedAt) >= interval {
			scheduler.requestStop(target, key.run, pending.reason, false, now)
		}
	}
}

// checkAcceptedStop handles the time that has passed since a target accepted the stop of a run.
func (scheduler *Scheduler) checkAcceptedStop(target *target, key targetRun, pending *pendingStop, now time.Time) {
	switch {
	case !pending.missingSince.IsZero() && now.Sub(pending.missingSince) >= missingTimeout:
		scheduler.settleStop(key, pending.missing, now)
	case scheduler.stopLapsed(target, key.run, pending, now):
		scheduler.settleStop(key, EndLapsed, now)
	case now.Sub(pending.acceptedAt) >= maxRequestDelay:
		scheduler.forgetStop(key)
	default:
		scheduler.suspendRenewals(key, pending, now)
	}
}

// stopLapsed reports whether a run that must end has lapsed with its target's lease. It suspends the renewals again if the
// target has listed the run too late for that.
func (scheduler *Scheduler) stopLapsed(target *target, run Run, pending *pendingStop, now time.Time) bool {
	if now.Before(scheduler.lossDetectionFrom) {
		return false
	}
	if pending.lapsesAt.IsZero() {
		return !now.Before(pending.since.Add(LeaseDuration+leaseMargin)) && scheduler.leaseIsOver(target, now)
	}
	if now.Before(pending.lapsesAt) {
		return false
	}
	if allocation, ok := target.allocations[run]; ok && allocation.confirmedAt.After(pending.lapsesAt.Add(-leaseMargin)) {
		pending.lapsesAt = time.Time{}
		scheduler.suspendRenewals(targetRun{target.ID, run}, pending, now)
		return false
	}
	return true
}

// HandlePeerSuspension suspends the renewals of a target's lease for another instance, or resumes them if Until is zero.
func (scheduler *Scheduler) HandlePeerSuspension(origin string, suspension Suspension, now time.Time) {
	scheduler.applySuspension(origin, suspension, now)
	scheduler.place(now)
}

// Suspensions returns the suspensions of this instance, for an instance that may have missed them.
func (scheduler *Scheduler) Suspensions() []Suspension {
	var suspensions []Suspension
	for key, suspension := range scheduler.suspensions {
		if key.origin == scheduler.self {
			suspensions = append(suspensions, suspension)
		}
	}
	return suspensions
}

// suspensionKey identifies the suspension of an instance.
type suspensionKey struct {
	origin string
	targetRun
}

// applySuspension records or removes a suspension.
func (scheduler *Scheduler) applySuspension(origin string, suspension Suspension, now time.Time) {
	key := suspensionKey{origin, targetRun{suspension.Target, suspension.Run}}
	if suspension.Until.After(now) {
		scheduler.suspensions[key] = suspension
	} else {
		delete(scheduler.suspensions, key)
	}
	scheduler.updateSuspended(suspension.Target)
}

// updateSuspended updates until when renewals of a target's lease are suspended.
func (scheduler *Scheduler) updateSuspended(targetID string) {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return
	}
	target.unrenewedUntil = time.Time{}
	for key, suspension := range scheduler.suspensions {
		// A later incarnation does not have the run.
		if key.target == targetID && suspension.Incarnation >= target.Incarnation && suspension.Until.After(target.unrenewedUntil) {
			target.unrenewedUntil = suspension.Until
		}
	}
}

// expireSuspensions removes the suspensions that are over.
func (scheduler *Scheduler) expireSuspensions(now time.Time) {
	maps.DeleteFunc(scheduler.suspensions, func(_ suspensionKey, suspension Suspension) bool { return !now.Before(suspension.Until) })
}

// mayStillRun reports whether a run of an earlier submission of a task goes on until its target's lease has ended.
func (scheduler *Scheduler) mayStillRun(task string, now time.Time) bool {
	for key, suspension := range scheduler.suspensions {
		if target, ok := scheduler.targets[key.target]; ok && key.run.Task == task && now.Before(suspension.Until) && suspension.Incarnation >= target.Incarnation {
			return true
		}
	}
	return false
}

func compareTargetRuns(a, b targetRun) int {
	return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.run.Task, b.run.Task), cmp.Compare(a.run.Attempt, b.run.Attempt))
}
