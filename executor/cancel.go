package executor

import (
	"context"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// cancelTimeout is how long to wait for the other instances to answer whether a cancelled job was active there.
const cancelTimeout = 200 * time.Millisecond

// cancelQuery is a cancelled job for which answers of other instances are awaited; guarded by the executor's lock.
type cancelQuery struct {
	// missing holds the instances that have not answered, and answered is closed when none is left or the job was active on
	// one.
	missing  map[string]bool
	active   bool
	answered chan struct{}
}

// Cancel abandons a job on whichever instance it runs, and keeps it from running later. It reports false if the job was
// active on no instance.
func (executor *Executor) Cancel(ctx context.Context, job string) bool {
	query, active := executor.beginCancel(scheduler.Cancellation{Job: job, At: executor.now()})
	if active {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	select {
	case <-query.answered:
	case <-ctx.Done():
	}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	delete(executor.cancelQueries, query)
	executor.logger.Info("job cancelled", "job", job, "active", query.active, "unanswered", len(query.missing))
	// An instance that has not answered may have had the job, and abandons it as soon as it learns of the cancellation.
	return query.active || len(query.missing) > 0
}

// beginCancel cancels a job here and asks the other instances to do so. It reports whether the job was active here.
func (executor *Executor) beginCancel(cancellation scheduler.Cancellation) (*cancelQuery, bool) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	active := executor.cancelHere(cancellation)
	query := &cancelQuery{missing: make(map[string]bool), answered: make(chan struct{})}
	for _, peer := range executor.peers.Live() {
		executor.peers.SendCancellation(peer, cancellation)
		query.missing[peer] = true
	}
	if active {
		executor.logger.Info("job cancelled", "job", cancellation.Job, "active", true)
		return query, true
	}
	executor.cancelQueries[query] = cancellation.Job
	if len(query.missing) == 0 {
		close(query.answered)
	}
	return query, false
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
			if job != answer.Job || !query.missing[from] {
				continue
			}
			delete(query.missing, from)
			if query.active = query.active || answer.Active; query.active || len(query.missing) == 0 {
				close(query.answered)
				delete(executor.cancelQueries, query)
			}
		}
	}
}
