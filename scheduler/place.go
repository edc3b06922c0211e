package scheduler

import (
	"hash/fnv"
	"time"
)

const (
	// startOverhead is the time of an order to start and of the word of the end, beside the run time.
	startOverhead = 6 * time.Millisecond
	// otherDomainCost is what a target in another failure domain must be faster to be chosen: its round trips are
	// longer and its bytes cost.
	otherDomainCost = 4 * time.Millisecond
	// lateCost weighs each unit of time past the objective against a longer run time.
	lateCost = 4
)

// place starts waiting tasks in the order of the queue on the targets with the least cost.
func (scheduler *Scheduler) place(now time.Time) {
	kept := scheduler.queue[:0]
	// full holds by service a size for which no target has room, so that larger tasks need no look.
	var full map[string]Size
	for _, task := range scheduler.queue {
		tooLarge, known := full[task.job.Service]
		if now.Before(task.notBefore) || (known && tooLarge.Fits(task.spec().Size)) {
			kept = append(kept, task)
			continue
		}
		best, room := scheduler.choose(task, now)
		if best == nil {
			if !room && len(task.avoided) == 0 && task.spec().Label == "" && task.spec().PerTarget == 0 {
				if full == nil {
					full = make(map[string]Size)
				}
				full[task.job.Service] = task.spec().Size
			}
			kept = append(kept, task)
			continue
		}
		scheduler.start(task, best, now)
	}
	clear(scheduler.queue[len(kept):])
	scheduler.queue = kept
}

// choose returns the target with the least cost for the task, or nil; room tells whether any had room.
func (scheduler *Scheduler) choose(task *task, now time.Time) (best *target, room bool) {
	step := task.spec()
	rate := scheduler.release(task.job.Service, now)
	// A task that can still be in time somewhere does not go where it would be late.
	hopeful := now.Add(startOverhead + time.Duration(float64(step.Estimate)/rate.best)).Before(task.job.Objective)
	bestCost := time.Duration(0)
	for _, target := range scheduler.byService[task.job.Service] {
		if !step.Size.Fits(target.room()) || !target.usable(now) || !target.hasLabel(step.Label) {
			continue
		}
		if task.avoided[target.ID] || (step.PerTarget > 0 && scheduler.siblings(task, target) >= step.PerTarget) {
			continue
		}
		room = true
		cost := target.predict(step.Estimate)
		if late := now.Add(startOverhead + cost).Sub(task.job.Objective); late > 0 {
			if hopeful {
				continue
			}
			cost += lateCost * late
		}
		if target.Domain != scheduler.domain {
			cost += otherDomainCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = target, cost
		}
	}
	return best, room
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
	room := on.room()
	task.state = starting
	task.attempt++
	task.on = on
	task.started = now
	task.missing = time.Time{}
	task.predicted = on.predict(step.Estimate)
	task.job.started = true
	on.occupy(task.run(), &occupant{owner: scheduler.self, size: step.Size, estimate: step.Estimate, claimed: now})
	on.extendLease(now)
	scheduler.act(StartTask{
		Claim:     Claim{Target: on.ID, Run: task.run(), Size: step.Size, Estimate: step.Estimate},
		On:        on.Target,
		Job:       task.job.ID,
		Body:      task.job.Body,
		Wanted:    task.job.Arrived,
		Room:      room,
		Predicted: task.predicted,
	})
}

// turnTime is how long an instance leaves freed room to the one whose turn it is: a claim reaches all within it.
const turnTime = 8 * time.Millisecond

// takeTurn decides who may claim freed room first, if several instances have tasks of the best priority waiting.
// Without it all of them start on the same target at once, and all but one are rejected.
func (scheduler *Scheduler) takeTurn(target *target, number int64, now time.Time) {
	own := scheduler.Demand()
	total := own
	for _, demand := range scheduler.demands {
		for priority, waiting := range demand {
			total[priority] += waiting
		}
	}
	for priority, waiting := range total {
		if waiting == 0 {
			continue
		}
		if waiting == own[priority] {
			return
		}
		if scheduler.winner(target.ID, number, priority, waiting, own[priority]) != scheduler.self {
			target.heldUntil = now.Add(turnTime)
		}
		return
	}
}

// winner draws an instance by its share of the waiting tasks of a priority; all instances draw the same one.
func (scheduler *Scheduler) winner(target string, number int64, priority int, total, own int64) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(target))
	_, _ = hash.Write([]byte{byte(number), byte(number >> 8), byte(number >> 16)})
	drawn := int64(hash.Sum32()) % total
	for _, incarnation := range scheduler.incarnations() {
		waiting := own
		if incarnation != scheduler.self {
			waiting = scheduler.demands[incarnation][priority]
		}
		if drawn < waiting {
			return incarnation
		}
		drawn -= waiting
	}
	return scheduler.self
}
