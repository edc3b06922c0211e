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
	// otherDomainCost is what a target in another failure domain must be faster to be chosen: its round trips are
	// longer and its bytes cost.
	otherDomainCost = 4 * time.Millisecond
	// unreadCost is what a target that another instance reads must be faster to be chosen: its room is known only as of
	// the last broadcast. unreadSpread is the part of the run time that is added at most, another one for each instance
	// and target, so that instances which hear of the same room do not all start on the same target; declared run
	// times are off by up to 40%. At 40 ms for all unread targets the median of the shortest kind rose from 93 to 102 ms.
	unreadCost   = 8 * time.Millisecond
	unreadSpread = 0.25
	// unknownShare is how much shorter a run counts on a target whose speed is not known yet, so that it is learned.
	unknownShare = 0.1
	// lateCost weighs each unit of time past the objective against a longer run time.
	lateCost = 4
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
		best := scheduler.choose(task, candidates, now)
		if best == nil {
			kept = append(kept, task)
			continue
		}
		best.free = best.free.Minus(task.spec().Resources)
		scheduler.start(task, best.target, now)
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
	found := scheduler.found[:0]
	scheduler.turned++
	for index := range scheduler.ordered {
		target := scheduler.ordered[(index+scheduler.turned)%len(scheduler.ordered)]
		if !target.usable(now) {
			continue
		}
		if free := target.room(now); least.Fits(free) {
			found = append(found, candidate{target, free})
		}
	}
	scheduler.found = found
	return found
}

// choose returns the candidate with the least cost for the task, or nil.
func (scheduler *Scheduler) choose(task *task, candidates []candidate, now time.Time) *candidate {
	step := task.spec()
	rate := scheduler.release(task.job.Service, now)
	// A task that can still be in time somewhere does not go where it would be late.
	hopeful := now.Add(startOverhead + time.Duration(float64(step.Estimate)/rate.best)).Before(task.job.Objective)
	var best *candidate
	bestCost := time.Duration(0)
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Service != task.job.Service || !step.Resources.Fits(candidate.free) || !candidate.hasLabel(step.Label) || task.avoided[candidate.ID] {
			continue
		}
		if candidate.trial && len(candidate.occupants) > 0 || step.MaxPerTarget > 0 && scheduler.siblings(task, candidate.target) >= step.MaxPerTarget {
			continue
		}
		cost := candidate.predict(step.Estimate)
		if late := now.Add(startOverhead + cost).Sub(task.job.Objective); late > 0 {
			if hopeful {
				continue
			}
			cost += lateCost * late
		}
		if candidate.speed.runs < ownRuns {
			cost -= time.Duration(unknownShare * float64(cost))
		}
		if candidate.Domain != scheduler.domain {
			cost += otherDomainCost
		}
		if !candidate.reader {
			cost += unreadCost + time.Duration(candidate.unreadBias*float64(cost))
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

// siblings counts the runs of the task's step on the target.
func (scheduler *Scheduler) siblings(task *task, target *target) int {
	count := 0
	for _, sibling := range task.job.tasks {
		if sibling.step == task.step && sibling.on == target && sibling.occupies() {
			count++
		}
	}
	return count
}

// start claims room on the target and orders the start.
func (scheduler *Scheduler) start(task *task, on *target, now time.Time) {
	step := task.spec()
	room := on.room(now)
	task.state = starting
	task.attempt++
	task.on = on
	task.started = now
	task.missing = time.Time{}
	task.predicted = on.predict(step.Estimate)
	on.occupy(task.run(), &occupant{owner: scheduler.self, size: step.Resources, estimate: step.Estimate, claimed: now})
	on.extendLease(now)
	scheduler.noteSize(step.Resources)
	if on.reader {
		scheduler.changed[on.ID] = true
	}
	scheduler.act(StartTask{
		Claim:           Claim{Target: on.ID, Run: task.run(), Resources: step.Resources, Estimate: step.Estimate},
		On:              on.Target,
		Job:             task.job.ID,
		Body:            task.job.Body,
		Arrived:         task.job.Arrived,
		Issued:          now,
		FreeCapacity:    room,
		FreeCapacityAge: on.roomAge(now),
		Predicted:       task.predicted,
	})
}

// turnTime is how long room that was offered to an instance is kept back from the others: its claim arrives within it.
const turnTime = 8 * time.Millisecond

// offer decides who may claim the room of a target first, if more tasks wait than find room anywhere: one of those with the
// best priority, drawn by the number of its waiting tasks. The others do not hear of the room until it was claimed or the
// turn is over. Without it all of them start on the same target at once, and all but one are rejected. Only the reader
// of the target calls it.
func (scheduler *Scheduler) offer(target *target, now time.Time) {
	delete(scheduler.offered, target.ID)
	target.heldUntil = time.Time{}
	if !target.reader || target.unreachable || target.Draining || target.room(now).MilliCores < scheduler.usualSize/2 {
		return
	}
	own := scheduler.Demand()
	total := own
	for _, demand := range scheduler.demands {
		for priority, waiting := range demand {
			total[priority] += waiting
		}
	}
	if total.upTo(priorities-1) <= scheduler.release(target.Service, now).free {
		// There is room for all who wait, and turns would only delay them.
		return
	}
	for priority, waiting := range total {
		if waiting == 0 {
			continue
		}
		target.draws++
		if winner := scheduler.draw(target.ID, target.draws, priority, waiting, own[priority]); winner != scheduler.self {
			target.heldUntil = now.Add(turnTime)
			scheduler.offered[target.ID] = true
			scheduler.act(OfferCapacity{To: winner, Target: target.ID, FreeCapacity: target.room(now)})
		}
		return
	}
}

// nextTurns offers the room anew whose turn has passed without a claim.
func (scheduler *Scheduler) nextTurns(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(scheduler.offered)) {
		target, ok := scheduler.targets[id]
		if !ok {
			delete(scheduler.offered, id)
			continue
		}
		if !now.Before(target.heldUntil) {
			scheduler.offer(target, now)
			scheduler.changed[id] = true
		}
	}
}

// draw returns an instance by its share of the waiting tasks of a priority.
func (scheduler *Scheduler) draw(target string, number int64, priority int, total, own int64) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(target))
	_, _ = hash.Write([]byte{byte(number), byte(number >> 8), byte(number >> 16)})
	drawn := int64(hash.Sum32())%total - own
	if drawn < 0 {
		return scheduler.self
	}
	for _, incarnation := range slices.Sorted(maps.Keys(scheduler.demands)) {
		if drawn -= scheduler.demands[incarnation][priority]; drawn < 0 {
			return incarnation
		}
	}
	return scheduler.self
}
