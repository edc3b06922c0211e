package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// For sleeps for duration. It returns false if ctx was done first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Jitter returns a random duration between 50% and 150% of duration, so that concurrent retries do not synchronize.
func Jitter(duration time.Duration) time.Duration { return duration/2 + rand.N(duration) }

// Until sleeps until deadline. It returns false if ctx was done first.
func Until(ctx context.Context, deadline time.Time) bool { return For(ctx, time.Until(deadline)) }
