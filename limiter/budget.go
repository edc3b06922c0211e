package limiter

import "time"

const (
	// retryPart and retryRate are the retry budget of the design: 10% of starts plus 10/s.
	retryPart = 0.1
	retryRate = 10.0
	// retryBurst bounds what an idle time saves up, so that a fault does not begin with a storm of retries.
	retryBurst = 100.0
)

// budget is a token bucket of retries that starts and time fill.
type budget struct {
	tokens float64
	last   time.Time
}

func (budget *budget) fill(now time.Time) {
	if budget.last.IsZero() {
		budget.last = now
		budget.tokens = retryRate
	}
	if elapsed := now.Sub(budget.last); elapsed > 0 {
		budget.tokens += retryRate * elapsed.Seconds()
		budget.last = now
	}
	budget.tokens = min(budget.tokens, retryBurst)
}

func (budget *budget) start(now time.Time) {
	budget.fill(now)
	budget.tokens = min(budget.tokens+retryPart, retryBurst)
}

func (budget *budget) take(now time.Time) bool {
	budget.fill(now)
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
