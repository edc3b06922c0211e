package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/arbiter"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/isolator"
	"github.com/hyssoplift/hyssoplift/locator"
)

const (
	// completedRetention is how long a completed job is kept for a caller that sends it again, and at least for as long as a start of it is
	// outstanding.
	completedRetention = maxRequestDelay
	// minRetryAfter is the shortest retry delay of a refusal; Retry-After has a resolution of one second.
	minRetryAfter = time.Second
	// maxWaitDivisor: a job may wait for its first start for at most 1/maxWaitDivisor of the time from its arrival to
	// its objective. A later refusal would leave the caller too little time to react.
	maxWaitDivisor = 4
	// missingTimeout is how long a run may be missing from its target's list before it counts as lost; its end may
	// still be on the way through another instance.
	missingTimeout = 150 * time.Millisecond
	// stragglerFactor and stragglerSlack distinguish a straggler, a run far beyond its expected run time, from one with
	// a low estimate: estimates are off by up to 40%, and run times within a step vary by 15%.
	stragglerFactor = 2.2
	stragglerSlack  = 80 * time.Millisecond
	// stragglerWeight is the weight of a straggler in the learned speed of its target.
	stragglerWeight = 0.5
	// maxRestarts limits how often a task is started again after a run was lost or stopped.
	maxRestarts = 4
	// claimTTL is how long another instance's claim is valid without being repeated.
	claimTTL = 4 * ClaimRepeatInterval
	// ClaimRepeatInterval is how often an instance sends its claims to the readers again, since a target's reader may
	// have changed.
	ClaimRepeatInterval = 250 * time.Millisecond
	// endRetention is how long a reader keeps the ends of other instances' runs, for claims that arrive or are repeated
	// after the end.
	endRetention = 3 * time.Second
	// priorityLevels is the number of priorities that instances distinguish in their demand.
	priorityLevels = 4
)

// Demand is the number of waiting tasks of an instance by priority; the last entry includes all less urgent priorities.
type Demand [priorityLevels]int64

// upTo returns the number of tasks with the given or a more urgent priority.
func (demand Demand) upTo(priority int) int64 {
	total := int64(0)
	for _, waiting := range demand[:priorityLevel(priority)+1] {
		total += waiting
	}
	return total
}

func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// targetRun identifies a run on a target.
type targetRun struct {
	target string
	run    Run
}

// recordedEnd is the end of another instance's run and the time at which it was recorded.
type recordedEnd struct {
	End
	at time.Time
}

// Scheduler holds the jobs of one instance and its view of the targets. It is not safe for concurrent use.
type Scheduler struct {
	self    string
	domain  string
	targets map[string]*target
	// ordered lists the targets by ID, and rotation counts the placements. Each placement begins at another target, so
	// that equal targets get equal work.
	ordered  []*target
	rotation int
	// byService lists the targets of each service by ID.
	byService   map[string][]*target
	groupSpeeds map[string]*learnedSpeed
	jobs        map[string]*job
	// jobsByKey holds the same jobs by the keys of their announcements.
	jobsByKey map[locator.Key]*job
	// tasks holds the tasks of this instance's jobs by name.
	tasks map[string]*task
	// queue holds the waiting tasks, the most urgent first; a task that cannot start yet does not hold up later ones.
	queue []*task
	// cancellations holds the cancelled jobs, the earliest first, and cancelledAt when each was cancelled.
	cancellations []Cancellation
	cancelledAt   map[string]time.Time
	// peers are the other live instances, and contacts holds when each was last heard from.
	peers    Peers
	contacts map[string]*contact
	// lostContacts holds the contacts with instances that were lost a short time ago.
	lostContacts []contact
	// earlyReports holds the latest report of each reporter about each unknown target, by ID.
	earlyReports map[string][]earlyReport
	// ownerless holds, by target, the runs that other instances have asked the owner of.
	ownerless      map[string]map[Run]ownerlessRun
	ownerlessCount int
	// pendingStops holds the runs that must end and may still go on.
	pendingStops map[targetRun]*pendingStop
	// suspensions holds the leases whose renewals are suspended.
	suspensions map[suspensionKey]Suspension
	// lateStarts holds the starts that got no answer and may still be carried out, the earliest first.
	lateStarts []*lateStart
	// lateStartsOf holds them by task.
	lateStartsOf map[string][]*lateStart
	// outstandingAnnouncedUntil holds until when the last announcement of a job counts that was given up with an outstanding start.
	outstandingAnnouncedUntil map[string]time.Time
	// foreignEnds holds recent ends of other instances' runs on the targets that this instance reads.
	foreignEnds map[targetRun]recordedEnd
	// changedTargets holds the targets that this instance reads and whose free capacity may have changed since the last
	// report.
	changedTargets map[string]bool
	// peerDemands holds the demand of the other instances by incarnation.
	peerDemands  map[string]Demand
	completedAt  map[string]time.Time
	releaseRates map[string]releaseRate
	// suspended holds the failure domains whose instances are all unresponsive.
	suspended map[string]bool
	// evacuated holds the failure domains that the operator has asked to evacuate.
	evacuated map[string]bool
	// startsHeldUntil is until when nothing starts, since an evacuation may have been missed.
	startsHeldUntil time.Time
	// lossDetectionFrom is the time before which no run is considered lost.
	lossDetectionFrom time.Time
	// stopsAt is when this instance stops; zero if no stop is planned.
	stopsAt time.Time
	// resumedAt is when the last pause of this instance ended.
	resumedAt time.Time
	// offered holds the targets whose capacity was offered to another instance that has not claimed it yet.
	offered map[string]bool
	// typicalMilliCores is a moving average of the processor capacity that a run claims, in thousandths of a core.
	typicalMilliCores int64
	actions           []Action
	// isolator knows which tasks were on targets that were lost.
	isolator *isolator.Isolator
	lossSharing
	coldTargets
	firstLook  firstLook
	link       Link
	contention contention
	reserver   reservationPolicy
	// arbiters divide the capacity of the services whose tasks share it.
	arbiters map[string]*arbiter.Arbiter
	// candidateBuffer is reused between placements.
	candidateBuffer []candidate
}

// releaseRate describes how fast the targets of a service are expected to free capacity.
type releaseRate struct {
	// perHour is the expected number of run ends per hour. It is an integer so that the sum does not depend on the
	// order of the targets.
	perHour int64
	// bestSpeed is the highest learned speed among the healthy targets.
	bestSpeed float64
	// freeSlots is how many tasks with the typical resources could start now.
	freeSlots int64
	// cores is the capacity that tasks with the typical resources can use, weighted by the speed of the targets.
	cores      float64
	validUntil time.Time
}

// New returns a scheduler for the instance with the incarnation self in the given failure domain.
func New(self, domain string) *Scheduler {
	return &Scheduler{
		self:         self,
		domain:       domain,
		targets:      make(map[string]*target),
		byService:    make(map[string][]*target),
		groupSpeeds:  make(map[string]*learnedSpeed),
		jobs:         make(map[string]*job),
		jobsByKey:    make(map[locator.Key]*job),
		tasks:        make(map[string]*task),
		cancelledAt:  make(map[string]time.Time),
		contacts:     make(map[string]*contact),
		earlyReports: make(map[string][]earlyReport),
		ownerless:    make(map[string]map[Run]ownerlessRun),
		pendingStops: make(map[targetRun]*pendingStop),
		suspensions:  make(map[suspensionKey]Suspension),
		lateStartsOf: make(map[string][]*lateStart),

		outstandingAnnouncedUntil: make(map[string]time.Time),
		foreignEnds:               make(map[targetRun]recordedEnd),
		changedTargets:            make(map[string]bool),
		offered:                   make(map[string]bool),
		suspended:                 make(map[string]bool),
		evacuated:                 make(map[string]bool),
		peerDemands:               make(map[string]Demand),
		completedAt:               make(map[string]time.Time),
		releaseRates:              make(map[string]releaseRate),
		isolator:                  isolator.New(),
		lossSharing:               newLossSharing(),
		coldTargets:               newColdTargets(),
		link:                      idleLink{},
		reserver:                  neverReserving{},
		arbiters:                  make(map[string]*arbiter.Arbiter),
	}
}

// TakeActions returns the queued actions in the order in which they were decided, and clears the queue.
func (scheduler *Scheduler) TakeActions() []Action {
	actions := scheduler.actions
	scheduler.actions = nil
	return actions
}

// ActiveJobs returns the number of jobs without an outcome.
func (scheduler *Scheduler) ActiveJobs() int { return len(scheduler.jobs) }

// Pending returns the number of jobs of a route of which no task has started.
func (scheduler *Scheduler) Pending(route string) int {
	pending := 0
	for _, job := range scheduler.jobs {
		if job.Route == route && job.neverStarted() {
			pending++
		}
	}
	return pending
}

// Demand returns the number of waiting tasks by priority.
func (scheduler *Scheduler) Demand() Demand {
	var demand Demand
	for _, task := range scheduler.queue {
		demand[priorityLevel(task.job.Priority)]++
	}
	return demand
}

// Has reports whether the job is active, that is, has no outcome yet.
func (scheduler *Scheduler) Has(job string) bool {
	_, ok := scheduler.jobs[job]
	return ok
}

// SetTargets replaces the set of targets found by service discovery.
func (scheduler *Scheduler) SetTargets(infos []Target, now time.Time) {
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		scheduler.setTarget(info, now)
	}
	for id, target := range scheduler.targets {
		switch {
		case seen[id]:
		case target.deletedAt.IsZero():
			target.deletedAt = now
		case target.expired(now) && len(target.allocations) == 0:
			delete(scheduler.targets, id)
		}
	}
	scheduler.rebuildIndexes()
	scheduler.place(now)
}

// groupSpeed returns the learned speed shared by all targets with the same service, first label and processor capacity.
func (scheduler *Scheduler) groupSpeed(info Target) *learnedSpeed {
	key := info.Service + "/" + time.Duration(info.Capacity.MilliCores).String()
	if len(info.Labels) > 0 {
		key += "/" + info.Labels[0]
	}
	speed, ok := scheduler.groupSpeeds[key]
	if !ok {
		speed = &learnedSpeed{}
		scheduler.groupSpeeds[key] = speed
	}
	return speed
}

func (scheduler *Scheduler) rebuildIndexes() {
	clear(scheduler.byService)
	scheduler.ordered = scheduler.ordered[:0]
	for _, id := range slices.Sorted(maps.Keys(scheduler.targets)) {
		target := scheduler.targets[id]
		scheduler.ordered = append(scheduler.ordered, target)
		scheduler.byService[target.Service] = append(scheduler.byService[target.Service], target)
	}
	clear(scheduler.releaseRates)
}

// Submit accepts a job or refuses it.
func (scheduler *Scheduler) Submit(info Job, now time.Time) {
	if at, ok := scheduler.completedAt[info.ID]; ok && now.Sub(at) < completedRetention {
		scheduler.emit(AnswerJob{Job: info.ID, Outcome: dispatcher.NewComplete(nil), Started: true, Arrived: info.Arrived, Objective: info.Objective})
		return
	}
	if scheduler.Cancelled(info.ID) {
		scheduler.answerCancelled(&info)
		return
	}
	job := newJob(info)
	scheduler.limitDeadline(job)
	for _, task := range job.tasks {
		// The task has run, so the job must not be refused as not run.
		job.mayHaveStarted = job.mayHaveStarted || scheduler.mayStillRun(task.name, now)
	}
	scheduler.findEarlierRuns(job)
	if scheduler.submitSuspected(job, now) {
		return
	}
	if refusal, ok := scheduler.admit(job, now); !ok && job.mayHaveStarted {
		scheduler.emit(AnswerJob{
			Job: info.ID, Outcome: dispatcher.NewUnknown(refusal.Detail()), Started: true, Arrived: job.Arrived, Objective: job.Objective, Load: job.load,
		})
		return
	} else if !ok {
		scheduler.emit(AnswerJob{Job: info.ID, Outcome: refusal, Arrived: job.Arrived, Objective: job.Objective, Load: job.load})
		return
	}
	scheduler.jobs[job.ID], scheduler.jobsByKey[locator.KeyOf(job.ID)] = job, job
	for _, task := range job.tasks {
		scheduler.tasks[task.name] = task
		if task.state == waiting {
			scheduler.enqueue(task)
		}
	}
	scheduler.place(now)
}

// Abandon drops a job whose caller has left or cancelled it, and stops its runs.
func (scheduler *Scheduler) Abandon(id, reason string, now time.Time) {
	if job, ok := scheduler.jobs[id]; ok {
		scheduler.finish(job, dispatcher.NewUnknown(reason), reason, now)
		scheduler.place(now)
	}
}

// finish answers the job, stops its remaining runs and removes it.
func (scheduler *Scheduler) finish(job *job, outcome dispatcher.Outcome, reason string, now time.Time) {
	neverStarted := job.neverStarted()
	for _, task := range job.tasks {
		if task.mayBeRunning() || scheduler.endsLatestRun(task) {
			scheduler.requestStop(task.runTarget, task.run(), reason, true, now)
		}
		delete(scheduler.tasks, task.name)
	}
	scheduler.queue = slices.DeleteFunc(scheduler.queue, func(task *task) bool { return task.job == job })
	delete(scheduler.jobs, job.ID)
	delete(scheduler.jobsByKey, locator.KeyOf(job.ID))
	if _, ok := outcome.(dispatcher.Complete); ok {
		scheduler.completedAt[job.ID] = now
	}
	scheduler.emit(AnswerJob{
		Job: job.ID, Outcome: outcome, Started: !neverStarted, Arrived: job.Arrived, Objective: job.Objective, Load: job.load,
	})
}

// abort answers a job that can no longer be served: with a refusal if it is certain that nothing of it has started, and
// otherwise with an unknown outcome.
func (scheduler *Scheduler) abort(job *job, reason dispatcher.Reason, detail string, now time.Time) {
	if !job.neverStarted() {
		scheduler.finish(job, dispatcher.NewUnknown(detail), detail, now)
		return
	}
	scheduler.finish(job, scheduler.refusal(job, reason, detail, now), detail, now)
}

func (scheduler *Scheduler) emit(action Action) {
	scheduler.actions = append(scheduler.actions, action)
}

// enqueue inserts a waiting task into the queue, which is ordered by priority and then by the latest start that meets
// the objective.
func (scheduler *Scheduler) enqueue(added *task) {
	added.state = waiting
	at, _ := slices.BinarySearchFunc(scheduler.queue, added, func(queued, added *task) int {
		if order := queued.job.Priority - added.job.Priority; order != 0 {
			return order
		}
		if queued.latestStart().After(added.latestStart()) {
			return 1
		}
		return -1
	})
	scheduler.queue = slices.Insert(scheduler.queue, at, added)
}

func (scheduler *Scheduler) dequeue(removed *task) {
	scheduler.queue = slices.DeleteFunc(scheduler.queue, func(queued *task) bool { return queued == removed })
}

func (task *task) latestStart() time.Time { return task.job.Objective.Add(-task.spec().Estimate) }
