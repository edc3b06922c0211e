package measurer

import (
	"time"

	"github.com/hyssoplift/hyssoplift/router"
)

const (
	// naiveTimeoutRatio and naiveTimeoutFloor make the timeout of the naive version from the run time of a
	// kind: twice what the slowest runner needs.
	naiveTimeoutRatio = 5
	naiveTimeoutFloor = time.Second
	// naiveTries is the number of starts of one task by the naive version.
	naiveTries = 3
)

// takeNaive starts every task at once on a random target and again on timeout or refusal.
func (instance *instance) takeNaive(job *job) {
	clock := instance.cluster.clock
	progress := &progress{job: job, inFlight: len(job.tasks)}
	for i := range job.tasks {
		attempt := &attempt{progress: progress, task: i, open: true}
		instance.tryNaive(attempt, 1)
	}
	clock.after(job.deadline.Sub(clock.now), func() { instance.failNaive(progress) })
}

func (instance *instance) tryNaive(attempt *attempt, try int) {
	clock, progress, counts := instance.cluster.clock, attempt.progress, &instance.cluster.counts
	job := progress.job
	choice, ok := instance.router.Pick(job.kind.name, clock.now)
	if !ok {
		instance.failNaive(progress)
		return
	}
	// The naive version keeps no counts, so every choice is given back at once.
	instance.router.Done(choice, router.Failed{}, clock.now)
	counts.start(job)
	retried := false
	retry := func() {
		if !retried && attempt.open && !progress.answered {
			retried = true
			if try == naiveTries {
				instance.failNaive(progress)
				return
			}
			instance.tryNaive(attempt, try+1)
		}
	}
	clock.after(max(naiveTimeoutFloor, naiveTimeoutRatio*job.kind.runTime), retry)
	receive := func(answer answer) {
		counts.answer(job)
		switch {
		case answer.status == full || answer.status == gone:
			counts.waste(job, 2)
			retry()
		case !attempt.open || progress.answered:
			// The start and the answer of a second try change nothing if the first one answers, and vice versa.
			counts.waste(job, 2)
		case answer.status == failed:
			instance.failNaive(progress)
		default:
			attempt.open = false
			progress.finished++
			if progress.finished == len(job.tasks) {
				progress.answered = true
				counts.complete(job, clock.now.Add(callerDelay))
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
		instance.cluster.counts.fail(progress.job)
	}
}
