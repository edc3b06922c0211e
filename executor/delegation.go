package executor

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/gossiper"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// delegationMargin is how long to wait beyond a job's deadline for the answer of its delegate, which answers by the
	// deadline.
	delegationMargin = 5 * time.Millisecond
	// abandonRepeatPeriod is how long the request to abandon a job is repeated, in case the link to the delegate breaks
	// and the request is lost. After this time the delegate has detected the broken link itself and stops the job. The
	// runs must have ended before a caller sends its job again, 1,300 ms after a lost answer.
	abandonRepeatPeriod = 500 * time.Millisecond
	// maxDelegationDelay is how long a delegated job may be under way. Its origin gives it up after gossiper.PeerTimeout
	// of silence, and its caller then sends it again.
	maxDelegationDelay = gossiper.PeerTimeout - 100*time.Millisecond
	// maxDelegatedTasks limits the tasks of a delegated job, since the job is sent as one message.
	maxDelegatedTasks = 1000
)

// delegation is a job of one of this instance's callers that another instance runs.
type delegation struct {
	job      scheduler.Job
	delegate string
	cancel   context.CancelFunc
	// joined means that the delegate had the job before.
	joined bool
}

// abandonment is a job whose delegate is repeatedly asked to abandon it.
type abandonment struct {
	delegate string
	job      string
	until    time.Time
}

// foreignJob identifies a job that this instance runs for another one.
type foreignJob struct {
	origin string
	job    string
}

// delegateFor returns the instance that should run a job, or false if it is this one. Instances that are much smaller
// than others delegate their jobs, preferably within their own failure domain; the delegate is drawn by weight. The
// caller holds the lock.
func (executor *Executor) delegateFor(job *scheduler.Job) (string, bool) {
	if !executor.delegating || executor.has(job.ID) || executor.scheduler.Cancelled(job.ID) {
		return "", false
	}
	tasks := 0
	for i := range job.Steps {
		tasks += len(job.Steps[i].Tasks)
	}
	if tasks > maxDelegatedTasks {
		return "", false
	}
	eligible := executor.peers.EligiblePeers()
	candidates := make([]linker.Hello, 0, len(eligible))
	for _, peer := range eligible {
		if peer.Domain == executor.self.Domain && executor.peers.Reachable(peer.Incarnation) {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		candidates = eligible
	}
	return pickWeighted(candidates, rand.Float64())
}

// pickWeighted picks an instance with a probability proportional to its weight; drawn is a random number in [0, 1).
func pickWeighted(instances []linker.Hello, drawn float64) (string, bool) {
	total := 0.0
	for i := range instances {
		total += instances[i].EffectiveWeight()
	}
	remaining := drawn * total
	for i := range instances {
		if remaining -= instances[i].EffectiveWeight(); remaining < 0 {
			return instances[i].Incarnation, true
		}
	}
	return "", false
}

// delegate sends a job to another instance; the caller holds the lock.
func (executor *Executor) delegate(job scheduler.Job, to string) { executor.handOver(job, to, false) }

// handOver sends a job to another instance and passes its answer on. joined means that the other instance has announced the job. The
// caller holds the lock.
func (executor *Executor) handOver(job scheduler.Job, to string, joined bool) {
	now := executor.now()
	ctx, cancel := context.WithTimeout(executor.ctx, job.Deadline.Sub(now)+delegationMargin)
	entry := &delegation{job: job, delegate: to, cancel: cancel, joined: joined}
	executor.delegated[job.ID] = entry
	executor.group.Go(func() {
		defer cancel()
		request := encodeJob(&job, now)
		request.Joined = joined
		response, err := executor.peers.Call(ctx, to, request)
		executor.mu.Lock()
		defer executor.mu.Unlock()
		if executor.delegated[job.ID] != entry {
			// The caller left or cancelled the job.
			return
		}
		delete(executor.delegated, job.ID)
		if err != nil {
			executor.delegationFailed(entry, err)
			return
		}
		outcome, err := linker.DecodeOutcome(response.(linker.DelegationAnswer).Outcome, executor.now())
		if err != nil {
			executor.logger.Error("cannot decode the delegate's answer", "job", job.ID, "delegate", to, "error", eris.ToString(err, false))
			outcome = dispatcher.NewUnknown("the answer of the instance that ran the job cannot be read")
		}
		if entry.declined(outcome) {
			executor.logger.Info("joined job declined", "job", job.ID, "instance", to)
			executor.scheduler.Submit(job, executor.now())
			executor.runActions()
			return
		}
		executor.answerDelegated(entry, outcome)
	})
}

// delegationFailed runs the job locally if it was never sent and the delegate did not have it before. Otherwise the delegate may be
// running it, so the outcome is unknown. The caller holds the lock.
func (executor *Executor) delegationFailed(entry *delegation, err error) {
	if !entry.joined && (eris.Is(err, linker.ErrNoLink) || eris.Is(err, linker.ErrQueueFull) || eris.Is(err, linker.ErrUnsendable)) {
		executor.logger.Info("job not delegated", "job", entry.job.ID, "delegate", entry.delegate, "error", eris.ToString(err, false))
		executor.scheduler.Submit(entry.job, executor.now())
		executor.runActions()
		return
	}
	executor.abandon(entry.delegate, entry.job.ID)
	executor.answerDelegated(entry, dispatcher.NewUnknown("the instance that ran the job did not answer"))
}

// answerDelegatedAtStop answers the jobs that were delegated before a planned stop of this instance and have not ended in time.
func (executor *Executor) answerDelegatedAtStop() {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	for id, entry := range executor.delegated {
		executor.abandonDelegated(id, "the instance stops")
		executor.answerDelegated(entry, dispatcher.NewUnknown("the instance stops before the job has ended"))
	}
}

// limitDeadline brings the deadline of a job forward to when this instance stops; the caller holds the lock.
func (executor *Executor) limitDeadline(job *scheduler.Job) {
	if !executor.stopsAt.IsZero() && executor.stopsAt.Before(job.Deadline) {
		job.Deadline = executor.stopsAt
	}
}

// handleDelegateLost answers the jobs that were delegated to a lost instance; the caller holds the lock.
func (executor *Executor) handleDelegateLost(delegate string) {
	for id, entry := range executor.delegated {
		if entry.delegate == delegate {
			executor.abandonDelegated(id, "the delegate cannot be reached")
			executor.answerDelegated(entry, dispatcher.NewUnknown("the instance that ran the job is not heard of"))
		}
	}
}

// answerDelegated sends the outcome of a delegated job to its callers; the caller holds the lock.
func (executor *Executor) answerDelegated(entry *delegation, outcome dispatcher.Outcome) {
	now := executor.now()
	executor.logger.Info("delegated job answered", "job", entry.job.ID, "delegate", entry.delegate, "outcome", dispatcher.OutcomeClass(outcome),
		"took-ms", now.Sub(entry.job.Arrived).Milliseconds(), "late-ms", max(0, now.Sub(entry.job.Objective)).Milliseconds())
	executor.meter.countDelegated(outcome)
	executor.deliver(entry.job.ID, outcome)
}

// abandonDelegated abandons a delegated job and reports whether there was one; the caller holds the lock.
func (executor *Executor) abandonDelegated(job, reason string) bool {
	entry, ok := executor.delegated[job]
	if !ok {
		return false
	}
	delete(executor.delegated, job)
	entry.cancel()
	executor.logger.Info("delegated job abandoned", "job", job, "delegate", entry.delegate, "reason", reason)
	executor.abandon(entry.delegate, job)
	return true
}

// abandon asks a delegate to abandon a job, now and repeatedly for abandonRepeatPeriod; the caller holds the lock.
func (executor *Executor) abandon(delegate, job string) {
	executor.peers.Abandon(delegate, job)
	executor.abandoned = append(executor.abandoned, abandonment{delegate, job, executor.now().Add(abandonRepeatPeriod)})
}

// repeatAbandonments repeats the recent requests to abandon jobs; the caller holds the lock.
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

// HandleDelegation runs a job for another instance. It does not wait for the outcome. It refuses a job that was under
// way for longer than maxDelegationDelay, because this process was paused or the network was cut: its origin has given
// it up, and it may already run elsewhere.
func (executor *Executor) HandleDelegation(from string, request linker.Delegation, delay time.Duration) {
	mayBeLate := delay > maxDelegationDelay || executor.mayHaveWaited(from)
	if mayBeLate && !(request.Joined && executor.Has(request.Job)) {
		executor.logger.Warn("delegated job refused", "job", request.Job, "origin", from, "delay-ms", delay.Milliseconds())
		executor.refuseDelegation(from, &request, "the instance that should run the job was paused or cut off", executor.now().Add(time.Second))
		return
	}
	job, err := decodeJob(&request, executor.now().Add(-delay))
	if err != nil {
		executor.logger.Error("delegated job refused", "job", request.Job, "origin", from, "error", eris.ToString(err, false))
		executor.refuseDelegation(from, &request, "the job cannot be read by the instance that should run it", time.Time{})
		return
	}
	key := foreignJob{from, job.ID}
	ctx, cancel := context.WithCancel(executor.ctx)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	if request.Joined && executor.declines(job) {
		cancel()
		executor.logger.Info("joined job declined", "job", job.ID, "origin", from)
		executor.answerDelegation(from, &request, dispatcher.NewRefused(dispatcher.ReasonUnavailable, "the job is not active on the instance", "", time.Time{}))
		return
	}
	if cancelFormer, ok := executor.foreignJobs[key]; ok {
		cancelFormer()
	}
	executor.foreignJobs[key] = cancel
	executor.logger.Info("delegated job accepted", "job", job.ID, "origin", from, "age-ms", request.AgeUS/1000, "remaining-ms", request.RemainingUS/1000)
	run := executor.runOrJoin
	if request.Joined {
		run = executor.runLocally
	}
	answer := run(job)
	executor.group.Go(func() {
		defer cancel()
		outcome := executor.await(ctx, job.ID, answer)
		if outcome == nil {
			// If the origin was only paused, its caller still waits.
			outcome = dispatcher.NewUnknown("the job was given up since its instance was not heard of")
		}
		// Drain waits until the outcome is on its way.
		executor.answerDelegation(from, &request, outcome)
		executor.mu.Lock()
		defer executor.mu.Unlock()
		if ctx.Err() == nil {
			delete(executor.foreignJobs, key)
		}
	})
}

// mayHaveWaited reports whether a message that is read now may have waited for longer than maxDelegationDelay during a pause of
// this process, while the delay of the sender's messages was not known before the pause.
func (executor *Executor) mayHaveWaited(from string) bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	now := executor.now()
	executor.noticePause(now)
	paused := executor.pauseNoticedAt.Sub(executor.pausedSince)
	return paused > maxDelegationDelay && executor.scheduler.Resuming(now) && !executor.peers.KnewDelayOf(from, executor.pausedSince)
}

// answerDelegation sends the outcome of a delegated job to its origin.
func (executor *Executor) answerDelegation(origin string, request *linker.Delegation, outcome dispatcher.Outcome) {
	message := linker.DelegationAnswer{ID: request.ID, Job: request.Job, Outcome: linker.EncodeOutcome(outcome, executor.now())}
	if err := executor.peers.AnswerDelegation(origin, message); err != nil {
		executor.logger.Warn("cannot send the outcome to the job's origin", "job", request.Job, "origin", origin, "error", eris.ToString(err, false))
	}
}

// abandonForeign abandons the given job of another instance, or all of its jobs if job is empty. The caller holds the
// lock.
func (executor *Executor) abandonForeign(origin, job string) {
	for key, cancel := range executor.foreignJobs {
		if key.origin == origin && (job == "" || key.job == job) {
			delete(executor.foreignJobs, key)
			cancel()
		}
	}
}

// LinkEnded abandons the jobs that this instance runs for another one when a link between the two ends. The origin
// answers its callers that the outcome is unknown, and they send the jobs again after 1,300 ms.
func (executor *Executor) LinkEnded(from string) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.abandonForeign(from, "")
}

// encodeJob returns the message that delegates a job; times are sent relative to now.
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
		SentUS: now.UnixMicro(), AgeUS: now.Sub(job.Arrived).Microseconds(), RemainingUS: job.Deadline.Sub(now).Microseconds(), ObjectiveUS: job.Objective.Sub(now).Microseconds(),
	}
}

// decodeJob returns the job of a delegation that was sent at now, or an error if it is not one that an instance
// sends.
func decodeJob(request *linker.Delegation, now time.Time) (scheduler.Job, error) {
	if request.Job == "" || len(request.Steps) == 0 {
		return scheduler.Job{}, eris.New("the job has no ID or no steps")
	}
	steps := make([]scheduler.Step, len(request.Steps))
	tasks := 0
	for i := range request.Steps {
		step := &request.Steps[i]
		tasks += len(step.Tasks)
		if len(step.Tasks) == 0 || tasks > maxDelegatedTasks || step.MilliCores < 0 || step.MemoryMB < 0 || step.Accelerators < 0 || step.EstimateUS < 0 {
			return scheduler.Job{}, eris.Errorf("step %d has no tasks, too many or a negative amount", i)
		}
		for _, earlier := range step.DependsOn {
			if earlier < 0 || earlier >= i {
				return scheduler.Job{}, eris.Errorf("step %d depends on step %d", i, earlier)
			}
		}
		for _, task := range step.Tasks {
			if !strings.HasPrefix(task, request.Job+".") {
				return scheduler.Job{}, eris.Errorf("task %.80q belongs to another job", task)
			}
		}
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
	}, nil
}
