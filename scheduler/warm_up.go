package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/warmer"
)

const (
	// coldCost is added to the cost of a cold target, so that it is chosen only if no warm one is suitable. It exceeds every run
	// time.
	coldCost = 24 * time.Hour
	// periodNoticeDelay is how long after the beginning of a cold period instances learn of it: targets' entries are read every
	// 500 ms. A reader of a target that was cold for longer does not know what was started there before.
	periodNoticeDelay = time.Second
)

// nothingFree is the free capacity of a target that must not get work: no task fits, not even one that requires nothing.
var nothingFree = Resources{MilliCores: -1}

// ColdCause is why a target is cold.
type ColdCause string

// Causes of a cold period. The values are used in logs.
const (
	// ColdReturned means that the evacuation of the target's failure domain was withdrawn.
	ColdReturned ColdCause = "evacuation-withdrawn"
	// ColdEntry means that the target's entry says so.
	ColdEntry ColdCause = "entry"
)

// TargetCold records that a target that this instance reads is cold.
type TargetCold struct {
	Target string
	Cause  ColdCause
	// Until is the end of the cold period.
	Until time.Time
	// TakenOver means that another instance may have started runs there in this period.
	TakenOver bool
}

// TargetWarm records that the cold period of a target that this instance reads is over, with the number of starts that were
// counted in it.
type TargetWarm struct {
	Target string
	Starts int64
}

func (TargetCold) isAction() {}
func (TargetWarm) isAction() {}

// coldTargets holds what is known of cold targets.
type coldTargets struct {
	// coldPolicies holds the policy of each service.
	coldPolicies map[string]warmer.Policy
	// cold holds the targets with a ramp by ID.
	cold map[string]*target
}

func newColdTargets() coldTargets { return coldTargets{cold: make(map[string]*target)} }

// coldPeriod is the cold period of a target.
type coldPeriod struct {
	// returnedAt is when the evacuation of the target's failure domain was last withdrawn; zero if it never was.
	returnedAt time.Time
	// ramp is nil while the target is warm.
	ramp  *warmer.Ramp
	cause ColdCause
	// incarnation is that of the target in this period.
	incarnation int64
	// starts counts the claims since countedFrom.
	starts      int64
	countedFrom time.Time
	// takenOver means that another instance may have started runs there in this period before countedFrom.
	takenOver bool
}

// SetColdPolicies replaces what is known of the cold targets of the services.
func (scheduler *Scheduler) SetColdPolicies(policies map[string]warmer.Policy, now time.Time) {
	scheduler.coldPolicies = policies
	for _, target := range scheduler.ordered {
		scheduler.updateColdPeriod(target, now)
	}
}

// ColdTargets returns the number of known targets that are cold.
func (scheduler *Scheduler) ColdTargets() int { return len(scheduler.cold) }

// beginColdPeriod records that the evacuation of a target's failure domain was withdrawn.
func (scheduler *Scheduler) beginColdPeriod(target *target, now time.Time) {
	target.cold.returnedAt, target.cold.ramp = now, nil
	scheduler.updateColdPeriod(target, now)
}

// updateColdPeriod derives the cold period of a target from its entry, the last withdrawal of an evacuation and the policy of
// its service.
func (scheduler *Scheduler) updateColdPeriod(target *target, now time.Time) {
	period, policy := &target.cold, scheduler.coldPolicies[target.Service]
	isNew := period.ramp == nil || period.incarnation != target.Incarnation
	if isNew {
		period.starts, period.countedFrom, period.takenOver = 0, now, false
	}
	knownFrom := period.countedFrom
	if !isNew {
		knownFrom = period.ramp.Begin()
	}
	begin, end, cause := target.coldSpan(&policy, knownFrom)
	if !now.Before(end) {
		scheduler.endColdPeriod(target)
		return
	}
	changed := isNew || !end.Equal(period.ramp.End())
	period.incarnation, period.cause = target.Incarnation, cause
	period.takenOver = period.takenOver || period.countedFrom.Sub(begin) > periodNoticeDelay
	period.setRamp(policy, begin, end)
	scheduler.cold[target.ID] = target
	if changed {
		scheduler.announceCold(target)
	}
}

// coldSpan returns the cold period by what is known of the target, and what its end follows from. The end is zero if the target has
// not been cold. knownFrom is when the period became known.
func (target *target) coldSpan(policy *warmer.Policy, knownFrom time.Time) (begin, end time.Time, cause ColdCause) {
	if returnedAt := target.cold.returnedAt; !returnedAt.IsZero() && policy.Period > 0 {
		begin, end, cause = returnedAt, returnedAt.Add(policy.Period), ColdReturned
	}
	if target.ColdUntil.After(end) {
		begin, end, cause = knownFrom, target.ColdUntil, ColdEntry
		// A part of the period has passed already.
		if whole := end.Add(-policy.Period); policy.Period > 0 && whole.Before(begin) {
			begin = whole
		}
	}
	return begin, end, cause
}

func (period *coldPeriod) setRamp(policy warmer.Policy, begin, end time.Time) {
	period.ramp = warmer.New(policy, begin, end, period.countedFrom)
	if period.takenOver {
		period.ramp = period.ramp.WithoutSlack()
	}
}

// takeOverCold handles that this instance becomes the reader of a cold target. It does not know what the former reader has started
// in this period, which may have used up the slack.
func (scheduler *Scheduler) takeOverCold(target *target, now time.Time) {
	if !target.isCold(now) {
		return
	}
	period := &target.cold
	period.starts, period.countedFrom = 0, now
	period.takenOver = period.takenOver || target.readerContact != nil || now.Sub(period.ramp.Begin()) > periodNoticeDelay
	period.setRamp(scheduler.coldPolicies[target.Service], period.ramp.Begin(), period.ramp.End())
	scheduler.announceCold(target)
}

// announceCold records that a target is cold if this instance reads it; the others must not start anything there.
func (scheduler *Scheduler) announceCold(target *target) {
	if target.readBySelf {
		scheduler.changedTargets[target.ID] = true
		scheduler.emit(TargetCold{Target: target.ID, Cause: target.cold.cause, Until: target.cold.ramp.End(), TakenOver: target.cold.takenOver})
	}
}

func (scheduler *Scheduler) endColdPeriod(target *target) {
	if target.cold.ramp == nil {
		return
	}
	target.cold.ramp = nil
	delete(scheduler.cold, target.ID)
	if target.readBySelf {
		scheduler.changedTargets[target.ID] = true
		scheduler.emit(TargetWarm{Target: target.ID, Starts: target.cold.starts})
	}
}

// endColdPeriods ends the cold periods that are over.
func (scheduler *Scheduler) endColdPeriods(now time.Time) {
	if len(scheduler.cold) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(scheduler.cold)) {
		if target := scheduler.cold[id]; scheduler.targets[id] != target {
			delete(scheduler.cold, id)
		} else if !target.isCold(now) {
			scheduler.endColdPeriod(target)
		}
	}
}

// repeatColdReports lets the reports about cold targets be sent again before they are outdated: an instance that does not know that
// the target is cold, since it cannot read the store, must not take it for idle.
func (scheduler *Scheduler) repeatColdReports(now time.Time) {
	for _, target := range scheduler.cold {
		scheduler.renewReport(target, now)
	}
}

// isCold reports whether the load of the target is limited now.
func (target *target) isCold(now time.Time) bool {
	return target.cold.ramp != nil && target.cold.ramp.IsCold(now)
}

// countColdStart counts a run that was claimed at the given time.
func (target *target) countColdStart(claimedAt time.Time) {
	if target.cold.ramp != nil && !claimedAt.Before(target.cold.countedFrom) {
		target.cold.starts++
	}
}

// coldCost returns what is added to the cost of the target.
func (target *target) coldCost(now time.Time) time.Duration {
	if target.isCold(now) {
		return coldCost
	}
	return 0
}

// limitFree returns the part of the free capacity that may be used now. Only the reader of a cold target may use it, since it alone
// knows all claims. A cold target that runs nothing may get one run that exceeds the share: such a task would otherwise be refused
// although targets are idle.
func (target *target) limitFree(free Resources, now time.Time) Resources {
	switch {
	case !target.isCold(now):
		return free
	case !target.mayTakeColdStart(now):
		return nothingFree
	case len(target.allocations) == 0:
		return free
	}
	return free.min(target.coldFree(now))
}

// mayTakeColdStart reports whether the ramp of a cold target allows this instance another start.
func (target *target) mayTakeColdStart(now time.Time) bool {
	running := float64(target.used.MilliCores) / float64(max(target.Capacity.MilliCores, 1))
	return target.readBySelf && target.cold.ramp.Allows(now, running, target.cold.starts)
}

// coldFree returns what is free of the share of the capacity that may be in use.
func (target *target) coldFree(now time.Time) Resources {
	share := target.cold.ramp.Share(now)
	part := func(amount int64) int64 { return int64(math.Ceil(float64(amount) * share)) }
	capacity := target.Capacity
	return Resources{part(capacity.MilliCores), part(capacity.MemoryMB), part(capacity.Accelerators)}.Minus(target.used)
}

// freeSlots returns how many tasks of the given resources could start on the target now.
func (target *target) freeSlots(resources Resources, now time.Time) int64 {
	slots := resources.countIn(target.freeCapacity(now))
	if !target.isCold(now) {
		return slots
	}
	if !target.mayTakeColdStart(now) {
		return 0
	}
	allowed := resources.countIn(target.coldFree(now))
	if len(target.allocations) == 0 {
		allowed = max(allowed, 1)
	}
	return min(slots, allowed, target.cold.ramp.RemainingStarts(now, target.cold.starts))
}

// releasesPerHour returns how many slots per hour become free on the target, given the rate of run ends there. On a cold target,
// these are at most the allowed starts; while it has capacity, they are the starts that are allowed as time passes.
func (target *target) releasesPerHour(runEnds int64, now time.Time) int64 {
	if !target.isCold(now) {
		return runEnds
	}
	if !target.readBySelf {
		return 0
	}
	rate := target.cold.ramp.StartRate(now)
	if rate <= 0 {
		return runEnds
	}
	allowed := int64(min(rate*time.Hour.Seconds(), math.MaxInt32))
	if target.coldFree(now).MilliCores > 0 {
		return allowed
	}
	return min(runEnds, allowed)
}
