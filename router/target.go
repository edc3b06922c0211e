package router

import (
	"math"
	"time"
)

const (
	// never is a time that is never reached.
	never = math.MaxInt64
	// minLeavingInterval exceeds the lag of the instance list, which shows a leaving target as live for up to 5 s.
	minLeavingInterval = 10 * time.Second
	// defaultRunTime is assumed for kinds and targets of which no task has finished.
	defaultRunTime = 200 * time.Millisecond
)

// state is the health of a target as assessed by the router.
type state uint8

const (
	healthy state = iota
	// slow targets were ejected because of their long run times.
	slow
	// failing targets were ejected because of failures or missing answers.
	failing
)

// targetKindStats holds the statistics of one kind on one target.
type targetKindStats struct {
	meanRunTime float32 // nanoseconds
	samples     float32
}

// kindStats holds the statistics of one kind on all targets.
type kindStats struct {
	meanRunTime float64 // nanoseconds
	samples     float64
}

// target is the router's state of one target.
type target struct {
	Target
	targetList     *targetList // the list that the target is on, nil if it has no free capacity
	listIndex      int32       // position on the list
	inFlight       int32
	share          int32
	availableShare int32   // share while the target may get tasks, else 0
	borrowLimit    float32 // slots beyond the share that may be borrowed; negative until reindex initializes it
	version        uint32  // number of the last snapshot that lists the target
	state          state
	removed        bool
	trialInFlight  bool

	relativeRunTime     float32 // mean run time relative to the means of the kinds
	samples             float32 // number of run times in the means, at most 1/targetSmoothing
	meanRunTime         float64 // mean run time of all kinds, nanoseconds
	queueWait           float64 // moving average of the wait for a slot behind the tasks of all instances, nanoseconds
	queueWaitAt         int64
	failureRate         float32 // moving average of failures, 0 to 1
	consecutiveFailures int32   // failures and rejected starts since the last success

	// Times are Unix times in nanoseconds.
	lastActivityAt  int64 // last answer, or the pick that ended an idle time
	pickedAt        int64 // last pick
	pausedUntil     int64
	leavingUntil    int64 // 0 if the target is not leaving, never if the last snapshot lists it as leaving
	trialAt         int64
	trialsScheduled int32 // trials scheduled since the target last counted as recovered; sets the delay of the next one
	byKind          []targetKindStats
}

func newTarget() *target { return &target{relativeRunTime: 1, borrowLimit: -1} }

// discountHistory reduces the weight of all earlier run times to that of one, because the target may have changed.
func (target *target) discountHistory() {
	target.samples = min(target.samples, 1)
	for i := range target.byKind {
		target.byKind[i].samples = min(target.byKind[i].samples, 1)
	}
}

// slotsOf returns the number of target's slots that belong to the share.
//
// Fractions of slots are rounded with an offset derived from the FNV-1a hash of
// the target's name, so that they are rounded up for different instances from
// target to target. The shares of all instances add up to the slots of the target.
func (share Share) slotsOf(target Target) int32 {
	hash := uint32(2166136261)
	for i := range len(target.name) {
		hash = (hash ^ uint32(target.name[i])) * 16777619
	}
	offset := float64(hash>>8) / (1 << 24)
	slots := float64(target.slots)
	return int32(math.Floor(share.high*slots+offset) - math.Floor(share.low*slots+offset))
}

// inFlightLimit returns the number of tasks that this instance may have in flight on target.
func (router *Router) inFlightLimit(target *target) int32 {
	if router.config.DisableBorrowing {
		return target.share
	}
	return target.share + int32(max(0, target.borrowLimit))
}

// reindex moves target to the list of targets with free own slots or with slots to borrow, or removes it from both
// if it has no free capacity or may get no tasks.
func (router *Router) reindex(target *target) {
	if target.borrowLimit < 0 || target.borrowLimit > float32(target.slots)-float32(target.share) {
		// All slots beyond the share may be borrowed until waits show that other instances use them.
		target.borrowLimit = float32(target.slots) - float32(target.share)
	}
	eligible := !target.removed && target.leavingUntil == 0 && target.state == healthy
	router.availableShare -= target.availableShare
	target.availableShare = 0
	if eligible {
		target.availableShare = target.share
	}
	router.availableShare += target.availableShare
	switch {
	case eligible && target.inFlight < target.share:
		router.own.add(target)
	case eligible && target.inFlight < router.inFlightLimit(target):
		router.borrowable.add(target)
	case target.targetList != nil:
		target.targetList.remove(target)
	}
}

// targetList holds targets in no particular order; a target is on at most one list.
type targetList struct{ targets []*target }

// add moves target to the list from the one that it is on, if any.
func (targetList *targetList) add(target *target) {
	if target.targetList == targetList {
		return
	}
	if target.targetList != nil {
		target.targetList.remove(target)
	}
	target.targetList = targetList
	target.listIndex = int32(len(targetList.targets))
	targetList.targets = append(targetList.targets, target)
}

func (targetList *targetList) remove(target *target) {
	last := targetList.targets[len(targetList.targets)-1]
	targetList.targets[target.listIndex] = last
	last.listIndex = target.listIndex
	targetList.targets = targetList.targets[:len(targetList.targets)-1]
	target.targetList = nil
}

// expectedRunTime returns the expected run time of a task on target in nanoseconds.
func (router *Router) expectedRunTime(target *target, kindID int32) float64 {
	if int(kindID) < len(target.byKind) {
		if targetKindStats := target.byKind[kindID]; targetKindStats.samples >= minSamples {
			return float64(targetKindStats.meanRunTime)
		}
	}
	relativeRunTime := float64(target.relativeRunTime)
	if target.samples < minSamples {
		relativeRunTime *= explorationFactor
	}
	return router.kinds[kindID].meanRunTime * relativeRunTime
}
