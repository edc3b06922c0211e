package scheduler

import (
	"cmp"
	"math"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	// releaseRateTTL is how long a computed release rate is reused.
	releaseRateTTL = 50 * time.Millisecond
	// defaultRunTime is assumed for a run whose claim is not known.
	defaultRunTime = 200 * time.Millisecond
)

// admit decides whether to accept a job. During bursts beyond the capacity of all targets, it refuses at once a job
// whose last task would get capacity too late, so that the queue holds only jobs that can be served.
func (scheduler *Scheduler) admit(job *job, now time.Time) (dispatcher.Refused, bool) {
	if len(scheduler.byService[job.Service]) == 0 {
		return scheduler.refusal(job, dispatcher.ReasonUnavailable, "no target of the service is known", now), false
	}
	for number := range job.Steps {
		switch scheduler.feasibility(job.Service, &job.Steps[number]) {
		case never:
			refused := dispatcher.NewRefused(dispatcher.ReasonImpossible, "no target is large enough for a task or has its label", "", time.Time{})
			return refused, false
		case later:
			return scheduler.refusal(job, dispatcher.ReasonUnavailable, "all targets that were large enough for a task have shrunk", now), false
		case undescribed:
			return scheduler.refusal(job, dispatcher.ReasonUnavailable, "targets that may be large enough for a task have restarted and are not described yet", now), false
		case withheld:
			return scheduler.refusal(job, dispatcher.ReasonUnavailable, "all targets that are large enough for a task are in evacuated failure domains", now), false
		case present:
		}
	}
	if !job.mayHaveStarted && scheduler.routeSuspended(job) {
		return scheduler.refusal(job, dispatcher.ReasonUnavailable, "jobs of the route have crashed too many targets", now), false
	}
	scheduler.recordShare(job, now)
	rate := scheduler.releaseRateOf(job.Service, now)
	needed := time.Duration(float64(job.remainingCriticalPath()) / rate.bestSpeed)
	if now.Add(needed).After(job.Deadline) {
		reason, detail := job.deadlineReason("the job takes longer than its caller waits")
		return scheduler.refusal(job, reason, detail, now), false
	}
	job.load = scheduler.load(job, rate, now)
	job.load.MaxWait = scheduler.maxWait(job, rate)
	job.startDeadline = now.Add(job.load.MaxWait)
	if job.load.ExpectedWait > job.load.MaxWait {
		return scheduler.refusal(job, dispatcher.ReasonOverload, "the job would wait longer than it has time", now), false
	}
	if scheduler.leastFirstLook(now) > job.load.MaxWait {
		return scheduler.refusal(job, dispatcher.ReasonOverload, "no room in time", now), false
	}
	if !scheduler.admitShare(job, rate, now) {
		return scheduler.refusal(job, dispatcher.ReasonOverload, "the caller uses more than its share", now), false
	}
	return dispatcher.Refused{}, true
}

// maxWait returns how long a job may wait for its first start.
func (scheduler *Scheduler) maxWait(job *job, rate releaseRate) time.Duration {
	total := job.Objective.Sub(job.Arrived)
	slack := total - time.Duration(float64(job.remainingCriticalPath())/rate.bestSpeed)
	return max(0, min(slack, total/maxWaitDivisor))
}

// feasibility states whether the targets of a service can run a task.
type feasibility int

const (
	// Never means that no target has been large enough or has the label.
	never feasibility = iota
	// Later means that targets were large enough before their capacity shrank.
	later
	// Undescribed means that targets have restarted, and that it is not known yet what they are like.
	undescribed
	// Withheld means that targets are large enough and their failure domains are evacuated.
	withheld
	// Present means that some target is large enough.
	present
)

// feasibility returns whether any target of the service could run a task of the step if it were empty, and may be given one.
func (scheduler *Scheduler) feasibility(service string, step *Step) feasibility {
	best := never
	for _, target := range scheduler.byService[service] {
		switch {
		case target.awaitsEntry() && !(target.hasLabel(step.Label) && step.Resources.Fits(target.Capacity)):
			best = max(best, undescribed)
		case !target.hasLabel(step.Label):
		case target.evacuated && step.Resources.Fits(target.Capacity):
			best = withheld
		case step.Resources.Fits(target.Capacity):
			return present
		case step.Resources.Fits(target.largestCapacity):
			best = max(best, later)
		}
	}
	return best
}

// load returns how much work is queued ahead of a job and the expected time until the last task of its first steps gets
// capacity.
func (scheduler *Scheduler) load(job *job, rate releaseRate, now time.Time) Load {
	needed := int64(0)
	var resources Resources
	for _, task := range job.tasks {
		if task.state == waiting {
			needed++
			resources = task.spec().Resources
		}
	}
	// A step that needs more than its share of the total capacity runs in waves, and its objective allows for them.
	needed = min(needed, max(1, scheduler.totalSlots(job.Service, resources, needed*waveDivisor)/waveDivisor))
	load := Load{TasksAhead: scheduler.Demand().upTo(job.Priority)}
	for _, demand := range scheduler.peerDemands {
		load.TasksAhead += demand.upTo(job.Priority)
	}
	load.FreeSlots = scheduler.freeSlots(job.Service, resources, needed+load.TasksAhead, now)
	shortfall := needed + load.TasksAhead - load.FreeSlots
	switch {
	case shortfall <= 0:
	case rate.perHour <= 0:
		load.ExpectedWait = job.Deadline.Sub(now)
	default:
		load.ExpectedWait = time.Duration(float64(shortfall) / float64(rate.perHour) * float64(time.Hour))
	}
	return load
}

// waveDivisor: the tasks of one step may expect 1/waveDivisor of the total capacity at once.
const waveDivisor = 4

// totalSlots returns how many tasks of the given resources all targets outside of evacuated failure domains can run at once. It stops counting once limit is
// reached.
func (scheduler *Scheduler) totalSlots(service string, resources Resources, limit int64) int64 {
	count := int64(0)
	for _, target := range scheduler.byService[service] {
		if count >= limit {
			break
		}
		if !target.evacuated {
			count += resources.countIn(target.Capacity)
		}
	}
	return count
}

// freeSlots returns how many tasks of the given resources could start now. It stops counting once limit is reached, so
// that all targets are visited only under load.
func (scheduler *Scheduler) freeSlots(service string, resources Resources, limit int64, now time.Time) int64 {
	count := int64(0)
	for _, target := range scheduler.byService[service] {
		if count >= limit {
			break
		}
		if !target.healthy(now) || now.Before(target.excludedUntil) {
			continue
		}
		count += target.freeSlots(resources, now)
	}
	return count
}

// releaseRateOf returns the expected rate of run ends on the healthy targets of a service, their best learned speed and
// their free slots. The result is cached for releaseRateTTL.
func (scheduler *Scheduler) releaseRateOf(service string, now time.Time) releaseRate {
	if rate, ok := scheduler.releaseRates[service]; ok && now.Before(rate.validUntil) {
		return rate
	}
	rate := releaseRate{validUntil: now.Add(releaseRateTTL)}
	// Before the first run, nothing is known of the size of tasks.
	typical := cmp.Or(scheduler.typicalMilliCores, defaultMilliCores)
	for _, target := range scheduler.byService[service] {
		if !target.healthy(now) {
			continue
		}
		rate.bestSpeed = max(rate.bestSpeed, target.speedFactor())
		rate.cores += float64(target.Capacity.MilliCores/typical*typical) / milliCoresPerCore * target.speedFactor()
		if !target.readBySelf {
			used := target.Capacity.Minus(target.freeCapacity(now)).MilliCores
			rate.perHour += target.releasesPerHour(used*int64(time.Hour/defaultRunTime)/typical, now)
			continue
		}
		runEnds := int64(0)
		for _, allocation := range target.allocations {
			runTime := defaultRunTime
			if allocation.estimate > 0 {
				runTime = target.predict(allocation.estimate)
			}
			runEnds += int64(time.Hour / max(runTime, time.Millisecond))
		}
		rate.perHour += target.releasesPerHour(runEnds, now)
	}
	rate.freeSlots = scheduler.freeSlots(service, Resources{MilliCores: scheduler.typicalMilliCores}, math.MaxInt64, now)
	if rate.bestSpeed == 0 {
		rate.bestSpeed = 1
	}
	scheduler.releaseRates[service] = rate
	return rate
}

// refusal returns a refusal whose retry time is when the tasks ahead are expected to have started.
func (scheduler *Scheduler) refusal(job *job, reason dispatcher.Reason, detail string, now time.Time) dispatcher.Refused {
	load := scheduler.load(job, scheduler.releaseRateOf(job.Service, now), now)
	return dispatcher.NewRefused(reason, detail, "", now.Add(max(load.ExpectedWait, minRetryAfter)))
}
