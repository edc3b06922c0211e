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
	// lookWait is how long a target may hold the answer to a look while nothing ends. Each look renews the lease, so
	// that two of them and a lost connection fit into the lease time.
	lookWait = 300 * time.Millisecond
	// lookTimeout bounds a look beyond the time that the target may hold it: some slow round trips.
	lookTimeout = 100 * time.Millisecond
	// cautiousLookWait and cautiousLookTimeout hold for cautiousTime after a look got no answer. Where a twentieth of the
	// orders get none, looks that are held for longer hide the ends on a third of the targets.
	cautiousLookWait    = 50 * time.Millisecond
	cautiousLookTimeout = 40 * time.Millisecond
	cautiousTime        = 5 * time.Second
	// lookGap is the least time between two looks at one target, so that ends close together share a look.
	lookGap = 4 * time.Millisecond
	// acknowledgeTime is how long ends stay unacknowledged when nothing else runs on the target.
	acknowledgeTime = 300 * time.Millisecond
	// newsTime is how long an instance with runs on a target waits for word of the target from its reader before it
	// looks itself; the lease must not lapse meanwhile.
	newsTime = 650 * time.Millisecond
	// probeTime is how often a target that did not answer is asked again.
	probeTime = 400 * time.Millisecond
	// untoldTime is how long the end of a run stays unacknowledged if its owner is not known or cannot be told: owners
	// repeat their claims within it, and look themselves after newsTime. After the loss of all instances each reads all
	// targets until it knows the others; ends that were acknowledged at once made their owners start the tasks again.
	untoldTime = newsTime + 150*time.Millisecond
	// heldGap is the least time between two looks while an end is held back, since the target lists it at once.
	heldGap = 25 * time.Millisecond
	// idleTime is how often a looker without work checks whether it has some.
	idleTime = 3 * time.Second
	// failuresToUnreachable is how many looks in a row must fail for a target to count as unreachable: one may have met
	// a connection that went silent.
	failuresToUnreachable = 2
)

// looker looks after the lease and the ends of one target.
type looker struct {
	id     string
	cancel context.CancelFunc
	wake   chan struct{}
	// reads tells whether this instance reads the ends of the target for all.
	reads atomic.Bool
	// reader is the incarnation that reads them; the executor's lock guards it.
	reader string
	// settled is when the other instances are known, so that reads tells the truth.
	settled time.Time
	// The rest belongs to the looker's goroutine.
	incarnation  int64
	acknowledged int64
	// noted is the number of the last end that may be acknowledged.
	noted    int64
	failures int
	known    bool
	lastLook time.Time
	// passed is the number of the last end that was passed on, and held holds until when ends stay unacknowledged.
	passed int64
	held   map[int64]time.Time
}

// newLooker starts the looker of a target; the caller holds the lock.
func (executor *Executor) newLooker(id string) {
	ctx, cancel := context.WithCancel(executor.ctx)
	looker := &looker{id: id, cancel: cancel, wake: make(chan struct{}, 1), settled: executor.settled, held: make(map[int64]time.Time)}
	executor.lookers[id] = looker
	executor.assignReader(looker, executor.peers.EligiblePeers(), executor.now())
	executor.group.Go(func() {
		for ctx.Err() == nil {
			executor.attend(ctx, looker)
		}
	})
}

// wake makes the looker of a target check whether there is work; the caller holds the lock.
func (executor *Executor) wake(target string) {
	if looker, ok := executor.lookers[target]; ok {
		select {
		case looker.wake <- struct{}{}:
		default:
		}
	}
}

// attend looks once if there is a reason to, or waits for one.
func (executor *Executor) attend(ctx context.Context, looker *looker) {
	now := executor.now()
	executor.mu.Lock()
	target, known := executor.scheduler.Target(looker.id)
	state := executor.scheduler.TargetState(looker.id)
	executor.mu.Unlock()
	request, pause := looker.plan(state, now)
	if !known || pause > 0 {
		looker.rest(ctx, max(pause, lookGap))
		return
	}
	looker.lastLook = now
	if state.Occupied && !state.Unreachable && !state.UnreachableByReader && looker.failures == 0 {
		request.Lease = now.Add(scheduler.LeaseDuration)
		executor.mu.Lock()
		executor.scheduler.NoteRenewal(looker.id, now)
		executor.mu.Unlock()
	}
	if executor.cautious(now) {
		request.Wait = min(request.Wait, cautiousLookWait)
	}
	executor.look(ctx, looker, target, request)
}

// plan returns the next look, or how long none is due.
func (looker *looker) plan(state scheduler.TargetState, now time.Time) (PollRequest, time.Duration) {
	sinceLook := now.Sub(looker.lastLook)
	switch {
	case now.Before(looker.settled) && !state.Occupied && looker.failures == 0:
		return PollRequest{}, looker.settled.Sub(now)
	case looker.reads.Load() && !looker.known && !state.Unreachable && looker.failures == 0:
		return PollRequest{}, 0
	case state.Unreachable || looker.failures >= failuresToUnreachable:
		return PollRequest{}, probeTime - sinceLook
	case looker.failures > 0:
		return PollRequest{Acknowledged: looker.noted}, 0
	case looker.reads.Load() && state.Occupied:
		request := PollRequest{Acknowledged: looker.noted, Wait: lookWait}
		if len(looker.held) > 0 {
			return request, heldGap - sinceLook
		}
		return request, lookGap - sinceLook
	case looker.reads.Load() && (looker.noted > looker.acknowledged || len(looker.held) > 0):
		return PollRequest{Acknowledged: looker.noted}, acknowledgeTime - now.Sub(looker.lastLook)
	case !looker.reads.Load() && state.HasOwnRuns && now.Sub(state.LastHeard) >= newsTime:
		return PollRequest{}, probeTime - sinceLook
	case !looker.reads.Load() && state.HasOwnRuns:
		return PollRequest{}, newsTime - now.Sub(state.LastHeard)
	}
	return PollRequest{}, idleTime
}

// rest waits until there may be work.
func (looker *looker) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-looker.wake:
		sleeper.For(ctx, time.Millisecond)
	}
}

// look asks the target and passes on what it tells.
func (executor *Executor) look(ctx context.Context, looker *looker, target scheduler.Target, request PollRequest) {
	timeout := request.Wait + lookTimeout
	if executor.cautious(looker.lastLook) {
		timeout = request.Wait + cautiousLookTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	poll, err := executor.orderer.Poll(bounded, target, request)
	executor.meter.looks.Inc()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		executor.lookFailed(looker, err)
		return
	}
	if looker.failures > 0 {
		executor.logger.Info("target answers again", "target", looker.id, "incarnation", poll.Incarnation)
	}
	looker.failures, looker.known = 0, true
	if poll.Incarnation != looker.incarnation {
		looker.incarnation, looker.acknowledged, looker.noted, looker.passed = poll.Incarnation, 0, 0, 0
		clear(looker.held)
	} else {
		looker.acknowledged = max(looker.acknowledged, request.Acknowledged)
	}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.HandlePoll(looker.id, poll)
	executor.noteEnds(looker, poll)
	if report, due := executor.scheduler.RenewalReport(looker.id, poll.Answered); due {
		executor.peers.Report(report)
	}
	executor.settle()
}

// noteEnds passes on the ends that are new, and decides which may be acknowledged; the caller holds the lock.
func (executor *Executor) noteEnds(looker *looker, poll scheduler.PollResult) {
	acknowledging := looker.reads.Load()
	for _, end := range poll.Ended {
		if end.Seq > looker.passed {
			executor.passOn(looker, end, poll.Answered)
		}
		if acknowledging = acknowledging && !looker.holdsBack(end.Seq, poll.Answered); acknowledging && end.Seq > looker.noted {
			looker.noted = end.Seq
		}
	}
}

// passOn tells the owner of an ended run. The end stays unacknowledged for a while if the owner is not known or cannot
// be told, so that an instance that looks itself still finds it.
func (executor *Executor) passOn(looker *looker, end scheduler.End, now time.Time) {
	owner := executor.scheduler.Owner(looker.id, end.Run)
	switch {
	case owner == executor.self.Incarnation:
	case owner != "" && executor.peers.Reachable(owner):
		if looker.reads.Load() {
			executor.peers.SendRunEnd(owner, looker.id, end)
		}
	default:
		looker.held[end.Seq] = now.Add(untoldTime)
	}
	looker.passed = end.Seq
	executor.logEnd(looker.id, end, owner)
	executor.scheduler.HandleEnd(looker.id, end, now)
}

// holdsBack reports whether an end is to stay unacknowledged for now.
func (looker *looker) holdsBack(number int64, now time.Time) bool {
	until, held := looker.held[number]
	if held && !now.Before(until) {
		delete(looker.held, number)
		return false
	}
	return held
}

// cautious reports whether a look got no answer lately.
func (executor *Executor) cautious(now time.Time) bool {
	return now.UnixNano()-executor.lookLost.Load() < int64(cautiousTime)
}

func (executor *Executor) lookFailed(looker *looker, err error) {
	looker.failures++
	executor.lookLost.Store(executor.now().UnixNano())
	if looker.failures == 1 {
		executor.logger.Info("look not answered", "target", looker.id, "error", eris.ToString(err, false))
	}
	if looker.failures == failuresToUnreachable {
		executor.logger.Warn("target does not answer", "target", looker.id, "error", eris.ToString(err, false))
	}
	if looker.failures >= failuresToUnreachable {
		executor.mu.Lock()
		defer executor.mu.Unlock()
		executor.scheduler.MarkUnreachable(looker.id)
	}
}
