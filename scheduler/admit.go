package scheduler

import (
	"math"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	// releaseAge is how long a release rate is used before it is counted anew.
	releaseAge = 20 * time.Millisecond
	// unknownRunTime is assumed for a run of which no claim was heard.
	unknownRunTime = 200 * time.Millisecond
)

// admit decides whether a job is taken on. It answers bursts beyond the room of all targets: a job whose last task
// would find room only after the job has no time left is refused at once, so that the queue holds only jobs that
// can be served.
func (scheduler *Scheduler) admit(job *job, now time.Time) (dispatcher.Refused, bool) {
	if len(scheduler.byService[job.Service]) == 0 {
		return scheduler.refusal(job, dispatcher.ReasonUnavailable, "no target of the service is known", now), false
	}
	for number := range job.Steps {
		if !scheduler.possible(job.Service, &job.Steps[number]) {
			refused := dispatcher.NewRefused(dispatcher.ReasonImpossible, "no target is large enough for a task or has its label", "", time.Time{})
			return refused, false
		}
	}
	rate := scheduler.release(job.Service, now)
	needed := time.Duration(float64(job.chain()) / rate.best)
	if now.Add(needed).After(job.Deadline) {
		return scheduler.refusal(job, dispatcher.ReasonDeadline, "the job takes longer than its caller waits", now), false
	}
	job.load = scheduler.load(job, rate, now)
	job.load.MaxWait = scheduler.patience(job, rate)
	job.giveUp = now.Add(job.load.MaxWait)
	if job.load.ExpectedWait > job.load.MaxWait {
		return scheduler.refusal(job, dispatcher.ReasonOverload, "the job would wait longer than it has time", now), false
	}
	return dispatcher.Refused{}, true
}

// patience returns how long a job may wait for its first start.
func (scheduler *Scheduler) patience(job *job, rate releaseRate) time.Duration {
	total := job.Objective.Sub(job.Arrived)
	slack := total - time.Duration(float64(job.chain())/rate.best)
	return max(0, min(slack, total/waitShare))
}

// possible reports whether any target could ever run a task of the step.
func (scheduler *Scheduler) possible(service string, step *Step) bool {
	for _, target := range scheduler.byService[service] {
		if step.Resources.Fits(target.Capacity) && target.hasLabel(step.Label) {
			return true
		}
	}
	return false
}

// load returns how much work is ahead of a job, and how long it takes until the last task of its first steps finds room.
func (scheduler *Scheduler) load(job *job, rate releaseRate, now time.Time) Load {
	needed := int64(0)
	var resources Resources
	for _, task := range job.tasks {
		if task.state == waiting {
			needed++
			resources = task.spec().Resources
		}
	}
	// A step that is wider than its share of all room runs in waves, and its objective allows for them.
	needed = min(needed, max(1, scheduler.slots(job.Service, resources, needed*waveShare)/waveShare))
	load := Load{TasksAhead: scheduler.Demand().upTo(job.Priority)}
	for _, demand := range scheduler.demands {
		load.TasksAhead += demand.upTo(job.Priority)
	}
	load.FreeSlots = scheduler.free(job.Service, resources, needed+load.TasksAhead, now)
	short := needed + load.TasksAhead - load.FreeSlots
	switch {
	case short <= 0:
	case rate.perHour <= 0:
		load.ExpectedWait = job.Deadline.Sub(now)
	default:
		load.ExpectedWait = time.Duration(float64(short) / float64(rate.perHour) * float64(time.Hour))
	}
	return load
}

// waveShare is the part of all room that the tasks of one step may expect at once.
const waveShare = 4

// slots returns how many tasks of a size all targets can run at once, or some number from enough on.
func (scheduler *Scheduler) slots(service string, resources Resources, enough int64) int64 {
	count := int64(0)
	for _, target := range scheduler.byService[service] {
		if count >= enough {
			break
		}
		count += resources.countIn(target.Capacity)
	}
	return count
}

// free returns how many tasks of a size find room now, or some number from enough on: all targets are counted only
// under load.
func (scheduler *Scheduler) free(service string, resources Resources, enough int64, now time.Time) int64 {
	count := int64(0)
	for _, target := range scheduler.byService[service] {
		if count >= enough {
			break
		}
		if !target.sound(now) || now.Before(target.excludedUntil) {
			continue
		}
		count += resources.countIn(target.room(now))
	}
	return count
}

// release returns the expected ends a second on the sound targets of a service, and the best learned speed.
func (scheduler *Scheduler) release(service string, now time.Time) releaseRate {
	if rate, ok := scheduler.releases[service]; ok && now.Before(rate.until) {
		return rate
	}
	rate := releaseRate{until: now.Add(releaseAge)}
	for _, target := range scheduler.byService[service] {
		if !target.sound(now) {
			continue
		}
		rate.best = max(rate.best, target.factor())
		if !target.reader {
			used := target.Capacity.Minus(target.room(now)).MilliCores
			rate.perHour += used * int64(time.Hour/unknownRunTime) / unknownSize
			continue
		}
		for _, occupant := range target.occupants {
			runTime := unknownRunTime
			if occupant.estimate > 0 {
				runTime = target.predict(occupant.estimate)
			}
			rate.perHour += int64(time.Hour / max(runTime, time.Millisecond))
		}
	}
	rate.free = scheduler.free(service, Resources{MilliCores: scheduler.usualSize}, math.MaxInt64, now)
	if rate.best == 0 {
		rate.best = 1
	}
	scheduler.releases[service] = rate
	return rate
}

// refusal returns a refusal that names when to come back: after the tasks ahead have found room.
func (scheduler *Scheduler) refusal(job *job, reason dispatcher.Reason, detail string, now time.Time) dispatcher.Refused {
	load := scheduler.load(job, scheduler.release(job.Service, now), now)
	return dispatcher.NewRefused(reason, detail, "", now.Add(max(load.ExpectedWait, minRetryWait)))
}
