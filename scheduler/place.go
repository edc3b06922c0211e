package scheduler

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// startOverhead is the time of an order to start and of the word of the end, beside the run time.
	startOverhead = 6 * time.Millisecond
	// crossDomainCost is what a target in another failure domain must be faster to be chosen: its round trips are
	// longer and its bytes cost.
	crossDomainCost = 4 * time.Millisecond
	// nonReaderCost is what a target that another instance reads must be faster to be chosen: its room is known only as of
	// the last broadcast. unreadSpread is the part of the run time that is added at most, another one for each instance
	// and target, so that instances which hear of the same room do not all start on the same target; declared run
	// times are off by up to 40%. At 40 ms for all unread targets the median of the shortest kind rose from 93 to 102 ms.
	nonReaderCost   = 8 * time.Millisecond
	nonReaderSpread = 0.25
	// explorationDiscount is how much shorter a run counts on a target whose speed is not known yet, so that it is learned.
	explorationDiscount = 0.1
	// latenessWeight weighs each unit of time past the objective against a longer run time.
	latenessWeight = 4
)

// place starts waiting tasks in the order of the queue on the targets with the least cost.
func (scheduler *Scheduler) place(now time.Time) {
	if len(scheduler.queue) == 0 {
		return
	}
	candidates := scheduler.candidates(now)
	if len(candidates) == 0 {
		return
	}
	kept := scheduler.queue[:0]
	for _, task := range scheduler.queue {
		if now.Before(task.notBefore) {
			kept = append(kept, task)
			continue
		}
		best := scheduler.chooseTarget(task, candidates, now)
		if best == nil {
			kept = append(kept, task)
			continue
		}
		best.free = best.free.Minus(task.spec().Resources)
		scheduler.startTask(task, best.target, now)
	}
	clear(scheduler.queue[len(kept):])
	scheduler.queue = kept
}

// candidate is a target that may take work, with its room.
type candidate struct {
	*target
	free Resources
}

// candidates returns the targets that have room for the smallest waiting task; under load there are few.
func (scheduler *Scheduler) candidates(now time.Time) []candidate {
	least := scheduler.queue[0].spec().Resources.MilliCores
	for _, task := range scheduler.queue {
		least = min(least, task.spec().Resources.MilliCores)
	}
	return scheduler.candidatesFor(Resources{MilliCores: least}, now)
}

func (scheduler *Scheduler) candidatesFor(least Resources, now time.Time) []candidate {
	candidateBuffer := scheduler.candidateBuffer[:0]
	scheduler.rotation++
	for index := range scheduler.ordered {
		target := scheduler.ordered[(index+scheduler.rotation)%len(scheduler.ordered)]
		if !target.usable(now) {
			continue
		}
		if free := target.freeCapacity(now); least.Fits(free) {
			candidateBuffer = append(candidateBuffer, candidate{target, free})
		}
	}
	scheduler.candidateBuffer = candidateBuffer
	return candidateBuffer
}

// chooseTarget returns the candidate with the least cost for the task, or nil.
func (scheduler *Scheduler) chooseTarget(task *task, candidates []candidate, now time.Time) *candidate {
	step := task.spec()
	rate := scheduler.releaseRateOf(task.job.Service, now)
	// A task that can still be in time somewhere does not go where it would be late.
	hopeful := now.Add(startOverhead + time.Duration(float64(step.Estimate)/rate.bestSpeed)).Before(task.job.Objective)
	var best *candidate
	bestCost := time.Duration(0)
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Service != task.job.Service || !step.Resources.Fits(candidate.free) || !candidate.hasLabel(step.Label) || task.avoided[candidate.ID] {
			continue
		}
		if candidate.probation && len(candidate.allocations) > 0 || step.MaxPerTarget > 0 && scheduler.siblingRuns(task, candidate.target) >= step.MaxPerTarget {
			continue
		}
		cost := candidate.predict(step.Estimate)
		if late := now.Add(startOverhead + cost).Sub(task.job.Objective); late > 0 {
			if hopeful {
				continue
			}
			cost += latenessWeight * late
		}
		if candidate.speed.runs < priorRuns {
			cost -= time.Duration(explorationDiscount * float64(cost))
		}
		if candidate.Domain != scheduler.domain {
			cost += crossDomainCost
		}
		if !candidate.isReader {
			cost += nonReaderCost + time.Duration(candidate.nonReaderBias*float64(cost))
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// RendezvousHash returns a number between 0 and 1 that is drawn once and for all for an instance and a target.
func RendezvousHash(instance, target string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance))
	_, _ = hash.Write([]byte{'/'})
	_, _ = hash.Write([]byte(target))
	sum := hash.Sum64()
	// FNV leaves the last bytes in the low bits; the mixing spreads them over all.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	const mantissa = 1 << 53
	return (float64(sum>>11) + 0.5) / mantissa
}

// siblingRuns counts the runs of the task's step on the target.
func (scheduler *Scheduler) siblingRuns(task *task, target *target) int {
	count := 0
	for _, sibling := range task.job.tasks {
		if sibling.step == task.step && sibling.runTarget == target && sibling.mayBeRunning() {
			count++
		}
	}
	return count
}

// startTask claims room on the target and orders the start.
func (scheduler *Scheduler) startTask(task *task, runTarget *target, now time.Time) {
	step := task.spec()
	freeCapacity := runTarget.freeCapacity(now)
	task.state = starting
	task.attempt++
	task.runTarget = runTarget
	task.startedAt = now
	task.missingSince = time.Time{}
	task.predicted = runTarget.predict(step.Estimate)
	runTarget.allocate(task.run(), &allocation{owner: scheduler.self, resources: step.Resources, estimate: step.Estimate, claimedAt: now})
	runTarget.extendLease(now)
	scheduler.recordRunSize(step.Resources)
	if runTarget.isReader {
		scheduler.changedTargets[runTarget.ID] = true
	}
	scheduler.emit(StartTask{
		Claim:           Claim{Target: runTarget.ID, Run: task.run(), Resources: step.Resources, Estimate: step.Estimate},
		On:              runTarget.Target,
		Job:             task.job.ID,
		Body:            task.job.Body,
		Arrived:         task.job.Arrived,
		Issued:          now,
		FreeCapacity:    freeCapacity,
		FreeCapacityAge: runTarget.freeCapacityAge(now),
		Predicted:       task.predicted,
	})
}

// offerTimeout is how long room that was offered to an instance is kept back from the others: its claim arrives within it.
const offerTimeout = 8 * time.Millisecond

// offerCapacity decides who may claim the room of a target first, if more tasks wait than find room anywhere: one of those with the
// best priority, drawn by the number of its waiting tasks. The others do not hear of the room until it was claimed or the
// turn is over. Without it all of them start on the same target at once, and all but one are rejected. Only the reader
// of the target calls it.
func (scheduler *Scheduler) offerCapacity(target *target, now time.Time) {
	delete(scheduler.offered, target.ID)
	target.heldUntil = time.Time{}
	if !target.isReader || target.unreachable || target.Draining || target.freeCapacity(now).MilliCores < scheduler.typicalMilliCores/2 {
		return
	}
	own := scheduler.Demand()
	total := own
	for _, demand := range scheduler.peerDemands {
		for priority, waiting := range demand {
			total[priority] += waiting
		}
	}
	if total.upTo(priorityLevels-1) <= scheduler.releaseRateOf(target.Service, now).freeSlots {
		// There is room for all who wait, and turns would only delay them.
		return
	}
	for priority, waiting := range total {
		if waiting == 0 {
			continue
		}
		target.offerCount++
		if winner := scheduler.drawRecipient(target.ID, target.offerCount, priority, waiting, own[priority]); winner != scheduler.self {
			target.heldUntil = now.Add(offerTimeout)
			scheduler.offered[target.ID] = true
			scheduler.emit(OfferCapacity{To: winner, Target: target.ID, FreeCapacity: target.freeCapacity(now)})
		}
		return
	}
}

// repeatExpiredOffers offers the room anew whose turn has passed without a claim.
func (scheduler *Scheduler) repeatExpiredOffers(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(scheduler.offered)) {
		target, ok := scheduler.targets[id]
		if !ok {
			delete(scheduler.offered, id)
			continue
		}
		if !now.Before(target.heldUntil) {
			scheduler.offerCapacity(target, now)
			scheduler.changedTargets[id] = true
		}
	}
}

// drawRecipient returns an instance by its share of the waiting tasks of a priority.
func (scheduler *Scheduler) drawRecipient(target string, number int64, priority int, total, own int64) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(target))
	_, _ = hash.Write([]byte{byte(number), byte(number >> 8), byte(number >> 16)})
	drawn := int64(hash.Sum32())%total - own
	if drawn < 0 {
		return scheduler.self
	}
	for _, incarnation := range slices.Sorted(maps.Keys(scheduler.peerDemands)) {
		if drawn -= scheduler.peerDemands[incarnation][priority]; drawn < 0 {
			return incarnation
		}
	}
	return scheduler.self
}
