package scheduler

import "time"

const (
	// startPeriod is how long a start is requested on its target before the task may start elsewhere: as long as it takes to leave
	// maxUnanswered requests and one more unanswered.
	startPeriod = (maxUnanswered + 1) * 60 * time.Millisecond
	// noRoomPeriod is the same for a target that has answered that it has no room: it does respond, and the claim of the run keeps the next
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
	pause, period := time.Duration(0), startPeriod
	switch {
	case result == StartUnanswered:
		scheduler.recordUnansweredStart(target, start.Run, now)
	case result == StartNoRoom && !isFirst:
		pause, period = noRoomPause, noRoomPeriod
	default:
		return 0, false
	}
	task := scheduler.tasks[start.Run.Task]
	isWanted := task != nil && task.state == starting && task.latest(start.Target, start.Run) && task.incarnation == target.Incarnation
	if !isWanted || target.Draining || target.isBarred() || target.replaced || target.unreachable || target.unreachableByReader || !target.fencedAt.IsZero() {
		return 0, false
	}
	next := now.Add(pause)
	if !next.Before(start.Issued.Add(period)) || !next.Before(start.Deadline) || result == StartUnanswered && target.recordUnanswered(1, start.Issued) {
		return 0, false
	}
	return pause, true
}

// HandleRepeatedStartResult processes the result of the last request for a start of which an earlier request got no answer. Only the
// target's word that it runs the task tells what has become of that one.
func (scheduler *Scheduler) HandleRepeatedStartResult(targetID string, run Run, result StartResult, now time.Time) {
	target, ok := scheduler.targets[targetID]
	switch {
	case result == StartTaken:
		scheduler.HandleStartResult(targetID, run, StartTaken, now)
		return
	case !ok:
	case result == StartStale:
		// The run has been there and has ended. Its end may be under way from the reader.
		if allocation, ok := target.allocations[run]; ok {
			allocation.confirmedAt = now
		}
	case result != StartUnanswered:
		scheduler.recordRejection(target, result, now)
	}
	scheduler.HandleStartResult(targetID, run, StartUnanswered, now)
}

// recordUnansweredStart records that a start got no answer, whether or not it is requested again.
func (scheduler *Scheduler) recordUnansweredStart(target *target, run Run, now time.Time) {
	if allocation, ok := target.allocations[run]; ok {
		allocation.unanswered = true
	}
	scheduler.recordLateStart(target, run, now)
}
