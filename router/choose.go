package router

import "time"

const (
	// sampleSize bounds the targets that one decision looks at; the best of 32 lies in the best tenth with
	// a probability of 97%.
	sampleSize = 32
	// scanSize is the number of free targets up to which all are looked at.
	scanSize = 64
	// untriedFactor makes targets without a history look fast enough to be tried.
	untriedFactor = 0.6
	// minCount is the number of run times from which a mean is trusted.
	minCount = 3
	// silenceRatio is the silence of a target with tasks in flight, relative to its mean run time, from which
	// others are preferred.
	silenceRatio = 2
	// failureCost is how much each failure since the last success raises the cost.
	failureCost = 2
	// staleAfter is the time without a task after which a target's speed is worth learning again.
	staleAfter = 10 * time.Second
	// queueMemory is the time in which an assumed queue fades without news.
	queueMemory = 2 * time.Second
)

// Pick chooses a target for one task of kind; it reports false if no target has room.
func (router *Router) Pick(kind string, now time.Time) (Choice, bool) {
	router.mu.Lock()
	defer router.mu.Unlock()
	nanos := now.UnixNano()
	kindID := router.kindID(kind)
	if target := router.dueTrial(nanos); target != nil {
		return router.start(target, kindID, nanos, true), true
	}
	for len(router.free) > 0 {
		target := router.choose(kindID, nanos)
		if target == nil {
			return Choice{}, false
		}
		if !router.overdue(target, nanos) || !router.eject(target, failing, nanos) {
			return router.start(target, kindID, nanos, false), true
		}
	}
	return Choice{}, false
}

func (router *Router) kindID(name string) int32 {
	if id, ok := router.kindByID[name]; ok {
		return id
	}
	id := int32(len(router.kinds))
	router.kindByID[name] = id
	router.kinds = append(router.kinds, kind{mean: float64(defaultRunTime)})
	return id
}

func (router *Router) start(target *target, kindID int32, now int64, trial bool) Choice {
	if target.inFlight == 0 {
		target.since = now
	}
	target.inFlight++
	if now-target.pickedAt > int64(staleAfter) {
		target.age()
	}
	target.pickedAt = now
	target.trial = target.trial || trial
	router.inFlight++
	router.place(target)
	return Choice{target: target, kind: kindID, inFlight: target.inFlight, at: now, trial: trial}
}

// choose returns the best free target by the policy, or nil if none may take the kind now.
func (router *Router) choose(kindID int32, now int64) *target {
	switch router.config.Policy.(type) {
	case RoundRobin:
		router.turn++
		return router.firstReady(int(router.turn%uint64(len(router.free))), kindID, now)
	case Random:
		return router.firstReady(router.below(len(router.free)), kindID, now)
	case LeastInFlight:
		return router.best(len(router.free), kindID, now, load)
	case TwoChoices:
		a := router.firstReady(router.below(len(router.free)), kindID, now)
		b := router.firstReady(router.below(len(router.free)), kindID, now)
		if a != nil && load(router, b, kindID, now) < load(router, a, kindID, now) {
			return b
		}
		return a
	default:
		return router.best(sampleSize, kindID, now, completion)
	}
}

func (router *Router) firstReady(from int, kindID int32, now int64) *target {
	for i := range router.free {
		target := router.free[(from+i)%len(router.free)]
		if target.pausedUntil <= now && router.mayBorrow(target, kindID) {
			return target
		}
	}
	return nil
}

// best returns the target with the lowest cost among all free ones, or among a sample if there are many.
func (router *Router) best(sample int, kindID int32, now int64, cost func(*Router, *target, int32, int64) float64) *target {
	var best *target
	var lowest float64
	count := len(router.free)
	from := router.below(count)
	stride := 1
	if count > scanSize && sample < count {
		// A stride through the list draws distinct targets without state.
		stride = max(1, count/sample)
		count = sample
	}
	for i := range count {
		target := router.free[(from+i*stride)%len(router.free)]
		if target.pausedUntil > now || !router.mayBorrow(target, kindID) {
			continue
		}
		if value := cost(router, target, kindID, now); best == nil || value < lowest {
			best, lowest = target, value
		}
	}
	return best
}

// mayBorrow reports whether a task of the kind may take the next slot of target, if that is beyond the share.
//
// A long task would hold a borrowed slot for longer than its owner can wait, so
// only kinds that run for no longer than the mean of all tasks borrow. An
// instance without own slots, as after the loss of its targets, borrows for all.
func (router *Router) mayBorrow(target *target, kindID int32) bool {
	return target.inFlight < target.share || router.available == 0 || router.kinds[kindID].mean <= router.mean
}

func load(_ *Router, target *target, _ int32, _ int64) float64 {
	return float64(target.inFlight) / float64(max(1, target.slots))
}

// completion returns the expected time from now to the end of a task on target, in nanoseconds.
//
// A failed start delivers nothing, so failures raise the cost; the speed of a
// failure never lowers it. A silence longer than usual counts as a wait.
func completion(router *Router, target *target, kindID int32, now int64) float64 {
	run := router.estimate(target, kindID)
	if now-target.pickedAt > int64(staleAfter) {
		return run * untriedFactor
	}
	cost := run + target.assumedWait(now)
	if silence := float64(now - target.since); target.inFlight > 0 && silence > silenceRatio*target.mean {
		cost += silence
	}
	return cost * float64(1+failureCost*target.streak)
}

// assumedWait returns the wait that the last answers showed, fading with their age.
func (target *target) assumedWait(now int64) float64 {
	age := float64(now-target.queueAt) / float64(queueMemory)
	return target.queue * max(0, 1-age)
}

// below returns a number from 0 to n-1; n must be positive.
func (router *Router) below(n int) int { return int(router.random.Uint64() >> 33 % uint64(n)) }
