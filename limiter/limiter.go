package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// defaultMaxQueued bounds the queue to what a second of work clears at the rates of one instance.
const defaultMaxQueued = 4096

// Limiter admits jobs and grants their tasks; it is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	maxQueued int
	order     Order
	kinds     map[string]*kind
	teams     map[string]*team
	queue     []*entry // jobs with tasks that wait, in the order of their start
	jobs      map[Ticket]*entry
	next      Ticket
	inFlight  int
	width     float64 // tasks in flight when no more may start; 0 until that happens
	budget    budget
	refused   []*kind // kinds without a target in the current call of Next; kept to save allocations
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

// Configure puts a new configuration in force; jobs that were admitted stay, and kinds and teams that config does
// not name keep their limits.
func (limiter *Limiter) Configure(config Config) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.configure(config)
}

// Admit decides whether job is accepted; a refusal is final and holds no resources.
func (limiter *Limiter) Admit(job Job, now time.Time) Decision {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	kind, team := limiter.kind(job.kind), limiter.team(job.team)
	if refused, ok := limiter.refuse(job, kind, team, now); ok {
		return refused
	}
	limiter.next++
	entry := &entry{ticket: limiter.next, kind: kind, team: team, deadline: job.deadline, remaining: job.tasks}
	limiter.setKey(entry)
	wait := limiter.expectedWait(entry)
	// A refusal now costs the caller one message; a deadline that passes in the queue costs the whole wait.
	if late := now.Add(wait + kind.seenRunTime()).Sub(job.deadline); wait > 0 && late > 0 {
		return Refused{
			reason:  dispatcher.ReasonOverload,
			detail:  "the expected wait passes the deadline",
			retryAt: now.Add(max(late, minRetryAfter)),
		}
	}
	at, _ := slices.BinarySearchFunc(limiter.queue, entry, compare)
	limiter.queue = slices.Insert(limiter.queue, at, entry)
	limiter.jobs[entry.ticket] = entry
	if at == 0 && kind.hasRoom() && team.hasRoom() {
		return Runnable{ticket: entry.ticket}
	}
	return Queued{ticket: entry.ticket, startAt: now.Add(wait)}
}

// refuse checks the rules that need no estimate.
func (limiter *Limiter) refuse(job Job, kind *kind, team *team, now time.Time) (Refused, bool) {
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

// Next grants the next task that the limits allow, in the order of the queue.
//
// It calls pick with the kind of a task that may start, and skips the kind for
// the rest of the call if pick reports that no target has room. It must not
// call the limiter. Without a task to grant it returns false.
func (limiter *Limiter) Next(now time.Time, pick func(kind string) bool) (Grant, bool) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.refused = limiter.refused[:0]
	for i, entry := range limiter.queue {
		if !entry.kind.hasRoom() || !entry.team.hasRoom() || !now.Before(entry.deadline) || slices.Contains(limiter.refused, entry.kind) {
			continue
		}
		if !pick(entry.kind.name) {
			limiter.refused = append(limiter.refused, entry.kind)
			continue
		}
		return limiter.grant(i, entry, now), true
	}
	limiter.saturate()
	return Grant{}, false
}

func (limiter *Limiter) grant(i int, entry *entry, now time.Time) Grant {
	grant := Grant{entry: entry, at: now, first: entry.granted == 0}
	entry.granted++
	entry.remaining--
	entry.inFlight++
	entry.kind.inFlight++
	entry.team.inFlight++
	limiter.inFlight++
	limiter.budget.start(now)
	if entry.remaining == 0 {
		limiter.queue = slices.Delete(limiter.queue, i, i+1)
		return grant
	}
	limiter.setKey(entry)
	for ; i > 0 && compare(entry, limiter.queue[i-1]) < 0; i-- {
		limiter.queue[i], limiter.queue[i-1] = limiter.queue[i-1], limiter.queue[i]
	}
	return grant
}

// Release ends the task of grant, whatever its fate, and learns from the time that it took.
func (limiter *Limiter) Release(grant Grant, now time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	entry := grant.entry
	entry.inFlight--
	entry.kind.inFlight--
	entry.team.inFlight--
	limiter.inFlight--
	entry.kind.learn(now.Sub(grant.at))
	limiter.forget(entry)
}

// Cancel takes a job of which no task was granted out of the queue; it reports false if it is too late.
func (limiter *Limiter) Cancel(ticket Ticket) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	entry, ok := limiter.jobs[ticket]
	if !ok || entry.granted > 0 {
		return false
	}
	limiter.drop(entry)
	return true
}

// Drop gives up the tasks of a job that were not granted, as after a failed task, and returns their number.
func (limiter *Limiter) Drop(ticket Ticket) int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	entry, ok := limiter.jobs[ticket]
	if !ok {
		return 0
	}
	return limiter.drop(entry)
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
		limiter.forget(entry)
	}
	clear(limiter.queue[len(kept):])
	limiter.queue = kept
	return expired
}

// AllowRetry reports whether the retry budget allows one more retry, and takes it from the budget.
func (limiter *Limiter) AllowRetry(now time.Time) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.budget.take(now)
}

// Waiting returns how many jobs have tasks that wait.
func (limiter *Limiter) Waiting() int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return len(limiter.queue)
}

// InFlight returns how many grants have not come back to Release.
func (limiter *Limiter) InFlight() int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.inFlight
}

func (limiter *Limiter) drop(entry *entry) int {
	dropped := entry.remaining
	if i := slices.Index(limiter.queue, entry); i >= 0 {
		limiter.queue = slices.Delete(limiter.queue, i, i+1)
	}
	entry.remaining = 0
	limiter.forget(entry)
	return dropped
}

// forget removes a job that neither waits nor runs.
func (limiter *Limiter) forget(entry *entry) {
	if entry.remaining == 0 && entry.inFlight == 0 {
		delete(limiter.jobs, entry.ticket)
	}
}
