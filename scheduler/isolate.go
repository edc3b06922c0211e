package scheduler

import (
	"math"
	"time"

	"github.com/hyssoplift/hyssoplift/isolator"
)

const (
	// maxDownDivisor: a task that may have crashed a target starts again only while fewer than 1/maxDownDivisor of the
	// targets of its service are down after crashes, so that its second crash costs the other jobs little. Below minDown
	// targets, it starts again if half of them would be left.
	maxDownDivisor = 8
	minDown        = 2
	// routeDownDivisor: while 1/routeDownDivisor of the targets of a service are down after crashes by tasks of one route,
	// no further job of that route starts; the remaining targets serve the other routes.
	routeDownDivisor = 4
	// minRouteDown is the number of targets below which no route is suspended: a single job must not stop its whole route.
	minRouteDown = 2
)

// submitSuspected handles the submission of a job of which a task was on a lost target, in this or an earlier
// submission. It reports whether the job was answered.
func (scheduler *Scheduler) submitSuspected(job *job, now time.Time) bool {
	for _, task := range job.tasks {
		if scheduler.isolator.Suspected(task.name) {
			job.suspected = true
			// The task has run, so the job must not be refused as not run.
			job.mayHaveStarted = true
		}
	}
	if !job.suspected {
		return false
	}
	outcome := scheduler.suspectedOutcome(job)
	if outcome == nil {
		return false
	}
	scheduler.emit(AnswerJob{Job: job.ID, Outcome: outcome, Started: true, Arrived: job.Arrived, Objective: job.Objective})
	return true
}

// held reports whether no task of the job may start now: it is not known yet how many targets crashed under one of them,
// or its route has crashed too many targets.
func (scheduler *Scheduler) held(job *job) bool {
	if job.suspected {
		for _, task := range job.tasks {
			if scheduler.assess(task.name) >= isolator.Held {
				return true
			}
		}
	}
	return !job.mayHaveStarted && scheduler.routeSuspended(job)
}

// routeSuspended reports whether tasks of the job's route have crashed so many targets that are not back that no further
// job of the route may start.
func (scheduler *Scheduler) routeSuspended(job *job) bool {
	if scheduler.isolator.Empty() {
		return false
	}
	limit := max(minRouteDown, float64(len(scheduler.byService[job.Service]))/routeDownDivisor)
	return scheduler.isolator.DownBy(job.Route, scheduler.lists) >= limit
}

// chooseIsolated returns a target for a task that may have crashed another one: without runs of other jobs, so that a
// second crash harms no others and leaves no doubt about its cause. It returns nil if there is none, or if too many
// targets are down already.
func (scheduler *Scheduler) chooseIsolated(task *task, candidates []candidate, now time.Time) *target {
	step := task.spec()
	if !scheduler.maySpareTarget(task.job.Service) {
		return nil
	}
	for _, sibling := range task.job.tasks {
		target := sibling.runTarget
		if target != nil && target.isolatedJob == task.job.ID && !target.isCold(now) && target.usable(now) && target.fitsIsolated(task) && scheduler.mayRunOn(task, target, now) {
			return target
		}
	}
	var best *target
	bestCost := time.Duration(math.MaxInt64)
	for i := range candidates {
		candidate := candidates[i].target
		if len(candidate.allocations) > 0 || candidates[i].free != candidate.Capacity || !step.Resources.Fits(candidate.Capacity) ||
			!scheduler.mayRunOn(task, candidate, now) {
			continue
		}
		cost := candidate.predict(step.Estimate) + candidate.coldCost(now)
		if !candidate.readBySelf {
			cost += nonReaderCost
		}
		if cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// maySpareTarget reports whether so few targets of a service are down after crashes that another one may be put at risk.
func (scheduler *Scheduler) maySpareTarget(service string) bool {
	down := scheduler.isolator.Down(func(targetID string) bool {
		target, ok := scheduler.targets[targetID]
		return ok && target.Service == service
	})
	targets := len(scheduler.byService[service])
	return down == 0 || down < max(minDown, targets/maxDownDivisor) && 2*(down+1) <= targets
}

// fitsIsolated reports whether a task fits beside the other tasks of its job on a target that runs only these. Each of
// them claims the whole target.
func (target *target) fitsIsolated(added *task) bool {
	free := target.Capacity
	onTarget := 0
	for _, sibling := range added.job.tasks {
		if sibling.runTarget != target || !sibling.mayBeRunning() {
			continue
		}
		free = free.Minus(sibling.spec().Resources)
		onTarget++
	}
	return onTarget == len(target.allocations) && added.spec().Resources.Fits(free)
}
