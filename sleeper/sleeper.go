package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for duration and reports false if ctx was done first.
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

// Jitter returns a random duration between half of and one and a half times duration, so that many do not wait in step.
func Jitter(duration time.Duration) time.Duration { return duration/2 + rand.N(duration) }

// Until waits until deadline and reports false if ctx was done first.
func Until(ctx context.Context, deadline time.Time) bool { return For(ctx, time.Until(deadline)) }
