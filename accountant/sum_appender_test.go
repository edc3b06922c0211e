package accountant

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/reporter"
)

// Guards against a report from hourly sums that differs from a report from minute records only. Causes are lost
// responses to appends, outages of the log, instances that take over for each other or restart, and damaged records.
func TestReportFromSumsAgainstMinutes(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 3))
		log := emulator.NewLog()
		server := httptest.NewServer(log)
		client := appender.New(strings.TrimPrefix(server.URL, "http://"))
		now := time.Unix(1_800_000_000, 0)
		accountants, sumAppenders := make([]*Accountant, 3), make([]*sumAppender, 3)
		for i := range accountants {
			accountants[i] = newTestAccountant(client, fmt.Sprint("run-", i), now)
			sumAppenders[i] = newSumAppender(client, "local", fmt.Sprint("entry-", i))
		}
		for range 300 {
			now = now.Add(time.Duration(1+random.IntN(12)) * time.Minute)
			log.SetFault([]emulator.LogFault{emulator.LogHealthy, emulator.LogHealthy, emulator.LogLosesResponses, emulator.LogDown}[random.IntN(4)])
			for i, accountant := range accountants {
				accountant.Record(answer(dispatcher.Complete{}, time.Duration(random.IntN(1000))*time.Millisecond), now)
				_ = accountant.flushAll(context.Background(), now, false)
				_ = sumAppenders[i].run(context.Background(), now)
			}
			switch random.IntN(40) {
			case 0:
				log.Append([]string{burnStream, hoursStream}[random.IntN(2)], []byte(`{"format":1`))
			case 1:
				sumAppenders[0] = newSumAppender(client, "local", "entry-0")
			}
		}
		log.SetFault(emulator.LogHealthy)
		sums, minutes := NewReader(client), NewReader(client)
		minutes.sumsRead = true
		got, err := sums.Report(context.Background(), now)
		is.NoErr(err)
		want, err := minutes.Report(context.Background(), now)
		is.NoErr(err)
		is.Equal(got, want)
		is.True(now.Sub(sums.cursor.hour) < 3*time.Hour) // sums were appended until recently
		server.Close()
	}
}

// Guards against records that are lost or counted twice when two instances append a sum of the same hour, one of them
// before it has read the sum of the other.
func TestConcurrentSumsOfSameHour(t *testing.T) {
	is := is.New(t)
	log := emulator.NewLog()
	server := httptest.NewServer(log)
	defer server.Close()
	client := appender.New(strings.TrimPrefix(server.URL, "http://"))
	ctx, now := context.Background(), time.Unix(1_800_000_000, 0).Truncate(time.Hour).Add(40*time.Minute)
	accountant := newTestAccountant(client, "run-1", now.Add(-30*time.Minute))
	accountant.Record(answer(dispatcher.Complete{}, 0), now.Add(-20*time.Minute))
	is.NoErr(accountant.flushAll(ctx, now.Add(-10*time.Minute), false))
	first, second := newSumAppender(client, "local", "a"), newSumAppender(client, "local", "b")
	_, err := first.prepare(ctx, now) // the first instance has read fewer records than the second one
	is.NoErr(err)
	accountant.Record(answer(dispatcher.Complete{}, 0), now)
	is.NoErr(accountant.flushAll(ctx, now.Add(time.Minute), false))
	_, err = second.prepare(ctx, now)
	is.NoErr(err)
	is.True(first.pendingNext < second.pendingNext)
	log.Append(hoursStream, first.pending)
	log.Append(hoursStream, second.pending)
	for _, sumAppender := range []*sumAppender{first, second} {
		is.NoErr(sumAppender.run(ctx, now.Add(time.Minute)))
		is.Equal(sumAppender.cursor.next, int64(1)) // both continue after the first sum in the log
	}
	is.NoErr(second.run(ctx, now.Add(time.Hour)))
	reader := NewReader(client)
	report, err := reader.Report(ctx, now.Add(time.Hour))
	is.NoErr(err)
	is.Equal(report.Rows[0].Burns[3].Answers, uint64(2)) // the window of two hours
	is.Equal(reader.cursor.next, int64(2))
}

// Guards against append times outside the first half of the hour, and against the same instance being first in every
// hour.
func TestSumAppendTimes(t *testing.T) {
	is := is.New(t)
	lowest := make(map[string]bool)
	for hour := range 50 {
		now := time.Unix(1_800_000_000, 0).Truncate(time.Hour).Add(time.Duration(hour)*time.Hour + 59*time.Minute)
		best, name := now, ""
		for i := range 6 {
			turn := reporter.SumAppendTime(now, "local", fmt.Sprint(i))
			is.True(!turn.Before(now.Truncate(time.Hour)) && turn.Sub(now.Truncate(time.Hour)) <= 30*time.Minute)
			if turn.Before(best) {
				best, name = turn, fmt.Sprint(i)
			}
		}
		lowest[name] = true
	}
	is.Equal(len(lowest), 6)
}
