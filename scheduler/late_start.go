package scheduler

import (
	"iter"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/isolator"
)

const (
	// maxRequestDelay is how long after it was sent a request that got no answer may still be carried out: networks have
	// delivered requests up to 12 s late.
	maxRequestDelay = 12 * time.Second
	// maxLateStarts bounds the memory for starts without an answer; the earliest are forgotten first.
	maxLateStarts = 4096
)

// lateStart is a start that got no answer and may still be carried out. The stop that was requested voids it on the
// incarnation that accepts the stop. A later one knows neither the stop nor, since its clock starts anew, that the
// start's deadline has passed.
type lateStart struct {
	targetRun
	// startedAt is when the start was decided, which distinguishes it from a start of the same run in a later submission.
	startedAt time.Time
	// orderedFor is the incarnation of the target that the start was meant for, 0 if unknown, and orderedAt its address.
	orderedFor int64
	orderedAt  string
	// incarnation and address are those of the target that was last asked to stop the run.
	incarnation int64
	address     string
	until       time.Time
}

// recordLateStart remembers a start that got no answer.
func (scheduler *Scheduler) recordLateStart(target *target, run Run, now time.Time) {
	started, orderedFor, orderedAt := startedAt(target, run, now), target.Incarnation, target.Address
	if allocation, ok := target.allocations[run]; ok {
		orderedFor, orderedAt = allocation.incarnation, allocation.address
	} else if task := scheduler.tasks[run.Task]; task != nil && task.latest(target.ID, run) {
		// A later incarnation has listed its runs without this one.
		started, orderedFor = task.startedAt, task.incarnation
	}
	for i := range scheduler.lateStarts {
		if late := scheduler.lateStarts[i]; late.targetRun == (targetRun{target.ID, run}) && late.startedAt.Equal(started) {
			late.until = now.Add(maxRequestDelay)
			return
		}
	}
	if len(scheduler.lateStarts) >= maxLateStarts {
		scheduler.unindexLateStart(scheduler.lateStarts[0])
		scheduler.lateStarts = slices.Delete(scheduler.lateStarts, 0, 1)
	}
	late := &lateStart{
		targetRun: targetRun{target.ID, run}, startedAt: started, orderedFor: orderedFor, orderedAt: orderedAt,
		incarnation: target.Incarnation, address: target.Address, until: now.Add(maxRequestDelay),
	}
	scheduler.lateStarts = append(scheduler.lateStarts, late)
	scheduler.lateStartsOf[run.Task] = append(scheduler.lateStartsOf[run.Task], late)
}

// unindexLateStart removes a start from those of its task.
func (scheduler *Scheduler) unindexLateStart(late *lateStart) {
	task := late.run.Task
	remaining := slices.DeleteFunc(scheduler.lateStartsOf[task], func(other *lateStart) bool { return other == late })
	if scheduler.lateStartsOf[task] = remaining; len(remaining) == 0 {
		delete(scheduler.lateStartsOf, task)
	}
}

// voidLateStarts requests the stop of starts without an answer again if the target has another incarnation or address than
// the one that was asked before.
func (scheduler *Scheduler) voidLateStarts(target *target, now time.Time) {
	for _, late := range scheduler.lateStarts {
		if late.target == target.ID && (late.incarnation != target.Incarnation || late.address != target.Address) {
			scheduler.void(late, target, now)
		}
	}
}

// expireLateStarts forgets starts that are not carried out any longer.
func (scheduler *Scheduler) expireLateStarts(now time.Time) {
	scheduler.lateStarts = slices.DeleteFunc(scheduler.lateStarts, func(late *lateStart) bool {
		expired := !now.Before(late.until)
		if expired {
			scheduler.unindexLateStart(late)
		}
		return expired
	})
}

// isOutstanding reports whether a start without an answer may still be carried out. Its own incarnation of the target knows the run or
// refuses it; a later one refuses it once it has answered a request that names it, until it ends itself. Another target at the address
// refuses all that is meant for this one.
func (scheduler *Scheduler) isOutstanding(late *lateStart, now time.Time) bool {
	target, ok := scheduler.targets[late.target]
	isRefused := ok && target.guarded == target.Incarnation && target.Incarnation > late.orderedFor
	isReplaced := ok && target.replaced && target.Address == late.orderedAt
	return now.Before(late.until) && !isRefused && !isReplaced
}

// void requests the stop of a start without an answer on the present incarnation of its target.
func (scheduler *Scheduler) void(late *lateStart, target *target, now time.Time) {
	late.incarnation, late.address = target.Incarnation, target.Address
	task := scheduler.tasks[late.run.Task]
	if !now.Before(late.until) || task != nil && task.latest(late.target, late.run) && task.startedAt.After(late.startedAt) {
		// In a later submission, the run has been started there again; the late start would only repeat that.
		return
	}
	if allocation, ok := target.allocations[late.run]; ok && allocation.unanswered && allocation.incarnation < target.Incarnation {
		// The stop will release the claim, which shows that the run may have been on the former incarnation.
		scheduler.recordRunLoss(target, late.run, allocation, isolator.Restarted, now, now)
	}
	if task != nil && task.state == running && task.latest(late.target, late.run) {
		// The run has ended with the former incarnation. The task starts again once the present one refuses the late start.
		task.state = stopping
	}
	scheduler.requestStop(target, late.run, "start was not answered by a former incarnation", false, now)
}

// OutstandingStarts returns the number of starts that got no answer and may still be carried out.
func (scheduler *Scheduler) OutstandingStarts() int { return len(scheduler.lateStarts) }

// hasOutstanding reports whether a start on a target got no answer and may still be carried out.
func (scheduler *Scheduler) hasOutstanding(targetID string) bool {
	return slices.ContainsFunc(scheduler.lateStarts, func(late *lateStart) bool { return late.target == targetID })
}

// outstandingOn returns the number of starts on a target that got no answer and may still be carried out.
func (scheduler *Scheduler) outstandingOn(targetID string) int {
	outstanding := 0
	for i := range scheduler.lateStarts {
		if scheduler.lateStarts[i].target == targetID {
			outstanding++
		}
	}
	return outstanding
}

// outstandingTargets returns the number of targets whose hosts refuse connections and that may carry out a start of this instance.
func (scheduler *Scheduler) outstandingTargets() int {
	refusing := make(map[string]bool)
	for i := range scheduler.lateStarts {
		if target, ok := scheduler.targets[scheduler.lateStarts[i].target]; ok && target.refusing {
			refusing[target.ID] = true
		}
	}
	return len(refusing)
}

// outstandingElsewhere returns a target other than the given one on which a start of a task got no answer, and how much longer that may
// be carried out there; an empty ID if there is none.
func (scheduler *Scheduler) outstandingElsewhere(task, targetID string, now time.Time) (string, time.Duration) {
	for late := range scheduler.outstandingOf(task, now) {
		if late.target != targetID {
			return late.target, late.until.Sub(now)
		}
	}
	return "", 0
}

// outstandingOf returns the starts of a task that got no answer and may still be carried out.
func (scheduler *Scheduler) outstandingOf(task string, now time.Time) iter.Seq[*lateStart] {
	return func(yield func(*lateStart) bool) {
		for _, late := range scheduler.lateStartsOf[task] {
			if scheduler.isOutstanding(late, now) && !yield(late) {
				return
			}
		}
	}
}

// hasOutstandingOf reports whether a start of a task got no answer and may still be carried out.
func (scheduler *Scheduler) hasOutstandingOf(task string, now time.Time) bool {
	for range scheduler.outstandingOf(task, now) {
		return true
	}
	return false
}

// awaitsLateRun reports whether the present incarnation of a target may have carried out a start that a former one left without an answer,
// and its run is not known to have ended.
func (scheduler *Scheduler) awaitsLateRun(task string, now time.Time) bool {
	for _, late := range scheduler.lateStartsOf[task] {
		target, ok := scheduler.targets[late.target]
		if !ok || target.Incarnation <= late.orderedFor || !now.Before(late.until) {
			continue
		}
		pending, ending := scheduler.pendingStops[late.targetRun]
		if target.guarded != target.Incarnation || target.allocations[late.run] != nil || ending && pending.isAccepted() {
			return true
		}
	}
	return false
}

// mustStayOn reports whether a task may start on no other target than the given one, which may still carry out a start of it. What the
// target has answered to the task before does not count then, unless it holds the task to be wrong: a target that fails what it runs is
// excluded for all tasks, and a caller is better served by a run there than by a wait until the start has expired.
func (scheduler *Scheduler) mustStayOn(task *task, target *target, now time.Time) bool {
	for late := range scheduler.outstandingOf(task.name, now) {
		if late.target == target.ID {
			return target.ID != task.wrongOn
		}
	}
	return false
}

// refusingTargets returns the number of targets that this instance reads and whose hosts refuse connections.
func (scheduler *Scheduler) refusingTargets() int {
	refusing := 0
	for _, target := range scheduler.ordered {
		if target.refusing && target.readBySelf {
			refusing++
		}
	}
	return refusing
}

// readTargets returns the number of targets that this instance reads.
func (scheduler *Scheduler) readTargets() int {
	reads := 0
	for _, target := range scheduler.ordered {
		if target.readBySelf {
			reads++
		}
	}
	return reads
}

// outstandingFor returns how much longer a start of a run that got no answer may be carried out by a later incarnation of its target;
// 0 if there is none.
func (scheduler *Scheduler) outstandingFor(targetID string, run Run, now time.Time) time.Duration {
	for i := range scheduler.lateStarts {
		if late := scheduler.lateStarts[i]; late.targetRun == (targetRun{targetID, run}) {
			return max(0, late.until.Sub(now))
		}
	}
	return 0
}
