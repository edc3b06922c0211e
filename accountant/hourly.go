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
	// sumTimeout bounds one attempt to append the sums of an hour: at 162 instances with 1,200 series it reads
	// 9,720 records, about 4 s of CPU time.
	sumTimeout = 50 * time.Second
	// maxSumBytes is the size of records up to which the appender can read a page of the log.
	maxSumBytes = 4 << 20
)

// hourly appends the sums of the records in stream burn to stream burn-hours when it is the instance's turn. Its memory
// is the coverage of the incarnations (1 KB each, at most 20,000) and one sum of at most 320,000 rows.
type hourly struct {
	log              *appender.Appender
	domain, instance string

	summer *reporter.SumBuilder
	cursor cursor
	// pending is an encoded sum of which the append's answer is not known; it ends before pendingNext.
	pending     []byte
	pendingNext int64
}

func newHourly(log *appender.Appender, domain, instance string) *hourly {
	hourly := &hourly{log: log, domain: domain, instance: instance}
	hourly.reset()
	return hourly
}

// reset forgets all coverage, so that the next attempt reads every sum again.
func (hourly *hourly) reset() {
	hourly.summer = reporter.NewSumBuilder()
	hourly.cursor = cursor{log: hourly.log, ledger: hourly.summer.Aggregator, hour: hourly.cursor.hour}
	hourly.pending = nil
}

// run appends the sums of the hour of now if it is the instance's turn and no other instance has done so.
func (hourly *hourly) run(ctx context.Context, now time.Time) error {
	hour := now.Truncate(time.Hour)
	if !hourly.cursor.hour.Before(hour) || now.Before(reporter.SumAppendTime(now, hourly.domain, hourly.instance)) {
		return nil
	}
	if _, err := hourly.settle(ctx, now); err != nil || !hourly.cursor.hour.Before(hour) {
		return err
	}
	for {
		full, err := hourly.prepare(ctx, now)
		if err != nil || hourly.pending == nil {
			return err
		}
		if _, err := hourly.log.Append(ctx, hoursStream, hourly.pending); err != nil {
			return err
		}
		// A sum ends early when it is full; after a lost answer the rest is left to the next hour.
		if ours, err := hourly.settle(ctx, now); err != nil || !ours || !full {
			return err
		}
	}
}

// settle reads the new sums and reports whether the pending one is the first of them that counts. If another one is,
// the coverage holds records beyond that sum, so everything is read again.
func (hourly *hourly) settle(ctx context.Context, now time.Time) (bool, error) {
	ours := false
	for hourly.pending != nil {
		page, err := hourly.log.Read(ctx, hoursStream, hourly.cursor.nextHours, 0)
		if err != nil {
			return false, eris.Wrap(err, "reading hourly burn sums")
		}
		if len(page.Records) == 0 {
			return false, nil
		}
		for _, record := range page.Records {
			if bytes.Equal(record.Data, hourly.pending) {
				hourly.cursor.next, hourly.cursor.nextHours = hourly.pendingNext, record.Offset+1
				hourly.cursor.hour = now.Truncate(time.Hour)
				hourly.pending, ours = nil, true
				break
			}
			if sum, err := reporter.DecodeSum(record.Data); err == nil && sum.From() >= hourly.cursor.next {
				hourly.reset()
				break
			}
			hourly.cursor.nextHours = record.Offset + 1
		}
	}
	if err := hourly.cursor.readSums(ctx, now); err != nil {
		hourly.reset()
		return false, err
	}
	hourly.summer.Prune(now)
	return ours, nil
}

// prepare sums the records after the last sum, unless a sum is pending, and reports whether more may follow.
func (hourly *hourly) prepare(ctx context.Context, now time.Time) (full bool, err error) {
	if hourly.pending != nil {
		return false, nil
	}
	from := int64(-1)
	end := hourly.cursor
	err = end.readRecords(ctx, toEnd, func(record appender.Record) bool {
		if from < 0 {
			from = record.Offset
			hourly.summer.Begin(from)
		}
		hourly.summer.AddRecord(record.Offset, record.Data, now)
		full = hourly.summer.Full()
		return !full
	})
	if err != nil {
		hourly.reset()
		return false, err
	}
	if from < 0 {
		return false, nil
	}
	sum, _ := hourly.summer.Build(now)
	hourly.summer.Begin(sum.Next())
	data, err := sum.Encode()
	if err == nil {
		_, err = reporter.DecodeSum(data)
	}
	if err == nil && len(data) > maxSumBytes {
		err = eris.Errorf("the sum of records %d to %d has %d bytes, the limit is %d", sum.From(), sum.Next(), len(data), maxSumBytes)
	}
	if err != nil {
		// Readers could not use it; they read the minute records instead.
		hourly.reset()
		return false, err
	}
	hourly.pending, hourly.pendingNext = data, sum.Next()
	return full, nil
}
