package executor

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// pollWait is how long a target may hold back the answer to a poll while no run ends. Each poll renews the lease,
	// and two polls and a lost connection must fit into the lease duration.
	pollWait = 300 * time.Millisecond
	// pollTimeout is how long to wait for an answer beyond the requested wait: a few slow round trips.
	pollTimeout = 100 * time.Millisecond
	// degradedPollWait and degradedPollTimeout apply for degradedPeriod after a target has fallen silent. If one request in twenty is
	// lost, longer polls would delay the ends on a third of the targets. A target that stays silent, or whose host refuses
	// connections, does not extend the period: where some target is always down, all polls would stay short.
	degradedPollWait    = 50 * time.Millisecond
	degradedPollTimeout = 40 * time.Millisecond
	degradedPeriod      = 2 * time.Second
	// minPollInterval is the minimum time between two polls of a target, so that ends in quick succession share a poll.
	minPollInterval = 4 * time.Millisecond
	// acknowledgeDelay is how long ends stay unacknowledged while nothing else runs on the target.
	acknowledgeDelay = 300 * time.Millisecond
	// acknowledgePeriod is how long after an answer of a target its ends may be acknowledged. A target that restarts is
	// down for longer, so its next incarnation, whose ends have the same numbers, does not receive the acknowledgement.
	acknowledgePeriod = acknowledgeDelay + 100*time.Millisecond
	// readerTimeout is how long an instance with runs on a target waits for a report from the target's reader before it
	// polls the target itself; the lease must not expire meanwhile.
	readerTimeout = 650 * time.Millisecond
	// probeInterval is how often an unreachable target is polled by its reader and by instances with runs there. For others it
	// doubles with each poll that gets no answer, up to maxProbeInterval.
	probeInterval = 400 * time.Millisecond
	// minProbeInterval is the pause of the reader after the target has become unreachable, which doubles up to probeInterval: a
	// target that is back carries out orders for its former incarnation until it is polled. Targets whose hosts refuse connections are
	// probed at this interval, which all of them share, while such orders may be under way: a refused connection costs little.
	minProbeInterval = 12 * time.Millisecond
	// outstandingProbeInterval is how often an instance polls a target that refuses connections and on which a start of it may still be
	// carried out: from the first poll of the next incarnation on, that incarnation refuses the start. All such targets share it.
	outstandingProbeInterval = 50 * time.Millisecond
	// watchInterval is how often a reader polls its idle targets to notice their ends; all of them share it.
	watchInterval     = 25 * time.Millisecond
	maxProbeInterval  = 3200 * time.Millisecond
	maxProbeDoublings = 3
	// withholdPeriod is how long the acknowledgement of an end is withheld if the run's owner is unknown or
	// unreachable. Within it, owners repeat their claims, or poll the target themselves after readerTimeout. After a
	// loss of all instances, each one reads all targets until it has discovered the others. When it acknowledged such
	// ends at once, their owners started the tasks again.
	withholdPeriod = readerTimeout + 150*time.Millisecond
	// withheldPollInterval is the minimum time between two polls while an end is withheld, since the target then
	// answers each poll at once.
	withheldPollInterval = 25 * time.Millisecond
	// unverifiedPollInterval is the time between two polls of a restarted target that another instance reads, after the
	// first one: if that does not list a run, its end may be under way from the reader.
	unverifiedPollInterval = 75 * time.Millisecond
	// fencedPollInterval is the time between two polls of a target that refuses them until its restart is known here.
	fencedPollInterval = 100 * time.Millisecond
	// idleInterval is how often a poller without work checks for some, although it is woken when there is. With many
	// targets, most pollers of an instance are idle.
	idleInterval = time.Minute
	// unreachableThreshold is how many polls in a row must fail for a target to be unreachable. If three requests in ten
	// get no answer, two in a row fail several times a second somewhere, and half of the targets got no work.
	unreachableThreshold = 4
)

// poller polls one target to renew its lease and collect run ends.
type poller struct {
	id     string
	cancel context.CancelFunc
	wake   chan struct{}
	// isReader reports whether this instance reads the target for all instances.
	isReader atomic.Bool
	// reader is the incarnation of the target's reader; guarded by the executor's lock.
	reader string
	// The following fields are used only by the poller's goroutine.
	// awaitsPeers means that isReader is not reliable yet.
	awaitsPeers  bool
	incarnation  int64
	acknowledged int64
	// acknowledgeable is the sequence number of the last end that may be acknowledged.
	acknowledgeable int64
	failures        int
	polled          bool
	lastPoll        time.Time
	// incarnationSince is when the incarnation that the last poll was meant for became known.
	incarnationSince time.Time
	// lastAnswer is when the last answer of the target's latest incarnation arrived.
	lastAnswer time.Time
	// forwarded is the sequence number of the last end that was processed, and withheld holds until when each withheld
	// end stays unacknowledged.
	forwarded int64
	withheld  map[int64]time.Time
}

// startPoller starts the poller of a target; the caller holds the lock.
func (executor *Executor) startPoller(id string, candidates readerCandidates) {
	ctx, cancel := context.WithCancel(executor.ctx)
	poller := &poller{id: id, cancel: cancel, wake: make(chan struct{}, 1), withheld: make(map[int64]time.Time)}
	executor.pollers[id] = poller
	executor.assignReader(poller, candidates, executor.now())
	executor.group.Go(func() {
		for ctx.Err() == nil {
			executor.pollNext(ctx, poller)
		}
	})
}

// wake makes the poller of a target check for work; the caller holds the lock.
func (executor *Executor) wake(target string) {
	if poller, ok := executor.pollers[target]; ok {
		select {
		case poller.wake <- struct{}{}:
		default:
		}
	}
}

// pollNext polls the target if a poll is due, and waits otherwise.
func (executor *Executor) pollNext(ctx context.Context, poller *poller) {
	now := executor.now()
	executor.mu.Lock()
	target, known := executor.scheduler.Target(poller.id)
	state := executor.scheduler.TargetState(poller.id)
	poller.awaitsPeers = !executor.peersKnown
	executor.mu.Unlock()
	request, pause := poller.nextPoll(state, now)
	if !known || pause > 0 {
		poller.sleep(ctx, max(pause, minPollInterval))
		return
	}
	lastPoll, incarnationSince := poller.lastPoll, poller.incarnationSince
	poller.lastPoll, poller.incarnationSince = now, state.IncarnationSince
	if state.MayRenew(now) && poller.failures == 0 {
		request.Lease = now.Add(scheduler.LeaseDuration)
		executor.mu.Lock()
		executor.scheduler.RecordLeaseRenewal(poller.id, now)
		executor.mu.Unlock()
	}
	if executor.degraded(now) {
		request.Wait = min(request.Wait, degradedPollWait)
	}
	if !executor.poll(ctx, poller, target, request) {
		// The poll remains due.
		poller.lastPoll, poller.incarnationSince = lastPoll, incarnationSince
		sleeper.For(ctx, noConnectionPause)
	}
}

// nextPoll returns the next poll and how long to wait before it; a wait of zero or less means that it is due.
func (poller *poller) nextPoll(state scheduler.TargetState, now time.Time) (PollRequest, time.Duration) {
	sincePoll := now.Sub(poller.lastPoll)
	acknowledged := poller.mayAcknowledge(state, now)
	switch {
	case poller.awaitsPeers && !state.Occupied && !state.Awaited && !state.Unguarded && poller.failures == 0:
		return PollRequest{}, idleInterval
	case state.Fenced && poller.failures == 0:
		return PollRequest{}, fencedPollInterval - sincePoll
	case poller.isReader.Load() && (!poller.polled || state.ReadSince.After(poller.lastPoll)) && !state.Unreachable && poller.failures == 0:
		return PollRequest{}, 0
	case poller.isReader.Load() && state.IncarnationSince.After(poller.incarnationSince):
		// The target has restarted. The poll makes it refuse what was sent to its former incarnation.
		return PollRequest{}, 0
	case poller.isReader.Load() && state.Refusing > 0 && !state.Unreachable && poller.failures == 0:
		// Another instance has found that the target's host refuses connections.
		return PollRequest{}, time.Duration(state.Refusing)*minProbeInterval - sincePoll
	case poller.isReader.Load() && state.Unreachable && poller.failures < unreachableThreshold:
		// A start could not be sent. If the host refuses connections, the target has probably ended.
		return PollRequest{}, minPollInterval - sincePoll
	case state.Outstanding > 0:
		return PollRequest{}, min(time.Duration(state.Outstanding)*outstandingProbeInterval, poller.probePause(state)) - sincePoll
	case state.Unreachable || poller.failures >= unreachableThreshold:
		return PollRequest{}, poller.probePause(state) - sincePoll
	case poller.failures > 0:
		return PollRequest{}, 0
	case state.Contradicted && (poller.isReader.Load() || state.HasOwnRuns):
		return PollRequest{}, minPollInterval - sincePoll
	case poller.isReader.Load() && state.Occupied:
		request := PollRequest{Acknowledged: acknowledged, Wait: pollWait}
		if !state.MayRenew(now) {
			// The claim for which the next poll renews the lease may arrive meanwhile.
			request.Wait = degradedPollWait
		}
		if len(poller.withheld) > 0 {
			return request, withheldPollInterval - sincePoll
		}
		return request, minPollInterval - sincePoll
	case poller.isReader.Load() && (poller.acknowledgeable > poller.acknowledged || len(poller.withheld) > 0):
		return PollRequest{Acknowledged: acknowledged}, acknowledgeDelay - now.Sub(poller.lastPoll)
	case poller.isReader.Load() && state.Watched > 0 && now.Before(state.WatchedUntil):
		// The target closes the connection at its end, which would go unnoticed otherwise until it is back.
		return PollRequest{Acknowledged: acknowledged, Wait: pollWait}, max(pollWait, time.Duration(state.Watched)*watchInterval) - sincePoll
	case !poller.isReader.Load() && state.Unverified && poller.lastAnswer.After(state.IncarnationSince):
		return PollRequest{}, unverifiedPollInterval - sincePoll
	case !poller.isReader.Load() && state.Unverified:
		return PollRequest{}, minPollInterval - sincePoll
	case !poller.isReader.Load() && state.Awaited:
		return PollRequest{}, unverifiedPollInterval - sincePoll
	case !poller.isReader.Load() && state.HasOwnRuns && now.Sub(state.LastHeard) >= readerTimeout:
		return PollRequest{}, probeInterval - sincePoll
	case !poller.isReader.Load() && state.HasOwnRuns:
		return PollRequest{}, readerTimeout - now.Sub(state.LastHeard)
	}
	return PollRequest{}, idleInterval
}

// probePause returns the time between two polls of an unreachable target. It is longer for an instance that neither reads the
// target nor has runs there: if all instances probed all unreachable targets at the rate of their readers, the probes of a failure
// domain would keep narrow links full.
func (poller *poller) probePause(state scheduler.TargetState) time.Duration {
	switch {
	case poller.isReader.Load():
		// A pause as long as the outage had lasted at the last poll doubles each time.
		pause := min(max(minProbeInterval, poller.lastPoll.Sub(state.UnreachableSince)), probeInterval)
		if state.Refusing > 0 && poller.lastPoll.Before(state.DelayedUntil) {
			pause = min(pause, time.Duration(state.Refusing)*minProbeInterval)
		}
		return pause
	case state.HasOwnRuns:
		return probeInterval
	}
	return min(probeInterval<<min(poller.failures, maxProbeDoublings), maxProbeInterval)
}

// mayAcknowledge returns the sequence number up to which a poll may acknowledge ends now, or 0 for none. An
// incarnation that has not seen a request for itself yet accepts one for a former incarnation, so only one that has answered very
// recently is sent an acknowledgement; any other poll first shows which incarnation answers.
func (poller *poller) mayAcknowledge(state scheduler.TargetState, now time.Time) int64 {
	if poller.failures > 0 || state.Fenced || state.IncarnationSince.After(poller.lastAnswer) || now.Sub(poller.lastAnswer) > acknowledgePeriod {
		return 0
	}
	return poller.acknowledgeable
}

// sleep waits for the pause to pass or for a wakeup.
func (poller *poller) sleep(ctx context.Context, pause time.Duration) {
	if sleepUntilWoken(ctx, pause, poller.wake) {
		sleeper.For(ctx, time.Millisecond)
	}
}

// sleepUntilWoken waits for the pause to pass, for a wakeup or for the end of ctx, and reports whether there was a wakeup.
func sleepUntilWoken(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		return true
	}
	return false
}

// poll polls the target and processes its answer. It returns false if no connection to the target was free, which is no failure of
// the target.
func (executor *Executor) poll(ctx context.Context, poller *poller, target scheduler.Target, request PollRequest) bool {
	timeout := request.Wait + pollTimeout
	if poller.failures > 0 || !poller.polled || executor.degraded(poller.lastPoll) {
		// No task starts before the first answers.
		timeout = request.Wait + degradedPollTimeout
	}
	pollContext, cancel := context.WithTimeout(ctx, timeout+executor.uplink.Send(0, executor.now()))
	defer cancel()
	poll, err := executor.client.Poll(pollContext, target, request)
	if errors.Is(err, ErrNoConnection) {
		return false
	}
	executor.meter.polls.Inc()
	if ctx.Err() != nil {
		return true
	}
	if errors.Is(err, ErrFenced) {
		executor.handleFencedPoll(poller, target)
		return true
	}
	if err != nil {
		executor.handlePollFailure(poller, target, err)
		return true
	}
	poll.Address, poll.Named = target.Address, target.Incarnation
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.noticePause(poll.Answered)
	if !executor.scheduler.HandlePoll(poller.id, poll) {
		return true
	}
	if !poller.polled {
		executor.logFirstList(poller, poll)
	}
	if poller.failures > 0 {
		executor.logger.Info("target answers again", "target", poller.id, "incarnation", poll.Incarnation)
	}
	poller.failures, poller.polled, poller.lastAnswer = 0, true, poll.Answered
	if poll.Incarnation != poller.incarnation {
		poller.incarnation, poller.acknowledged, poller.acknowledgeable, poller.forwarded = poll.Incarnation, 0, 0, 0
		clear(poller.withheld)
	} else {
		poller.acknowledged = max(poller.acknowledged, request.Acknowledged)
	}
	executor.processEnds(poller, poll)
	if report, due := executor.scheduler.RenewalReport(poller.id, poll.Answered); due {
		executor.peers.Report(report)
	}
	executor.runActions()
	return true
}

// processEnds forwards new ends and decides which may be acknowledged; the caller holds the lock.
func (executor *Executor) processEnds(poller *poller, poll scheduler.PollResult) {
	acknowledging := poller.isReader.Load()
	for _, end := range poll.Ended {
		end.Incarnation = poll.Incarnation
		if end.Seq > poller.forwarded {
			executor.forwardEnd(poller, end, poll.Answered)
		}
		if acknowledging = acknowledging && !poller.withholds(end.Seq, poll.Answered); acknowledging && end.Seq > poller.acknowledgeable {
			poller.acknowledgeable = end.Seq
		}
	}
}

// forwardEnd reports an end to the scheduler and to the owner of the run. If the owner is unknown or unreachable, the
// acknowledgement is withheld for withholdPeriod, so that an owner that polls the target itself still finds the end.
// The caller holds the lock.
func (executor *Executor) forwardEnd(poller *poller, end scheduler.End, now time.Time) {
	owner := executor.scheduler.Owner(poller.id, end.Run)
	switch {
	case owner == executor.self.Incarnation:
	case owner != "" && executor.peers.Reachable(owner):
		if poller.isReader.Load() {
			executor.peers.SendRunEnd(owner, poller.id, end)
		}
	default:
		poller.withheld[end.Seq] = now.Add(withholdPeriod)
	}
	poller.forwarded = end.Seq
	executor.logEnd(poller.id, end, owner)
	executor.scheduler.HandleEnd(poller.id, end, now)
}

// withholds reports whether an end must stay unacknowledged for now.
func (poller *poller) withholds(seq int64, now time.Time) bool {
	until, withheld := poller.withheld[seq]
	if withheld && !now.Before(until) {
		delete(poller.withheld, seq)
		return false
	}
	return withheld
}

// degraded reports whether a target that had answered before left a poll unanswered within the last degradedPeriod.
func (executor *Executor) degraded(now time.Time) bool {
	return now.UnixNano()-executor.lastSilence.Load() < int64(degradedPeriod)
}

// handleFencedPoll handles a poll that a target refused since it has seen a request for a later incarnation. The target is there,
// so that the poll is no failure.
func (executor *Executor) handleFencedPoll(poller *poller, target scheduler.Target) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	if !executor.scheduler.TargetState(poller.id).Fenced {
		executor.logger.Warn("target has seen a request for a later incarnation", "target", poller.id, "incarnation", target.Incarnation)
	}
	poller.failures = 0
	executor.scheduler.HandleFenced(target, executor.now())
	executor.runActions()
}

// handlePollFailure handles a poll of the given target that failed or was refused.
func (executor *Executor) handlePollFailure(poller *poller, target scheduler.Target, err error) {
	poller.failures++
	executor.meter.unansweredPolls.Inc()
	if poller.failures == 1 && !errors.Is(err, syscall.ECONNREFUSED) {
		executor.lastSilence.Store(executor.now().UnixNano())
	}
	if poller.failures == 1 {
		executor.logger.Info("poll not answered", "target", poller.id, "error", eris.ToString(err, false))
	}
	if poller.failures == unreachableThreshold {
		executor.logger.Warn("target does not answer", "target", poller.id, "error", eris.ToString(err, false))
	}
	replaced := errors.Is(err, ErrReplaced)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.HandlePollFailure(poller.id, executor.now())
	executor.runActions()
	if !replaced && poller.failures < unreachableThreshold {
		return
	}
	if known, ok := executor.scheduler.Target(poller.id); ok && (known.Address != target.Address || known.Incarnation != target.Incarnation) {
		// The failure says nothing about the target as it is known by now.
		poller.failures = 0
		return
	}
	if replaced {
		executor.scheduler.HandleReplaced(target, executor.now())
	} else {
		executor.scheduler.MarkUnreachable(poller.id, errors.Is(err, syscall.ECONNREFUSED), executor.now())
	}
	executor.runActions()
}
