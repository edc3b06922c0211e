package follower

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/sleeper"
)

// ErrTrimmed means that the offset to read from is not in the store any more.
var ErrTrimmed = eris.New("the offset is not kept any more")

// Record is the newest value of a key; without a value the key is dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Source reads keyed topics.
type Source interface {
	// Newest returns the newest record of each key, and the offset from which to read on.
	Newest(ctx context.Context, topic string) ([]Record, int64, error)
	// Read returns the records from an offset on, and the offset after them.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error)
}

// PollOptions is how a topic is read.
type PollOptions struct {
	// MaxWait is how long the store may hold a read until there is a record.
	MaxWait time.Duration
	// Interval is the pause between two reads.
	Interval time.Duration
	// TimeoutMargin bounds a read beyond Wait; a silent connection is noticed after both.
	TimeoutMargin time.Duration
}

// firstRetry and lastRetry bound the doubling pause after a failed read.
const (
	firstRetry = 100 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// Update is what is new in a topic.
type Update struct {
	// Snapshot means that Records holds all keys, so that others are gone.
	Snapshot bool
	Records  []Record
}

// Follow passes the updates of a topic on until ctx is done: a complete one first, and after each loss of history.
func Follow(ctx context.Context, source Source, topic string, options PollOptions, logger hclog.Logger, update func(Update)) {
	next, complete, failures := int64(0), false, 0
	var lost time.Time
	for ctx.Err() == nil {
		var err error
		if !complete {
			next, err = readAll(ctx, source, topic, options, update)
			complete = err == nil
		} else {
			next, err = readOn(ctx, source, topic, next, options, update)
			if errors.Is(err, ErrTrimmed) {
				logger.Info("history of the topic was dropped, reading its newest records", "topic", topic)
				complete = false
				continue
			}
		}
		if err == nil {
			if failures > 0 {
				logger.Info("topic is read again", "topic", topic, "failures", failures, "after-ms", time.Since(lost).Milliseconds())
			}
			failures = 0
			sleeper.For(ctx, options.Interval)
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			lost = time.Now()
			logger.Warn("topic cannot be read", "topic", topic, "offset", next, "error", eris.ToString(err, false))
		}
		pause := min(firstRetry<<min(failures, 8), lastRetry)
		failures++
		sleeper.For(ctx, sleeper.Jitter(pause))
	}
}

func readAll(ctx context.Context, source Source, topic string, options PollOptions, update func(Update)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, options.MaxWait+options.TimeoutMargin)
	defer cancel()
	records, next, err := source.Newest(ctx, topic)
	if err == nil {
		update(Update{Snapshot: true, Records: records})
	}
	return next, err
}

// readOn returns the offset to read from next, which is from after an error.
func readOn(ctx context.Context, source Source, topic string, from int64, options PollOptions, update func(Update)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, options.MaxWait+options.TimeoutMargin)
	defer cancel()
	records, next, err := source.Read(ctx, topic, from, options.MaxWait)
	if err != nil {
		return from, err
	}
	if len(records) > 0 {
		update(Update{Records: records})
	}
	return next, nil
}
