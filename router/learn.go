package router

import "time"

const (
	// targetSmoothing is the weight of a new run time in the means of a target; a lower weight detects slowdowns
	// too late.
	targetSmoothing = 0.1
	// failureSmoothing is the weight of a new result in the failure rate of a target.
	failureSmoothing = 0.2
	// borrowStep is the number of slots by which the borrow limit of a target grows when a task that brought the tasks
	// in flight to their limit finishes without having waited for a slot.
	borrowStep = 1
	// meanRunTimeSmoothing is the weight of a new run time in the mean of all tasks.
	meanRunTimeSmoothing = 0.005
	// overallFailureSmoothing is the weight of a new result in the failure rate of all targets.
	overallFailureSmoothing = 0.02
	// minQueueWait is the longest wait that counts as none; it covers the network delay.
	minQueueWait = 5 * time.Millisecond
	// pauseStep determines the time for which a target gets no tasks after it rejected a start: it is doubled for each
	// rejected start or failure in a row and multiplied by 0.5 to 1.5, depending on the weight of wasted messages.
	pauseStep = 50 * time.Millisecond
	// maxPauseDoublings bounds the doubled pauseStep to 64 times its value.
	maxPauseDoublings = 6
)

// Done ends a choice and updates the router's statistics with its result.
func (router *Router) Done(choice Choice, result Result, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	target, nanos := choice.target, now.UnixNano()
	target.inFlight--
	router.inFlight--
	if choice.trial {
		target.trialInFlight = false
	}
	switch result := result.(type) {
	case Finished:
		router.failureRate *= 1 - overallFailureSmoothing
		router.recordFinished(choice, float64(result.runTime), nanos)
	case NotStarted:
		router.recordNotStarted(target, result, nanos)
	case Failed:
		target.lastActivityAt = nanos
		router.recordFailure(target, choice.trial, nanos)
	case Lost:
		router.recordFailure(target, choice.trial, nanos)
	}
	router.reindex(target)
}

// recordFinished updates the statistics with a finished task. It ejects a target that has become too slow, and ends the
// ejection of one that has recovered.
func (router *Router) recordFinished(choice Choice, runTime float64, now int64) {
	target := choice.target
	elapsed := float64(now - choice.chosenAt)
	if runTime <= 0 {
		runTime = elapsed
	}
	router.updateRunTimes(target, choice.kind, runTime)
	router.updateQueueWait(target, choice.inFlight, elapsed-runTime, now)
	target.lastActivityAt = now
	target.consecutiveFailures = 0
	target.failureRate *= 1 - failureSmoothing
	switch {
	case target.state == failing:
		// The answer to a task from before the ejection also shows that the target has recovered.
		router.restore(target)
	case target.state == slow && choice.trial:
		if runTime < slowReturnRatio*router.kinds[choice.kind].meanRunTime {
			target.relativeRunTime, target.samples = 1, 0
			router.restore(target)
		} else {
			router.scheduleTrial(target, now)
		}
	case target.state == healthy && target.trialsScheduled > 0 && target.failureRate < recoveredFailureRate:
		target.trialsScheduled = 0
	case target.state == healthy && target.samples >= minSlowSamples && target.relativeRunTime > slowEjectRatio:
		router.eject(target, slow, now)
	}
}

// updateRunTimes adds a run time to the means of the kind, of all tasks, of the target and of the kind on the target.
func (router *Router) updateRunTimes(target *target, kindID int32, runTime float64) {
	kindStats := &router.kinds[kindID]
	kindStats.samples = min(kindStats.samples+1, 1000)
	kindStats.meanRunTime += (runTime - kindStats.meanRunTime) / kindStats.samples
	router.meanRunTime += (runTime - router.meanRunTime) * meanRunTimeSmoothing
	target.samples = min(target.samples+1, 1/targetSmoothing)
	target.relativeRunTime += (float32(runTime/kindStats.meanRunTime) - target.relativeRunTime) / target.samples
	target.meanRunTime += (runTime - target.meanRunTime) / float64(target.samples)
	for int(kindID) >= len(target.byKind) {
		target.byKind = append(target.byKind, targetKindStats{})
	}
	targetKindStats := &target.byKind[kindID]
	targetKindStats.samples = min(targetKindStats.samples+1, 1/targetSmoothing)
	targetKindStats.meanRunTime += (float32(runTime) - targetKindStats.meanRunTime) / targetKindStats.samples
}

// updateQueueWait updates the expected wait for a slot and the borrow limit of target. The limit shrinks when tasks
// wait, because the slots beyond the share are then in use by the instances that own them.
func (router *Router) updateQueueWait(target *target, inFlight int32, wait float64, now int64) {
	waited := wait > float64(minQueueWait)
	if !waited {
		wait = 0
	}
	target.queueWait += (wait - target.queueWait) * 0.5
	target.queueWaitAt = now
	maxBorrow := float32(target.slots) - float32(target.share)
	switch {
	case waited:
		target.borrowLimit = max(0, target.borrowLimit/2)
	case inFlight >= router.inFlightLimit(target):
		target.borrowLimit = min(maxBorrow, target.borrowLimit+borrowStep)
	}
}

// recordNotStarted pauses a target that rejected a start, so that the next starts are not rejected as well, or marks it
// as leaving.
func (router *Router) recordNotStarted(target *target, result NotStarted, now int64) {
	if result.leaving {
		router.markLeaving(target, now)
		return
	}
	target.consecutiveFailures++
	shift := min(target.consecutiveFailures, maxPauseDoublings)
	target.pausedUntil = now + int64(float64(pauseStep<<shift)*(0.5+router.wasteWeight))
	target.borrowLimit = max(0, target.borrowLimit/2)
	if target.state != healthy {
		router.scheduleTrial(target, now)
	}
}

// recordFailure updates the statistics with a failure, and ejects the target or schedules its next trial.
func (router *Router) recordFailure(target *target, trial bool, now int64) {
	router.failureRate += (1 - router.failureRate) * overallFailureSmoothing
	target.consecutiveFailures++
	target.failureRate += (1 - target.failureRate) * failureSmoothing
	switch {
	case target.state == healthy && target.consecutiveFailures >= router.ejectionThreshold(target) && float64(target.failureRate) > outlierRatio*router.failureRate:
		router.eject(target, failing, now)
	case target.state != healthy && trial:
		router.scheduleTrial(target, now)
	}
}
