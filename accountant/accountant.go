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
	// appendTimeout leaves room for a slow log within the minute.
	appendTimeout = 20 * time.Second
	// appendSpread is the part of a minute over which instances spread their appends: all at the same second
	// would take the log's whole rate at 300 instances.
	appendSpread = 30 * time.Second
)

// Accountant counts the answers of one instance and appends them to the log every minute; at its turn it also appends
// the hourly sums of the records of all instances.
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
			accountant.flush(ctx, time.Now(), false)
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

func (accountant *Accountant) appendSums(ctx context.Context, sumAppender *sumAppender, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, sumTimeout)
	defer cancel()
	if err := sumAppender.run(ctx, now); err != nil && ctx.Err() != context.Canceled {
		accountant.logger.Warn("hourly burn sum not appended", "error", eris.ToString(err, false))
	}
}

// Close appends what is left with a final mark, and returns an error if that failed by the deadline of ctx; no answer
// may be recorded afterwards.
func (accountant *Accountant) Close(ctx context.Context) error {
	accountant.stop()
	accountant.done.Wait()
	return accountant.flushAll(ctx, time.Now(), true)
}

func (accountant *Accountant) flush(ctx context.Context, now time.Time, final bool) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := accountant.flushAll(ctx, now, final); err != nil {
		accountant.logger.Warn("burn counts not appended", "error", eris.ToString(err, false))
	}
}

// flushAll appends all closed minutes. After an error they stay pending and are appended again: a reader counts each
// minute of an incarnation once, so it does not matter whether the failed append took effect.
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

// appendOffset returns the time after the start of a minute at which an incarnation appends.
func appendOffset(incarnation string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(incarnation))
	return time.Duration(hash.Sum32()) % appendSpread
}
