package scheduler

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/isolator"
)

const (
	// startOverhead is the time that a start request and the report of the run's end add to the run time.
	startOverhead = 6 * time.Millisecond
	// crossDomainCost is how much faster a target in another failure domain must be to be chosen, since its round trips
	// are longer and its traffic costs more.
	crossDomainCost = 4 * time.Millisecond
	// nonReaderCost is how much faster a target that another instance reads must be to be chosen, since its free
	// capacity is known only as of the last broadcast. At 40 ms, the median latency of the shortest jobs rose from 93
	// to 102 ms. nonReaderSpread is the maximum share of the run time that is added to this cost. The actual share
	// differs by instance and target, so that instances with the same view do not all choose the same target; declared
	// run times are off by up to 40%.
	nonReaderCost   = 8 * time.Millisecond
	nonReaderSpread = 0.25
	// explorationDiscount is the share by which the expected run time is reduced on a target whose speed is not known
	// yet, so that it gets runs from which its speed is learned.
	explorationDiscount = 0.1
	// latenessWeight is the cost of each unit of time past the objective, relative to a unit of run time.
	latenessWeight = 4
)

// place starts waiting tasks in queue order, each on the target with the lowest cost.
func (scheduler *Scheduler) place(now time.Time) {
	if len(scheduler.queue) == 0 || now.Before(scheduler.startsHeldUntil) || scheduler.AwaitsFirstLook() {
		return
	}
	if scheduler.link.Backlog(now) > maxStartBacklog {
		return
	}
	candidates := scheduler.candidates(now)
	if len(candidates) == 0 {
		return
	}
	kept := scheduler.queue[:0]
	for _, task := range scheduler.queue {
		// After a pause, jobs may be past their deadlines before Tick has removed them.
		if scheduler.link.Backlog(now) > maxStartBacklog || !now.Before(task.job.Deadline) || scheduler.held(task.job) || scheduler.mayStillRun(task.name, now) || scheduler.earlierRunGoesOn(task, now) || scheduler.awaitsLateRun(task.name, now) || scheduler.mayBeAbandoned(task.job, now) || !scheduler.placeTask(task, candidates, now) {
			kept = append(kept, task)
		}
	}
	clear(scheduler.queue[len(kept):])
	scheduler.queue = kept
}

// placeTask starts a task on the most suitable candidate, and reports whether there was one.
func (scheduler *Scheduler) placeTask(task *task, candidates []candidate, now time.Time) bool {
	if scheduler.assess(task.name) != isolator.Free {
		target := scheduler.chooseIsolated(task, candidates, now)
		if target == nil {
			return false
		}
		target.isolatedJob = task.job.ID
		// Claiming the whole target keeps other jobs away.
		scheduler.startTask(task, target, target.Capacity, now)
		for i := range candidates {
			if candidates[i].target == target {
				candidates[i].free = Resources{}
			}
		}
		return true
	}
	best := scheduler.chooseTarget(task, candidates, now)
	if best == nil {
		return false
	}
	scheduler.startTask(task, best.target, task.spec().Resources, now)
	best.free = best.limitFree(best.free.Minus(task.spec().Resources), now)
	return true
}

// candidate is a target that may get work, and its free capacity.
type candidate struct {
	*target
	free Resources
}

// candidates returns the targets with capacity for the smallest waiting task. Under load there are few.
func (scheduler *Scheduler) candidates(now time.Time) []candidate {
	least := scheduler.queue[0].spec().Resources.MilliCores
	for _, task := range scheduler.queue {
		least = min(least, task.spec().Resources.MilliCores)
	}
	return scheduler.candidatesFor(Resources{MilliCores: least}, now)
}

func (scheduler *Scheduler) candidatesFor(least Resources, now time.Time) []candidate {
	candidates := scheduler.candidateBuffer[:0]
	scheduler.rotation++
	for index := range scheduler.ordered {
		target := scheduler.ordered[(index+scheduler.rotation)%len(scheduler.ordered)]
		if !target.usable(now) {
			continue
		}
		if free := target.limitFree(target.freeCapacity(now), now); least.Fits(free) && scheduler.mayStartOn(target, now) {
			candidates = append(candidates, candidate{target, free})
		}
	}
	scheduler.candidateBuffer = candidates
	return candidates
}

// chooseTarget returns the candidate with the lowest cost for the task, or nil if none is suitable.
func (scheduler *Scheduler) chooseTarget(task *task, candidates []candidate, now time.Time) *candidate {
	step := task.spec()
	rate := scheduler.releaseRateOf(task.job.Service, now)
	// If some target can still meet the objective, targets that would miss it are not considered.
	canMeetObjective := now.Add(startOverhead + time.Duration(float64(step.Estimate)/rate.bestSpeed)).Before(task.job.Objective)
	contentionCost := scheduler.contention.cost()
	boundTo, _ := scheduler.outstandingElsewhere(task.name, "", now)
	var best *candidate
	bestCost := time.Duration(0)
	for i := range candidates {
		candidate := &candidates[i]
		if boundTo != "" && candidate.ID != boundTo {
			continue
		}
		if !step.Resources.Fits(candidate.free) || candidate.probation && len(candidate.allocations) > 0 || !scheduler.mayRunOn(task, candidate.target, now) {
			continue
		}
		cost := candidate.predict(step.Estimate)
		if late := now.Add(startOverhead + cost).Sub(task.job.Objective); late > 0 {
			if canMeetObjective {
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
		if !candidate.readBySelf {
			cost += nonReaderCost + time.Duration(candidate.nonReaderBias*float64(cost)) + contentionCost
		}
		cost += candidate.coldCost(now)
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// RendezvousHash returns a number between 0 and 1 that is determined by the instance and the target.
func RendezvousHash(instance, target string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance))
	_, _ = hash.Write([]byte{'/'})
	_, _ = hash.Write([]byte(target))
	sum := hash.Sum64()
	// In FNV-1a, the last bytes affect mainly the low bits; this mixing spreads them over all bits.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	const mantissa = 1 << 53
	return (float64(sum>>11) + 0.5) / mantissa
}

// mayRunOn reports whether a task may run on a target at all: by its service and label, by what the target has answered to the
// task before, by the starts of it that others may still carry out, and by the runs of its step there.
func (scheduler *Scheduler) mayRunOn(task *task, target *target, now time.Time) bool {
	step := task.spec()
	if target.Service != task.job.Service || !target.hasLabel(step.Label) || task.avoided[target.ID] && !scheduler.mustStayOn(task, target, now) {
		return false
	}
	if on, _ := scheduler.outstandingElsewhere(task.name, target.ID, now); on != "" {
		return false
	}
	return step.MaxPerTarget <= 0 || scheduler.siblingsOn(task, target, now) < step.MaxPerTarget
}

// startTask claims capacity on the target and issues the start request.
func (scheduler *Scheduler) startTask(task *task, runTarget *target, claimed Resources, now time.Time) {
	step := task.spec()
	freeCapacity := runTarget.freeCapacity(now)
	task.state = starting
	task.attempt++
	task.runTarget = runTarget
	task.incarnation = runTarget.Incarnation
	task.startedAt, task.answeredAt, task.accepted = now, time.Time{}, false
	task.stopAcceptedAt, task.endEvidence = time.Time{}, ""
	task.missingSince = time.Time{}
	task.predicted = runTarget.predict(step.Estimate)
	runTarget.allocate(task.run(), &allocation{owner: scheduler.self, resources: claimed, estimate: step.Estimate, claimedAt: now, reportedAt: runTarget.reportedAt})
	runTarget.extendLease(now, LeaseStarted)
	scheduler.recordRunResources(step.Resources)
	if runTarget.readBySelf {
		scheduler.changedTargets[runTarget.ID] = true
	}
	outstandingOn, outstandingFor := scheduler.outstandingElsewhere(task.name, runTarget.ID, now)
	scheduler.emit(StartTask{
		Claim:                Claim{Target: runTarget.ID, Run: task.run(), Resources: claimed, Estimate: step.Estimate, Incarnation: task.incarnation},
		RunTarget:            runTarget.Target,
		Job:                  task.job.ID,
		Body:                 task.job.Body,
		Arrived:              task.job.Arrived,
		Issued:               now,
		Deadline:             task.job.Deadline,
		FreeCapacity:         freeCapacity,
		FreeCapacityAge:      runTarget.freeCapacityAge(now),
		FreeCapacityEvidence: runTarget.capacityEvidence(now),
		Reserve:              scheduler.reserves(runTarget, now),
		Predicted:            task.predicted,
		TransmittedAt:        now.Add(scheduler.link.Send(len(task.job.Body), now)),
		OutstandingOn:        outstandingOn,
		OutstandingFor:       outstandingFor,
	})
}

// offerTimeout is how long capacity offered to one instance is withheld from the others; its claim arrives within this
// time.
const offerTimeout = 8 * time.Millisecond

// offerCapacity decides which instance may claim the free capacity of a target first, when more tasks wait than there
// are free slots. It draws one of the instances whose waiting tasks have the most urgent priority, weighted by their
// number of such tasks. The capacity is not reported to the others until it is claimed or the offer expires. Without
// offers, all instances would start on the same target at once and all but one would be rejected. Only the reader of
// the target calls offerCapacity.
func (scheduler *Scheduler) offerCapacity(target *target, now time.Time) {
	delete(scheduler.offered, target.ID)
	target.heldUntil = time.Time{}
	if !target.readBySelf || target.unreachable || target.Draining || target.evacuated || target.awaitsEntry() || target.awaitsAnswer() || target.withholdsCapacity(now) || target.isCold(now) || target.freeCapacity(now).MilliCores < scheduler.typicalMilliCores/2 {
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
		// There are enough free slots for all waiting tasks, and offers would only delay them.
		return
	}
	for priority, waiting := range total {
		if waiting == 0 {
			continue
		}
		target.offerCount++
		if recipient := scheduler.drawRecipient(target.ID, target.offerCount, priority, waiting, own[priority]); recipient != scheduler.self {
			target.heldUntil = now.Add(offerTimeout)
			scheduler.offered[target.ID] = true
			scheduler.emit(OfferCapacity{
				CapacityReport: CapacityReport{Target: target.ID, Incarnation: target.answeredIncarnation(), FreeCapacity: target.freeCapacity(now)}, To: recipient,
			})
		}
		return
	}
}

// repeatExpiredOffers makes a new offer for each target whose last offer expired without a claim.
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

// drawRecipient draws an instance with a probability proportional to its share of the waiting tasks of a priority. The
// draw is determined by the target and number.
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
