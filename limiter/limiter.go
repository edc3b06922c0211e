package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// defaultMaxQueued bounds the queue to about a second of work at the job rate of one instance.
const defaultMaxQueued = 4096

// Limiter admits jobs and grants their tasks; it is safe for concurrent use.
type Limiter struct {
	mu                sync.Mutex
	maxQueued         int
	order             Order
	kinds             map[string]*kind
	teams             map[string]*team
	queue             []*entry // jobs with waiting tasks, in the order in which they start
	jobs              map[Ticket]*entry
	lastTicket        Ticket
	inFlight          int
	saturatedInFlight float64 // moving average of tasks in flight while no target has free capacity; 0 until that happens
	retryBudget       retryBudget
	blockedKinds      []*kind // kinds without a free target in the current call of Next; kept to avoid allocations
}

// New returns a limiter without jobs.
func New(config Config) *Limiter {
	limiter := &Limiter{
		kinds: make(map[string]*kind, len(config.Kinds)),
		teams: make(map[string]*team, len(config.TeamQuotas)),
		jobs:  make(map[Ticket]*entry),
	}
	limiter.configure(config)
	return limiter
}

// Configure replaces the configuration. Admitted jobs stay, and kinds and teams that config does not name keep
// their limits.
func (limiter *Limiter) Configure(config Config) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.configure(config)
}

// Admit decides whether job is accepted. The limiter keeps no state of refused jobs.
func (limiter *Limiter) Admit(job Job, now time.Time) Decision {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	kind, team := limiter.kind(job.kind), limiter.team(job.team)
	if refusal, refused := limiter.checkLimits(job, kind, team, now); refused {
		return refusal
	}
	limiter.lastTicket++
	entry := &entry{ticket: limiter.lastTicket, kind: kind, team: team, deadline: job.deadline, remaining: job.tasks}
	limiter.setSortKey(entry)
	wait := limiter.expectedWait(entry)
	// An immediate refusal costs the caller one message; a deadline that passes in the queue costs the whole wait.
	if overrun := now.Add(wait + kind.observedRunTime()).Sub(job.deadline); wait > 0 && overrun > 0 {
		return Refused{
			reason:  dispatcher.ReasonOverload,
			detail:  "the expected wait passes the deadline",
			retryAt: now.Add(max(overrun, minRetryAfter)),
		}
	}
	index, _ := slices.BinarySearchFunc(limiter.queue, entry, compareEntries)
	limiter.queue = slices.Insert(limiter.queue, index, entry)
	limiter.jobs[entry.ticket] = entry
	if index == 0 && kind.hasCapacity() && team.hasCapacity() {
		return Runnable{ticket: entry.ticket}
	}
	return Queued{ticket: entry.ticket, startAt: now.Add(wait)}
}

// checkLimits applies the rules that need no estimate of the wait, and reports whether one of them refuses job.
func (limiter *Limiter) checkLimits(job Job, kind *kind, team *team, now time.Time) (Refused, bool) {
	switch {
	case job.tasks < 1 || job.tasks > kind.maxTasks:
		return Refused{reason: dispatcher.ReasonImpossible, detail: "the kind does not allow this number of tasks"}, true
	case kind.maxInFlight < 1:
		return Refused{reason: dispatcher.ReasonImpossible, detail: "the kind allows no task in flight"}, true
	case team.maxInFlight < 1:
		return Refused{reason: dispatcher.ReasonImpossible, detail: "the team's quota allows no task in flight"}, true
	case !job.deadline.After(now):
		return Refused{reason: dispatcher.ReasonDeadline, detail: "the deadline has passed"}, true
	case len(limiter.queue) >= limiter.maxQueued:
		return Refused{reason: dispatcher.ReasonOverload, detail: "the queue is full", retryAt: now.Add(minRetryAfter)}, true
	}
	return Refused{}, false
}

// Next grants the next task that the limits allow, in the order of the queue, or returns false if there is none.
//
// It calls pick with the kind of a task that may start, and skips the kind for
// the rest of the call if pick reports that no target has free capacity. Since it holds
// the limiter's lock, pick must not call the limiter.
func (limiter *Limiter) Next(now time.Time, pick func(kind string) bool) (Grant, bool) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.blockedKinds = limiter.blockedKinds[:0]
	for i, entry := range limiter.queue {
		if !entry.kind.hasCapacity() || !entry.team.hasCapacity() || !now.Before(entry.deadline) || slices.Contains(limiter.blockedKinds, entry.kind) {
			continue
		}
		if !pick(entry.kind.name) {
			limiter.blockedKinds = append(limiter.blockedKinds, entry.kind)
			continue
		}
		return limiter.grant(i, entry, now), true
	}
	limiter.recordSaturation()
	return Grant{}, false
}

// grant takes one task of entry, which is at index in the queue, and moves or removes the entry.
func (limiter *Limiter) grant(index int, entry *entry, now time.Time) Grant {
	grant := Grant{entry: entry, grantedAt: now, first: entry.granted == 0}
	entry.granted++
	entry.remaining--
	entry.inFlight++
	entry.kind.inFlight++
	entry.team.inFlight++
	limiter.inFlight++
	limiter.retryBudget.recordStart(now)
	if entry.remaining == 0 {
		limiter.queue = slices.Delete(limiter.queue, index, index+1)
		return grant
	}
	limiter.setSortKey(entry)
	for ; index > 0 && compareEntries(entry, limiter.queue[index-1]) < 0; index-- {
		limiter.queue[index], limiter.queue[index-1] = limiter.queue[index-1], limiter.queue[index]
	}
	return grant
}

// Release ends the task of grant, whatever its fate, and adds its duration to the mean run time of its kind.
func (limiter *Limiter) Release(grant Grant, now time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	entry := grant.entry
	entry.inFlight--
	entry.kind.inFlight--
	entry.team.inFlight--
	limiter.inFlight--
	entry.kind.observeRunTime(now.Sub(grant.grantedAt))
	limiter.removeIfDone(entry)
}

// CancelUngranted removes a job of which no task was granted from the queue. It reports false, and removes nothing, if
// a task was granted or the job is not known.
func (limiter *Limiter) CancelUngranted(ticket Ticket) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	entry, ok := limiter.jobs[ticket]
	if !ok || entry.granted > 0 {
		return false
	}
	limiter.dropWaiting(entry)
	return true
}

// DropWaitingTasks removes the tasks of a job that were not granted, as after a failed task, and returns their number;
// granted tasks stay in flight.
func (limiter *Limiter) DropWaitingTasks(ticket Ticket) int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	entry, ok := limiter.jobs[ticket]
	if !ok {
		return 0
	}
	return limiter.dropWaiting(entry)
}

// Expire drops the waiting tasks of jobs whose deadline has passed and returns these jobs.
func (limiter *Limiter) Expire(now time.Time) []Expired {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	var expired []Expired
	kept := limiter.queue[:0]
	for _, entry := range limiter.queue {
		if now.Before(entry.deadline) {
			kept = append(kept, entry)
			continue
		}
		expired = append(expired, Expired{ticket: entry.ticket, granted: entry.granted})
		entry.remaining = 0
		limiter.removeIfDone(entry)
	}
	clear(limiter.queue[len(kept):])
	limiter.queue = kept
	return expired
}

// AllowRetry reports whether the retry budget allows one more retry, and if so deducts it from the budget.
func (limiter *Limiter) AllowRetry(now time.Time) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.retryBudget.take(now)
}

// WaitingJobs returns the number of jobs with waiting tasks.
func (limiter *Limiter) WaitingJobs() int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return len(limiter.queue)
}

// TasksInFlight returns the number of grants that have not been passed to Release.
func (limiter *Limiter) TasksInFlight() int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.inFlight
}

func (limiter *Limiter) dropWaiting(entry *entry) int {
	dropped := entry.remaining
	if i := slices.Index(limiter.queue, entry); i >= 0 {
		limiter.queue = slices.Delete(limiter.queue, i, i+1)
	}
	entry.remaining = 0
	limiter.removeIfDone(entry)
	return dropped
}

// removeIfDone removes a job that has no task waiting or in flight.
func (limiter *Limiter) removeIfDone(entry *entry) {
	if entry.remaining == 0 && entry.inFlight == 0 {
		delete(limiter.jobs, entry.ticket)
	}
}
