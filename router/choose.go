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
	for {
		target := router.choose(kindID, nanos)
		if target == nil {
			return Choice{}, false
		}
		if !router.overdue(target, nanos) || !router.eject(target, failing, nanos) {
			return router.start(target, kindID, nanos, false), true
		}
	}
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

// candidates are the targets that one decision chooses from: those with own slots, then those to borrow from.
type candidates struct{ own, lent []*target }

func (candidates candidates) len() int { return len(candidates.own) + len(candidates.lent) }

// at returns candidate i, counted from the start again beyond the last.
func (candidates candidates) at(i int) *target {
	i %= candidates.len()
	if i < len(candidates.own) {
		return candidates.own[i]
	}
	return candidates.lent[i-len(candidates.own)]
}

// candidates returns the targets that may take a task of the kind, apart from their pauses.
//
// A long task would hold a borrowed slot for longer than its owner can wait, so
// only kinds that run for no longer than the mean of all tasks borrow. An
// instance without own slots, as after the loss of its targets, borrows for all.
func (router *Router) candidates(kindID int32) candidates {
	if router.available > 0 && router.kinds[kindID].mean > router.mean {
		return candidates{own: router.own.targets}
	}
	return candidates{own: router.own.targets, lent: router.lent.targets}
}

// choose returns the best target by the policy, or nil if none may take the kind now.
func (router *Router) choose(kindID int32, now int64) *target {
	candidates := router.candidates(kindID)
	count := candidates.len()
	if count == 0 {
		return nil
	}
	switch router.config.Policy.(type) {
	case RoundRobin:
		router.turn++
		return candidates.firstReady(int(router.turn%uint64(count)), now)
	case Random:
		return candidates.firstReady(router.below(count), now)
	case LeastInFlight:
		return router.best(candidates, count, kindID, now, load)
	case PowerOfTwoChoices:
		a, b := candidates.firstReady(router.below(count), now), candidates.firstReady(router.below(count), now)
		if a != nil && load(router, b, kindID, now) < load(router, a, kindID, now) {
			return b
		}
		return a
	default:
		return router.best(candidates, sampleSize, kindID, now, completion)
	}
}

// firstReady returns the first candidate at or after from that does not pause, or nil.
func (candidates candidates) firstReady(from int, now int64) *target {
	for i := range candidates.len() {
		if target := candidates.at(from + i); target.pausedUntil <= now {
			return target
		}
	}
	return nil
}

// best returns the candidate with the lowest cost among all, or among a sample if there are many.
func (router *Router) best(candidates candidates, sample int, kindID int32, now int64, cost func(*Router, *target, int32, int64) float64) *target {
	var best *target
	var lowest float64
	count, stride := candidates.len(), 1
	from := router.below(count)
	if count > scanSize && sample < count {
		// A stride through the lists draws distinct targets without state.
		count, stride = sample, count/sample
	}
	for i := range count {
		target := candidates.at(from + i*stride)
		if target.pausedUntil > now {
			continue
		}
		if value := cost(router, target, kindID, now); best == nil || value < lowest {
			best, lowest = target, value
		}
	}
	if best == nil {
		return candidates.firstReady(from, now)
	}
	return best
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
