package accountant

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/reporter"
)

const (
	burnStream = "burn"
	// hoursStream holds the hourly sums. They are not in stream burn, because a stream can only be read in the order of
	// the offsets: a reader of the sums could not skip the minute records between them.
	hoursStream = "burn-hours"
	// toEnd is the limit for reading records up to the end of the stream.
	toEnd = math.MaxInt64
)

// cursor is a position in streams burn and burn-hours. It reads sums and minute records from there on and adds them to
// an aggregator, in the order of the offsets in stream burn.
type cursor struct {
	log        *appender.Appender
	aggregator *reporter.Aggregator
	// next is the offset in stream burn before which all records are in the aggregator or no longer in the log.
	next    int64
	nextSum int64     // offset of the next record of stream burn-hours
	started bool      // whether SetComplete was called on the aggregator
	hour    time.Time // latest hour for which a sum was read or appended
}

// readSums adds the new sums in stream burn-hours to the aggregator. It skips sums that start before cursor.next, so of
// two sums that start at the same record, it uses the first one in the log. For gaps between sums, and for sums that
// the aggregator does not accept, it reads the minute records instead. It skips sums that cannot be decoded.
func (cursor *cursor) readSums(ctx context.Context, now time.Time) error {
	for {
		page, err := cursor.log.Read(ctx, hoursStream, cursor.nextSum, 0)
		if err != nil {
			return eris.Wrap(err, "reading hourly burn sums")
		}
		if len(page.Records) == 0 {
			return nil
		}
		for _, record := range page.Records {
			if sum, err := reporter.DecodeSum(record.Data); err == nil {
				if err := cursor.addSum(ctx, sum, now); err != nil {
					return err
				}
			}
			cursor.nextSum = record.Offset + 1
		}
	}
}

// addSum adds the minute records before the sum, and then the sum or the minute records in its range. If the range
// starts before cursor.next, its first records were already added, and addSum does nothing.
func (cursor *cursor) addSum(ctx context.Context, sum reporter.HourlySum, now time.Time) error {
	if sum.From() < cursor.next {
		return nil
	}
	if !cursor.started && sum.From() == 0 {
		// The sum replaces the first records of the log, even if these are no longer in it.
		cursor.start(true)
	}
	if err := cursor.readMinutes(ctx, now, sum.From()); err != nil {
		return err
	}
	if cursor.aggregator.AddSum(sum, now) {
		cursor.next = sum.Next()
	} else if err := cursor.readMinutes(ctx, now, sum.Next()); err != nil {
		return err
	}
	// A sum of a future hour, from an instance with a wrong clock, must not stop the others from appending sums.
	if hour := sum.Hour(); hour.After(cursor.hour) && !hour.After(now) {
		cursor.hour = hour
	}
	return nil
}

// start is called before the first record or sum is added; complete is whether it is the first one of the log.
func (cursor *cursor) start(complete bool) {
	cursor.started = true
	cursor.aggregator.SetComplete(complete)
}

// readMinutes adds the minute records in [cursor.next, until).
func (cursor *cursor) readMinutes(ctx context.Context, now time.Time, until int64) error {
	return cursor.readRecords(ctx, until, func(record appender.Record) bool {
		batch, err := reporter.DecodeBatch(record.Data)
		if err != nil {
			cursor.aggregator.AddUnreadable()
		} else {
			cursor.aggregator.Add(batch, now)
		}
		return true
	})
}

// readRecords calls add for the records of stream burn in [cursor.next, until), and stops early if add returns false.
// It moves cursor.next after the last of these records.
func (cursor *cursor) readRecords(ctx context.Context, until int64, add func(record appender.Record) bool) error {
	for cursor.next < until {
		page, err := cursor.log.Read(ctx, burnStream, cursor.next, 0)
		if err != nil {
			return eris.Wrap(err, "reading burn records")
		}
		if page.Next < cursor.next {
			return eris.Errorf("stream %s ends at offset %d, before offset %d, which is the next to read", burnStream, page.Next, cursor.next)
		}
		if !cursor.started {
			cursor.start(page.Earliest == 0)
		}
		for _, record := range page.Records {
			if record.Offset >= until {
				cursor.next = until
				return nil
			}
			cursor.next = record.Offset + 1
			if !add(record) {
				return nil
			}
		}
		if len(page.Records) == 0 {
			if until != toEnd {
				cursor.next = min(until, page.Next) // The log no longer has the remaining records.
			}
			return nil
		}
	}
	return nil
}
