package accountant

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/reporter"
)

const (
	// sumTimeout limits the time of one attempt to append the sums of an hour. With 162 instances and 1,200 series, an
	// attempt reads 9,720 records, which takes about 4 s of CPU time.
	sumTimeout = 50 * time.Second
	// maxSumBytes is the size of the largest record that package appender can read in a page of the log.
	maxSumBytes = 4 << 20
)

// sumAppender appends the sums of the records in stream burn to stream burn-hours at the append time of its instance in
// each hour, unless another instance has already done so in that hour. Its memory holds the coverage of the
// incarnations (1 KB each, at most 20,000) and one sum of at most 320,000 rows.
type sumAppender struct {
	log              *appender.Appender
	domain, instance string

	builder *reporter.SumBuilder
	cursor  cursor
	// pending is an encoded sum that was not yet found in the log; it ends before offset pendingNext.
	pending     []byte
	pendingNext int64
}

func newSumAppender(log *appender.Appender, domain, instance string) *sumAppender {
	sumAppender := &sumAppender{log: log, domain: domain, instance: instance}
	sumAppender.reset()
	return sumAppender
}

// reset discards the coverage and the pending sum, so that all sums are read again. It keeps only the latest hour that
// has a sum.
func (sumAppender *sumAppender) reset() {
	sumAppender.builder = reporter.NewSumBuilder()
	sumAppender.cursor = cursor{log: sumAppender.log, aggregator: sumAppender.builder.Aggregator, hour: sumAppender.cursor.hour}
	sumAppender.pending = nil
}

// run appends the sums of the records after the last sum, if the append time of the instance in the hour of now is
// reached and no sum was appended for that hour.
func (sumAppender *sumAppender) run(ctx context.Context, now time.Time) error {
	hour := now.Truncate(time.Hour)
	if !sumAppender.cursor.hour.Before(hour) || now.Before(reporter.SumAppendTime(now, sumAppender.domain, sumAppender.instance)) {
		return nil
	}
	if _, err := sumAppender.confirmPending(ctx, now); err != nil || !sumAppender.cursor.hour.Before(hour) {
		return err
	}
	for {
		full, err := sumAppender.prepare(ctx, now)
		if err != nil || sumAppender.pending == nil {
			return err
		}
		if _, err := sumAppender.log.Append(ctx, hoursStream, sumAppender.pending); err != nil {
			return err
		}
		// If the sum ended early because it was full, continue with the next one. If the response to an append is lost,
		// the remaining records are left to the sum of the next hour.
		if confirmed, err := sumAppender.confirmPending(ctx, now); err != nil || !confirmed || !full {
			return err
		}
	}
}

// confirmPending reads the new sums in the log and reports whether the pending sum is the first of them that readers
// use. If another sum is, the coverage includes records after the end of that sum, so confirmPending discards the
// coverage and the pending sum and reads all sums again.
func (sumAppender *sumAppender) confirmPending(ctx context.Context, now time.Time) (bool, error) {
	confirmed := false
	for sumAppender.pending != nil {
		page, err := sumAppender.log.Read(ctx, hoursStream, sumAppender.cursor.nextSum, 0)
		if err != nil {
			return false, eris.Wrap(err, "reading hourly burn sums")
		}
		if len(page.Records) == 0 {
			return false, nil
		}
		for _, record := range page.Records {
			if bytes.Equal(record.Data, sumAppender.pending) {
				sumAppender.cursor.next, sumAppender.cursor.nextSum = sumAppender.pendingNext, record.Offset+1
				sumAppender.cursor.hour = now.Truncate(time.Hour)
				sumAppender.pending, confirmed = nil, true
				break
			}
			if sum, err := reporter.DecodeSum(record.Data); err == nil && sum.From() >= sumAppender.cursor.next {
				sumAppender.reset()
				break
			}
			sumAppender.cursor.nextSum = record.Offset + 1
		}
	}
	if err := sumAppender.cursor.readSums(ctx, now); err != nil {
		sumAppender.reset()
		return false, err
	}
	sumAppender.builder.Prune(now)
	return confirmed, nil
}

// prepare builds the sum of the records after the last sum and makes it pending, unless a sum is pending already or
// there are no such records. It reports whether the sum is full, so that more records may follow.
func (sumAppender *sumAppender) prepare(ctx context.Context, now time.Time) (full bool, err error) {
	if sumAppender.pending != nil {
		return false, nil
	}
	from := int64(-1)
	lookahead := sumAppender.cursor // The cursor itself moves only when the sum is confirmed.
	err = lookahead.readRecords(ctx, toEnd, func(record appender.Record) bool {
		if from < 0 {
			from = record.Offset
			sumAppender.builder.Begin(from)
		}
		sumAppender.builder.AddRecord(record.Offset, record.Data, now)
		full = sumAppender.builder.Full()
		return !full
	})
	if err != nil {
		sumAppender.reset()
		return false, err
	}
	if from < 0 {
		return false, nil
	}
	sum, _ := sumAppender.builder.Build(now)
	sumAppender.builder.Begin(sum.Next())
	data, err := sum.Encode()
	if err == nil {
		_, err = reporter.DecodeSum(data)
	}
	if err == nil && len(data) > maxSumBytes {
		err = eris.Errorf("the sum of records %d to %d has %d bytes, the limit is %d", sum.From(), sum.Next(), len(data), maxSumBytes)
	}
	if err != nil {
		// Readers could not use this sum, so it is not appended, and they read the minute records instead.
		sumAppender.reset()
		return false, err
	}
	sumAppender.pending, sumAppender.pendingNext = data, sum.Next()
	return full, nil
}
