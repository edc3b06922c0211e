package executor

import (
	"context"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// cancelTimeout is how long to wait for the other instances to answer whether a cancelled job was active there.
	cancelTimeout = 200 * time.Millisecond
	// cancelRecordTimeout is how long a cancellation that no other instance knows of waits to be recorded. A caller expects the
	// acknowledgement within 4 s, also while the store is unavailable.
	cancelRecordTimeout = time.Second
)

// CancellationArchive records cancellations where instances that cannot be reached find them later.
type CancellationArchive interface {
	// Archive begins to record that a job was cancelled, and returns a channel that is closed once it is recorded. It does not block.
	Archive(job string) <-chan struct{}
}

// cancelQuery is a cancelled job for which answers of other instances are awaited; guarded by the executor's lock.
type cancelQuery struct {
	// missing holds the instances that have not answered.
	missing map[string]bool
	// active means that the job was active on an instance that has answered.
	active bool
	// answered is closed when none is missing or the job was active on one, and shared with the first answer.
	answered, shared chan struct{}
}

// recordAnswer records the answer of an instance.
func (query *cancelQuery) recordAnswer(from string, active bool) {
	if !query.missing[from] {
		return
	}
	wasAnswered := query.isAnswered()
	delete(query.missing, from)
	query.active = query.active || active
	if !wasAnswered && query.isAnswered() {
		close(query.answered)
	}
	select {
	case <-query.shared:
	default:
		close(query.shared)
	}
}

func (query *cancelQuery) isAnswered() bool { return query.active || len(query.missing) == 0 }

// SetCancellationArchive sets where the cancellations are recorded that some instance may have missed; nil for nowhere.
func (executor *Executor) SetCancellationArchive(archive CancellationArchive) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.cancellationArchive = archive
}

// Cancel abandons a job on whichever instance it runs, and keeps it from running later. It reports false if the job was
// active on no instance. If an instance cannot be reached, the cancellation has to outlive this one: it is recorded, and Cancel
// returns when that is done or another instance has it, or after cancelRecordTimeout.
func (executor *Executor) Cancel(ctx context.Context, job string) bool {
	query, activeHere := executor.beginCancel(scheduler.Cancellation{Job: job, At: executor.now()})
	defer executor.endCancel(query)
	if !activeHere {
		waitForEither(ctx, cancelTimeout, query.answered, nil)
	}
	unreachable, archive := executor.reviewCancel(query, job, activeHere)
	if unreachable && archive != nil {
		waitForEither(ctx, cancelRecordTimeout, query.shared, archive.Archive(job))
	}
	return activeHere || unreachable || executor.wasActive(query)
}

// waitForEither waits until one of two channels is closed, the timeout has passed or ctx is done.
func waitForEither(ctx context.Context, timeout time.Duration, first, second <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-first:
	case <-second:
	case <-ctx.Done():
	}
}

// beginCancel cancels a job here and asks the other instances to do so. It reports whether the job was active here.
func (executor *Executor) beginCancel(cancellation scheduler.Cancellation) (*cancelQuery, bool) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	active := executor.cancelHere(cancellation)
	query := &cancelQuery{missing: make(map[string]bool), answered: make(chan struct{}), shared: make(chan struct{})}
	for _, peer := range executor.peers.Live() {
		executor.peers.SendCancellation(peer, cancellation)
		query.missing[peer] = true
	}
	executor.cancelQueries[query] = cancellation.Job
	if len(query.missing) == 0 {
		close(query.answered)
	}
	return query, active
}

// reviewCancel reports whether an instance that may have the job has not been reached, and returns the archive.
func (executor *Executor) reviewCancel(query *cancelQuery, job string, activeHere bool) (unreachable bool, archive CancellationArchive) {
	outOfTouch := executor.peers.OutOfTouch()
	executor.mu.Lock()
	defer executor.mu.Unlock()
	// An instance that has not answered in time may have the job, and abandons it as soon as it learns of the cancellation.
	unreachable = outOfTouch || !activeHere && !query.isAnswered()
	executor.logger.Info("job cancelled", "job", job, "active", activeHere || query.active, "unanswered", len(query.missing), "unreachable", unreachable)
	return unreachable, executor.cancellationArchive
}

func (executor *Executor) wasActive(query *cancelQuery) bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return query.active
}

func (executor *Executor) endCancel(query *cancelQuery) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	delete(executor.cancelQueries, query)
}

// ApplyCancellations cancels jobs here that other instances have recorded as cancelled.
func (executor *Executor) ApplyCancellations(jobs []string) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	for _, job := range jobs {
		if !executor.scheduler.Cancelled(job) {
			active := executor.cancelHere(scheduler.Cancellation{Job: job, At: executor.now()})
			executor.logger.Info("cancellation read from the store", "job", job, "active", active)
		}
	}
}

// MayHaveMissedCancellations reports whether an instance cannot be reached, or whether one was lost or this one paused since the
// last call.
func (executor *Executor) MayHaveMissedCancellations() bool {
	outOfTouch := executor.peers.OutOfTouch()
	executor.mu.Lock()
	defer executor.mu.Unlock()
	missed := executor.cancellationsMissed
	executor.cancellationsMissed = false
	return missed || outOfTouch
}

// cancelHere abandons a job on this instance, and reports whether it was active here; the caller holds the lock.
func (executor *Executor) cancelHere(cancellation scheduler.Cancellation) bool {
	delegated := executor.abandonDelegated(cancellation.Job, "the caller cancelled the job")
	if delegated {
		executor.deliver(cancellation.Job, dispatcher.NewUnknown("the caller cancelled the job"))
	}
	active := executor.scheduler.Cancel(cancellation, executor.now())
	executor.runActions()
	return active || delegated
}

// handleCancellations carries out the cancellations of an update and processes the answers to those of this instance; the
// caller holds the lock.
func (executor *Executor) handleCancellations(from string, update *linker.StateUpdate, now time.Time) {
	for _, cancelled := range update.Cancelled {
		active := executor.cancelHere(scheduler.Cancellation{Job: cancelled.Job, At: now.Add(-milliseconds(cancelled.AgeMS))})
		executor.peers.AnswerCancellation(from, cancelled.Job, active)
	}
	for _, answer := range update.CancelAnswers {
		for query, job := range executor.cancelQueries {
			if job == answer.Job {
				query.recordAnswer(from, answer.Active)
			}
		}
	}
}
