package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/gossiper"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// settleTime is how long after its start an instance looks only at targets that it uses itself: it does not know yet
	// which ones others read. The links between instances are up within half of it.
	settleTime = time.Second
	// tickTime is how often what is due by time is handled: a quarter of the shortest time that a job may wait, 39 ms.
	tickTime = 10 * time.Millisecond
	// idleTickTime is how often it is while an instance passes its jobs on and has none of its own; below pauseTime.
	idleTickTime = 50 * time.Millisecond
	// sweepTime is how often runs without a live owner, changed readers and what is out of date are looked for.
	sweepTime = 100 * time.Millisecond
	// pauseTime is a gap between ticks that shows that this instance stood still.
	pauseTime = 150 * time.Millisecond
	// watchTime is how often silent failure domains are looked for, and domainSilence how long all instances of one must
	// be silent: more than a heartbeat and a half.
	watchTime     = 20 * time.Millisecond
	domainSilence = 200 * time.Millisecond
	// startTimeout bounds the wait for the answer to a start: thirty round trips between failure domains, and more than
	// twice what starts of a busy instance take.
	startTimeout = 60 * time.Millisecond
	// stopTimeout bounds the wait for the answer to a stop, and stopTries how often it is ordered: a target that leaves
	// one order in twenty unanswered is not given up.
	stopTimeout = 60 * time.Millisecond
	stopTries   = 2
)

// TargetClient gives orders to targets. Times are those of this instance's clock.
type TargetClient interface {
	// Start orders a start whose lease, and whose validity, ends at lease.
	Start(ctx context.Context, on scheduler.Target, start scheduler.StartTask, lease time.Time) scheduler.StartResult
	// Stop orders a stop and returns nil once the target has taken it, or does not know the run.
	Stop(ctx context.Context, on scheduler.Target, run scheduler.Run) error
	// Poll asks for the runs and ends of a target.
	Poll(ctx context.Context, on scheduler.Target, request PollRequest) (scheduler.PollResult, error)
	// CloseIdle closes connections that are not in use, since few orders will follow.
	CloseIdle()
}

// PollRequest is what a look at a target asks for.
type PollRequest struct {
	// Acknowledged is the number up to which the target may forget ends; 0 for none.
	Acknowledged int64
	// Lease is the time until which runs are to go on, zero to leave it as it is.
	Lease time.Time
	// Wait is how long the target may wait for an end.
	Wait time.Duration
}

// Executor runs jobs on targets.
type Executor struct {
	orderer TargetClient
	peers   *gossiper.Gossiper
	self    linker.Hello
	logger  hclog.Logger
	now     func() time.Time
	meter   *meter
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// settled is when the other instances are known, if there are any.
	settled time.Time

	// lookLost is the time in nanoseconds since 1970 of the last look without an answer.
	lookLost atomic.Int64

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	waiters   map[string][]chan dispatcher.Outcome
	lookers   map[string]*looker
	// silent holds the failure domains of which nothing is heard.
	silent map[string]bool
	// assigned is the version of the peers for which the readers were decided.
	assigned int64
	// delegates means that this instance passes its jobs on. delegated holds the jobs that were, abandoned those whose
	// delegates are told to give them up, and foreign ends what this instance runs for others.
	delegates bool
	delegated map[string]*delegation
	abandoned []abandonment
	foreign   map[foreignJob]context.CancelFunc
	// leaving means that a planned stop has begun, and reassign that the readers have to be decided anew.
	leaving  bool
	reassign bool
}

// New returns an executor of the instance self, whose hello names its failure domain.
func New(self linker.Hello, client TargetClient, now func() time.Time, logger hclog.Logger) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	executor := &Executor{
		orderer:   client,
		self:      self,
		logger:    logger,
		now:       now,
		meter:     newMeter(),
		ctx:       ctx,
		cancel:    cancel,
		settled:   now().Add(settleTime),
		scheduler: scheduler.New(self.Incarnation, self.Domain),
		waiters:   make(map[string][]chan dispatcher.Outcome),
		lookers:   make(map[string]*looker),
		silent:    make(map[string]bool),
		delegated: make(map[string]*delegation),
		foreign:   make(map[foreignJob]context.CancelFunc),
	}
	executor.meter.gauges(executor)
	executor.peers = gossiper.New(self, executor, now)
	executor.group.Go(executor.tick)
	return executor
}

// Peers returns the exchange of news with the other instances.
func (executor *Executor) Peers() *gossiper.Gossiper { return executor.peers }

// Close ends all work at once.
func (executor *Executor) Close() {
	executor.cancel()
	executor.peers.Close()
	executor.group.Wait()
}

// SetTargets replaces what discovery tells of the targets.
func (executor *Executor) SetTargets(targets []scheduler.Target) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.SetTargets(targets, executor.now())
	executor.settle()
	known := make(map[string]bool)
	for _, id := range executor.scheduler.Targets() {
		known[id] = true
		if _, ok := executor.lookers[id]; !ok {
			executor.newLooker(id)
		}
	}
	for id, looker := range executor.lookers {
		if !known[id] {
			looker.cancel()
			delete(executor.lookers, id)
		}
	}
}

// Ready reports whether any target is known.
func (executor *Executor) Ready() bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return len(executor.lookers) > 0
}

// Pending returns the number of jobs of a route of which no task has started.
func (executor *Executor) Pending(route string) int {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return executor.scheduler.Pending(route)
}

// Has reports whether the job has no answer yet.
func (executor *Executor) Has(job string) bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return executor.has(job)
}

// has reports whether the job has no answer yet; the caller holds the lock.
func (executor *Executor) has(job string) bool {
	_, delegated := executor.delegated[job]
	return delegated || executor.scheduler.Has(job)
}

// Cancel gives a job up and reports whether it had no answer yet.
func (executor *Executor) Cancel(job string) bool {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	if executor.abandonDelegated(job, "the caller cancelled the job") {
		executor.deliver(job, dispatcher.NewUnknown("the caller cancelled the job"))
		return true
	}
	if !executor.scheduler.Has(job) {
		return false
	}
	executor.scheduler.Abandon(job, "the caller cancelled the job", executor.now())
	executor.settle()
	return true
}

// Submit runs a job and returns its outcome, or nil if the caller left first; a job that is sent again while it runs
// gets the same outcome.
func (executor *Executor) Submit(ctx context.Context, job scheduler.Job) dispatcher.Outcome {
	executor.mu.Lock()
	var answer chan dispatcher.Outcome
	if to, ok := executor.delegateFor(&job); ok {
		answer = executor.waitFor(job.ID)
		executor.delegate(job, to)
	} else {
		answer = executor.accept(job)
	}
	executor.mu.Unlock()
	return executor.await(ctx, job.ID, answer)
}

// accept runs a job here unless it runs already, and returns where its outcome will be; the caller holds the lock.
func (executor *Executor) accept(job scheduler.Job) chan dispatcher.Outcome {
	answer := executor.waitFor(job.ID)
	if !executor.has(job.ID) {
		executor.scheduler.Submit(job, executor.now())
	}
	executor.settle()
	return answer
}

// waitFor returns where the outcome of a job will be; the caller holds the lock.
func (executor *Executor) waitFor(job string) chan dispatcher.Outcome {
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
		executor.leave(job, answer)
		return nil
	}
}

// leave takes a caller that went away off a job, and gives the job up if it was the last one.
func (executor *Executor) leave(job string, answer chan dispatcher.Outcome) {
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
		executor.settle()
	}
}

// Drain waits until no job is left without an answer, or until ctx is done.
func (executor *Executor) Drain(ctx context.Context) {
	for {
		executor.mu.Lock()
		active := executor.scheduler.ActiveJobs()
		executor.mu.Unlock()
		if active == 0 || !sleeper.For(ctx, tickTime) {
			return
		}
	}
}

// settle carries out the actions of the scheduler; the caller holds the lock.
func (executor *Executor) settle() {
	for _, action := range executor.scheduler.TakeActions() {
		executor.carryOut(action)
	}
	for _, report := range executor.scheduler.DueReports(executor.now()) {
		executor.peers.Report(report)
	}
	executor.peers.SetDemand(executor.scheduler.Demand(), executor.scheduler.ActiveJobs() > 0)
}

func (executor *Executor) carryOut(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartTask:
		if reader := executor.reader(action.Target); reader != executor.self.Incarnation {
			executor.peers.Claim(reader, action.Claim)
		}
		executor.wake(action.Target)
		go executor.start(action)
	case scheduler.StopRun:
		go executor.stop(action)
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
	case scheduler.OfferCapacity:
		executor.peers.Offer(action.To, action.Target, action.FreeCapacity)
	}
}

func (executor *Executor) answer(answer scheduler.AnswerJob) {
	executor.meter.count(answer)
	executor.logAnswer(answer)
	executor.deliver(answer.Job, answer.Outcome)
}

// deliver gives an outcome to all who wait for the job; the caller holds the lock.
func (executor *Executor) deliver(job string, outcome dispatcher.Outcome) {
	for _, waiter := range executor.waiters[job] {
		waiter <- outcome
	}
	delete(executor.waiters, job)
}

// start orders a start and passes on what came of it.
func (executor *Executor) start(start scheduler.StartTask) {
	ctx, cancel := context.WithTimeout(executor.ctx, startTimeout)
	defer cancel()
	sent := executor.now()
	result := executor.orderer.Start(ctx, start.On, start, start.Issued.Add(scheduler.LeaseDuration))
	now := executor.now()
	executor.meter.started(result, now.Sub(start.Arrived), now.Sub(sent))
	executor.logStart(start, result, now.Sub(sent))
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.HandleStartResult(start.Target, start.Run, result, now)
	executor.settle()
}

// stop orders a stop and passes on whether the target has taken it.
func (executor *Executor) stop(stop scheduler.StopRun) {
	var err error
	for range stopTries {
		ctx, cancel := context.WithTimeout(executor.ctx, stopTimeout)
		err = executor.orderer.Stop(ctx, stop.On, stop.Run)
		cancel()
		if err == nil {
			break
		}
	}
	executor.meter.stops.Inc()
	executor.logStop(stop, err)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.HandleStopResult(stop.On.ID, stop.Run, err == nil, executor.now())
	executor.settle()
	executor.wake(stop.On.ID)
}

// tick handles what is due by time.
func (executor *Executor) tick() {
	every := tickTime
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var swept, repeated, watched time.Time
	ticked := executor.now()
	for {
		select {
		case <-executor.ctx.Done():
			return
		case <-ticker.C:
		}
		now := executor.now()
		executor.mu.Lock()
		if now.Sub(ticked) > pauseTime {
			executor.logger.Warn("instance stood still", "for-ms", now.Sub(ticked).Milliseconds())
			executor.scheduler.NotePause(now)
			watched = now.Add(pauseTime)
		}
		ticked = now
		if now.Sub(watched) >= watchTime {
			watched = now
			executor.watchDomains()
		}
		if executor.scheduler.ActiveJobs() > 0 {
			executor.scheduler.Tick(now)
		}
		executor.scheduler.ExpireOffers(now)
		if now.Sub(swept) >= sweepTime {
			swept = now
			executor.scheduler.Sweep(now)
			executor.assignReaders(now)
			executor.stopOrphans(now)
			executor.repeatAbandonments(now)
		}
		if now.Sub(repeated) >= scheduler.ClaimRepeatInterval {
			repeated = now
			executor.repeatClaims()
		}
		executor.settle()
		next := tickTime
		if executor.delegates && executor.scheduler.ActiveJobs() == 0 {
			next = idleTickTime
		}
		executor.mu.Unlock()
		if next != every {
			every = next
			ticker.Reset(every)
		}
	}
}

// watchDomains keeps work back from failure domains of which nothing is heard; the caller holds the lock. A partition
// would otherwise take the starts on each of their targets until it is found out on its own.
func (executor *Executor) watchDomains() {
	for domain, silent := range executor.peers.SilentDomains(domainSilence) {
		if domain == executor.self.Domain || executor.silent[domain] == silent {
			continue
		}
		executor.silent[domain] = silent
		executor.scheduler.SetDomainSuspended(domain, silent)
		if silent {
			executor.logger.Warn("failure domain is not heard of", "domain", domain)
		} else {
			executor.logger.Info("failure domain is heard of again", "domain", domain)
		}
	}
}

// stopOrphans stops runs without a live owner on the targets that this instance reads; the caller holds the lock.
func (executor *Executor) stopOrphans(now time.Time) {
	for id, looker := range executor.lookers {
		if looker.reads.Load() {
			executor.scheduler.StopOrphans(id, executor.peers.Alive, now)
		}
	}
}
