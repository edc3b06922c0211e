package accountant

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/reporter"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// appendTimeout limits the time of the appends of one minute. It is shorter than a minute, so that a slow log does
	// not delay the next appends.
	appendTimeout = 20 * time.Second
	// appendSpread is the part of each minute over which the appends of the instances are spread. If 300 instances
	// appended in the same second, they would use up the append rate of the log.
	appendSpread = 30 * time.Second
)

// Accountant counts the answers of one instance and appends the counts to the log every minute. If it is the first
// instance whose append time in an hour is reached, it also appends the hourly sums of the records of all instances.
type Accountant struct {
	*reporter.Reporter
	log    *appender.Appender
	logger hclog.Logger
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// New returns an accountant that appends to log until Close.
func New(config reporter.Config, log *appender.Appender, logger hclog.Logger) *Accountant {
	ctx, stop := context.WithCancel(context.Background())
	accountant := &Accountant{Reporter: reporter.New(config, time.Now()), log: log, logger: logger, stop: stop}
	offset := appendOffset(config.Incarnation)
	accountant.done.Go(func() {
		for {
			now := time.Now()
			if !sleeper.Until(ctx, now.Truncate(time.Minute).Add(time.Minute+offset)) {
				return
			}
			accountant.tryFlush(ctx, time.Now(), false)
		}
	})
	sumAppender := newSumAppender(log, config.Domain, config.Instance)
	accountant.done.Go(func() {
		for sleeper.Until(ctx, time.Now().Truncate(time.Minute).Add(time.Minute+offset)) {
			accountant.appendSums(ctx, sumAppender, time.Now())
		}
	})
	return accountant
}

// appendSums appends the hourly sums if they are due, and logs an error if that fails.
func (accountant *Accountant) appendSums(ctx context.Context, sumAppender *sumAppender, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, sumTimeout)
	defer cancel()
	if err := sumAppender.run(ctx, now); err != nil && ctx.Err() != context.Canceled {
		accountant.logger.Warn("hourly burn sum not appended", "error", eris.ToString(err, false))
	}
}

// Close stops the background appends, appends the remaining counts, and marks the last record as final. It returns an
// error if not all counts could be appended before ctx ended. No answer may be recorded afterwards.
func (accountant *Accountant) Close(ctx context.Context) error {
	accountant.stop()
	accountant.done.Wait()
	return accountant.flushAll(ctx, time.Now(), true)
}

// tryFlush appends all closed minutes within appendTimeout, and logs an error if that fails.
func (accountant *Accountant) tryFlush(ctx context.Context, now time.Time, final bool) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := accountant.flushAll(ctx, now, final); err != nil {
		accountant.logger.Warn("burn counts not appended", "error", eris.ToString(err, false))
	}
}

// flushAll appends all closed minutes and, if final is set, the current one. After an error, the minutes that were not
// acknowledged stay pending and are appended again. It does not matter whether the failed append took effect, because
// readers count each minute of an incarnation once.
func (accountant *Accountant) flushAll(ctx context.Context, now time.Time, final bool) error {
	for {
		batch, ok := accountant.Batch(now, final)
		if !ok {
			return nil
		}
		data, err := batch.Encode()
		if err != nil {
			return err
		}
		if _, err := accountant.log.Append(ctx, burnStream, data); err != nil {
			return err
		}
		accountant.Acknowledge(batch)
	}
}

// appendOffset returns how long after the start of each minute an incarnation appends, from a hash of its name.
func appendOffset(incarnation string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(incarnation))
	return time.Duration(hash.Sum32()) % appendSpread
}
