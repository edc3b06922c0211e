package scheduler

import "time"

const (
	// startPeriod is how long a target may leave the requests for a start unanswered before the task may start elsewhere: the time in
	// which maxUnanswered requests and one more get no answer.
	startPeriod = (maxUnanswered + 1) * 60 * time.Millisecond
	// noRoomPeriod is how long a start is requested on a target that answers that it has no room: the claim of the run keeps the next
	// capacity for it. The start's own deadline is a lease after it was issued.
	noRoomPeriod = LeaseDuration / 2
	// noRoomPause is the pause before a start is requested again on a target that has no room for it at the moment. A rejection costs
	// the target as much as a start.
	noRoomPause = 40 * time.Millisecond
)

// RepeatStart decides whether a start is requested on its target again, and after which pause, when the given request for it, the
// first one or a later one, has this result. A start that got no answer may be carried out seconds later. A stop voids it on the
// present incarnation of the target only, so that the next one could run the task beside a run elsewhere; on the same target, a
// repeated request makes the outcome known and leaves nothing to move away from.
func (scheduler *Scheduler) RepeatStart(start *StartTask, result StartResult, isFirst bool, now time.Time) (time.Duration, bool) {
	target, ok := scheduler.targets[start.Target]
	if !ok {
		return 0, false
	}
	task := scheduler.startedTask(start)
	pause := time.Duration(0)
	switch {
	case result == StartUnanswered:
		scheduler.recordUnansweredStart(target, start.Run, now)
		if target.recordUnanswered(1, start.Issued) {
			target.heldUntil = now.Add(unansweredBackoff)
		}
	case result == StartNoRoom && !isFirst:
		target.recordResponse(now)
		pause = noRoomPause
		if task != nil {
			task.answeredAt = now
		}
	default:
		return 0, false
	}
	if task == nil || !scheduler.MayRequestStart(start, now) {
		return 0, false
	}
	next, until := now.Add(pause), start.Issued.Add(startPeriod)
	if !task.answeredAt.IsZero() {
		until = earlier(task.answeredAt.Add(startPeriod), start.Issued.Add(noRoomPeriod))
	}
	return pause, next.Before(until) && next.Before(start.Deadline)
}

// MayRequestStart reports whether a start that was decided before may still be requested on its target: its task still needs the run
// there, and the target may take work.
func (scheduler *Scheduler) MayRequestStart(start *StartTask, now time.Time) bool {
	target, ok := scheduler.targets[start.Target]
	task := scheduler.startedTask(start)
	switch {
	case !ok || task == nil || task.incarnation != target.Incarnation:
		return false
	case target.Draining || target.isBarred() || target.replaced || target.awaitsEntry():
		return false
	case target.unreachable || target.unreachableByReader || !target.fencedAt.IsZero():
		return false
	}
	return !now.Before(scheduler.startsHeldUntil) && !scheduler.mayBeAbandoned(task.job, now)
}

// startedTask returns the task whose latest run the start began, if its result is not known yet; nil otherwise. A later submission of
// the job gives its attempts the same numbers.
func (scheduler *Scheduler) startedTask(start *StartTask) *task {
	task := scheduler.tasks[start.Run.Task]
	if task == nil || task.state != starting || !task.latest(start.Target, start.Run) || !task.startedAt.Equal(start.Issued) {
		return nil
	}
	return task
}

// HandleRepeatedStartResult processes the result of the last request for a start of which an earlier request got no answer. Only the
// target's word that it runs the task tells what has become of that one.
func (scheduler *Scheduler) HandleRepeatedStartResult(start *StartTask, result StartResult, now time.Time) {
	target, ok := scheduler.targets[start.Target]
	if task := scheduler.tasks[start.Run.Task]; task != nil && task.latest(start.Target, start.Run) && !task.startedAt.Equal(start.Issued) {
		// The job has been submitted again, and the run there is the one of that submission.
		return
	}
	switch {
	case result.IsTaken():
		scheduler.HandleStartResult(start.Target, start.Run, result, now)
		return
	case !ok:
	case result == StartStale:
		if allocation, ok := target.allocations[start.Run]; ok {
			allocation.mayHaveEnded = true
		}
	case result != StartUnanswered:
		scheduler.recordRejection(target, result, now)
	}
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, now)
}

// recordUnansweredStart records that a start got no answer, whether or not it is requested again.
func (scheduler *Scheduler) recordUnansweredStart(target *target, run Run, now time.Time) {
	if allocation, ok := target.allocations[run]; ok {
		allocation.unanswered = true
	}
	scheduler.recordLateStart(target, run, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
