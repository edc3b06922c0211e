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
	// hoursStream holds the hourly sums. In stream burn they would lie between the minute records, which a reader could
	// then not leave out, because the log is read by offset only.
	hoursStream = "burn-hours"
	// toEnd is the bound of a read to the end of the stream.
	toEnd = math.MaxInt64
)

// cursor adds sums and minute records to a ledger in the order of the offsets in stream burn.
type cursor struct {
	log        *appender.Appender
	aggregator *reporter.Aggregator
	// next is the offset in stream burn through which everything is in the ledger or no longer in the log.
	next    int64
	nextSum int64 // the offset of the next record of stream burn-hours
	started bool
	hour    time.Time // the latest hour that has a sum
}

// readSums adds the sums in stream burn-hours to the ledger. A sum counts if it begins at or after the end of what is
// in the ledger, so of two sums that begin at the same record the first in the log counts. The records between two
// sums, and those of a sum that repeats a minute, are read themselves.
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

func (cursor *cursor) addSum(ctx context.Context, sum reporter.HourlySum, now time.Time) error {
	if sum.From() < cursor.next {
		return nil
	}
	if !cursor.started && sum.From() == 0 {
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
	// The hour of an instance with a wrong clock must not keep the others from their turns.
	if hour := sum.Hour(); hour.After(cursor.hour) && !hour.After(now) {
		cursor.hour = hour
	}
	return nil
}

func (cursor *cursor) start(complete bool) {
	cursor.started = true
	cursor.aggregator.SetComplete(complete)
}

// readMinutes adds the minute records from cursor.next to before until.
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

// readRecords calls add for the records of stream burn from cursor.next to before until, as long as it returns true.
func (cursor *cursor) readRecords(ctx context.Context, until int64, add func(record appender.Record) bool) error {
	for cursor.next < until {
		page, err := cursor.log.Read(ctx, burnStream, cursor.next, 0)
		if err != nil {
			return eris.Wrap(err, "reading burn records")
		}
		if page.Next < cursor.next {
			return eris.Errorf("stream %s ends at offset %d, before offset %d of an hourly sum", burnStream, page.Next, cursor.next)
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
				cursor.next = min(until, page.Next) // The log no longer holds the rest.
			}
			return nil
		}
	}
	return nil
}
