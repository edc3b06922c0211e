package sleeper

import (
	"context"
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

// Until waits until deadline and reports false if ctx was done first.
func Until(ctx context.Context, deadline time.Time) bool { return For(ctx, time.Until(deadline)) }
