package executor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// delegationSlack is waited beyond a job's deadline for the answer of its delegate, which answers at the deadline.
	delegationSlack = 5 * time.Millisecond
	// abandonTime is how long a delegate is told again that a job is abandoned, in case a link was lost in between: after
	// it, the delegate has noticed the silence of the link. A caller sends its job again 1,300 ms after a lost answer.
	abandonTime = 500 * time.Millisecond
	// maxDelegatedTasks bounds the tasks of a delegated job, which is sent as one message.
	maxDelegatedTasks = 1000
)

// delegation is a job of an own caller that another instance runs.
type delegation struct {
	job      scheduler.Job
	delegate string
	cancel   context.CancelFunc
}

// abandonment is a job that its delegate is told to give up.
type abandonment struct {
	delegate string
	job      string
	until    time.Time
}

// foreignJob is a job that this instance runs for another one.
type foreignJob struct {
	origin string
	job    string
}

// delegateFor returns the instance that is to run a job, or false if this one runs it: instances that are much smaller
// than others pass their jobs on, to one of their own failure domain if there is any, drawn by weight. The caller holds
// the lock.
func (executor *Executor) delegateFor(job *scheduler.Job) (string, bool) {
	if !executor.delegates || executor.has(job.ID) {
		return "", false
	}
	tasks := 0
	for i := range job.Steps {
		tasks += len(job.Steps[i].Tasks)
	}
	if tasks > maxDelegatedTasks {
		return "", false
	}
	staying := executor.peers.EligiblePeers()
	near := make([]linker.Hello, 0, len(staying))
	for _, peer := range staying {
		if peer.Domain == executor.self.Domain && executor.peers.Reachable(peer.Incarnation) {
			near = append(near, peer)
		}
	}
	if len(near) == 0 {
		near = staying
	}
	return drawByWeight(near, rand.Float64())
}

// drawByWeight returns one of the instances by its weight; drawn is between 0 and 1.
func drawByWeight(instances []linker.Hello, drawn float64) (string, bool) {
	total := 0.0
	for i := range instances {
		total += instances[i].EffectiveWeight()
	}
	left := drawn * total
	for i := range instances {
		if left -= instances[i].EffectiveWeight(); left < 0 {
			return instances[i].Incarnation, true
		}
	}
	return "", false
}

// delegate passes a job on; the caller holds the lock.
func (executor *Executor) delegate(job scheduler.Job, to string) {
	now := executor.now()
	ctx, cancel := context.WithTimeout(executor.ctx, job.Deadline.Sub(now)+delegationSlack)
	passed := &delegation{job: job, delegate: to, cancel: cancel}
	executor.delegated[job.ID] = passed
	executor.group.Go(func() {
		defer cancel()
		response, err := executor.peers.Call(ctx, to, encodeJob(&job, now))
		executor.mu.Lock()
		defer executor.mu.Unlock()
		if executor.delegated[job.ID] != passed {
			// The caller left or cancelled the job.
			return
		}
		delete(executor.delegated, job.ID)
		if err != nil {
			executor.delegationFailed(passed, err)
			return
		}
		outcome, err := linker.DecodeOutcome(response.(linker.DelegationAnswer).Outcome, executor.now())
		if err != nil {
			executor.logger.Error("answer of delegate cannot be read", "job", job.ID, "delegate", to, "error", eris.ToString(err, false))
			outcome = dispatcher.NewUnknown("the answer of the instance that ran the job cannot be read")
		}
		executor.answerDelegated(passed, outcome)
	})
}

// delegationFailed runs a job here that was not sent, and answers one unknown whose delegate may run it; the caller
// holds the lock.
func (executor *Executor) delegationFailed(passed *delegation, err error) {
	if eris.Is(err, linker.ErrNoLink) || eris.Is(err, linker.ErrQueueFull) {
		executor.logger.Info("job is not passed on", "job", passed.job.ID, "delegate", passed.delegate, "error", eris.ToString(err, false))
		executor.scheduler.Submit(passed.job, executor.now())
		executor.settle()
		return
	}
	executor.abandon(passed.delegate, passed.job.ID)
	executor.answerDelegated(passed, dispatcher.NewUnknown("the instance that ran the job did not answer"))
}

// delegateGone answers the jobs that an instance ran which is not heard of any more; the caller holds the lock.
func (executor *Executor) delegateGone(delegate string) {
	for id, passed := range executor.delegated {
		if passed.delegate == delegate {
			executor.abandonDelegated(id, "the instance is not heard of")
			executor.answerDelegated(passed, dispatcher.NewUnknown("the instance that ran the job is not heard of"))
		}
	}
}

// answerDelegated gives the outcome of a delegated job to its callers; the caller holds the lock.
func (executor *Executor) answerDelegated(passed *delegation, outcome dispatcher.Outcome) {
	now := executor.now()
	executor.logger.Info("job answered for delegate", "job", passed.job.ID, "delegate", passed.delegate, "outcome", dispatcher.OutcomeClass(outcome),
		"took-ms", now.Sub(passed.job.Arrived).Milliseconds(), "late-ms", max(0, now.Sub(passed.job.Objective)).Milliseconds())
	executor.meter.delegated(outcome)
	executor.deliver(passed.job.ID, outcome)
}

// abandonDelegated gives a delegated job up and reports whether there was one; the caller holds the lock.
func (executor *Executor) abandonDelegated(job, reason string) bool {
	passed, ok := executor.delegated[job]
	if !ok {
		return false
	}
	delete(executor.delegated, job)
	passed.cancel()
	executor.logger.Info("delegated job abandoned", "job", job, "delegate", passed.delegate, "reason", reason)
	executor.abandon(passed.delegate, job)
	return true
}

// abandon tells a delegate, now and for a while, to give a job up; the caller holds the lock.
func (executor *Executor) abandon(delegate, job string) {
	executor.peers.Abandon(delegate, job)
	executor.abandoned = append(executor.abandoned, abandonment{delegate, job, executor.now().Add(abandonTime)})
}

// repeatAbandonments tells delegates again what they are to give up; the caller holds the lock.
func (executor *Executor) repeatAbandonments(now time.Time) {
	kept := executor.abandoned[:0]
	for _, abandoned := range executor.abandoned {
		if now.Before(abandoned.until) {
			executor.peers.Abandon(abandoned.delegate, abandoned.job)
			kept = append(kept, abandoned)
		}
	}
	executor.abandoned = kept
}

// HandleDelegation runs a job for another instance; it returns at once.
func (executor *Executor) HandleDelegation(from string, request linker.Delegation) {
	job := decodeJob(&request, executor.now())
	key := foreignJob{from, job.ID}
	ctx, cancel := context.WithCancel(executor.ctx)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	if former, ok := executor.foreign[key]; ok {
		former()
	}
	executor.foreign[key] = cancel
	executor.logger.Info("job taken over", "job", job.ID, "origin", from, "age-ms", request.AgeUS/1000, "remaining-ms", request.RemainingUS/1000)
	answer := executor.accept(job)
	executor.group.Go(func() {
		defer cancel()
		outcome := executor.await(ctx, job.ID, answer)
		if outcome == nil {
			// If the origin was only paused, its caller still waits.
			outcome = dispatcher.NewUnknown("the job was given up since its instance was not heard of")
		}
		executor.mu.Lock()
		if ctx.Err() == nil {
			delete(executor.foreign, key)
		}
		executor.mu.Unlock()
		message := linker.DelegationAnswer{ID: request.ID, Job: job.ID, Outcome: linker.EncodeOutcome(outcome, executor.now())}
		if err := executor.peers.AnswerDelegation(from, message); err != nil {
			executor.logger.Warn("outcome cannot be sent to the job's origin", "job", job.ID, "origin", from, "error", eris.ToString(err, false))
		}
	})
}

// abandonForeign gives up what this instance runs for another one: one job, or all of them if job is empty. The caller
// holds the lock.
func (executor *Executor) abandonForeign(origin, job string) {
	for key, cancel := range executor.foreign {
		if key.origin == origin && (job == "" || key.job == job) {
			delete(executor.foreign, key)
			cancel()
		}
	}
}

// LinkEnded gives up the jobs of an instance that a link was lost to: it answers their callers that the outcome is
// unknown, and they send the jobs again after 1,300 ms.
func (executor *Executor) LinkEnded(from string) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.abandonForeign(from, "")
}

// encodeJob returns the message that passes a job on at now.
func encodeJob(job *scheduler.Job, now time.Time) linker.Delegation {
	steps := make([]linker.JobStep, len(job.Steps))
	for i := range job.Steps {
		step := &job.Steps[i]
		steps[i] = linker.JobStep{
			Tasks: step.Tasks, MilliCores: step.Resources.MilliCores, MemoryMB: step.Resources.MemoryMB, Accelerators: step.Resources.Accelerators,
			EstimateUS: step.Estimate.Microseconds(), DependsOn: step.DependsOn, Label: step.Label, MaxPerTarget: step.MaxPerTarget,
		}
	}
	return linker.Delegation{
		Job: job.ID, Route: job.Route, Service: job.Service, Body: job.Body, Steps: steps, Priority: job.Priority, MaxFailures: job.MaxFailures,
		AgeUS: now.Sub(job.Arrived).Microseconds(), RemainingUS: job.Deadline.Sub(now).Microseconds(), ObjectiveUS: job.Objective.Sub(now).Microseconds(),
	}
}

// decodeJob returns the job that a message received at now passes on.
func decodeJob(request *linker.Delegation, now time.Time) scheduler.Job {
	steps := make([]scheduler.Step, len(request.Steps))
	for i := range request.Steps {
		step := &request.Steps[i]
		steps[i] = scheduler.Step{
			Tasks: step.Tasks, Resources: scheduler.Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators},
			Estimate: time.Duration(step.EstimateUS) * time.Microsecond, DependsOn: step.DependsOn, Label: step.Label, MaxPerTarget: step.MaxPerTarget,
		}
	}
	return scheduler.Job{
		ID: request.Job, Route: request.Route, Service: request.Service, Body: request.Body, Steps: steps,
		Priority: request.Priority, MaxFailures: request.MaxFailures,
		Arrived:   now.Add(-time.Duration(request.AgeUS) * time.Microsecond),
		Deadline:  now.Add(time.Duration(request.RemainingUS) * time.Microsecond),
		Objective: now.Add(time.Duration(request.ObjectiveUS) * time.Microsecond),
	}
}
