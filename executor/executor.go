package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/evacuator"
	"github.com/hyssoplift/hyssoplift/gossiper"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/locator"
	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// startupGrace bounds the time after its start in which an instance polls only the targets that it uses itself, since it
	// does not know yet which targets the other instances read. The links between instances are up within half of this
	// time.
	startupGrace = time.Second
	// minStartupGrace is the shortest such time: other instances that were started together register meanwhile.
	minStartupGrace = 100 * time.Millisecond
	// tickInterval is how often time-based events are handled: a quarter of 39 ms, the shortest time after which
	// a job that has not started is refused.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval replaces tickInterval while an instance delegates its jobs and has none of its own. It must stay
	// below pauseThreshold.
	idleTickInterval = 50 * time.Millisecond
	// sweepInterval is how often stale state is removed, readers are reassigned and orphaned runs are stopped.
	sweepInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between ticks that indicates that this process was paused.
	pauseThreshold = 150 * time.Millisecond
	// domainCheckInterval is how often failure domains are checked. A domain is unresponsive if none of its instances
	// has sent anything for domainTimeout, which is more than one and a half heartbeats.
	domainCheckInterval = 40 * time.Millisecond
	domainTimeout       = 200 * time.Millisecond
	// startTimeout limits the wait for the answer to a start request once this instance's link has sent it: thirty round
	// trips between failure domains, and more than twice what a busy instance needs.
	startTimeout = 60 * time.Millisecond
	// stopTimeout limits the wait for the answer to a stop request.
	stopTimeout = 60 * time.Millisecond
)

// ErrReplaced reports that another target, or another incarnation, has the target's address.
var ErrReplaced = eris.New("the address belongs to another target")

// ErrFenced reports that a target did nothing, because it has seen a request for a later incarnation.
var ErrFenced = eris.New("the target has seen a request for a later incarnation")

// ErrNoConnection reports that no connection to a target was free within the limit, so that nothing was sent, or that the
// target ended a new one while it answers on others. It says nothing against the target.
var ErrNoConnection = eris.New("no connection to the target is free")

// TargetClient sends requests to targets. Times are those of this instance's clock.
type TargetClient interface {
	// Start starts a run; the request and the lease that it asks for expire at lease.
	// It returns StartNoConnection if no connection was free and nothing was sent.
	Start(ctx context.Context, on scheduler.Target, start scheduler.StartTask, lease time.Time) scheduler.StartResult
	// Stop stops a run. It returns nil once the target has accepted the request, ErrReplaced if another target has its
	// address, ErrFenced if the target did nothing, and ErrNoConnection.
	Stop(ctx context.Context, on scheduler.Target, run scheduler.Run) error
	// Poll asks for the running and ended runs of a target. It returns ErrReplaced if the target is gone for certain,
	// ErrFenced if it did nothing, and ErrNoConnection.
	Poll(ctx context.Context, on scheduler.Target, request PollRequest) (scheduler.PollResult, error)
	// SetConnectionLimits sets how many connections this instance may hold to each target, by address; 0 means any number.
	SetConnectionLimits(limits map[string]int)
	// CloseIdle closes unused connections; few requests will follow.
	CloseIdle()
}

// PollRequest holds the parameters of a poll.
type PollRequest struct {
	// Acknowledged is the sequence number up to which the target may drop ends; 0 for none.
	Acknowledged int64
	// Lease is the new end of the target's lease, or zero to leave the lease unchanged.
	Lease time.Time
	// Wait is how long the target may hold back its answer until a run ends.
	Wait time.Duration
}

// Executor runs jobs on targets.
type Executor struct {
	client TargetClient
	peers  *gossiper.Gossiper
	self   linker.Hello
	logger hclog.Logger
	now    func() time.Time
	meter  *meter
	uplink *uplink
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// startedAt is when this instance started.
	startedAt time.Time

	// lastSilence is when a target that had answered before last left a poll unanswered, in nanoseconds since 1970.
	lastSilence atomic.Int64
	// evacuating means that some failure domain is evacuated, so that starts have to be checked under the lock.
	evacuating atomic.Bool

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// evacuator holds the evacuations, and evacuationAwaited is the highest version of them for which starts were held.
	evacuator         *evacuator.Evacuator
	evacuationAwaited int64
	evacuationBound   time.Duration
	// waiters holds, by job ID, a channel for each caller that waits for the outcome.
	waiters map[string][]chan dispatcher.Outcome
	// pollers holds the poller of each known target by ID.
	pollers map[string]*poller
	// listers holds, by ID, a channel to each goroutine that waits for the ends of stopped runs on a target.
	listers map[string]chan struct{}
	// unresponsive holds the failure domains whose instances are all unresponsive.
	unresponsive map[string]bool
	// assignedVersion is the peers version for which the readers were last assigned.
	assignedVersion int64
	// delegating means that this instance delegates its jobs. delegated holds the jobs that were delegated, abandoned
	// those whose delegates are being asked to abandon them, and foreignJobs the cancel functions of the jobs that
	// this instance runs for others.
	delegating  bool
	delegated   map[string]*delegation
	abandoned   []abandonment
	foreignJobs map[foreignJob]context.CancelFunc
	// cancelQueries holds the jobs of cancellations that other instances have not answered.
	cancelQueries map[*cancelQuery]string
	// cancellationArchive may be nil. cancellationsMissed means that an instance was lost or this one paused since it was read.
	cancellationArchive CancellationArchive
	cancellationsMissed bool
	// locator holds the jobs that other instances have announced.
	locator *locator.Locator
	// reservations holds the reservations that starts wait for.
	reservations map[reservedRun]*reservation
	// framesSent and bytesSent are what was sent to other instances until the last tick.
	framesSent int64
	bytesSent  int64
	// tickDelay is the longest time by which a tick was late since the load was last reported.
	tickDelay time.Duration
	// lastTick is when time-based events were last handled, pauseNoticedAt when a pause was last noticed, and pausedSince the
	// last tick before the pauses that followed each other until then.
	lastTick       time.Time
	pauseNoticedAt time.Time
	pausedSince    time.Time
	// readsTargets means that this instance is the reader of some target.
	readsTargets bool
	// hasStartedTask means that this instance has started a task.
	hasStartedTask bool
	// peersKnown means that the other instances, if any, are known, so that it is certain which targets this one reads.
	peersKnown bool
	// services is what the configuration in force says of the services.
	services []Service
	// coldBounds bounds the starts on cold targets.
	coldBounds ColdBounds
	// connectionLimits is what was last passed on to the client, and readersChanged means that readers or targets have changed since.
	connectionLimits connectionLimits
	readersChanged   bool
	// leaving means that a planned stop has begun, and reassign that the readers must be assigned again.
	leaving  bool
	reassign bool
	// stopsAt is when all jobs have been answered because of a planned stop; zero if none has begun.
	stopsAt time.Time
}

// New returns an executor for the instance self, whose hello names its failure domain. linkMbps is the bandwidth of its
// network link in megabits per second, or 0 if unknown.
func New(self linker.Hello, linkMbps float64, client TargetClient, now func() time.Time, logger hclog.Logger) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	executor := &Executor{
		client:        client,
		self:          self,
		logger:        logger,
		now:           now,
		meter:         newMeter(),
		uplink:        newUplink(linkMbps),
		ctx:           ctx,
		cancel:        cancel,
		startedAt:     now(),
		lastTick:      now(),
		scheduler:     scheduler.New(self.Incarnation, self.Domain),
		evacuator:     evacuator.New(),
		waiters:       make(map[string][]chan dispatcher.Outcome),
		pollers:       make(map[string]*poller),
		listers:       make(map[string]chan struct{}),
		unresponsive:  make(map[string]bool),
		delegated:     make(map[string]*delegation),
		foreignJobs:   make(map[foreignJob]context.CancelFunc),
		cancelQueries: make(map[*cancelQuery]string),
		locator:       locator.New(),
		reservations:  make(map[reservedRun]*reservation),
	}
	executor.scheduler.SetLink(executor.uplink)
	executor.scheduler.AwaitFirstLook(executor.startedAt, executor.startedAt.Add(minStartupGrace))
	executor.meter.registerGauges(executor)
	executor.peers = gossiper.New(self, executor, now, logger)
	executor.group.Go(executor.tick)
	return executor
}

// Peers returns the gossiper that exchanges messages with the other instances.
func (executor *Executor) Peers() *gossiper.Gossiper { return executor.peers }

// Close stops all work at once.
func (executor *Executor) Close() {
	executor.cancel()
	executor.peers.Close()
	executor.group.Wait()
}

// SetTargets replaces the set of targets found by service discovery.
func (executor *Executor) SetTargets(targets []scheduler.Target) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.SetTargets(targets, executor.now())
	executor.runActions()
	known := make(map[string]bool)
	candidates := executor.readerCandidates(executor.peers.EligiblePeers())
	for _, id := range executor.scheduler.Targets() {
		known[id] = true
		if _, ok := executor.pollers[id]; !ok {
			executor.startPoller(id, candidates)
		}
	}
	for id, poller := range executor.pollers {
		if !known[id] {
			poller.cancel()
			delete(executor.pollers, id)
		}
	}
	for _, id := range executor.scheduler.Contradicted() {
		executor.wake(id)
	}
	executor.readersChanged = true
	executor.updateConnectionLimits()
}

// Ready reports whether any target is known.
func (executor *Executor) Ready() bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return len(executor.pollers) > 0
}

// Pending returns the number of jobs of a route of which no task has started.
func (executor *Executor) Pending(route string) int {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return executor.scheduler.Pending(route)
}

// Has reports whether the job is active, that is, has no outcome yet.
func (executor *Executor) Has(job string) bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return executor.has(job)
}

// has is Has for callers that hold the lock.
func (executor *Executor) has(job string) bool {
	_, delegated := executor.delegated[job]
	return delegated || executor.scheduler.Has(job)
}

// Submit runs a job and returns its outcome, or nil if the caller left first. A job that is submitted again while it
// runs gets the same outcome.
func (executor *Executor) Submit(ctx context.Context, job scheduler.Job) dispatcher.Outcome {
	executor.awaitAnnouncements(ctx)
	return executor.await(ctx, job.ID, executor.accept(job))
}

// accept delegates a job or runs it locally, and returns the channel for its outcome.
func (executor *Executor) accept(job scheduler.Job) chan dispatcher.Outcome {
	executor.mu.Lock()
	// If a panic ends the request, the lock must not stay locked for all others.
	defer executor.mu.Unlock()
	executor.noticePause(executor.now())
	if to, ok := executor.delegateFor(&job); ok {
		answer := executor.addWaiter(job.ID)
		executor.limitDeadline(&job)
		executor.delegate(job, to)
		return answer
	}
	return executor.runOrJoin(job)
}

// runLocally runs a job on this instance unless it is running already, and returns the channel for its outcome; the
// caller holds the lock.
func (executor *Executor) runLocally(job scheduler.Job) chan dispatcher.Outcome {
	answer := executor.addWaiter(job.ID)
	if executor.delegating && executor.scheduler.ActiveJobs() == 0 {
		// Idle delegating instances receive no reports.
		executor.scheduler.ForgetReports(executor.now())
	}
	if !executor.has(job.ID) {
		executor.scheduler.Submit(job, executor.now())
	}
	executor.runActions()
	return answer
}

// addWaiter returns a new channel for the outcome of a job; the caller holds the lock.
func (executor *Executor) addWaiter(job string) chan dispatcher.Outcome {
	answer := make(chan dispatcher.Outcome, 1)
	executor.waiters[job] = append(executor.waiters[job], answer)
	return answer
}

// await returns the outcome of a job, or nil if its caller left first.
func (executor *Executor) await(ctx context.Context, job string, answer chan dispatcher.Outcome) dispatcher.Outcome {
	select {
	case outcome := <-answer:
		return outcome
	case <-ctx.Done():
		executor.removeWaiter(job, answer)
		return nil
	}
}

// removeWaiter removes a caller that has left, and abandons the job if it was the last caller.
func (executor *Executor) removeWaiter(job string, answer chan dispatcher.Outcome) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	waiters := executor.waiters[job]
	for i, waiter := range waiters {
		if waiter == answer {
			executor.waiters[job] = append(waiters[:i], waiters[i+1:]...)
			break
		}
	}
	if len(executor.waiters[job]) == 0 {
		delete(executor.waiters, job)
		executor.abandonDelegated(job, "the caller left")
		executor.scheduler.Abandon(job, "the caller left", executor.now())
		executor.runActions()
	}
}

// Drain waits until this instance runs no job and has queued the outcomes for other instances, or ctx is done. It does not wait for jobs that were delegated to other
// instances.
func (executor *Executor) Drain(ctx context.Context) {
	for {
		executor.mu.Lock()
		active := executor.scheduler.ActiveJobs() + len(executor.foreignJobs)
		executor.mu.Unlock()
		if active == 0 || !sleeper.For(ctx, tickInterval) {
			return
		}
	}
}

// runActions carries out the queued actions of the scheduler; the caller holds the lock.
func (executor *Executor) runActions() {
	for _, action := range executor.scheduler.TakeActions() {
		executor.runAction(action)
	}
	for _, report := range executor.scheduler.DueReports(executor.now()) {
		executor.peers.Report(report)
	}
	executor.peers.SetDemand(executor.scheduler.Demand(), executor.scheduler.ActiveJobs() > 0)
}

func (executor *Executor) runAction(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartTask:
		executor.logFirstStart(&action)
		executor.announceStart(&action)
		executor.wake(action.Target)
		go executor.start(action)
	case scheduler.StopRun:
		go executor.stop(action)
	case scheduler.FirstLookEnded:
		executor.logFirstLookEnd(action)
	case scheduler.AnswerJob:
		executor.answer(action)
	case scheduler.WithdrawClaim:
		if reader := executor.reader(action.Target); reader != executor.self.Incarnation {
			executor.peers.Withdraw(reader, action.Target, action.Run)
		}
	case scheduler.RelayStop:
		if reader := executor.reader(action.Target); reader != executor.self.Incarnation {
			executor.peers.RelayStop(reader, action.Target, action.Run)
		}
	case scheduler.SuspendRenewals:
		executor.logSuspension(action)
		executor.peers.BroadcastSuspension(action.Suspension)
	case scheduler.QueryOwner:
		executor.logQuery(action)
		for _, peer := range action.To {
			executor.peers.QueryOwner(peer, action.OwnedRun)
		}
	case scheduler.AwaitRunEnd:
		executor.wake(action.Target)
	case scheduler.AnnounceJob:
		executor.peers.AnnounceJob(action.Key())
	case scheduler.AnnounceLeaseEnd:
		for _, peer := range action.To {
			executor.peers.AnnounceLeaseEnd(peer, action.Target, action.End)
		}
	case scheduler.OfferCapacity:
		executor.peers.SendReport(action.To, action.CapacityReport)
	case scheduler.RunLost:
		executor.meter.countLostRun(action)
		executor.logLostRun(action)
	case scheduler.RunsOverlapped:
		executor.meter.overlappingRuns.Inc()
		executor.logOverlap(action)
	case scheduler.TaskGivenUp:
		executor.meter.tasksGivenUp.Inc()
		executor.logGivenUp(action)
	case scheduler.LossRecorded:
		if action.Discovered {
			executor.logLoss(action)
		}
		if action.Share {
			executor.peers.BroadcastLoss(&action.Loss)
		}
	case scheduler.LossWithdrawn:
		executor.logWithdrawnLoss(action)
		executor.peers.BroadcastResponding(action.Target, action.Incarnation)
	case scheduler.TargetVerified:
		executor.readersChanged = true // its address may have changed
		executor.logger.Warn("entry of a target contradicts its answer", "target", action.Target, "incarnation", action.Incarnation)
		executor.peers.BroadcastVerified(action.Target, action.Incarnation)
	case scheduler.TargetCold:
		executor.logCold(action)
	case scheduler.TargetWarm:
		executor.logger.Info("target is warm", "target", action.Target, "starts", action.Starts)
	case scheduler.TargetDescribed:
		executor.meter.undescribedSeconds.Add(action.After.Seconds())
		executor.logger.Info("entry of a restarted target is read", "target", action.Target, "incarnation", action.Incarnation, "after-ms", action.After.Milliseconds())
	case scheduler.TargetGuarded:
		executor.meter.unguardedSeconds.Add(action.After.Seconds())
		executor.logGuarded(action)
	case scheduler.TargetRestarted:
		executor.meter.targetRestarts.Inc()
		executor.readersChanged = true // its address may have changed
		executor.logTargetRestart(action)
		executor.wake(action.Target)
		if executor.reader(action.Target) == executor.self.Incarnation {
			executor.peers.BroadcastRestart(action.Target, action.Incarnation)
		}
	}
}

func (executor *Executor) answer(answer scheduler.AnswerJob) {
	executor.meter.countAnswer(answer)
	executor.logAnswer(answer)
	executor.deliver(answer.Job, answer.Outcome)
}

// deliver sends an outcome to all callers that wait for the job; the caller holds the lock.
func (executor *Executor) deliver(job string, outcome dispatcher.Outcome) {
	for _, waiter := range executor.waiters[job] {
		waiter <- outcome
	}
	delete(executor.waiters, job)
}

// start sends a start request and reports the result to the scheduler.
func (executor *Executor) start(start scheduler.StartTask) {
	result := scheduler.StartDenied
	if deniedBy := executor.awaitReservation(&start); deniedBy == "" {
		result = executor.requestStart(&start)
	} else {
		now := executor.now()
		executor.uplink.Cancel(len(start.Body), now)
		executor.recordStart(&start, result, deniedBy, now)
	}
	for isFirst := true; ; isFirst = false {
		pause, again := executor.handleStartResult(&start, result, isFirst)
		if result == scheduler.StartUnanswered {
			start.Unanswered++
		}
		if !again || pause > 0 && (!sleeper.For(executor.ctx, pause) || !executor.mayRequestStart(&start)) {
			return
		}
		result = executor.requestStart(&start)
	}
}

// handleStartResult reports the result of a start request to the scheduler. It returns true if the start is to be requested again, and
// after which pause.
func (executor *Executor) handleStartResult(start *scheduler.StartTask, result scheduler.StartResult, isFirst bool) (time.Duration, bool) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	now := executor.now()
	executor.noticePause(now)
	pause, again := executor.scheduler.RepeatStart(start, result, isFirst, now)
	switch {
	case again:
		executor.meter.startsRepeated.Inc()
		start.TransmittedAt = now.Add(pause + executor.uplink.Send(len(start.Body), now))
	case isFirst:
		executor.scheduler.HandleStartResult(start.Target, start.Run, result, now)
	default:
		executor.scheduler.HandleRepeatedStartResult(start, result, now)
	}
	executor.runActions()
	if result == scheduler.StartFenced {
		executor.wake(start.Target)
	}
	return pause, again
}

// mayRequestStart reports whether a start may be requested again after a pause between two requests, and handles it as unanswered
// otherwise.
func (executor *Executor) mayRequestStart(start *scheduler.StartTask) bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	now := executor.now()
	executor.noticePause(now)
	if executor.scheduler.MayRequestStart(start, now) {
		return true
	}
	executor.scheduler.HandleRepeatedStartResult(start, scheduler.StartUnanswered, now)
	executor.runActions()
	return false
}

// requestStart sends a start request once.
func (executor *Executor) requestStart(start *scheduler.StartTask) scheduler.StartResult {
	sent := executor.now()
	ctx, cancel := context.WithTimeout(executor.ctx, startTimeout+max(0, start.TransmittedAt.Sub(sent)))
	defer cancel()
	lease := start.Issued.Add(scheduler.LeaseDuration)
	// This instance may have been paused since the start was decided.
	result := scheduler.StartLate
	switch {
	case !sent.Before(lease) || !sent.Before(start.Deadline):
	case executor.Withholds(start.RunTarget):
		result = scheduler.StartWithheld
	default:
		result = executor.client.Start(ctx, start.RunTarget, *start, lease)
	}
	executor.recordStart(start, result, "", sent)
	return result
}

// recordStart logs and counts a start request; deniedBy is the reader that denied the reservation, or empty.
func (executor *Executor) recordStart(start *scheduler.StartTask, result scheduler.StartResult, deniedBy string, sent time.Time) {
	now := executor.now()
	executor.meter.recordStart(result, now.Sub(start.Arrived), now.Sub(sent))
	executor.logStart(*start, result, deniedBy, now.Sub(sent))
}

// stop sends a stop request and reports to the scheduler whether the target accepted it.
func (executor *Executor) stop(stop scheduler.StopRun) {
	var err error
	for range stop.Attempts() {
		ctx, cancel := context.WithTimeout(executor.ctx, stopTimeout+executor.uplink.Send(0, executor.now()))
		err = executor.client.Stop(ctx, stop.RunTarget, stop.Run)
		for errors.Is(err, ErrNoConnection) && sleeper.For(ctx, noConnectionPause) {
			err = executor.client.Stop(ctx, stop.RunTarget, stop.Run)
		}
		cancel()
		if err == nil || errors.Is(err, ErrReplaced) || errors.Is(err, ErrFenced) {
			break
		}
	}
	executor.meter.stops.Inc()
	executor.logStop(stop, err)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.noticePause(executor.now())
	switch {
	case err == nil:
		executor.scheduler.HandleAccepted(stop.RunTarget, executor.now())
	case errors.Is(err, ErrFenced):
		executor.scheduler.HandleFenced(stop.RunTarget, executor.now())
	}
	if errors.Is(err, ErrReplaced) && executor.scheduler.HasEndedWith(stop.RunTarget, stop.Run) {
		executor.scheduler.HandleStopGone(stop.RunTarget.ID, stop.Run, executor.now())
	} else {
		executor.scheduler.HandleStopResult(stop.RunTarget.ID, stop.Run, err == nil, executor.now())
	}
	executor.runActions()
	executor.wake(stop.RunTarget.ID)
	go executor.listStopped(stop.RunTarget.ID)
}

// tick handles time-based events until the executor is closed.
func (executor *Executor) tick() {
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lastSweep, lastRepeat, lastDomainCheck time.Time
	for {
		select {
		case <-executor.ctx.Done():
			return
		case <-ticker.C:
		}
		now := executor.now()
		executor.mu.Lock()
		if executor.noticePause(now) {
			lastDomainCheck = now.Add(pauseThreshold)
		}
		executor.recordMessages(now)
		executor.tickDelay = max(executor.tickDelay, now.Sub(executor.lastTick)-interval)
		executor.lastTick = now
		if interval == tickInterval && now.Sub(lastDomainCheck) >= domainCheckInterval {
			lastDomainCheck = now
			executor.updateSuspendedDomains()
		}
		if executor.scheduler.ActiveJobs() > 0 {
			executor.scheduler.Tick(now)
		}
		executor.scheduler.ExpireOffers(now)
		if now.Sub(lastSweep) >= sweepInterval {
			lastSweep = now
			executor.scheduler.Sweep(now)
			executor.locator.Expire(now)
			executor.assignReaders(now)
			executor.updateConnectionLimits()
			executor.updatePeers(now)
			executor.repeatAbandonments(now)
		} else if executor.scheduler.AwaitsFirstLook() {
			executor.assignReaders(now)
			executor.updatePeers(now)
		}
		if executor.scheduler.AwaitsFirstLook() {
			executor.scheduler.CheckFirstLook(executor.peers.OldestStart(), now)
		}
		if now.Sub(lastRepeat) >= scheduler.ClaimRepeatInterval {
			lastRepeat = now
			executor.repeatClaims()
		}
		executor.runActions()
		next := tickInterval
		if executor.delegating && executor.scheduler.ActiveJobs() == 0 {
			next = idleTickInterval
		}
		executor.mu.Unlock()
		if next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// updatePeers passes the live instances on to the scheduler, and looks at the targets once they are known. The caller holds the lock.
func (executor *Executor) updatePeers(now time.Time) {
	peers := executor.peers.Answering()
	executor.scheduler.SetPeers(peers)
	if !executor.peersKnown && knowsPeers(peers, now.Sub(executor.startedAt)) {
		executor.lookAtTargets(peers, now)
	}
	executor.stopOrphans(now)
}

// knowsPeers reports whether an instance that started the given time ago knows the other instances well enough to tell which
// targets it reads.
func knowsPeers(peers scheduler.Peers, sinceStart time.Duration) bool {
	return sinceStart >= startupGrace || sinceStart >= minStartupGrace && peers.Complete && len(peers.Answering) > 0
}

// lookAtTargets lets this instance poll the targets that it reads: until a target has seen a request for its present incarnation, it
// carries out late orders for the former one. The caller holds the lock.
func (executor *Executor) lookAtTargets(peers scheduler.Peers, now time.Time) {
	executor.peersKnown = true
	reads := 0
	for id, poller := range executor.pollers {
		if poller.isReader.Load() {
			reads++
		}
		executor.wake(id)
	}
	executor.logFirstLook(reads, len(peers.Answering), now)
}

// noticePause records a pause of this process unless that has been done, and reports whether there was one. What has arrived
// meanwhile may be handled before the next tick. The caller holds the lock.
func (executor *Executor) noticePause(now time.Time) bool {
	paused := now.Sub(executor.lastTick)
	if paused > pauseThreshold && executor.pauseNoticedAt.Before(executor.lastTick) {
		executor.logger.Warn("instance was paused", "for-ms", paused.Milliseconds())
		if !executor.scheduler.Resuming(now) {
			executor.pausedSince = executor.lastTick
		}
		executor.scheduler.RecordPause(now)
		executor.holdStartsAfter(paused, now)
		executor.pauseNoticedAt, executor.cancellationsMissed = now, true
	}
	return paused > pauseThreshold
}

// recordMessages counts what was sent to other instances since the last call as queued on the link; the caller holds the lock.
func (executor *Executor) recordMessages(now time.Time) {
	frames, bytes := executor.peers.Sent()
	executor.uplink.RecordMessages(frames-executor.framesSent, bytes-executor.bytesSent, now)
	executor.framesSent, executor.bytesSent = frames, bytes
}

// updateSuspendedDomains suspends failure domains whose instances are all unresponsive, and resumes those that respond
// again. During a partition, starts would otherwise be sent to each target there until that target itself is found
// unreachable. The caller holds the lock.
func (executor *Executor) updateSuspendedDomains() {
	for domain, unresponsive := range executor.peers.UnresponsiveDomains(domainTimeout) {
		if domain == executor.self.Domain || executor.unresponsive[domain] == unresponsive {
			continue
		}
		executor.unresponsive[domain] = unresponsive
		executor.scheduler.SetDomainSuspended(domain, unresponsive)
		if unresponsive {
			executor.logger.Warn("failure domain is unresponsive", "domain", domain)
		} else {
			executor.logger.Info("failure domain responds again", "domain", domain)
		}
	}
}

// stopOrphans stops runs without a live owner on the targets that this instance reads; the caller holds the lock.
func (executor *Executor) stopOrphans(now time.Time) {
	if !executor.readsTargets {
		return
	}
	for id, poller := range executor.pollers {
		if poller.isReader.Load() {
			executor.scheduler.StopOrphans(id, executor.peers.Alive, now)
		}
	}
}
