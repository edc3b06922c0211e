package measurer

import (
	"time"

	"github.com/hyssoplift/hyssoplift/router"
)

const (
	// The timeout of the naive variant is naiveTimeoutRatio times the run time of the kind, about twice the time that
	// the slowest runner needs, and at least minNaiveTimeout.
	naiveTimeoutRatio = 5
	minNaiveTimeout   = time.Second
	// maxNaiveTries is the largest number of starts of one task in the naive variant.
	maxNaiveTries = 3
)

// handleNaive starts all tasks of job at once on random targets, and starts a task again after a timeout or rejection.
func (instance *instance) handleNaive(job *job) {
	clock := instance.cluster.clock
	progress := &progress{job: job, tasksInFlight: len(job.tasks)}
	for i := range job.tasks {
		attempt := &attempt{progress: progress, task: i, pending: true}
		instance.startNaive(attempt, 1)
	}
	clock.after(job.deadline.Sub(clock.now), func() { instance.failNaive(progress) })
}

func (instance *instance) startNaive(attempt *attempt, try int) {
	clock, progress, counts := instance.cluster.clock, attempt.progress, &instance.cluster.counts
	job := progress.job
	choice, ok := instance.router.Pick(job.kind.name, clock.now)
	if !ok {
		instance.failNaive(progress)
		return
	}
	// The naive variant does not limit the tasks in flight, so every choice ends at once.
	instance.router.Done(choice, router.Failed{}, clock.now)
	counts.recordStart(job)
	retried := false
	retry := func() {
		if !retried && attempt.pending && !progress.answered {
			retried = true
			if try == maxNaiveTries {
				instance.failNaive(progress)
				return
			}
			instance.startNaive(attempt, try+1)
		}
	}
	clock.after(max(minNaiveTimeout, naiveTimeoutRatio*job.kind.runTime), retry)
	receive := func(answer answer) {
		counts.recordAnswer(job)
		switch {
		case answer.status == rejectedFull || answer.status == rejectedLeaving:
			counts.recordWaste(job, 2)
			retry()
		case !attempt.pending || progress.answered:
			// The task or the job was answered before, so neither this start nor its answer had an effect.
			counts.recordWaste(job, 2)
		case answer.status == failed:
			instance.failNaive(progress)
		default:
			attempt.pending = false
			progress.tasksFinished++
			if progress.tasksFinished == len(job.tasks) {
				progress.answered = true
				counts.recordComplete(job, clock.now.Add(callerDelay))
			}
		}
	}
	clock.after(targetDelay, func() {
		instance.runners[choice.Name()].start(job, attempt.task, func(answer answer) {
			clock.after(targetDelay, func() { receive(answer) })
		})
	})
}

func (instance *instance) failNaive(progress *progress) {
	if !progress.answered {
		progress.answered = true
		instance.cluster.counts.recordFailed(progress.job)
	}
}
