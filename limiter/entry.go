package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	// unlimited stands for an absent limit or quota.
	unlimited = 1 << 30
	// minRetryAfter keeps refused callers from returning within the time of a few tasks.
	minRetryAfter = 100 * time.Millisecond
	// learnRate is the weight of one run time in a kind's mean.
	learnRate = 0.05
	// defaultRunTime stands for the run time of a kind that declares none.
	defaultRunTime = 200 * time.Millisecond
	// minDeadlineStep and maxDeadlineStep bound the step of deadlines within which short jobs pass long ones.
	// Up to 2 s no job that started missed its deadline in the measurements, and beyond 10 s nothing got faster.
	minDeadlineStep = 2 * time.Second
	maxDeadlineStep = 10 * time.Second
)

// kind holds the limits and counts of one kind.
type kind struct {
	name        string
	maxTasks    int
	maxInFlight int
	inFlight    int
	mean        time.Duration
	learned     int
}

func (kind *kind) hasRoom() bool { return kind.inFlight < kind.maxInFlight }

// learn gives the first run times more weight, because declared ones can be wrong by a factor of 10.
func (kind *kind) learn(runTime time.Duration) {
	kind.learned++
	rate := max(learnRate, 1/float64(kind.learned))
	kind.mean += time.Duration(rate * float64(runTime-kind.mean))
}

// seenRunTime returns the mean run time that tasks had, or 0 before the first one: by a declared run time that is
// far too long, a kind would be refused for ever and never be seen.
func (kind *kind) seenRunTime() time.Duration {
	if kind.learned == 0 {
		return 0
	}
	return kind.mean
}

// team holds the quota and count of one team.
type team struct {
	maxInFlight int
	inFlight    int
}

func (team *team) hasRoom() bool { return team.inFlight < team.maxInFlight }

// entry is one admitted job.
type entry struct {
	ticket    Ticket
	kind      *kind
	team      *team
	deadline  time.Time
	remaining int
	granted   int
	inFlight  int
	first     int64
	second    int64
}

// compare orders entries by the keys of the order in force, and equal ones by arrival.
func compare(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.second, b.second), cmp.Compare(a.ticket, b.ticket))
}

// setKey sets the sort key of entry.
func (limiter *Limiter) setKey(entry *entry) {
	switch order := limiter.order.(type) {
	case ByDeadline:
		entry.first = entry.deadline.Truncate(order.step).UnixNano()
		entry.second = int64(entry.remaining) * int64(entry.kind.mean)
	case ByRemainingWork:
		entry.first = int64(entry.remaining) * int64(entry.kind.mean)
	case ByArrival:
	}
}

// saturate learns how many tasks run at once when targets have no room left.
func (limiter *Limiter) saturate() {
	if len(limiter.refused) == 0 {
		return
	}
	if limiter.width == 0 {
		limiter.width = float64(limiter.inFlight)
	}
	limiter.width += learnRate * (float64(limiter.inFlight) - limiter.width)
}

// expectedWait returns the time until the tasks ahead of a new entry have been granted.
//
// It divides the work ahead by the tasks that run at once: of all teams, of the
// entry's team and of its kind. Jobs that wait for their own quota hold nobody
// else back. Before targets ran out of room for the first time, work ahead is no
// reason to wait.
func (limiter *Limiter) expectedWait(entry *entry) time.Duration {
	var all, team, kind time.Duration
	for _, ahead := range limiter.queue {
		if compare(ahead, entry) > 0 {
			break
		}
		work := time.Duration(ahead.remaining) * ahead.kind.mean
		if ahead.team.hasRoom() && ahead.kind.hasRoom() {
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
	if limiter.width > 0 {
		wait = all / time.Duration(max(1, limiter.inFlight, int(limiter.width)))
	}
	if !entry.team.hasRoom() {
		wait = max(wait, team/time.Duration(entry.team.maxInFlight))
	}
	if !entry.kind.hasRoom() {
		wait = max(wait, kind/time.Duration(entry.kind.maxInFlight))
	}
	return wait
}

func (limiter *Limiter) kind(name string) *kind {
	known, ok := limiter.kinds[name]
	if !ok {
		known = &kind{name: name, maxTasks: dispatcher.MaxTasks, maxInFlight: unlimited, mean: defaultRunTime}
		limiter.kinds[name] = known
	}
	return known
}

func (limiter *Limiter) team(name string) *team {
	known, ok := limiter.teams[name]
	if !ok {
		known = &team{maxInFlight: unlimited}
		limiter.teams[name] = known
	}
	return known
}

// order returns the order of the queue; a job that misses its deadline after the start wastes its messages, so the
// weight of these draws the step towards exact deadlines.
func (config Config) order() Order {
	if config.Order != nil {
		return config.Order
	}
	part := 0.5
	if sum := config.ResponseTimeWeight + config.WastedMessageWeight; sum > 0 {
		part = config.ResponseTimeWeight / sum
	}
	return NewByDeadline(minDeadlineStep + time.Duration(part*float64(maxDeadlineStep-minDeadlineStep)))
}

func (limiter *Limiter) configure(config Config) {
	limiter.maxQueued = config.MaxQueued
	if limiter.maxQueued == 0 {
		limiter.maxQueued = defaultMaxQueued
	}
	limiter.order = config.order()
	for _, entry := range limiter.queue {
		limiter.setKey(entry)
	}
	slices.SortFunc(limiter.queue, compare)
	for name, limits := range config.Kinds {
		kind := limiter.kind(name)
		kind.maxTasks, kind.maxInFlight = dispatcher.MaxTasks, unlimited
		if limits.MaxTasks > 0 {
			kind.maxTasks = min(limits.MaxTasks, dispatcher.MaxTasks)
		}
		if limits.MaxInFlight != 0 {
			kind.maxInFlight = limits.MaxInFlight
		}
		if kind.learned == 0 && limits.RunTime > 0 {
			kind.mean = limits.RunTime
		}
	}
	for name, quota := range config.TeamQuotas {
		limiter.team(name).maxInFlight = quota
	}
}
