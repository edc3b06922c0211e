package router

import "time"

const (
	// learnRate is the weight of one run time in a mean; less follows a slowdown too late.
	learnRate = 0.1
	// failureRate is the weight of one result in the moving average of failures.
	failureRate = 0.2
	// borrowStep is the number of slots by which a finished task without a wait widens what may be borrowed.
	borrowStep = 1
	// meanMemory is the weight of one run time in the mean of all tasks.
	meanMemory = 0.005
	// failureMemory is the weight of one result in the moving average of failures on all targets.
	failureMemory = 0.02
	// waitFloor is the wait below which a task counts as started at once; it covers the network.
	waitFloor = 5 * time.Millisecond
	// pauseStep is how long a target that refused a start gets no other one.
	pauseStep = 50 * time.Millisecond
	// maxPauseShift bounds the pause of a target that refuses repeatedly to 64 steps.
	maxPauseShift = 6
)

// Done takes back a choice with its result.
func (router *Router) Done(choice Choice, result Result, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	target, nanos := choice.target, now.UnixNano()
	target.inFlight--
	router.inFlight--
	if choice.trial {
		target.trial = false
	}
	switch result := result.(type) {
	case Finished:
		router.failures *= 1 - failureMemory
		router.finish(choice, float64(result.runTime), nanos)
	case NotStarted:
		router.refuse(target, result, nanos)
	case Failed:
		target.since = nanos
		router.fail(target, choice.trial, nanos)
	case Lost:
		router.fail(target, choice.trial, nanos)
	}
	router.place(target)
}

func (router *Router) finish(choice Choice, runTime float64, now int64) {
	target := choice.target
	elapsed := float64(now - choice.at)
	if runTime <= 0 {
		runTime = elapsed
	}
	router.learnSpeed(target, choice.kind, runTime)
	router.learnQueue(target, choice.inFlight, elapsed-runTime, now)
	target.since = now
	target.streak = 0
	target.failures *= 1 - failureRate
	switch {
	case target.state == failing:
		// Also an answer to an earlier task shows that the target thawed.
		router.restore(target)
	case target.state == slow && choice.trial:
		if runTime < returnRatio*router.kinds[choice.kind].mean {
			target.factor, target.count = 1, 0
			router.restore(target)
		} else {
			router.postpone(target, now)
		}
	case target.state == healthy && target.trials > 0 && target.failures < calmFailures:
		target.trials = 0
	case target.state == healthy && target.count >= minSlowCount && target.factor > slowRatio:
		router.eject(target, slow, now)
	}
}

// learnSpeed moves the means of the kind, of the target and of the kind on the target.
func (router *Router) learnSpeed(target *target, kindID int32, runTime float64) {
	kind := &router.kinds[kindID]
	kind.count = min(kind.count+1, 1000)
	kind.mean += (runTime - kind.mean) / kind.count
	router.mean += (runTime - router.mean) * meanMemory
	target.count = min(target.count+1, 1/learnRate)
	target.factor += (float32(runTime/kind.mean) - target.factor) / target.count
	target.mean += (runTime - target.mean) / float64(target.count)
	for int(kindID) >= len(target.cells) {
		target.cells = append(target.cells, cell{})
	}
	cell := &target.cells[kindID]
	cell.count = min(cell.count+1, 1/learnRate)
	cell.mean += (float32(runTime) - cell.mean) / cell.count
}

// learnQueue takes the wait for a slot as the queue that the next task will meet, and lends less of a
// target on which tasks wait, because the slots beyond the share are then in use by their owners.
func (router *Router) learnQueue(target *target, inFlight int32, wait float64, now int64) {
	waited := wait > float64(waitFloor)
	if !waited {
		wait = 0
	}
	target.queue += (wait - target.queue) * 0.5
	target.queueAt = now
	room := float32(target.slots) - float32(target.share)
	switch {
	case waited:
		target.extra = max(0, target.extra/2)
	case inFlight >= router.limit(target):
		target.extra = min(room, target.extra+borrowStep)
	}
}

// refuse notes a refused start; the pause keeps the next starts from being refused as well.
func (router *Router) refuse(target *target, result NotStarted, now int64) {
	if result.leaving {
		router.leave(target, now)
		return
	}
	target.streak++
	shift := min(target.streak, maxPauseShift)
	target.pausedUntil = now + int64(float64(pauseStep<<shift)*(0.5+router.caution))
	target.extra = max(0, target.extra/2)
	if target.state != healthy {
		router.postpone(target, now)
	}
}

func (router *Router) fail(target *target, trial bool, now int64) {
	router.failures += (1 - router.failures) * failureMemory
	target.streak++
	target.failures += (1 - target.failures) * failureRate
	switch {
	case target.state == healthy && target.streak >= router.maxStreak(target) && float64(target.failures) > standOut*router.failures:
		router.eject(target, failing, now)
	case target.state != healthy && trial:
		router.postpone(target, now)
	}
}
