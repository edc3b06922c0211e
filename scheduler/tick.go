package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick handles expired deadlines, lost runs and stragglers, and tasks that may start again.
func (scheduler *Scheduler) Tick(now time.Time) {
	scheduler.repeatStops(now)
	scheduler.endColdPeriods(now)
	for _, id := range slices.Sorted(maps.Keys(scheduler.jobs)) {
		job := scheduler.jobs[id]
		scheduler.checkJob(job, now)
		scheduler.announceJob(job, now)
	}
	scheduler.place(now)
}

// RecordPause records that this instance was paused until now; messages about renewed leases, and that a caller has left, may
// still be unread.
func (scheduler *Scheduler) RecordPause(now time.Time) {
	scheduler.resumedAt, scheduler.lossDetectionFrom = now, now.Add(pauseGrace)
}

// pauseGrace is how long after a pause no run is considered lost, and no task of an earlier job is started.
const pauseGrace = 300 * time.Millisecond

// mayBeAbandoned reports whether the caller of a job may have left during a pause of this instance that has just ended.
func (scheduler *Scheduler) mayBeAbandoned(job *job, now time.Time) bool {
	return now.Before(scheduler.lossDetectionFrom) && job.Arrived.Before(scheduler.resumedAt)
}

// Resuming reports whether a pause of this instance has ended so recently that what arrived during it may still be unread.
func (scheduler *Scheduler) Resuming(now time.Time) bool {
	return now.Before(scheduler.lossDetectionFrom)
}

// SetDomainSuspended blocks or allows new work on the targets of a failure domain; a domain is suspended while all of
// its instances are unresponsive.
func (scheduler *Scheduler) SetDomainSuspended(domain string, suspended bool) {
	if suspended {
		scheduler.suspended[domain] = true
	} else {
		delete(scheduler.suspended, domain)
	}
	for _, target := range scheduler.targets {
		if target.Domain == domain {
			target.suspended = suspended
		}
	}
}

// SetUsed sets whether this instance may start runs on a target. Runs that are there continue.
func (scheduler *Scheduler) SetUsed(targetID string, used bool) {
	if target, ok := scheduler.targets[targetID]; ok {
		target.unused = !used
	}
}

// ExpireOffers offers capacity again that was not claimed within offerTimeout; call it at about that interval.
func (scheduler *Scheduler) ExpireOffers(now time.Time) {
	if len(scheduler.offered) > 0 {
		scheduler.repeatExpiredOffers(now)
		scheduler.place(now)
	}
}

// Sweep removes stale claims, completed jobs and recorded ends; call it a few times a second.
func (scheduler *Scheduler) Sweep(now time.Time) {
	scheduler.repeatStops(now)
	scheduler.repeatOwnClaims(now)
	scheduler.expireSuspensions(now)
	scheduler.expirePendingEntries(now)
	scheduler.expireCancellations(now)
	scheduler.isolator.Expire(now)
	scheduler.shareLastingLosses(now)
	scheduler.expireLateStarts(now)
	scheduler.expireLostContacts(now)
	scheduler.expireOwnerless(now)
	scheduler.expireKeptReports(now)
	scheduler.repeatEvacuationReports(now)
	scheduler.repeatColdReports(now)
	for _, target := range scheduler.ordered {
		if len(target.allocations) > 0 {
			scheduler.announceLeaseEnd(target, now)
			scheduler.dropStaleAllocations(target, now)
		}
	}
	for id, at := range scheduler.completedAt {
		if now.Sub(at) >= completedRetention {
			delete(scheduler.completedAt, id)
		}
	}
	for run, recorded := range scheduler.foreignEnds {
		if now.Sub(recorded.at) >= endRetention {
			delete(scheduler.foreignEnds, run)
		}
	}
}

func (scheduler *Scheduler) checkJob(job *job, now time.Time) {
	if !now.Before(job.Deadline) {
		reason, detail := job.deadlineReason("the deadline has passed")
		scheduler.abort(job, reason, detail, now)
		return
	}
	if scheduler.refuseOverdue(job, now) || job.suspected && scheduler.giveUpSuspected(job, now) {
		return
	}
	rate := scheduler.releaseRateOf(job.Service, now)
	for _, task := range job.tasks {
		switch {
		case task.state == waiting, task.state == uncertain, task.state == stopping && !task.stopAcceptedAt.IsZero():
			minRunTime := time.Duration(float64(task.spec().Estimate) / rate.bestSpeed)
			if now.Add(minRunTime).After(job.Deadline) {
				reason, detail := job.deadlineReason("too little time is left for a task")
				scheduler.abort(job, reason, detail, now)
				return
			}
			if task.state == uncertain && !now.Before(task.uncertainUntil) && scheduler.leaseIsOver(task.runTarget, now) {
				scheduler.requeueLost(task, LossUnanswered, now)
			}
		case task.state == running:
			scheduler.checkRun(task, now)
		}
		if _, active := scheduler.jobs[job.ID]; !active {
			return
		}
	}
}

// checkRun queues a task again whose run is lost, and stops a straggler if another target could still meet the
// deadline.
func (scheduler *Scheduler) checkRun(task *task, now time.Time) {
	missing := !task.missingSince.IsZero() && now.Sub(task.missingSince) >= missingTimeout
	// No renewal of the lease is known, so the target has ended the run.
	lapsed := scheduler.leaseIsOver(task.runTarget, now)
	if missing || lapsed {
		scheduler.releaseRun(task.runTarget, task.run())
		reason := LossLapsed
		if missing {
			reason = LossMissing
		}
		scheduler.requeueLost(task, reason, now)
		return
	}
	overdue := time.Duration(float64(task.predicted)*stragglerFactor) + stragglerSlack
	if now.Sub(task.startedAt) < overdue || task.restarts > 0 || scheduler.outstandingFor(task.runTarget.ID, task.run(), now) > 0 {
		return
	}
	if task.runTarget.lastPolled.Before(task.startedAt.Add(task.predicted)) {
		// The run may have ended since the target was last polled.
		return
	}
	task.avoid(task.runTarget)
	candidates := scheduler.candidatesFor(task.spec().Resources, now)
	if best := scheduler.chooseTarget(task, candidates, now); best != nil {
		minTime := MaxStopDuration + startOverhead + best.predict(task.spec().Estimate)
		if now.Add(minTime).Before(task.job.Deadline) {
			task.state = stopping
			task.runTarget.exclude(now)
			// The run takes at least this long. A target that is six times too slow ends too few runs to learn its
			// speed from them alone.
			task.runTarget.speed.add(float64(task.spec().Estimate)/float64(now.Sub(task.startedAt)), stragglerWeight)
			scheduler.requestStop(task.runTarget, task.run(), "run is a straggler", false, now)
		}
	}
}

// dropStaleAllocations drops the runs that neither the target nor their owner has mentioned for claimTTL.
func (scheduler *Scheduler) dropStaleAllocations(target *target, now time.Time) {
	for run, allocation := range target.allocations {
		if allocation.owner == scheduler.self {
			if task := scheduler.tasks[run.Task]; task != nil && task.latest(target.ID, run) && (task.state != done || scheduler.endsLatestRun(task)) {
				continue
			}
		}
		latest := allocation.claimedAt
		for _, at := range []time.Time{allocation.confirmedAt, allocation.repeatedAt} {
			if at.After(latest) {
				latest = at
			}
		}
		if now.Sub(latest) > claimTTL {
			scheduler.releaseRun(target, run)
		}
	}
}

// sortedRuns returns the runs in a fixed order, so that the same events lead to the same actions.
func sortedRuns(allocations map[Run]*allocation) []Run {
	return slices.SortedFunc(maps.Keys(allocations), func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// TargetState is the state of a target that its poller uses.
type TargetState struct {
	// IncarnationSince is when the latest incarnation of the target became known.
	IncarnationSince time.Time
	// Occupied reports whether any run is assumed to occupy the target, and HasOwnRuns whether a run of this instance
	// does.
	Occupied   bool
	HasOwnRuns bool
	// WantedUntil is until when a run of a known owner needs the target's lease, and UnrenewedUntil until when the lease
	// must not be renewed all the same.
	WantedUntil    time.Time
	UnrenewedUntil time.Time
	// Unverified means that the target has restarted, and that it is not known whether a run of this instance goes on.
	Unverified bool
	// Unguarded means that the target is known to have restarted and has not answered a request of this instance that names its
	// present incarnation.
	Unguarded bool
	// Outstanding is 0 unless the target's host refuses connections and its next incarnation may carry out a start of this instance.
	// It is the number of such targets.
	Outstanding int
	// Refusing is 0 unless the target's host refuses connections and this instance reads the target. It is the number of such targets.
	Refusing int
	// DelayedUntil is until when the target's next incarnation may carry out starts that were sent before the target was found not to
	// answer.
	DelayedUntil time.Time
	// Watched is 0 unless this instance reads the target, which is idle, and the target has restarted or starts on any target get no
	// answer at present. It is the number of targets that this instance reads.
	Watched int
	// WatchedUntil is until when a start that was sent to the idle target may still be carried out.
	WatchedUntil time.Time
	// Awaited means that a task of this instance waits for the end of a run there that no live instance owns.
	Awaited bool
	// Contradicted means that an entry contradicts what the target has answered, so that it has to answer again.
	Contradicted bool
	// Fenced means that the target has refused a request since it has seen one for a later incarnation, and has not answered
	// a poll since.
	Fenced bool
	// Unreachable means that the target did not answer this instance, and UnreachableByReader that it did not answer
	// its reader.
	Unreachable         bool
	UnreachableByReader bool
	// UnreachableSince is when the target was last found not to answer this instance, or when this instance became its reader
	// meanwhile; zero if it never was.
	UnreachableSince time.Time
	// ReadSince is when this instance became the reader of the target; zero if it has never been.
	ReadSince time.Time
	// Resumed means that this instance was paused and has not heard any other one since, which may read the target by now.
	Resumed bool
	// ReadByOther means that another instance reads the target, which alone renews the lease by polls.
	ReadByOther bool
	// LastHeard is the time of the target's last known response.
	LastHeard time.Time
}

// MayRenew reports whether a poll may renew the target's lease.
func (state *TargetState) MayRenew(now time.Time) bool {
	return now.Before(state.WantedUntil) && !now.Before(state.UnrenewedUntil) && !state.Unreachable && !state.UnreachableByReader && !state.ReadByOther && !state.Resumed
}

// TargetState returns the state of the target for its poller.
func (scheduler *Scheduler) TargetState(targetID string) TargetState {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return TargetState{}
	}
	state := TargetState{
		IncarnationSince: target.incarnationSince, Occupied: len(target.allocations) > 0,
		Unreachable: target.unreachable, UnreachableByReader: target.unreachableByReader, UnreachableSince: target.unreachableSince, LastHeard: target.lastHeard,
		WantedUntil: scheduler.wantedUntil(target), UnrenewedUntil: target.unrenewedUntil,
		Contradicted: target.pending != nil, Fenced: !target.fencedAt.IsZero(), ReadByOther: target.readerContact != nil, ReadSince: target.readSince,
		Resumed: scheduler.hasHeardNoneSince(scheduler.resumedAt), Awaited: scheduler.awaitsEndOn(targetID),
	}
	state.Unguarded = !target.restartedAt.IsZero() && target.guarded != target.Incarnation
	if target.refusing && scheduler.hasOutstanding(targetID) {
		state.Outstanding = scheduler.outstandingTargets()
	}
	if target.refusing && target.readBySelf {
		state.Refusing, state.DelayedUntil = scheduler.refusingTargets(), target.unreachableSince.Add(maxRequestDelay)
	}
	if target.readBySelf && !state.Occupied && (scheduler.OutstandingStarts() > 0 || !target.restartedAt.IsZero()) {
		state.Watched, state.WatchedUntil = scheduler.readTargets(), target.delayedUntil
	}
	for _, allocation := range target.allocations {
		if allocation.owner == scheduler.self {
			state.HasOwnRuns = true
			state.Unverified = state.Unverified || allocation.restarted
		}
	}
	return state
}

// Owner returns the incarnation of the instance that started the run, or an empty string if unknown.
func (scheduler *Scheduler) Owner(targetID string, run Run) string {
	if target, ok := scheduler.targets[targetID]; ok {
		if allocation, ok := target.allocations[run]; ok {
			return allocation.owner
		}
	}
	return ""
}

// Target returns the description of a known target.
func (scheduler *Scheduler) Target(targetID string) (Target, bool) {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return Target{}, false
	}
	return target.Target, true
}

// Targets returns the IDs of all known targets.
func (scheduler *Scheduler) Targets() []string {
	ids := make([]string, 0, len(scheduler.targets))
	for id := range scheduler.targets {
		ids = append(ids, id)
	}
	return ids
}
