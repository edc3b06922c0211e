package executor

import (
	"context"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/locator"
	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

// runOrJoin runs a job, or joins it on the instance that has announced it: its runs go on, and its outcome counts for this caller too. It
// returns the channel for the outcome; the caller holds the lock.
func (executor *Executor) runOrJoin(job scheduler.Job) chan dispatcher.Outcome {
	if executor.has(job.ID) || executor.scheduler.Cancelled(job.ID) {
		return executor.runLocally(job)
	}
	switch decision := executor.locator.Decide(job.ID, executor.peers.ContactWith, executor.now()).(type) {
	case locator.Join:
		executor.logger.Info("job joined", "job", job.ID, "instance", decision.Instance)
		answer := executor.addWaiter(job.ID)
		executor.limitDeadline(&job)
		executor.handOver(job, decision.Instance, true)
		return answer
	case locator.Withhold:
		executor.logger.Warn("job not started, runs of a lost instance may go on", "job", job.ID, "instance", decision.Instance)
		answer := executor.addWaiter(job.ID)
		outcome := dispatcher.NewUnknown("the instance that runs the job is not heard of")
		executor.answer(scheduler.AnswerJob{Job: job.ID, Outcome: outcome, Started: true, Arrived: job.Arrived, Objective: job.Objective})
		return answer
	case locator.Run:
	}
	return executor.runLocally(job)
}

// catchUpPeriod is how long after a pause of this process announcements that have arrived meanwhile may be unread.
const catchUpPeriod = 50 * time.Millisecond

// awaitAnnouncements waits until this instance has read what others announced while it was paused: a job that a caller has handed in
// meanwhile may be active there.
func (executor *Executor) awaitAnnouncements(ctx context.Context) {
	executor.mu.Lock()
	now := executor.now()
	executor.noticePause(now)
	until := executor.pauseNoticedAt.Add(catchUpPeriod)
	executor.mu.Unlock()
	if now.Before(until) && len(executor.peers.Live()) > 0 {
		sleeper.For(ctx, until.Sub(now))
	}
}

// handleActiveJobs records the jobs that another instance has announced in an update; the caller holds the lock.
func (executor *Executor) handleActiveJobs(from string, update *linker.StateUpdate, sent time.Time) {
	for _, job := range update.ActiveJobs {
		executor.locator.Record(from, locator.Key(job), sent)
		executor.scheduler.HandlePeerAnnouncement(locator.Key(job), sent, executor.now())
	}
}

// sendActiveJobs announces the active jobs of this instance, and those given up with outstanding starts, to one that may have missed that;
// the caller holds the lock.
func (executor *Executor) sendActiveJobs(to string) {
	now := executor.now()
	var keys []locator.Key
	for _, job := range executor.scheduler.ActiveJobIDs(now) {
		keys = append(keys, locator.KeyOf(job))
	}
	for _, job := range executor.scheduler.GivenUpJobIDs(now) {
		keys = append(keys, locator.GivenUpKeyOf(job))
	}
	executor.peers.SendActiveJobs(to, keys)
}

// declines reports whether a job that another instance wants to join here is none of this one; the caller holds the lock.
func (executor *Executor) declines(job scheduler.Job) bool {
	if entry, delegated := executor.delegated[job.ID]; delegated && !entry.joined {
		return false
	}
	return !executor.scheduler.Concerns(job, executor.now())
}

// refuseDelegation answers a delegated job that is not run here. Whoever joins a job must not take that for the end of its runs.
func (executor *Executor) refuseDelegation(origin string, request *linker.Delegation, detail string, retryAt time.Time) {
	var outcome dispatcher.Outcome = dispatcher.NewRefused(dispatcher.ReasonUnavailable, detail, "", retryAt)
	if request.Joined {
		outcome = dispatcher.NewUnknown(detail)
	}
	executor.answerDelegation(origin, request, outcome)
}

// declined reports whether an instance has declined a job that was joined there: it is certain that nothing of it runs there.
func (entry *delegation) declined(outcome dispatcher.Outcome) bool {
	_, refused := outcome.(dispatcher.Refused)
	return refused && entry.joined
}
