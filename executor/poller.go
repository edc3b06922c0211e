package executor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// pollWait is how long a target may hold the answer to a look while nothing ends. Each look renews the lease, so
	// that two of them and a lost connection fit into the lease time.
	pollWait = 300 * time.Millisecond
	// pollTimeout bounds a look beyond the time that the target may hold it: some slow round trips.
	pollTimeout = 100 * time.Millisecond
	// degradedPollWait and cautiousLookTimeout hold for cautiousTime after a look got no answer. Where a twentieth of the
	// orders get none, looks that are held for longer hide the ends on a third of the targets.
	degradedPollWait    = 50 * time.Millisecond
	degradedPollTimeout = 40 * time.Millisecond
	degradedPeriod      = 5 * time.Second
	// minPollInterval is the least time between two looks at one target, so that ends close together share a look.
	minPollInterval = 4 * time.Millisecond
	// acknowledgeDelay is how long ends stay unacknowledged when nothing else runs on the target.
	acknowledgeDelay = 300 * time.Millisecond
	// readerTimeout is how long an instance with runs on a target waits for word of the target from its reader before it
	// looks itself; the lease must not lapse meanwhile.
	readerTimeout = 650 * time.Millisecond
	// probeInterval is how often a target that did not answer is asked again.
	probeInterval = 400 * time.Millisecond
	// withholdTime is how long the end of a run stays unacknowledged if its owner is not known or cannot be told: owners
	// repeat their claims within it, and look themselves after newsTime. After the loss of all instances each reads all
	// targets until it knows the others; ends that were acknowledged at once made their owners start the tasks again.
	withholdTime = readerTimeout + 150*time.Millisecond
	// withheldPollInterval is the least time between two looks while an end is held back, since the target lists it at once.
	withheldPollInterval = 25 * time.Millisecond
	// idleInterval is how often a looker without work checks whether it has some.
	idleInterval = 3 * time.Second
	// unreachableThreshold is how many looks in a row must fail for a target to count as unreachable: one may have met
	// a connection that went silent.
	unreachableThreshold = 2
)

// poller looks after the lease and the ends of one target.
type poller struct {
	id     string
	cancel context.CancelFunc
	wake   chan struct{}
	// isReader tells whether this instance reads the ends of the target for all.
	isReader atomic.Bool
	// reader is the incarnation that reads them; the executor's lock guards it.
	reader string
	// peersKnownAt is when the other instances are known, so that reads tells the truth.
	peersKnownAt time.Time
	// The rest belongs to the looker's goroutine.
	incarnation  int64
	acknowledged int64
	// acknowledgeable is the number of the last end that may be acknowledged.
	acknowledgeable int64
	failures        int
	polled          bool
	lastPoll        time.Time
	// forwarded is the number of the last end that was passed on, and held holds until when ends stay unacknowledged.
	forwarded int64
	withheld  map[int64]time.Time
}

// startPoller starts the looker of a target; the caller holds the lock.
func (executor *Executor) startPoller(id string) {
	ctx, cancel := context.WithCancel(executor.ctx)
	poller := &poller{id: id, cancel: cancel, wake: make(chan struct{}, 1), peersKnownAt: executor.peersKnownAt, withheld: make(map[int64]time.Time)}
	executor.pollers[id] = poller
	executor.assignReader(poller, executor.peers.EligiblePeers(), executor.now())
	executor.group.Go(func() {
		for ctx.Err() == nil {
			executor.pollNext(ctx, poller)
		}
	})
}

// wake makes the looker of a target check whether there is work; the caller holds the lock.
func (executor *Executor) wake(target string) {
	if poller, ok := executor.pollers[target]; ok {
		select {
		case poller.wake <- struct{}{}:
		default:
		}
	}
}

// pollNext looks once if there is a reason to, or waits for one.
func (executor *Executor) pollNext(ctx context.Context, poller *poller) {
	now := executor.now()
	executor.mu.Lock()
	target, known := executor.scheduler.Target(poller.id)
	state := executor.scheduler.TargetState(poller.id)
	executor.mu.Unlock()
	request, pause := poller.nextPoll(state, now)
	if !known || pause > 0 {
		poller.sleep(ctx, max(pause, minPollInterval))
		return
	}
	poller.lastPoll = now
	if state.Occupied && !state.Unreachable && !state.UnreachableByReader && poller.failures == 0 {
		request.Lease = now.Add(scheduler.LeaseDuration)
		executor.mu.Lock()
		executor.scheduler.NoteRenewal(poller.id, now)
		executor.mu.Unlock()
	}
	if executor.degraded(now) {
		request.Wait = min(request.Wait, degradedPollWait)
	}
	executor.poll(ctx, poller, target, request)
}

// nextPoll returns the next look, or how long none is due.
func (poller *poller) nextPoll(state scheduler.TargetState, now time.Time) (PollRequest, time.Duration) {
	sinceLook := now.Sub(poller.lastPoll)
	switch {
	case now.Before(poller.peersKnownAt) && !state.Occupied && poller.failures == 0:
		return PollRequest{}, poller.peersKnownAt.Sub(now)
	case poller.isReader.Load() && !poller.polled && !state.Unreachable && poller.failures == 0:
		return PollRequest{}, 0
	case state.Unreachable || poller.failures >= unreachableThreshold:
		return PollRequest{}, probeInterval - sinceLook
	case poller.failures > 0:
		return PollRequest{Acknowledged: poller.acknowledgeable}, 0
	case poller.isReader.Load() && state.Occupied:
		request := PollRequest{Acknowledged: poller.acknowledgeable, Wait: pollWait}
		if len(poller.withheld) > 0 {
			return request, withheldPollInterval - sinceLook
		}
		return request, minPollInterval - sinceLook
	case poller.isReader.Load() && (poller.acknowledgeable > poller.acknowledged || len(poller.withheld) > 0):
		return PollRequest{Acknowledged: poller.acknowledgeable}, acknowledgeDelay - now.Sub(poller.lastPoll)
	case !poller.isReader.Load() && state.HasOwnRuns && now.Sub(state.LastHeard) >= readerTimeout:
		return PollRequest{}, probeInterval - sinceLook
	case !poller.isReader.Load() && state.HasOwnRuns:
		return PollRequest{}, readerTimeout - now.Sub(state.LastHeard)
	}
	return PollRequest{}, idleInterval
}

// sleep waits until there may be work.
func (poller *poller) sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-poller.wake:
		sleeper.For(ctx, time.Millisecond)
	}
}

// poll asks the target and passes on what it tells.
func (executor *Executor) poll(ctx context.Context, poller *poller, target scheduler.Target, request PollRequest) {
	timeout := request.Wait + pollTimeout
	if executor.degraded(poller.lastPoll) {
		timeout = request.Wait + degradedPollTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	poll, err := executor.client.Poll(bounded, target, request)
	executor.meter.looks.Inc()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		executor.handlePollFailure(poller, err)
		return
	}
	if poller.failures > 0 {
		executor.logger.Info("target answers again", "target", poller.id, "incarnation", poll.Incarnation)
	}
	poller.failures, poller.polled = 0, true
	if poll.Incarnation != poller.incarnation {
		poller.incarnation, poller.acknowledged, poller.acknowledgeable, poller.forwarded = poll.Incarnation, 0, 0, 0
		clear(poller.withheld)
	} else {
		poller.acknowledged = max(poller.acknowledged, request.Acknowledged)
	}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.HandlePoll(poller.id, poll)
	executor.processEnds(poller, poll)
	if report, due := executor.scheduler.RenewalReport(poller.id, poll.Answered); due {
		executor.peers.Report(report)
	}
	executor.runActions()
}

// processEnds passes on the ends that are new, and decides which may be acknowledged; the caller holds the lock.
func (executor *Executor) processEnds(poller *poller, poll scheduler.PollResult) {
	acknowledging := poller.isReader.Load()
	for _, end := range poll.Ended {
		if end.Seq > poller.forwarded {
			executor.forwardEnd(poller, end, poll.Answered)
		}
		if acknowledging = acknowledging && !poller.withholds(end.Seq, poll.Answered); acknowledging && end.Seq > poller.acknowledgeable {
			poller.acknowledgeable = end.Seq
		}
	}
}

// forwardEnd tells the owner of an ended run. The end stays unacknowledged for a while if the owner is not known or cannot
// be told, so that an instance that looks itself still finds it.
func (executor *Executor) forwardEnd(poller *poller, end scheduler.End, now time.Time) {
	owner := executor.scheduler.Owner(poller.id, end.Run)
	switch {
	case owner == executor.self.Incarnation:
	case owner != "" && executor.peers.Reachable(owner):
		if poller.isReader.Load() {
			executor.peers.SendRunEnd(owner, poller.id, end)
		}
	default:
		poller.withheld[end.Seq] = now.Add(withholdTime)
	}
	poller.forwarded = end.Seq
	executor.logEnd(poller.id, end, owner)
	executor.scheduler.HandleEnd(poller.id, end, now)
}

// withholds reports whether an end is to stay unacknowledged for now.
func (poller *poller) withholds(number int64, now time.Time) bool {
	until, withheld := poller.withheld[number]
	if withheld && !now.Before(until) {
		delete(poller.withheld, number)
		return false
	}
	return withheld
}

// degraded reports whether a look got no answer lately.
func (executor *Executor) degraded(now time.Time) bool {
	return now.UnixNano()-executor.lastPollFailure.Load() < int64(degradedPeriod)
}

func (executor *Executor) handlePollFailure(poller *poller, err error) {
	poller.failures++
	executor.lastPollFailure.Store(executor.now().UnixNano())
	if poller.failures == 1 {
		executor.logger.Info("look not answered", "target", poller.id, "error", eris.ToString(err, false))
	}
	if poller.failures == unreachableThreshold {
		executor.logger.Warn("target does not answer", "target", poller.id, "error", eris.ToString(err, false))
	}
	if poller.failures >= unreachableThreshold {
		executor.mu.Lock()
		defer executor.mu.Unlock()
		executor.scheduler.MarkUnreachable(poller.id)
	}
}
