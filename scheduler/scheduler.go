package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	// answersKept is how long a complete answer is kept for a caller that sends the same job again.
	answersKept = 10 * time.Second
	// minRetryWait is the shortest time to return that a refusal names, the resolution of Retry-After.
	minRetryWait = time.Second
	// waitShare is the part of a job's time to its objective that it may wait for its first start: a refusal after
	// that comes too late for the caller to do something else in time.
	waitShare = 4
	// missingTime is how long a run may be missing from the list of its target before it is taken to be lost: its
	// end may be on the way through another instance.
	missingTime = 150 * time.Millisecond
	// stragglerFactor and stragglerSlack tell a run that stands still from one whose declared time was too short:
	// declared times are off by up to 40%, and tasks of a step by 15%.
	stragglerFactor = 2.2
	stragglerSlack  = 80 * time.Millisecond
	// stragglerWeight is the weight of a run that stands still in the learned speed of its target.
	stragglerWeight = 0.5
	// maxRestarts bounds how often a task starts anew after a run that was lost or stopped.
	maxRestarts = 4
	// claimTime is how long the claim of another instance counts if it is not repeated.
	claimTime = 4 * ClaimRepeatInterval
	// ClaimRepeatInterval is how often an instance repeats its claims to the readers of their targets, which may have changed.
	ClaimRepeatInterval = 250 * time.Millisecond
	// endsKept is how long a reader keeps the ends of other instances' runs, for claims that arrive or are repeated
	// after them.
	endsKept = 3 * time.Second
	// priorities is the number of priorities that are told apart between instances.
	priorities = 4
)

// Demand is the number of waiting tasks of an instance by priority; the last entry counts all lower ones.
type Demand [priorities]int64

// upTo returns the number of tasks that come no later than those of priority.
func (demand Demand) upTo(priority int) int64 {
	total := int64(0)
	for _, waiting := range demand[:rank(priority)+1] {
		total += waiting
	}
	return total
}

func rank(priority int) int { return min(max(priority, 0), priorities-1) }

// targetRun names a run on a target.
type targetRun struct {
	target string
	run    Run
}

// pastEnd is the end of another instance's run, and when it was seen.
type pastEnd struct {
	End
	at time.Time
}

// Scheduler holds the jobs of one instance and what it believes of the targets; it is not safe for concurrent use.
type Scheduler struct {
	self    string
	domain  string
	targets map[string]*target
	// ordered lists the targets in the order of their IDs, and turned counts the placements: each begins at another
	// target, so that like targets get like work.
	ordered []*target
	turned  int
	// byService lists the targets of each service in the order of their IDs.
	byService map[string][]*target
	groups    map[string]*learnedSpeed
	jobs      map[string]*job
	// tasks holds the tasks of all own jobs by name.
	tasks map[string]*task
	// queue holds the waiting tasks in the order in which they start.
	queue []*task
	// ended holds the late ends of other instances' runs on the targets that this instance reads.
	ended map[targetRun]pastEnd
	// changed holds the targets that this instance reads and whose room has changed since its last report.
	changed map[string]bool
	// demands holds the waiting tasks of other instances by incarnation.
	demands  map[string]Demand
	answered map[string]time.Time
	releases map[string]releaseRate
	// suspended holds the failure domains of which nothing is heard.
	suspended map[string]bool
	// awake is the time from which runs may be taken to be lost.
	awake time.Time
	// offered holds the targets whose room was offered to another instance and not claimed yet.
	offered map[string]bool
	// usualSize is a mean of the processor share of claims in thousandths of a core.
	usualSize int64
	actions   []Action
	// found is reused for the candidates of a placement.
	found []candidate
}

// releaseRate is what is expected of the targets of a service.
type releaseRate struct {
	// perHour is the expected number of ends, a whole number so that the order of the sum does not matter.
	perHour int64
	// best is the best learned speed.
	best float64
	// free is how many tasks of the usual size find room.
	free  int64
	until time.Time
}

// New returns a scheduler of the instance with the incarnation self in a failure domain.
func New(self, domain string) *Scheduler {
	return &Scheduler{
		self:      self,
		domain:    domain,
		targets:   make(map[string]*target),
		byService: make(map[string][]*target),
		groups:    make(map[string]*learnedSpeed),
		jobs:      make(map[string]*job),
		tasks:     make(map[string]*task),
		ended:     make(map[targetRun]pastEnd),
		changed:   make(map[string]bool),
		offered:   make(map[string]bool),
		suspended: make(map[string]bool),
		demands:   make(map[string]Demand),
		answered:  make(map[string]time.Time),
		releases:  make(map[string]releaseRate),
	}
}

// TakeActions returns the actions that are due, in the order of the decisions.
func (scheduler *Scheduler) TakeActions() []Action {
	actions := scheduler.actions
	scheduler.actions = nil
	return actions
}

// ActiveJobs returns the number of jobs without an answer.
func (scheduler *Scheduler) ActiveJobs() int { return len(scheduler.jobs) }

// Pending returns the number of jobs of a route of which no task has started.
func (scheduler *Scheduler) Pending(route string) int {
	pending := 0
	for _, job := range scheduler.jobs {
		if job.Route == route && job.untouched() {
			pending++
		}
	}
	return pending
}

// Demand returns the waiting tasks by priority.
func (scheduler *Scheduler) Demand() Demand {
	var demand Demand
	for _, task := range scheduler.queue {
		demand[rank(task.job.Priority)]++
	}
	return demand
}

// Has reports whether the job has no answer yet.
func (scheduler *Scheduler) Has(job string) bool {
	_, ok := scheduler.jobs[job]
	return ok
}

// SetTargets replaces what discovery tells of the targets.
func (scheduler *Scheduler) SetTargets(infos []Target, now time.Time) {
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		scheduler.setTarget(info, now)
	}
	for id, target := range scheduler.targets {
		switch {
		case seen[id]:
		case target.deleted.IsZero():
			target.deleted = now
		case target.expired(now) && len(target.occupants) == 0:
			delete(scheduler.targets, id)
		}
	}
	scheduler.index()
	scheduler.place(now)
}

func (scheduler *Scheduler) setTarget(info Target, now time.Time) {
	known, ok := scheduler.targets[info.ID]
	if !ok {
		added := newTarget(info, scheduler.group(info))
		added.suspended = scheduler.suspended[info.Domain]
		added.unreadBias = unreadSpread * RendezvousHash(scheduler.self, info.ID)
		scheduler.targets[info.ID] = added
		return
	}
	if info.Incarnation != 0 && info.Incarnation > known.Incarnation {
		scheduler.restarted(known, info.Incarnation, now)
	}
	info.Incarnation = known.Incarnation
	known.Target = info
	known.group = scheduler.group(info)
	known.deleted = time.Time{}
}

// group returns the learned speed of the targets of one make: of one service, kind and capacity.
func (scheduler *Scheduler) group(info Target) *learnedSpeed {
	key := info.Service + "/" + time.Duration(info.Capacity.MilliCores).String()
	if len(info.Labels) > 0 {
		key += "/" + info.Labels[0]
	}
	speed, ok := scheduler.groups[key]
	if !ok {
		speed = &learnedSpeed{}
		scheduler.groups[key] = speed
	}
	return speed
}

func (scheduler *Scheduler) index() {
	clear(scheduler.byService)
	scheduler.ordered = scheduler.ordered[:0]
	for _, id := range slices.Sorted(maps.Keys(scheduler.targets)) {
		target := scheduler.targets[id]
		scheduler.ordered = append(scheduler.ordered, target)
		scheduler.byService[target.Service] = append(scheduler.byService[target.Service], target)
	}
	clear(scheduler.releases)
}

// Submit takes a job on or answers it with a refusal.
func (scheduler *Scheduler) Submit(info Job, now time.Time) {
	if at, ok := scheduler.answered[info.ID]; ok && now.Sub(at) < answersKept {
		scheduler.act(AnswerJob{Job: info.ID, Outcome: dispatcher.NewComplete(nil), Started: true, Arrived: info.Arrived, Objective: info.Objective})
		return
	}
	job := newJob(info)
	if refusal, ok := scheduler.admit(job, now); !ok {
		scheduler.act(AnswerJob{Job: info.ID, Outcome: refusal, Arrived: job.Arrived, Objective: job.Objective, Load: job.load})
		return
	}
	scheduler.jobs[job.ID] = job
	for _, task := range job.tasks {
		scheduler.tasks[task.name] = task
		if task.state == waiting {
			scheduler.enqueue(task)
		}
	}
	scheduler.place(now)
}

// Abandon gives a job up since its caller left or cancelled it, and stops its runs.
func (scheduler *Scheduler) Abandon(id, reason string, now time.Time) {
	if job, ok := scheduler.jobs[id]; ok {
		scheduler.finish(job, dispatcher.NewUnknown(reason), reason, now)
		scheduler.place(now)
	}
}

// finish answers the job, stops what still runs of it and forgets it.
func (scheduler *Scheduler) finish(job *job, outcome dispatcher.Outcome, reason string, now time.Time) {
	untouched := job.untouched()
	for _, task := range job.tasks {
		if task.occupies() {
			scheduler.act(StopRun{On: task.on.Target, Run: task.run(), Reason: reason})
		}
		delete(scheduler.tasks, task.name)
	}
	scheduler.queue = slices.DeleteFunc(scheduler.queue, func(task *task) bool { return task.job == job })
	delete(scheduler.jobs, job.ID)
	if _, ok := outcome.(dispatcher.Complete); ok {
		scheduler.answered[job.ID] = now
	}
	scheduler.act(AnswerJob{
		Job: job.ID, Outcome: outcome, Started: !untouched, Arrived: job.Arrived, Objective: job.Objective, Load: job.load,
	})
}

// giveUp answers a job that cannot be served any more: a true refusal if nothing of it has started.
func (scheduler *Scheduler) giveUp(job *job, reason dispatcher.Reason, detail string, now time.Time) {
	if !job.untouched() {
		scheduler.finish(job, dispatcher.NewUnknown(detail), detail, now)
		return
	}
	scheduler.finish(job, scheduler.refusal(job, reason, detail, now), detail, now)
}

func (scheduler *Scheduler) act(action Action) { scheduler.actions = append(scheduler.actions, action) }

// enqueue inserts a waiting task by priority and then by the latest start that meets its objective.
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
