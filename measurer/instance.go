package measurer

import (
	"time"

	"github.com/hyssoplift/hyssoplift/limiter"
	"github.com/hyssoplift/hyssoplift/router"
)

// tickInterval is how often an instance expires jobs and tries to start waiting tasks.
const tickInterval = 20 * time.Millisecond

// instance is a simulated instance with a real limiter and router.
type instance struct {
	cluster *cluster
	domain  *domain
	limiter *limiter.Limiter
	router  *router.Router
	runners map[string]*runner
	jobs    map[limiter.Ticket]*progress
	retries []*attempt // granted tasks that are to be started again after a rejected start
}

// progress is the state of one job at an instance.
type progress struct {
	job           *job
	ticket        limiter.Ticket
	tasksStarted  int
	tasksFinished int
	tasksInFlight int
	failed        bool
	answered      bool
	attempts      []*attempt
}

// attempt is the execution of one granted task, including repeated starts.
type attempt struct {
	progress *progress
	task     int
	grant    limiter.Grant
	choice   router.Choice
	pending  bool // a start is in flight; in the naive variant, the task has not finished
}

func newInstance(cluster *cluster, domain *domain, config router.Config, declaredRunTimes map[string]time.Duration) *instance {
	limits := limiter.Config{
		Kinds: make(map[string]limiter.KindLimits), Order: cluster.variant.order,
		ResponseTimeWeight: config.ResponseTimeWeight, WastedMessageWeight: config.WastedMessageWeight,
	}
	for name, runTime := range declaredRunTimes {
		limits.Kinds[name] = limiter.KindLimits{RunTime: runTime}
	}
	instance := &instance{
		cluster: cluster, domain: domain,
		limiter: limiter.New(limits),
		router:  router.New(config),
		runners: make(map[string]*runner),
		jobs:    make(map[limiter.Ticket]*progress),
	}
	for _, runner := range domain.runners {
		instance.runners[runner.name] = runner
	}
	instance.updateSnapshot()
	if !cluster.variant.naive {
		cluster.clock.after(tickInterval, instance.tick)
	}
	return instance
}

// updateSnapshot passes the current instance list to the router, and does so again every snapshotInterval.
func (instance *instance) updateSnapshot() {
	clock := instance.cluster.clock
	instance.router.Update(instance.domain.snapshot(), clock.now)
	if clock.now.Sub(startTime) < runLength {
		clock.after(snapshotInterval, instance.updateSnapshot)
	}
}

// tick expires jobs and starts tasks, and does so again every tickInterval while jobs are submitted or unanswered.
func (instance *instance) tick() {
	clock := instance.cluster.clock
	for _, expired := range instance.limiter.Expire(clock.now) {
		instance.expire(instance.jobs[expired.Ticket()], expired)
	}
	instance.startTasks()
	if clock.now.Sub(startTime) < runLength || len(instance.jobs) > 0 {
		clock.after(tickInterval, instance.tick)
	}
}

// expire refuses a job whose deadline passed in the queue. A job that has started is answered by failAtDeadline.
func (instance *instance) expire(progress *progress, expired limiter.Expired) {
	if expired.Granted() == 0 {
		instance.refuse(progress)
	}
}

func (instance *instance) refuse(progress *progress) {
	progress.answered = true
	delete(instance.jobs, progress.ticket)
	instance.cluster.counts.recordRefused(progress)
}

// handleJob admits or refuses a job that arrives at the instance.
func (instance *instance) handleJob(job *job) {
	if instance.cluster.variant.naive {
		instance.handleNaive(job)
		return
	}
	clock := instance.cluster.clock
	progress := &progress{job: job}
	switch decision := instance.limiter.Admit(limiter.NewJob(job.kind.name, "team", len(job.tasks), job.deadline), clock.now).(type) {
	case limiter.Runnable:
		progress.ticket = decision.Ticket()
	case limiter.Queued:
		progress.ticket = decision.Ticket()
	case limiter.Refused:
		instance.cluster.counts.recordRefused(progress)
		return
	}
	instance.jobs[progress.ticket] = progress
	clock.after(job.deadline.Sub(clock.now), func() { instance.failAtDeadline(progress) })
	if job.willCancel {
		clock.after(cancelAfter, func() { instance.cancel(progress) })
	}
	instance.startTasks()
}

// cancelAfter is the time from the admission of a job to its cancellation.
const cancelAfter = 100 * time.Millisecond

func (instance *instance) cancel(progress *progress) {
	if !progress.answered && instance.limiter.CancelUngranted(progress.ticket) {
		progress.answered = true
		delete(instance.jobs, progress.ticket)
		instance.cluster.counts.recordCancelled(progress)
	}
}

// startTasks starts all tasks that the limiter grants and for which the router has a target. Tasks whose start was
// rejected come first, and no task is granted while one of them waits.
func (instance *instance) startTasks() {
	now := instance.cluster.clock.now
	waiting := instance.retries
	instance.retries = nil
	for _, attempt := range waiting {
		if attempt.progress.failed {
			instance.finishAttempt(attempt)
			continue
		}
		if choice, ok := instance.router.Pick(attempt.progress.job.kind.name, now); ok {
			attempt.choice = choice
			instance.sendStart(attempt)
			continue
		}
		instance.retries = append(instance.retries, attempt)
	}
	if len(instance.retries) > 0 {
		return
	}
	var choice router.Choice
	pick := func(kind string) (ok bool) {
		choice, ok = instance.router.Pick(kind, now)
		return ok
	}
	for {
		grant, ok := instance.limiter.Next(now, pick)
		if !ok {
			return
		}
		progress := instance.jobs[grant.Ticket()]
		attempt := &attempt{progress: progress, task: progress.tasksStarted, grant: grant, choice: choice}
		progress.tasksStarted++
		progress.tasksInFlight++
		progress.attempts = append(progress.attempts, attempt)
		instance.sendStart(attempt)
	}
}

// sendStart sends the task of attempt to its target.
func (instance *instance) sendStart(attempt *attempt) {
	clock, job := instance.cluster.clock, attempt.progress.job
	instance.cluster.counts.recordStart(job)
	attempt.pending = true
	choice := attempt.choice
	clock.after(targetDelay, func() {
		instance.runners[choice.Name()].start(job, attempt.task, func(answer answer) {
			clock.after(targetDelay, func() { instance.handleAnswer(attempt, choice, answer) })
		})
	})
}

// handleAnswer handles the answer of a target. An answer that arrives after the job was answered is wasted.
func (instance *instance) handleAnswer(attempt *attempt, choice router.Choice, answer answer) {
	counts, progress, now := &instance.cluster.counts, attempt.progress, instance.cluster.clock.now
	counts.recordAnswer(progress.job)
	if !attempt.pending {
		counts.recordWaste(progress.job, 1)
		return
	}
	attempt.pending = false
	switch answer.status {
	case finished:
		instance.router.Done(choice, router.NewFinished(answer.runTime), now)
		progress.tasksFinished++
		instance.finishAttempt(attempt)
	case failed:
		instance.router.Done(choice, router.Failed{}, now)
		instance.failAttempt(attempt)
	case rejectedFull, rejectedLeaving:
		counts.recordWaste(progress.job, 2)
		instance.router.Done(choice, router.NewNotStarted(answer.status == rejectedLeaving), now)
		if instance.limiter.AllowRetry(now) && now.Before(progress.job.deadline) {
			instance.retries = append(instance.retries, attempt)
		} else {
			instance.failAttempt(attempt)
		}
	}
	instance.startTasks()
}

// failAttempt ends a task without a result, fails its job and drops the tasks of the job that were not granted.
func (instance *instance) failAttempt(attempt *attempt) {
	attempt.progress.failed = true
	instance.limiter.DropWaitingTasks(attempt.progress.ticket)
	instance.finishAttempt(attempt)
}

// finishAttempt ends a task, and answers its job if it is complete or if it failed and has no more tasks in flight.
func (instance *instance) finishAttempt(attempt *attempt) {
	progress, clock := attempt.progress, instance.cluster.clock
	instance.limiter.Release(attempt.grant, clock.now)
	progress.tasksInFlight--
	done := progress.tasksFinished == len(progress.job.tasks)
	if progress.answered || (!done && !(progress.failed && progress.tasksInFlight == 0)) {
		return
	}
	progress.answered = true
	delete(instance.jobs, progress.ticket)
	if done {
		instance.cluster.counts.recordComplete(progress.job, clock.now.Add(callerDelay))
		return
	}
	instance.cluster.counts.recordFailed(progress.job)
}

// failAtDeadline fails a job that started but is not complete at its deadline. Its starts in flight count as lost.
func (instance *instance) failAtDeadline(progress *progress) {
	if progress.answered || progress.tasksStarted == 0 {
		return
	}
	now := instance.cluster.clock.now
	progress.failed = true
	instance.limiter.DropWaitingTasks(progress.ticket)
	kept := instance.retries[:0]
	for _, attempt := range instance.retries {
		if attempt.progress != progress {
			kept = append(kept, attempt)
			continue
		}
		instance.limiter.Release(attempt.grant, now)
	}
	instance.retries = kept
	for _, attempt := range progress.attempts {
		if attempt.pending {
			attempt.pending = false
			instance.router.Done(attempt.choice, router.Lost{}, now)
			instance.limiter.Release(attempt.grant, now)
		}
	}
	progress.answered = true
	delete(instance.jobs, progress.ticket)
	instance.cluster.counts.recordFailed(progress.job)
}
