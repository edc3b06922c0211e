package router

import (
	"math"
	"time"
)

const (
	// never is a time that does not come.
	never = math.MaxInt64
	// leaveHold outlasts the lag of 5 s of the instance list, which may show a leaving target as live.
	leaveHold = 10 * time.Second
	// defaultRunTime stands for the run time of a kind of which no task has finished.
	defaultRunTime = 200 * time.Millisecond
)

// state is a target's standing with the router.
type state uint8

const (
	healthy state = iota
	// slow targets were ejected because their run times stand out.
	slow
	// failing targets were ejected because of failures or silence.
	failing
)

// cell is what is known of one kind on one target.
type cell struct {
	mean  float32 // nanoseconds
	count float32
}

// kind is what is known of one kind on all targets.
type kind struct {
	mean  float64 // nanoseconds
	count float64
}

// target is the state that a router keeps of one target.
type target struct {
	Target
	list      *list // the list that the target is on, nil if it has no room
	listAt    int32 // position on the list
	inFlight  int32
	share     int32
	available int32   // share while the target may get work, else 0
	extra     float32 // slots beyond the share that may be borrowed
	version   uint32  // last snapshot that shows the target
	state     state
	gone      bool
	trial     bool // a trial is in flight

	factor   float32 // run time relative to the means of its kinds
	count    float32 // number of run times seen, up to a bound
	mean     float64 // run time of any kind, nanoseconds
	queue    float64 // assumed wait for a slot behind the tasks of all instances, nanoseconds
	queueAt  int64
	failures float32 // moving average of failures, 0 to 1
	streak   int32   // failures since the last success

	since        int64 // last sign of life while tasks are in flight
	pickedAt     int64
	pausedUntil  int64
	leavingUntil int64
	trialAt      int64
	trials       int32 // ejections in a row, which spread out the trials
	cells        []cell
}

func newTarget() *target { return &target{factor: 1, extra: -1} }

// age makes the next run times count as much as all those before, because the target may have changed.
func (target *target) age() {
	target.count = min(target.count, 1)
	for i := range target.cells {
		target.cells[i].count = min(target.cells[i].count, 1)
	}
}

// of returns the share of target's slots, at least 0 and at most all of them.
//
// The offset by the hash of the name rounds up for another instance at each
// target, and the shares of all instances add up to the slots.
func (share Share) of(target Target) int32 {
	hash := uint32(2166136261)
	for i := range len(target.name) {
		hash = (hash ^ uint32(target.name[i])) * 16777619
	}
	offset := float64(hash>>8) / (1 << 24)
	slots := float64(target.slots)
	return int32(math.Floor(share.high*slots+offset) - math.Floor(share.low*slots+offset))
}

// limit returns how many tasks this instance may have in flight on target.
func (router *Router) limit(target *target) int32 {
	if router.config.DisableBorrowing {
		return target.share
	}
	return target.share + int32(max(0, target.extra))
}

// place puts target on the list of those with own slots or slots to borrow, or on none if it may get no work.
func (router *Router) place(target *target) {
	if target.extra < 0 || target.extra > float32(target.slots)-float32(target.share) {
		// All slots may be borrowed until waits show that other instances use them.
		target.extra = float32(target.slots) - float32(target.share)
	}
	up := !target.gone && target.leavingUntil == 0 && target.state == healthy
	router.available -= target.available
	target.available = 0
	if up {
		target.available = target.share
	}
	router.available += target.available
	switch {
	case up && target.inFlight < target.share:
		router.own.take(target)
	case up && target.inFlight < router.limit(target):
		router.lent.take(target)
	case target.list != nil:
		target.list.remove(target)
	}
}

// list holds targets in no order; a target is on one list at most.
type list struct{ targets []*target }

// take moves target to the list.
func (list *list) take(target *target) {
	if target.list == list {
		return
	}
	if target.list != nil {
		target.list.remove(target)
	}
	target.list = list
	target.listAt = int32(len(list.targets))
	list.targets = append(list.targets, target)
}

func (list *list) remove(target *target) {
	last := list.targets[len(list.targets)-1]
	list.targets[target.listAt] = last
	last.listAt = target.listAt
	list.targets = list.targets[:len(list.targets)-1]
	target.list = nil
}

// estimate returns the expected run time of a task on target in nanoseconds.
func (router *Router) estimate(target *target, kindID int32) float64 {
	if int(kindID) < len(target.cells) {
		if cell := target.cells[kindID]; cell.count >= minCount {
			return float64(cell.mean)
		}
	}
	factor := float64(target.factor)
	if target.count < minCount {
		factor *= untriedFactor
	}
	return router.kinds[kindID].mean * factor
}
