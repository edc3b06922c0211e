package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Tick handles what is due by time: jobs out of time, runs that stand still, and tasks that may start again.
func (scheduler *Scheduler) Tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(scheduler.jobs)) {
		scheduler.tickJob(scheduler.jobs[id], now)
	}
	scheduler.place(now)
}

// NotePause notes that the instance itself stood still before now: news of renewed leases may wait to be read.
func (scheduler *Scheduler) NotePause(now time.Time) { scheduler.awake = now.Add(awakeTime) }

// awakeTime is how long after a pause no run is taken to be lost.
const awakeTime = 300 * time.Millisecond

// SetDomainSuspended keeps work back from the targets of a failure domain of which nothing is heard, or allows it again.
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

// NoteRenewal notes that an order that renews the lease of a target is about to be sent.
func (scheduler *Scheduler) NoteRenewal(targetID string, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		target.extendLease(now)
	}
}

// ExpireOffers offers room anew that the instance whose turn it was did not claim; it is due as often as a turn takes.
func (scheduler *Scheduler) ExpireOffers(now time.Time) {
	if len(scheduler.offered) > 0 {
		scheduler.nextTurns(now)
		scheduler.place(now)
	}
}

// Sweep drops what is out of date; it is due some times a second.
func (scheduler *Scheduler) Sweep(now time.Time) {
	for _, target := range scheduler.targets {
		scheduler.dropGhosts(target, now)
	}
	for id, at := range scheduler.answered {
		if now.Sub(at) >= answersKept {
			delete(scheduler.answered, id)
		}
	}
	for run, past := range scheduler.ended {
		if now.Sub(past.at) >= endsKept {
			delete(scheduler.ended, run)
		}
	}
}

func (scheduler *Scheduler) tickJob(job *job, now time.Time) {
	if !now.Before(job.Deadline) {
		scheduler.giveUp(job, dispatcher.ReasonDeadline, "the deadline has passed", now)
		return
	}
	if scheduler.refuseOverdue(job, now) {
		return
	}
	rate := scheduler.release(job.Service, now)
	for _, task := range job.tasks {
		switch task.state {
		case waiting, uncertain:
			least := time.Duration(float64(task.spec().Estimate) / rate.best)
			if now.Add(least).After(job.Deadline) {
				scheduler.giveUp(job, dispatcher.ReasonDeadline, "too little time is left for a task", now)
				return
			}
			if task.state == uncertain && !now.Before(task.notBefore) && !now.Before(task.on.leaseEnd) && !now.Before(scheduler.awake) {
				scheduler.restart(task, now)
			}
		case running:
			scheduler.tickRun(task, now)
		case blocked, starting, stopping, done:
		}
		if _, active := scheduler.jobs[job.ID]; !active {
			return
		}
	}
}

// tickRun starts a task anew whose run is lost, or stands still while another target could still be in time.
func (scheduler *Scheduler) tickRun(task *task, now time.Time) {
	missing := !task.missing.IsZero() && now.Sub(task.missing) >= missingTime
	// Nobody has renewed the lease that this instance knows of, so that the run has been ended by its target.
	lapsed := !now.Before(task.on.leaseEnd) && !now.Before(scheduler.awake)
	if missing || lapsed {
		scheduler.vacate(task.on, task.run())
		task.notBefore = time.Time{}
		scheduler.restart(task, now)
		return
	}
	overdue := time.Duration(float64(task.predicted)*stragglerFactor) + stragglerSlack
	if now.Sub(task.started) < overdue || task.restarts > 0 {
		return
	}
	if task.on.looked.Before(task.started.Add(task.predicted)) {
		// The run may have ended without anybody having seen it.
		return
	}
	task.avoid(task.on)
	candidates := scheduler.candidatesFor(task.spec().Resources, now)
	if best := scheduler.choose(task, candidates, now); best != nil {
		least := MaxStopDuration + startOverhead + best.predict(task.spec().Estimate)
		if now.Add(least).Before(task.job.Deadline) {
			task.state = stopping
			task.on.exclude(now)
			// The run is at least this slow; a target that is six times as slow ends few runs to learn from.
			task.on.speed.add(float64(task.spec().Estimate)/float64(now.Sub(task.started)), stragglerWeight)
			scheduler.act(StopRun{On: task.on.Target, Run: task.run(), Reason: "run stands still"})
		}
	}
}

// dropGhosts forgets the runs of which neither the target nor an instance tells any more.
func (scheduler *Scheduler) dropGhosts(target *target, now time.Time) {
	for run, occupant := range target.occupants {
		if occupant.owner == scheduler.self {
			if task := scheduler.tasks[run.Task]; task != nil && task.latest(target.ID, run) {
				continue
			}
		}
		latest := occupant.claimed
		for _, at := range []time.Time{occupant.confirmed, occupant.repeated} {
			if at.After(latest) {
				latest = at
			}
		}
		if now.Sub(latest) > claimTime {
			scheduler.vacate(target, run)
		}
	}
}

// StopOrphans asks to stop the runs on a target whose owner is not alive, or is not known for a while; alive reports
// whether an instance is heard of. Only the reader of the target calls it.
func (scheduler *Scheduler) StopOrphans(targetID string, alive func(owner string) bool, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return
	}
	for _, run := range sortedRuns(target.occupants) {
		occupant := target.occupants[run]
		switch {
		case occupant.confirmed.IsZero() || now.Sub(occupant.stopAsked) < orphanTime:
			continue
		case occupant.owner == scheduler.self:
			task, ok := scheduler.tasks[run.Task]
			if ok && task.latest(targetID, run) || now.Sub(occupant.claimed) < orphanTime {
				continue
			}
		case occupant.owner == "":
			if now.Sub(occupant.claimed) < orphanTime {
				continue
			}
		case alive(occupant.owner):
			continue
		}
		occupant.stopAsked = now
		scheduler.act(StopRun{On: target.Target, Run: run, Reason: "its instance is gone"})
	}
}

// sortedRuns returns the runs in one order, so that the same events lead to the same actions.
func sortedRuns(occupants map[Run]*occupant) []Run {
	return slices.SortedFunc(maps.Keys(occupants), func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// orphanTime is how long a run without a known owner is left alone: a live owner repeats its claim within it, and the
// caller of a dead one sends its job again only later.
const orphanTime = 2*ClaimRepeatInterval + 100*time.Millisecond

// TargetState describes what there is to look after on a target.
type TargetState struct {
	// Occupied tells whether any run is believed to be there, and Own whether an own one is.
	Occupied   bool
	HasOwnRuns bool
	// Unreachable tells that the target did not answer this instance lately, and Lost that it did not answer its reader.
	Unreachable         bool
	UnreachableByReader bool
	// LastHeard is when the target was last heard of.
	LastHeard time.Time
}

// TargetState returns what there is to look after on the target.
func (scheduler *Scheduler) TargetState(targetID string) TargetState {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return TargetState{}
	}
	state := TargetState{Occupied: len(target.occupants) > 0, Unreachable: target.unreachable, UnreachableByReader: target.lost, LastHeard: target.news}
	for _, occupant := range target.occupants {
		state.HasOwnRuns = state.HasOwnRuns || occupant.owner == scheduler.self
	}
	return state
}

// Owner returns the incarnation of the instance that started the run, empty if it is not known.
func (scheduler *Scheduler) Owner(targetID string, run Run) string {
	if target, ok := scheduler.targets[targetID]; ok {
		if occupant, ok := target.occupants[run]; ok {
			return occupant.owner
		}
	}
	return ""
}

// Target returns what is known of a target.
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
