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
)

// pendingStop describes a run that must end and is not known to have ended. A lease covers all runs of its target, so
// that it is renewed for the sake of other runs too: the run ends only by a stop request that the target carries out, or
// once no instance renews the lease.
type pendingStop struct {
	reason string
	// incarnation is the incarnation of the target that was last requested to stop the run; 0 if unknown.
	incarnation int64
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
}

// requestStop requests the stop of a run, and again until the run is known to have ended.
func (scheduler *Scheduler) requestStop(target *target, run Run, reason string, unwanted bool, now time.Time) {
	key := targetRun{target.ID, run}
	pending, ok := scheduler.pendingStops[key]
	if !ok {
		pending = &pendingStop{since: now}
		scheduler.pendingStops[key] = pending
	}
	pending.reason, pending.incarnation, pending.requestedAt = reason, target.Incarnation, now
	pending.underWay++
	scheduler.emit(StopRun{RunTarget: target.Target, Run: run, Reason: reason, Repeated: pending.failures > 0})
	if unwanted {
		pending.unwanted = true
		scheduler.suspendRenewals(key, pending, now)
	}
}

// recordStopResult records the result of a request to stop a run, and returns how many attempts without an answer count as
// evidence that the target does not respond. Those of repeated requests do not: they say nothing new about it.
func (scheduler *Scheduler) recordStopResult(key targetRun, stopped bool, now time.Time) int {
	pending, ok := scheduler.pendingStops[key]
	if !ok {
		return StopAttempts
	}
	pending.underWay = max(0, pending.underWay-1)
	if stopped {
		scheduler.forgetStop(key)
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

// suspendRenewals lets the lease of a target lapse that does not answer the request to stop an unwanted run. The caller of
// the run's job sends the job again some time after it has got no answer; by then the run must have ended.
func (scheduler *Scheduler) suspendRenewals(key targetRun, pending *pendingStop, now time.Time) {
	target, ok := scheduler.targets[key.target]
	if !ok || !pending.unwanted || pending.failures == 0 || !pending.lapsesAt.IsZero() {
		return
	}
	pending.lapsesAt = now.Add(MaxSuspension)
	suspension := Suspension{Target: key.target, Incarnation: target.Incarnation, Run: key.run, Until: pending.lapsesAt}
	scheduler.applySuspension(scheduler.self, suspension, now)
	scheduler.emit(SuspendRenewals{Suspension: suspension})
}

// forgetStop forgets that a run must end, because it has ended or was never there.
func (scheduler *Scheduler) forgetStop(key targetRun) {
	pending, ok := scheduler.pendingStops[key]
	if !ok {
		return
	}
	delete(scheduler.pendingStops, key)
	if !pending.lapsesAt.IsZero() {
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
