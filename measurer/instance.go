package measurer

import (
	"time"

	"github.com/hyssoplift/hyssoplift/limiter"
	"github.com/hyssoplift/hyssoplift/router"
)

// tick is how often an instance looks for expired jobs and tries the queue again.
const tick = 20 * time.Millisecond

// instance is an entry instance around the decision packages.
type instance struct {
	cluster *cluster
	domain  *domain
	limiter *limiter.Limiter
	router  *router.Router
	runners map[string]*runner
	jobs    map[limiter.Ticket]*progress
	retries []*attempt // granted tasks whose start was refused
}

// progress is the state of one job at an instance.
type progress struct {
	job      *job
	ticket   limiter.Ticket
	started  int
	finished int
	inFlight int
	failed   bool
	answered bool
	attempts []*attempt
}

// attempt is one granted task.
type attempt struct {
	progress *progress
	task     int
	grant    limiter.Grant
	choice   router.Choice
	open     bool // a start is in flight
}

func newInstance(cluster *cluster, domain *domain, config router.Config, declared map[string]time.Duration) *instance {
	limits := limiter.Config{
		Kinds: make(map[string]limiter.KindLimits), Order: cluster.variant.order,
		ResponseTimeWeight: config.ResponseTimeWeight, WastedMessageWeight: config.WastedMessageWeight,
	}
	for name, runTime := range declared {
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
	instance.refresh()
	if !cluster.variant.naive {
		cluster.clock.after(tick, instance.tick)
	}
	return instance
}

// refresh reads the instance list.
func (instance *instance) refresh() {
	clock := instance.cluster.clock
	instance.router.Update(instance.domain.snapshot(), clock.now)
	if clock.now.Sub(start) < runLength {
		clock.after(snapshotPeriod, instance.refresh)
	}
}

func (instance *instance) tick() {
	clock := instance.cluster.clock
	for _, expired := range instance.limiter.Expire(clock.now) {
		instance.expire(instance.jobs[expired.Ticket()], expired)
	}
	instance.pump()
	if clock.now.Sub(start) < runLength || len(instance.jobs) > 0 {
		clock.after(tick, instance.tick)
	}
}

// expire answers a job whose deadline passed in the queue; one that has started is answered at its deadline.
func (instance *instance) expire(progress *progress, expired limiter.Expired) {
	if expired.Granted() == 0 {
		instance.refuse(progress)
	}
}

func (instance *instance) refuse(progress *progress) {
	progress.answered = true
	delete(instance.jobs, progress.ticket)
	instance.cluster.counts.refuse(progress)
}

// take handles a job that arrives at the instance.
func (instance *instance) take(job *job) {
	if instance.cluster.variant.naive {
		instance.takeNaive(job)
		return
	}
	clock := instance.cluster.clock
	progress := &progress{job: job}
	switch verdict := instance.limiter.Admit(limiter.NewJob(job.kind.name, "team", len(job.tasks), job.deadline), clock.now).(type) {
	case limiter.Runnable:
		progress.ticket = verdict.Ticket()
	case limiter.Queued:
		progress.ticket = verdict.Ticket()
	case limiter.Refused:
		instance.cluster.counts.refuse(progress)
		return
	}
	instance.jobs[progress.ticket] = progress
	clock.after(job.deadline.Sub(clock.now), func() { instance.overrun(progress) })
	if job.cancel {
		clock.after(cancelAfter, func() { instance.cancel(progress) })
	}
	instance.pump()
}

// cancelAfter is the time from the arrival of a job to its cancellation.
const cancelAfter = 100 * time.Millisecond

func (instance *instance) cancel(progress *progress) {
	if !progress.answered && instance.limiter.Cancel(progress.ticket) {
		progress.answered = true
		delete(instance.jobs, progress.ticket)
		instance.cluster.counts.cancel(progress)
	}
}

// pump starts every task that the limiter grants and that finds a target; refused starts come first.
func (instance *instance) pump() {
	now := instance.cluster.clock.now
	waiting := instance.retries
	instance.retries = nil
	for _, attempt := range waiting {
		if attempt.progress.failed {
			instance.settle(attempt)
			continue
		}
		if choice, ok := instance.router.Pick(attempt.progress.job.kind.name, now); ok {
			attempt.choice = choice
			instance.send(attempt)
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
		attempt := &attempt{progress: progress, task: progress.started, grant: grant, choice: choice}
		progress.started++
		progress.inFlight++
		progress.attempts = append(progress.attempts, attempt)
		instance.send(attempt)
	}
}

// send starts the task of attempt at its target.
func (instance *instance) send(attempt *attempt) {
	clock, job := instance.cluster.clock, attempt.progress.job
	instance.cluster.counts.start(job)
	attempt.open = true
	choice := attempt.choice
	clock.after(targetDelay, func() {
		instance.runners[choice.Name()].start(job, attempt.task, func(answer answer) {
			clock.after(targetDelay, func() { instance.receive(attempt, choice, answer) })
		})
	})
}

// receive handles the answer of a target; an answer to a job that was answered before is wasted.
func (instance *instance) receive(attempt *attempt, choice router.Choice, answer answer) {
	counts, progress, now := &instance.cluster.counts, attempt.progress, instance.cluster.clock.now
	counts.answer(progress.job)
	if !attempt.open {
		counts.waste(progress.job, 1)
		return
	}
	attempt.open = false
	switch answer.status {
	case finished:
		instance.router.Done(choice, router.NewFinished(answer.runTime), now)
		progress.finished++
		instance.settle(attempt)
	case failed:
		instance.router.Done(choice, router.Failed{}, now)
		instance.abandon(attempt)
	case full, gone:
		counts.waste(progress.job, 2)
		instance.router.Done(choice, router.NewNotStarted(answer.status == gone), now)
		if instance.limiter.AllowRetry(now) && now.Before(progress.job.deadline) {
			instance.retries = append(instance.retries, attempt)
		} else {
			instance.abandon(attempt)
		}
	}
	instance.pump()
}

// abandon ends a task without a result and gives up the rest of its job.
func (instance *instance) abandon(attempt *attempt) {
	attempt.progress.failed = true
	instance.limiter.Drop(attempt.progress.ticket)
	instance.settle(attempt)
}

// settle ends a task and answers its job when nothing of it is in flight any more.
func (instance *instance) settle(attempt *attempt) {
	progress, clock := attempt.progress, instance.cluster.clock
	instance.limiter.Release(attempt.grant, clock.now)
	progress.inFlight--
	done := progress.finished == len(progress.job.tasks)
	if progress.answered || (!done && !(progress.failed && progress.inFlight == 0)) {
		return
	}
	progress.answered = true
	delete(instance.jobs, progress.ticket)
	if done {
		instance.cluster.counts.complete(progress.job, clock.now.Add(callerDelay))
		return
	}
	instance.cluster.counts.fail(progress.job)
}

// overrun answers a job whose deadline passes after its start; starts in flight are lost.
func (instance *instance) overrun(progress *progress) {
	if progress.answered || progress.started == 0 {
		return
	}
	now := instance.cluster.clock.now
	progress.failed = true
	instance.limiter.Drop(progress.ticket)
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
		if attempt.open {
			attempt.open = false
			instance.router.Done(attempt.choice, router.Lost{}, now)
			instance.limiter.Release(attempt.grant, now)
		}
	}
	progress.answered = true
	delete(instance.jobs, progress.ticket)
	instance.cluster.counts.fail(progress.job)
}
