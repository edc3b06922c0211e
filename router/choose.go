package router

import "time"

const (
	// sampleSize is the number of targets that one decision compares if there are more than maxFullScan. The best of
	// 32 random targets is among the best tenth of all with a probability of 97%.
	sampleSize = 32
	// maxFullScan is the largest number of free targets that are all compared.
	maxFullScan = 64
	// explorationFactor scales down the expected run time on targets with few or old samples, so that they are tried.
	explorationFactor = 0.6
	// minSamples is the number of run times from which a mean is used.
	minSamples = 3
	// silenceRatio is the time without an answer from a target with tasks in flight, relative to its mean run time,
	// beyond which other targets are preferred.
	silenceRatio = 2
	// failurePenalty is the relative increase of the cost for each failure since the last success.
	failurePenalty = 2
	// staleAfter is the time since the last pick after which a target's speed may have changed and is measured again.
	staleAfter = 10 * time.Second
	// queueWaitLifetime is the time in which the expected wait for a slot decreases to 0 without a new answer.
	queueWaitLifetime = 2 * time.Second
)

// Pick chooses a target for one task of kind; it reports false if no target has free capacity.
func (router *Router) Pick(kind string, now time.Time) (Choice, bool) {
	router.mu.Lock()
	defer router.mu.Unlock()
	nanos := now.UnixNano()
	kindID := router.kindID(kind)
	if target := router.dueTrial(nanos); target != nil {
		return router.assign(target, kindID, nanos, true), true
	}
	for {
		target := router.chooseTarget(kindID, nanos)
		if target == nil {
			return Choice{}, false
		}
		if !router.overdue(target, nanos) || !router.eject(target, failing, nanos) {
			return router.assign(target, kindID, nanos, false), true
		}
	}
}

// kindID returns the index of the kind named name in router.kinds; it adds the kind if it is not known.
func (router *Router) kindID(name string) int32 {
	if id, ok := router.kindIDs[name]; ok {
		return id
	}
	id := int32(len(router.kinds))
	router.kindIDs[name] = id
	router.kinds = append(router.kinds, kindStats{meanRunTime: float64(defaultRunTime)})
	return id
}

// assign counts a new task on target and returns its choice.
func (router *Router) assign(target *target, kindID int32, now int64, trial bool) Choice {
	if target.inFlight == 0 {
		target.lastActivityAt = now
	}
	target.inFlight++
	if now-target.pickedAt > int64(staleAfter) {
		target.discountHistory()
	}
	target.pickedAt = now
	target.trialInFlight = target.trialInFlight || trial
	router.inFlight++
	router.reindex(target)
	return Choice{target: target, kind: kindID, inFlight: target.inFlight, chosenAt: now, trial: trial}
}

// candidates are the targets that one decision chooses from: first those with free slots within the share, then
// those with slots to borrow.
type candidates struct{ own, borrowable []*target }

func (candidates candidates) len() int { return len(candidates.own) + len(candidates.borrowable) }

// at returns candidate i modulo the number of candidates.
func (candidates candidates) at(i int) *target {
	i %= candidates.len()
	if i < len(candidates.own) {
		return candidates.own[i]
	}
	return candidates.borrowable[i-len(candidates.own)]
}

// candidates returns the targets that may take a task of the kind, including paused ones.
//
// A long task would hold a borrowed slot for longer than the instance that owns
// it can wait, so only kinds whose mean run time is at most that of all tasks
// borrow. An instance without own slots, as after the loss of its targets,
// borrows for all kinds.
func (router *Router) candidates(kindID int32) candidates {
	if router.availableShare > 0 && router.kinds[kindID].meanRunTime > router.meanRunTime {
		return candidates{own: router.own.targets}
	}
	return candidates{own: router.own.targets, borrowable: router.borrowable.targets}
}

// chooseTarget returns the target that the policy selects, or nil if none may take the kind now.
func (router *Router) chooseTarget(kindID int32, now int64) *target {
	candidates := router.candidates(kindID)
	count := candidates.len()
	if count == 0 {
		return nil
	}
	switch router.config.Policy.(type) {
	case RoundRobin:
		router.roundRobinCounter++
		return candidates.firstReady(int(router.roundRobinCounter%uint64(count)), now)
	case Random:
		return candidates.firstReady(router.randomIndex(count), now)
	case LeastInFlight:
		return router.cheapest(candidates, count, kindID, now, tasksPerSlot)
	case PowerOfTwoChoices:
		a, b := candidates.firstReady(router.randomIndex(count), now), candidates.firstReady(router.randomIndex(count), now)
		if a != nil && tasksPerSlot(router, b, kindID, now) < tasksPerSlot(router, a, kindID, now) {
			return b
		}
		return a
	default:
		return router.cheapest(candidates, sampleSize, kindID, now, expectedCompletion)
	}
}

// firstReady returns the first candidate from index first on that is not paused, or nil.
func (candidates candidates) firstReady(first int, now int64) *target {
	for i := range candidates.len() {
		if target := candidates.at(first + i); target.pausedUntil <= now {
			return target
		}
	}
	return nil
}

// cheapest returns the candidate with the lowest cost. It compares all candidates if there are at most maxFullScan, and
// otherwise only sample of them. If all that it compares are paused, it returns the first candidate that is not, or
// nil.
func (router *Router) cheapest(candidates candidates, sample int, kindID int32, now int64, cost func(*Router, *target, int32, int64) float64) *target {
	var cheapest *target
	var lowest float64
	count, stride := candidates.len(), 1
	first := router.randomIndex(count)
	if count > maxFullScan && sample < count {
		// A fixed stride from a random start draws distinct targets without further state.
		count, stride = sample, count/sample
	}
	for i := range count {
		target := candidates.at(first + i*stride)
		if target.pausedUntil > now {
			continue
		}
		if value := cost(router, target, kindID, now); cheapest == nil || value < lowest {
			cheapest, lowest = target, value
		}
	}
	if cheapest == nil {
		return candidates.firstReady(first, now)
	}
	return cheapest
}

// tasksPerSlot is a cost function: the number of tasks in flight per slot.
func tasksPerSlot(_ *Router, target *target, _ int32, _ int64) float64 {
	return float64(target.inFlight) / float64(max(1, target.slots))
}

// expectedCompletion is a cost function: the expected time from now to the end of a task on target, in nanoseconds.
//
// Failures raise the cost, however fast they are, so that targets that fail
// fast do not attract tasks. A target with tasks in flight that has not
// answered for longer than usual is assumed to need the same time again.
func expectedCompletion(router *Router, target *target, kindID int32, now int64) float64 {
	run := router.expectedRunTime(target, kindID)
	if now-target.pickedAt > int64(staleAfter) {
		return run * explorationFactor
	}
	cost := run + target.expectedQueueWait(now)
	if silence := float64(now - target.lastActivityAt); target.inFlight > 0 && silence > silenceRatio*target.meanRunTime {
		cost += silence
	}
	return cost * float64(1+failurePenalty*target.consecutiveFailures)
}

// expectedQueueWait returns the wait for a slot seen in the last answers, reduced linearly with their age.
func (target *target) expectedQueueWait(now int64) float64 {
	age := float64(now-target.queueWaitAt) / float64(queueWaitLifetime)
	return target.queueWait * max(0, 1-age)
}

// randomIndex returns a random number from 0 to n-1; n must be positive.
func (router *Router) randomIndex(n int) int { return int(router.random.Uint64() >> 33 % uint64(n)) }
