package accountant

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

// Follower is a Reader that also reads new records in the background every followInterval, so that a report needs to
// read only the records since then.
type Follower struct {
	*Reader
	stop context.CancelFunc
	done sync.WaitGroup
}

// NewFollower returns a follower that reads the burn records in log until Close.
func NewFollower(log *appender.Appender, logger hclog.Logger) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	follower := &Follower{Reader: NewReader(log), stop: stop}
	follower.done.Go(func() {
		for {
			if err := follower.advance(ctx, time.Now()); err != nil && ctx.Err() == nil {
				logger.Warn("burn records not read", "error", eris.ToString(err, false))
			}
			if !sleeper.For(ctx, followInterval) {
				return
			}
		}
	})
	return follower
}

// Close stops the background reads and waits for the last one to end. Report can still be called.
func (follower *Follower) Close() {
	follower.stop()
	follower.done.Wait()
}
