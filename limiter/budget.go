package limiter

import "time"

const (
	// The retry budget is 10% of the starts plus 10 retries per second.
	retriesPerStart  = 0.1
	retriesPerSecond = 10.0
	// maxRetryTokens bounds the tokens that accumulate while few retries are needed, so that a failure does not
	// begin with a storm of retries.
	maxRetryTokens = 100.0
)

// retryBudget is a token bucket for retries; it gains tokens with time and with each task start.
type retryBudget struct {
	tokens float64
	last   time.Time
}

func (retryBudget *retryBudget) refill(now time.Time) {
	if retryBudget.last.IsZero() {
		retryBudget.last = now
		retryBudget.tokens = retriesPerSecond
	}
	if elapsed := now.Sub(retryBudget.last); elapsed > 0 {
		retryBudget.tokens += retriesPerSecond * elapsed.Seconds()
		retryBudget.last = now
	}
	retryBudget.tokens = min(retryBudget.tokens, maxRetryTokens)
}

func (retryBudget *retryBudget) recordStart(now time.Time) {
	retryBudget.refill(now)
	retryBudget.tokens = min(retryBudget.tokens+retriesPerStart, maxRetryTokens)
}

// take removes one token and reports whether there was one.
func (retryBudget *retryBudget) take(now time.Time) bool {
	retryBudget.refill(now)
	if retryBudget.tokens < 1 {
		return false
	}
	retryBudget.tokens--
	return true
}
