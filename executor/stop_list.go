package executor

import (
	"context"
	"errors"
	"time"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

// minListPause and maxListPause bound the pause after a list of stopped runs that got no answer; it doubles with each one.
const (
	minListPause = 50 * time.Millisecond
	maxListPause = 400 * time.Millisecond
)

// listStopped polls a target until the ends of the runs are known whose stops it has accepted. The poller of the target may wait
// for an answer that is held back, or have nothing to do because another instance reads the target.
func (executor *Executor) listStopped(id string) {
	executor.mu.Lock()
	added, active := executor.listers[id]
	if active {
		select {
		case added <- struct{}{}:
		default:
		}
		executor.mu.Unlock()
		return
	}
	added = make(chan struct{}, 1)
	executor.listers[id] = added
	executor.mu.Unlock()
	failures, notBefore := 0, time.Time{}
	for {
		now := executor.now()
		executor.mu.Lock()
		next, needed := executor.scheduler.NextList(id)
		target, known := executor.scheduler.Target(id)
		if !needed || !known || executor.ctx.Err() != nil {
			delete(executor.listers, id)
			executor.mu.Unlock()
			return
		}
		executor.mu.Unlock()
		if pause := max(next.Sub(now), notBefore.Sub(now)); pause > 0 {
			sleepUntilWoken(executor.ctx, pause, added)
			continue
		}
		if executor.pollStopped(target) {
			failures = 0
			continue
		}
		notBefore = executor.now().Add(min(minListPause<<min(failures, 8), maxListPause))
		failures++
	}
}

// pollStopped polls a target once for the ends of stopped runs, without renewing its lease, and reports whether it answered.
func (executor *Executor) pollStopped(target scheduler.Target) bool {
	ctx, cancel := context.WithTimeout(executor.ctx, pollTimeout+executor.uplink.Send(0, executor.now()))
	defer cancel()
	poll, err := executor.client.Poll(ctx, target, PollRequest{})
	executor.meter.polls.Inc()
	executor.mu.Lock()
	defer executor.mu.Unlock()
	if err != nil {
		if errors.Is(err, ErrFenced) {
			executor.scheduler.HandleFenced(target, executor.now())
			executor.runActions()
		}
		return false
	}
	poll.Address, poll.Named = target.Address, target.Incarnation
	executor.noticePause(poll.Answered)
	executor.scheduler.HandleStopList(target.ID, poll)
	executor.runActions()
	return true
}
