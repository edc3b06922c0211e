package router

import (
	"slices"
	"time"
)

const (
	// maxEjectedPart keeps a fault that all targets share, such as a bad kind, from ejecting them all.
	maxEjectedPart = 0.3
	// slowRatio is the run time, relative to the mean of its kind, from which a target is ejected; healthy
	// targets differ by a factor of 4 and so are at most about 2.5 times slower than the mean.
	slowRatio = 4
	// returnRatio is the relative run time at which a slow target returns.
	returnRatio = 3
	// minSlowCount is the number of run times before a target can be ejected as slow.
	minSlowCount = 5
	// overdueRatio and overdueFloor bound the silence of a target with tasks in flight; single tasks last
	// several times the mean of their kind.
	overdueRatio = 6
	overdueFloor = 500 * time.Millisecond
	// standOut is the ratio of a target's failures to those of all targets from which it is ejected; a kind
	// that fails everywhere is no reason to eject a target.
	standOut = 2
	// firstTrial is the time from ejection to the first trial, which doubles with each failed trial. Each
	// failed trial fails a whole job.
	firstTrial = 8 * time.Second
	// trialRetry is the time after which a trial that found no room is tried again.
	trialRetry = 50 * time.Millisecond
	// maxTrialShift bounds the time between trials to 8 times the first.
	maxTrialShift = 3
	// calmFailures is the moving average of failures below which a returned target is trusted again.
	calmFailures = 0.1
)

func (router *Router) maxEjected() int { return int(maxEjectedPart * float64(len(router.targets))) }

// maxStreak returns the failures in a row that eject target: 2 to 4, fewer the more a wasted message weighs,
// and 1 for a target that returned from a trial a short while ago.
func (router *Router) maxStreak(target *target) int32 {
	if target.trials > 0 {
		return 1
	}
	return 4 - int32(2*router.caution+0.5)
}

// overdue reports whether target has tasks in flight and has been silent for too long.
func (router *Router) overdue(target *target, now int64) bool {
	if target.inFlight == 0 {
		return false
	}
	mean := target.mean
	if mean == 0 {
		mean = float64(defaultRunTime)
	}
	return float64(now-target.since) > overdueRatio*mean+float64(overdueFloor)
}

// eject takes a healthy target out of the choice unless too many are out already, and reports whether it did.
func (router *Router) eject(target *target, state state, now int64) bool {
	if router.config.DisableEjection || target.gone || target.leavingUntil != 0 || len(router.ejected) >= router.maxEjected() {
		return false
	}
	target.state = state
	router.ejected = append(router.ejected, target)
	router.postpone(target, now)
	router.place(target)
	return true
}

// postpone sets the time of the next trial of an ejected target.
//
// A trial at risk costs messages, so the time grows with the weight of wasted messages.
func (router *Router) postpone(target *target, now int64) {
	wait := float64(firstTrial << min(target.trials, maxTrialShift))
	target.trials++
	target.trialAt = now + int64(wait*(0.5+3*router.caution))
	router.trialAt = min(router.trialAt, target.trialAt)
}

// restore returns an ejected target to the choice.
func (router *Router) restore(target *target) {
	if target.state == healthy {
		return
	}
	target.state = healthy
	target.streak = 0
	i := slices.Index(router.ejected, target)
	router.ejected = slices.Delete(router.ejected, i, i+1)
}

// dueTrial returns an ejected target whose trial is due and that has room, or nil.
func (router *Router) dueTrial(now int64) *target {
	if now < router.trialAt {
		return nil
	}
	var due *target
	router.trialAt = never
	for _, target := range router.ejected {
		if target.trial {
			continue
		}
		if target.trialAt <= now && due == nil && router.trialReady(target, now) {
			due = target
			continue
		}
		// A due target without room waits, so that not every decision looks at it again.
		target.trialAt = max(target.trialAt, now+int64(trialRetry))
		router.trialAt = min(router.trialAt, target.trialAt)
	}
	return due
}

func (router *Router) trialReady(target *target, now int64) bool {
	return target.pausedUntil <= now && target.inFlight < router.limit(target)
}
