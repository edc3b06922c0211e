package router

import (
	"slices"
	"time"
)

const (
	// maxEjectedFraction limits the ejected targets, so that a fault common to all, such as a kind whose tasks always
	// fail, does not eject all of them.
	maxEjectedFraction = 0.3
	// slowEjectRatio is the run time relative to the mean of the kind beyond which a target is ejected. The speeds of
	// healthy targets differ by a factor of 4, so that none is more than about 2.5 times slower than the mean.
	slowEjectRatio = 4
	// slowReturnRatio is the relative run time of a trial below which a slow target returns.
	slowReturnRatio = 3
	// minSlowSamples is the number of run times from which a target can be ejected as slow.
	minSlowSamples = 5
	// A target with tasks in flight may go without an answer for overdueRatio times its mean run time plus minOverdue.
	// Single tasks take several times the mean of their kind.
	overdueRatio = 6
	minOverdue   = 500 * time.Millisecond
	// outlierRatio is the failure rate relative to that of all targets beyond which a target is ejected. A kind that
	// fails on every target is no reason to eject one.
	outlierRatio = 2
	// firstTrialDelay is the base delay from the ejection to the first trial; it doubles with each failed trial,
	// because each failed trial fails a whole job.
	firstTrialDelay = 8 * time.Second
	// trialRetryDelay is the least time until a trial that did not start when it was checked is checked again.
	trialRetryDelay = 50 * time.Millisecond
	// maxTrialDoublings bounds the delay between trials to 8 times the first.
	maxTrialDoublings = 3
	// recoveredFailureRate is the failure rate below which a target that returned counts as fully recovered.
	recoveredFailureRate = 0.1
)

// maxEjected returns the largest number of targets that may be ejected at once.
func (router *Router) maxEjected() int { return int(maxEjectedFraction * float64(len(router.targets))) }

// ejectionThreshold returns the number of consecutive failures that ejects target: 2 to 4, decreasing with the weight
// of wasted messages, and 1 for a target that was ejected before and has not fully recovered.
func (router *Router) ejectionThreshold(target *target) int32 {
	if target.trialsScheduled > 0 {
		return 1
	}
	return 4 - int32(2*router.wasteWeight+0.5)
}

// overdue reports whether target has tasks in flight and has not answered for too long.
func (router *Router) overdue(target *target, now int64) bool {
	if target.inFlight == 0 {
		return false
	}
	meanRunTime := target.meanRunTime
	if meanRunTime == 0 {
		meanRunTime = float64(defaultRunTime)
	}
	return float64(now-target.lastActivityAt) > overdueRatio*meanRunTime+float64(minOverdue)
}

// eject ejects a healthy target and reports whether it did. It does nothing if the target is removed or leaving, or if
// too many targets are ejected already.
func (router *Router) eject(target *target, state state, now int64) bool {
	if router.config.DisableEjection || target.removed || target.leavingUntil != 0 || len(router.ejected) >= router.maxEjected() {
		return false
	}
	target.state = state
	router.ejected = append(router.ejected, target)
	router.scheduleTrial(target, now)
	router.reindex(target)
	return true
}

// scheduleTrial sets the time of the next trial of an ejected target.
//
// A failed trial wastes messages, so the delay grows with the weight of wasted messages.
func (router *Router) scheduleTrial(target *target, now int64) {
	wait := float64(firstTrialDelay << min(target.trialsScheduled, maxTrialDoublings))
	target.trialsScheduled++
	target.trialAt = now + int64(wait*(0.5+3*router.wasteWeight))
	router.trialAt = min(router.trialAt, target.trialAt)
}

// restore ends the ejection of target, if it is ejected.
func (router *Router) restore(target *target) {
	if target.state == healthy {
		return
	}
	target.state = healthy
	target.consecutiveFailures = 0
	i := slices.Index(router.ejected, target)
	router.ejected = slices.Delete(router.ejected, i, i+1)
}

// dueTrial returns an ejected target whose trial is due and that has free capacity, or nil.
func (router *Router) dueTrial(now int64) *target {
	if now < router.trialAt {
		return nil
	}
	var due *target
	router.trialAt = never
	for _, target := range router.ejected {
		if target.trialInFlight {
			continue
		}
		if target.trialAt <= now && due == nil && router.trialReady(target, now) {
			due = target
			continue
		}
		// A trial that does not start now is postponed, so that not every decision checks it again.
		target.trialAt = max(target.trialAt, now+int64(trialRetryDelay))
		router.trialAt = min(router.trialAt, target.trialAt)
	}
	return due
}

// trialReady reports whether target is not paused and has a free slot for a trial.
func (router *Router) trialReady(target *target, now int64) bool {
	return target.pausedUntil <= now && target.inFlight < router.inFlightLimit(target)
}
