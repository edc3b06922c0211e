package restrainer

import (
	"math"
	"time"
)

const (
	// growthDelay is how long a budget must have been at least as large before it takes effect. Instances whose views of
	// the membership differ then hold together no more connections than the target accepts; idle connections of the
	// instances whose budgets shrank are closed within this time.
	growthDelay = 10 * time.Second
	// raiseInterval is the time between two steps by which a limit recovers after a reset.
	raiseInterval = 10 * time.Second
	// unlimited is the internal value of a budget of 0.
	unlimited = math.MaxInt
)

// Limit is the limit of the connections that an instance may hold to one target. Its zero value is no limit. Times that
// are passed to it must not decrease.
type Limit struct {
	// set means that a budget was set.
	set bool
	// budget is the budget in effect.
	budget int
	// growth holds larger budgets that are not in effect yet, in ascending order of budget and time.
	growth []step
	// reduced is the limit after the last reset, at reducedAt; 0 if no reset restricts the limit any longer.
	reduced   int
	reducedAt time.Time
}

// step is a budget and the time since which the budget has been at least as large.
type step struct {
	budget int
	since  time.Time
}

// SetBudget sets the number of connections that the instance may hold as long as the target resets none; 0 means any
// number. The first budget and a smaller one take effect at once, a larger one once the budget has been at least that
// large for 10 s.
func (limit *Limit) SetBudget(budget int, now time.Time) {
	if budget <= 0 {
		budget = unlimited
	}
	limit.advance(now)
	if !limit.set || budget <= limit.budget {
		limit.set, limit.budget, limit.growth = true, budget, nil
		limit.advance(now)
		return
	}
	since := now
	for len(limit.growth) > 0 && limit.growth[len(limit.growth)-1].budget >= budget {
		last := len(limit.growth) - 1
		since = limit.growth[last].since
		limit.growth = limit.growth[:last]
	}
	limit.growth = append(limit.growth, step{budget, since})
}

// Allowed returns the largest number of connections that the instance may hold now; 0 means any number.
func (limit *Limit) Allowed(now time.Time) int {
	limit.advance(now)
	if !limit.set || limit.budget == unlimited {
		return 0
	}
	if limit.reduced > 0 {
		return limit.recovered(now)
	}
	return limit.budget
}

// RecordReset records that the target reset a new connection because it holds as many as it accepts, while it answers on
// kept other connections of this instance. The limit is halved, and is then at most kept, since the next connection
// would be reset too. It is never below 1, and rises by 1 every 10 s up to the budget. A limit that does not exist is not
// reduced.
func (limit *Limit) RecordReset(kept int, now time.Time) {
	allowed := limit.Allowed(now)
	if allowed == 0 {
		return
	}
	limit.reduced, limit.reducedAt = max(min(allowed/2, kept), 1), now
}

// IsReduced reports whether a reset still restricts the limit.
func (limit *Limit) IsReduced(now time.Time) bool {
	limit.advance(now)
	return limit.reduced > 0
}

// IsSettled reports whether the limit is the budget that was last set, so that a new limit with that budget would be the
// same.
func (limit *Limit) IsSettled(now time.Time) bool {
	return !limit.IsReduced(now) && len(limit.growth) == 0
}

// advance puts the budgets into effect that are due, and ends the restriction by a reset if the limit has recovered.
func (limit *Limit) advance(now time.Time) {
	for len(limit.growth) > 0 && now.Sub(limit.growth[0].since) >= growthDelay {
		limit.budget = limit.growth[0].budget
		limit.growth = limit.growth[1:]
	}
	if limit.reduced > 0 && (limit.budget == unlimited || limit.recovered(now) >= limit.budget) {
		limit.reduced, limit.reducedAt = 0, time.Time{}
	}
}

// recovered returns the limit to which the target's last reset restricts this instance by now.
func (limit *Limit) recovered(now time.Time) int {
	return limit.reduced + int(now.Sub(limit.reducedAt)/raiseInterval)
}
