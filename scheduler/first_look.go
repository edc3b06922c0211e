package scheduler

import (
	"slices"
	"time"
)

// firstLook is the wait of an instance that has started together with all others. No instance remembers any run then, and a job that a
// caller sends again may have a run on a target that no instance has asked yet.
type firstLook struct {
	awaited bool
	// startedAt is when this instance started, and looksFrom when the instances begin to look at the targets.
	startedAt time.Time
	looksFrom time.Time
	// until is when the wait ends at the latest.
	until time.Time
}

// maxFirstLook bounds the wait for the first look: by then, the leases of all runs have ended that no instance has listed or renewed since
// this instance started.
const maxFirstLook = unknownRunTimeout

// FirstLookEnd is what ended the wait for the first look.
type FirstLookEnd string

// Ends of the wait for the first look. The values are used in logs.
const (
	// FirstLookComplete means that all targets that answer have been looked at.
	FirstLookComplete FirstLookEnd = "complete"
	// FirstLookJoined means that another instance has been running for longer than such a wait lasts.
	FirstLookJoined FirstLookEnd = "joined"
	// FirstLookExpired means that the wait lasted for as long as it may.
	FirstLookExpired FirstLookEnd = "expired"
)

// FirstLookEnded reports that tasks may start from now on.
type FirstLookEnded struct {
	End FirstLookEnd
	FirstLookProgress
	// Waiting is the number of tasks that wait to be started.
	Waiting int
}

func (FirstLookEnded) isAction() {}

// FirstLookProgress counts the known targets, those that no instance is known to have looked at, and among these the ones that do not answer.
type FirstLookProgress struct {
	Targets     int
	Unlooked    int
	Unreachable int
}

// AwaitFirstLook lets no task start until all targets that answer have been looked at, as an instance that has just started. looksFrom
// is when the instances begin to look at them at the earliest.
func (scheduler *Scheduler) AwaitFirstLook(startedAt, looksFrom time.Time) {
	scheduler.firstLook = firstLook{awaited: true, startedAt: startedAt, looksFrom: looksFrom, until: startedAt.Add(maxFirstLook)}
}

// AwaitsFirstLook reports whether no task starts since not all targets have been looked at.
func (scheduler *Scheduler) AwaitsFirstLook() bool { return scheduler.firstLook.awaited }

// CheckFirstLook ends the wait for the first look if it is over; oldestStart is the earliest start of the live instances that are
// known, including this one. An instance that has been running for longer than the wait lasts has ended its own.
func (scheduler *Scheduler) CheckFirstLook(oldestStart, now time.Time) {
	look := &scheduler.firstLook
	if !look.awaited {
		return
	}
	if until := oldestStart.Add(maxFirstLook); until.Before(look.until) {
		look.until = until
	}
	end, progress := FirstLookComplete, scheduler.FirstLookProgress()
	switch {
	case now.Before(look.until) && (progress.Targets == 0 || progress.Unlooked > progress.Unreachable):
		return
	case now.Before(look.until):
	case look.until.Before(look.startedAt.Add(maxFirstLook)):
		end = FirstLookJoined
	default:
		end = FirstLookExpired
	}
	look.awaited = false
	scheduler.emit(FirstLookEnded{End: end, FirstLookProgress: progress, Waiting: len(scheduler.queue)})
	for _, target := range scheduler.ordered {
		if target.readBySelf {
			scheduler.changedTargets[target.ID] = true
		}
	}
	scheduler.place(now)
}

// FirstLookProgress counts the targets that have not been looked at under their present incarnation.
func (scheduler *Scheduler) FirstLookProgress() FirstLookProgress {
	progress := FirstLookProgress{}
	for _, target := range scheduler.ordered {
		if target.replaced || !target.deletedAt.IsZero() {
			continue
		}
		progress.Targets++
		if !scheduler.isLookedAt(target) {
			progress.Unlooked++
			if target.unreachable || target.unreachableByReader {
				progress.Unreachable++
			}
		}
	}
	return progress
}

// isLookedAt reports whether the present incarnation of a target has answered a poll that names it, and the other instances know the
// runs without an owner that it listed then.
func (scheduler *Scheduler) isLookedAt(target *target) bool {
	if target.lookedAt != 0 && target.lookedAt == target.Incarnation {
		return true
	}
	if !target.readBySelf || !target.listedByReader() || target.guarded != target.Incarnation || scheduler.hasUnaskedRuns(target) {
		return false
	}
	target.lookedAt = target.Incarnation
	return true
}

// hasUnaskedRuns reports whether a target has listed a run without an owner for which some other instance may not have been asked.
func (scheduler *Scheduler) hasUnaskedRuns(target *target) bool {
	for _, allocation := range target.allocations {
		if allocation.owner != "" || allocation.confirmedAt.IsZero() {
			continue
		}
		if !scheduler.peers.Complete || slices.ContainsFunc(scheduler.peers.Answering, func(peer string) bool { return !allocation.disowned[peer] }) {
			return true
		}
	}
	return false
}

// recordPeerLook records that the reader of a target has looked at it, as its report shows.
func (target *target) recordPeerLook(report *CapacityReport) {
	if report.Unreachable || report.Incarnation != target.Incarnation && report.FreeCapacity == (Resources{}) {
		return
	}
	target.lookedAt = target.Incarnation
}

// withholdsReport reports whether the reader of a target does not report it yet, since the report would say that it has looked at it.
func (scheduler *Scheduler) withholdsReport(target *target) bool {
	return scheduler.AwaitsFirstLook() && !target.unreachable && !scheduler.isLookedAt(target)
}

// UnownedRuns returns the runs on the targets that this instance reads which no instance is known to own.
func (scheduler *Scheduler) UnownedRuns() []OwnedRun {
	var unowned []OwnedRun
	for _, target := range scheduler.ordered {
		if !target.readBySelf {
			continue
		}
		for _, run := range sortedRuns(target.allocations) {
			if allocation := target.allocations[run]; allocation.owner == "" && !allocation.confirmedAt.IsZero() {
				unowned = append(unowned, OwnedRun{target.ID, allocation.incarnation, run})
			}
		}
	}
	return unowned
}

// leastFirstLook returns how much longer the first look takes at least; 0 if it is not awaited.
func (scheduler *Scheduler) leastFirstLook(now time.Time) time.Duration {
	if !scheduler.AwaitsFirstLook() {
		return 0
	}
	return max(0, min(scheduler.firstLook.looksFrom.Sub(now), scheduler.firstLook.until.Sub(now)))
}

// awaitListedRun lets a waiting task of this instance wait for the end of another run of it that a target lists.
func (scheduler *Scheduler) awaitListedRun(target *target, run Run) {
	task := scheduler.tasks[run.Task]
	if task != nil && (task.state == waiting || task.state == blocked) && !task.latest(target.ID, run) {
		scheduler.addEarlierRun(task, targetRun{target.ID, run})
	}
}
