package follower

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/sleeper"
)

// ErrTrimmed reports that the store no longer has the offset to read from.
var ErrTrimmed = eris.New("offset has been trimmed from the topic")

// Record is a value written to a key of a topic. An empty value deletes the key. A record without a key, or whose key is
// not text, cannot be read.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Source reads keyed topics.
type Source interface {
	// Newest returns the newest record of each key, and the offset from which to continue reading.
	Newest(ctx context.Context, topic string) ([]Record, int64, error)
	// Read returns the records starting at an offset, and the offset that follows them. It returns at most about maxKB kilobytes
	// of records, and waits up to wait for the first one.
	Read(ctx context.Context, topic string, from int64, maxKB int, wait time.Duration) ([]Record, int64, error)
}

// PollOptions controls how a topic is polled.
type PollOptions struct {
	// MaxWait is how long the store may hold a read until a record arrives.
	MaxWait time.Duration
	// Interval is the delay between two reads.
	Interval time.Duration
	// TimeoutMargin is added to MaxWait to form the timeout of a read, which detects connections that stop responding.
	TimeoutMargin time.Duration
}

// minRetryDelay and maxRetryDelay bound the delay after a failed read, which doubles with each failure in a row.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// readSize is the size that the next read requests, in kilobytes. It is halved after each read that fails, and doubled after one
// that was filled in a small part of the time-out: an instance that is far behind on a narrow link would otherwise ask for more
// than it can receive, time out, and ask again without end.
type readSize int

const (
	minReadSize   readSize = 16
	firstReadSize readSize = 256
	maxReadSize   readSize = 1024
	// fastReadShare is the share of the time-out margin within which a full read must be answered to double the next one.
	fastReadShare = 4
)

// afterFailure returns the size that follows a read that failed.
func (size readSize) afterFailure() readSize { return max(size/2, minReadSize) }

// afterSuccess returns the size that follows a read that returned the given records after the given time.
func (size readSize) afterSuccess(records []Record, took, margin time.Duration) readSize {
	bytes := 0
	for i := range records {
		bytes += len(records[i].Key) + len(records[i].Value)
	}
	const bytesPerKB = 1024
	if full := bytes >= int(size)*bytesPerKB*3/4; full && took <= margin/fastReadShare {
		return min(2*size, maxReadSize)
	}
	return size
}

// Update holds new records of a topic.
type Update struct {
	// Snapshot means that Records holds every key of the topic; keys that are not in it no longer exist.
	Snapshot bool
	Records  []Record
	// End is the offset that follows a snapshot: all records before it are in the snapshot unless a later one has replaced them.
	// It is 0 in other updates.
	End int64
}

// Follow calls update with the records of a topic until ctx is done. The first update, and the one after each trim of
// unread records, is a snapshot.
func Follow(ctx context.Context, source Source, topic string, options PollOptions, logger hclog.Logger, update func(Update)) {
	next, synced, failures, size := int64(0), false, 0, firstReadSize
	var failingSince time.Time
	for ctx.Err() == nil {
		var err error
		if !synced {
			next, err = readSnapshot(ctx, source, topic, options, logger, update)
			synced = err == nil
		} else {
			next, size, err = readUpdates(ctx, source, topic, next, size, options, logger, update)
			if errors.Is(err, ErrTrimmed) {
				logger.Info("topic was trimmed, reloading its newest records", "topic", topic)
				synced = false
				continue
			}
		}
		if err == nil {
			if failures > 0 {
				logger.Info("topic read recovered", "topic", topic, "failures", failures, "after-ms", time.Since(failingSince).Milliseconds())
			}
			failures = 0
			sleeper.For(ctx, options.Interval)
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			failingSince = time.Now()
			logger.Warn("cannot read topic", "topic", topic, "offset", next, "error", eris.ToString(err, false))
		}
		delay := min(minRetryDelay<<min(failures, 8), maxRetryDelay)
		failures++
		sleeper.For(ctx, sleeper.Jitter(delay))
	}
}

func readSnapshot(ctx context.Context, source Source, topic string, options PollOptions, logger hclog.Logger, update func(Update)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, options.MaxWait+options.TimeoutMargin)
	defer cancel()
	records, next, err := source.Newest(ctx, topic)
	if err == nil {
		update(Update{Snapshot: true, Records: dropUnreadable(topic, records, logger), End: next})
	}
	return next, err
}

// readUpdates reads the records that follow offset from. It returns the offset and the size of the next read; after an error,
// the offset is from.
func readUpdates(ctx context.Context, source Source, topic string, from int64, size readSize, options PollOptions, logger hclog.Logger, update func(Update)) (int64, readSize, error) {
	ctx, cancel := context.WithTimeout(ctx, options.MaxWait+options.TimeoutMargin)
	defer cancel()
	began := time.Now()
	records, next, err := source.Read(ctx, topic, from, int(size), options.MaxWait)
	if err != nil {
		return from, size.afterFailure(), err
	}
	size = size.afterSuccess(records, time.Since(began), options.TimeoutMargin)
	if records = dropUnreadable(topic, records, logger); len(records) > 0 {
		update(Update{Records: records})
	}
	return next, size, nil
}

// dropUnreadable returns the records that can be read and logs the others.
func dropUnreadable(topic string, records []Record, logger hclog.Logger) []Record {
	return slices.DeleteFunc(records, func(record Record) bool {
		readable := IsReadableKey(record.Key)
		if !readable {
			logger.Warn("unreadable record skipped", "topic", topic, "offset", record.Offset, "bytes", len(record.Value))
		}
		return !readable
	})
}

// IsReadableKey reports whether a key is printable text without spaces at its ends. Keys become IDs, which are sent in headers
// and between instances. A source may return a replacement character for a byte that is not text.
func IsReadableKey(key string) bool {
	return key != "" && key == strings.TrimSpace(key) && !strings.ContainsFunc(key, func(character rune) bool { return character == unicode.ReplacementChar || !unicode.IsPrint(character) })
}
