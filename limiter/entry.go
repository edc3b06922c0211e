package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	// unlimited represents an absent limit or quota.
	unlimited = 1 << 30
	// minRetryAfter keeps refused callers from retrying before a few tasks have had time to finish.
	minRetryAfter = 100 * time.Millisecond
	// smoothingFactor is the weight of a new sample in the moving averages.
	smoothingFactor = 0.05
	// defaultRunTime is assumed for a kind that declares no run time.
	defaultRunTime = 200 * time.Millisecond
	// minDeadlineStep and maxDeadlineStep bound the step of ByDeadline, within which short jobs overtake long ones.
	// With a step of at most 2 s, no started job missed its deadline; a step above 10 s did not improve response times.
	minDeadlineStep = 2 * time.Second
	maxDeadlineStep = 10 * time.Second
)

// kind holds the limits and the state of one kind.
type kind struct {
	name        string
	maxTasks    int
	maxInFlight int
	inFlight    int
	meanRunTime time.Duration
	samples     int // measured run times in meanRunTime
}

func (kind *kind) hasCapacity() bool { return kind.inFlight < kind.maxInFlight }

// observeRunTime adds a measured run time to the moving average. The first samples have a larger weight, because
// declared run times can be wrong by a factor of 10.
func (kind *kind) observeRunTime(runTime time.Duration) {
	kind.samples++
	factor := max(smoothingFactor, 1/float64(kind.samples))
	kind.meanRunTime += time.Duration(factor * float64(runTime-kind.meanRunTime))
}

// observedRunTime returns the mean measured run time, or 0 if no task has finished. The declared run time is not
// used here: if it were far too long, every job of the kind would be refused and the mean never corrected.
func (kind *kind) observedRunTime() time.Duration {
	if kind.samples == 0 {
		return 0
	}
	return kind.meanRunTime
}

// team holds the quota of one team and its tasks in flight.
type team struct {
	maxInFlight int
	inFlight    int
}

func (team *team) hasCapacity() bool { return team.inFlight < team.maxInFlight }

// entry is one admitted job.
type entry struct {
	ticket       Ticket
	kind         *kind
	team         *team
	deadline     time.Time
	remaining    int // tasks not yet granted
	granted      int
	inFlight     int
	primaryKey   int64
	secondaryKey int64
}

// compareEntries orders entries by their sort keys, and those with equal keys by arrival.
func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.primaryKey, b.primaryKey), cmp.Compare(a.secondaryKey, b.secondaryKey), cmp.Compare(a.ticket, b.ticket))
}

// setSortKey sets the sort keys of entry according to the order in force.
func (limiter *Limiter) setSortKey(entry *entry) {
	switch order := limiter.order.(type) {
	case ByDeadline:
		entry.primaryKey = entry.deadline.Truncate(order.step).UnixNano()
		entry.secondaryKey = int64(entry.remaining) * int64(entry.kind.meanRunTime)
	case ByRemainingWork:
		entry.primaryKey = int64(entry.remaining) * int64(entry.kind.meanRunTime)
	case ByArrival:
	}
}

// recordSaturation updates the average number of tasks in flight at the times when no target has free capacity.
func (limiter *Limiter) recordSaturation() {
	if len(limiter.blockedKinds) == 0 {
		return
	}
	if limiter.saturatedInFlight == 0 {
		limiter.saturatedInFlight = float64(limiter.inFlight)
	}
	limiter.saturatedInFlight += smoothingFactor * (float64(limiter.inFlight) - limiter.saturatedInFlight)
}

// expectedWait returns the expected time until the tasks ahead of a new entry have been granted.
//
// It is the longest of up to three waits: behind all jobs ahead, behind those of
// the same team if the team is at its limit, and behind those of the same kind
// if the kind is at its limit. Each is the run time of the waiting tasks ahead
// divided by the number of tasks that run at once. Jobs at the limit of their
// own team or kind do not count among all jobs ahead, and until targets have run
// out of capacity for the first time, there is no wait behind all jobs.
func (limiter *Limiter) expectedWait(entry *entry) time.Duration {
	var all, team, kind time.Duration
	for _, ahead := range limiter.queue {
		if compareEntries(ahead, entry) > 0 {
			break
		}
		work := time.Duration(ahead.remaining) * ahead.kind.meanRunTime
		if ahead.team.hasCapacity() && ahead.kind.hasCapacity() {
			all += work
		}
		if ahead.team == entry.team {
			team += work
		}
		if ahead.kind == entry.kind {
			kind += work
		}
	}
	var wait time.Duration
	if limiter.saturatedInFlight > 0 {
		wait = all / time.Duration(max(1, limiter.inFlight, int(limiter.saturatedInFlight)))
	}
	if !entry.team.hasCapacity() {
		wait = max(wait, team/time.Duration(entry.team.maxInFlight))
	}
	if !entry.kind.hasCapacity() {
		wait = max(wait, kind/time.Duration(entry.kind.maxInFlight))
	}
	return wait
}

// kind returns the state of the kind named name and creates it without limits if it is not known.
func (limiter *Limiter) kind(name string) *kind {
	known, ok := limiter.kinds[name]
	if !ok {
		known = &kind{name: name, maxTasks: dispatcher.MaxTasks, maxInFlight: unlimited, meanRunTime: defaultRunTime}
		limiter.kinds[name] = known
	}
	return known
}

// team returns the state of the team named name and creates it without a quota if it is not known.
func (limiter *Limiter) team(name string) *team {
	known, ok := limiter.teams[name]
	if !ok {
		known = &team{maxInFlight: unlimited}
		limiter.teams[name] = known
	}
	return known
}

// order returns the order of the queue. A started job that misses its deadline wastes its messages, so a larger weight
// of wasted messages gives a smaller step of ByDeadline.
func (config Config) order() Order {
	if config.Order != nil {
		return config.Order
	}
	responseTimeFraction := 0.5
	if sum := config.ResponseTimeWeight + config.WastedMessageWeight; sum > 0 {
		responseTimeFraction = config.ResponseTimeWeight / sum
	}
	return NewByDeadline(minDeadlineStep + time.Duration(responseTimeFraction*float64(maxDeadlineStep-minDeadlineStep)))
}

func (limiter *Limiter) configure(config Config) {
	limiter.maxQueued = config.MaxQueued
	if limiter.maxQueued == 0 {
		limiter.maxQueued = defaultMaxQueued
	}
	limiter.order = config.order()
	for _, entry := range limiter.queue {
		limiter.setSortKey(entry)
	}
	slices.SortFunc(limiter.queue, compareEntries)
	for name, limits := range config.Kinds {
		kind := limiter.kind(name)
		kind.maxTasks, kind.maxInFlight = dispatcher.MaxTasks, unlimited
		if limits.MaxTasks > 0 {
			kind.maxTasks = min(limits.MaxTasks, dispatcher.MaxTasks)
		}
		if limits.MaxInFlight != 0 {
			kind.maxInFlight = limits.MaxInFlight
		}
		if kind.samples == 0 && limits.RunTime > 0 {
			kind.meanRunTime = limits.RunTime
		}
	}
	for name, quota := range config.TeamQuotas {
		limiter.team(name).maxInFlight = quota
	}
}
