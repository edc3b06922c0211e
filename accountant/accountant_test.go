package accountant

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/reporter"
)

// newTestAccountant returns an accountant without the goroutines that append at fixed times.
func newTestAccountant(log *appender.Appender, incarnation string, now time.Time) *Accountant {
	objective, _ := reporter.NewObjective(500*time.Millisecond, 99)
	config := reporter.Config{
		Domain: "local", Instance: "entry-1", Incarnation: incarnation, Retention: 10 * time.Minute, MaxKeys: 1000, MaxSeries: 1000,
		Objectives: map[string]reporter.Objective{"check": objective},
	}
	return &Accountant{Reporter: reporter.New(config, now), log: log, logger: hclog.NewNullLogger()}
}

func answer(outcome dispatcher.Outcome, took time.Duration) reporter.Answer {
	return reporter.NewAnswer(dispatcher.NewJob("", "check", "demo", time.Time{}, nil), outcome, took, reporter.KeyOwner)
}

// Guards against counts that are lost in an outage of the log, counted twice after the response to an append was lost,
// or wrong after a restart, and against the minutes of a crashed instance being treated as good.
func TestReportAcrossFaultsOfTheLog(t *testing.T) {
	is := is.New(t)
	log := emulator.NewLog()
	server := httptest.NewServer(log)
	defer server.Close()
	client := appender.New(strings.TrimPrefix(server.URL, "http://"))
	now := time.Unix(1_800_000_000, 0)
	first := newTestAccountant(client, "run-1", now)
	for _, fault := range []emulator.LogFault{emulator.LogHealthy, emulator.LogLosesResponses, emulator.LogDown, emulator.LogLosesResponses, emulator.LogHealthy} {
		log.SetFault(fault)
		first.Record(answer(dispatcher.Complete{}, 100*time.Millisecond), now)
		first.Record(answer(dispatcher.Complete{}, time.Second), now)
		now = now.Add(time.Minute)
		err := first.flushAll(context.Background(), now, false)
		is.Equal(err == nil, fault == emulator.LogHealthy) // an error unless the log is healthy
	}
	first.Record(answer(dispatcher.Failed{}, 0), now) // only in memory when the instance crashes
	now = now.Add(10 * time.Minute)
	second := newTestAccountant(client, "run-2", now)
	second.Record(answer(dispatcher.Refused{}, 0), now)
	is.NoErr(second.flushAll(context.Background(), now, true))

	report, err := NewReader(client).Report(context.Background(), now.Add(5*time.Minute))
	is.NoErr(err)
	row := report.Rows[0]
	hour := row.Burns[2]
	is.Equal(hour.Answers, uint64(11)) // five minutes with two answers each, and one after the restart
	is.Equal(hour.Late, uint64(5))
	is.Equal(hour.Refused, uint64(1))
	is.Equal(hour.Failed, uint64(0))
	// 5 covered and 10 missing minutes of the crashed incarnation, 1 minute of the second one, and 2 in which no
	// incarnation is known to run.
	is.Equal(report.Coverage[2].ExpectedMinutes, int64(5+10+1+2))
	is.Equal(report.Coverage[2].CoveredMinutes, int64(6))
	is.Equal(row.Verdict, reporter.Page)

	log.Trim(burnStream, 1)
	report, err = NewReader(client).Report(context.Background(), now.Add(5*time.Minute))
	is.NoErr(err)
	is.Equal(report.Coverage[2].ExpectedMinutes, int64(60)) // the time before the oldest record counts as missing
}

// Guards against Close appending only the first part of a backlog.
func TestCloseAppendsEverything(t *testing.T) {
	is := is.New(t)
	log := emulator.NewLog()
	server := httptest.NewServer(log)
	defer server.Close()
	client := appender.New(strings.TrimPrefix(server.URL, "http://"))
	config := reporter.Config{Domain: "local", Instance: "entry-1", Incarnation: "run-1", MaxSeries: 1 << 20, MaxKeys: 1, Retention: time.Minute}
	accountant := New(config, client, hclog.NewNullLogger())
	start := time.Now()
	for i := range 30_000 {
		job := dispatcher.NewJob("", "check", fmt.Sprint(i%15_000), time.Time{}, nil)
		accountant.Record(reporter.NewAnswer(job, dispatcher.Complete{}, 0, reporter.KeyOwner), start.Add(time.Duration(i/15_000)*time.Minute))
	}
	accountant.stop()
	accountant.done.Wait()
	is.NoErr(accountant.flushAll(context.Background(), start.Add(time.Minute), true))
	_, ok := accountant.Batch(start.Add(time.Minute), true)
	is.True(!ok) // nothing is left
	is.NoErr(accountant.Close(context.Background()))
	report, err := NewReader(client).Report(context.Background(), start.Add(5*time.Minute))
	is.NoErr(err)
	is.Equal(report.Rows[0].Burns[2].Answers, uint64(30_000))
}

// Guards against an outdated report while the log is down, records that a second request counts again, and wrong
// content types.
func TestHandler(t *testing.T) {
	is := is.New(t)
	log := emulator.NewLog()
	server := httptest.NewServer(log)
	defer server.Close()
	client := appender.New(strings.TrimPrefix(server.URL, "http://"))
	log.Append(burnStream, nil)
	log.Trim(burnStream, 1) // offsets of a trimmed stream do not start at zero
	start := time.Now().Add(-time.Hour)
	accountant := newTestAccountant(client, "run-1", start)
	accountant.Record(answer(dispatcher.Complete{}, time.Millisecond), start)
	is.NoErr(accountant.flushAll(context.Background(), time.Now(), false))
	log.Append(burnStream, []byte("not a record"))
	handler := Handler(client)
	get := func(target string) (int, string, string) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
		body, _ := io.ReadAll(recorder.Body)
		return recorder.Code, recorder.Header().Get("Content-Type"), string(body)
	}
	for range 2 {
		status, kind, body := get("/v1/burn")
		var report reporter.Report
		is.Equal(status, http.StatusOK)
		is.Equal(kind, "application/json")
		is.NoErr(json.Unmarshal([]byte(body), &report))
		is.Equal(report.Rows[0].Burns[3].Answers, uint64(1)) // the window of two hours; the second request counts nothing again
		is.Equal(report.Unreadable, 1)
	}
	_, kind, body := get("/v1/burn?format=html")
	is.Equal(kind, "text/html; charset=utf-8")
	is.True(strings.Contains(body, "<svg"))
	status, _, _ := get("/v1/burn?format=xml")
	is.Equal(status, http.StatusBadRequest)
	log.SetFault(emulator.LogDown)
	status, _, _ = get("/v1/burn?format=text")
	is.Equal(status, http.StatusServiceUnavailable)
}

// Guards against records that are read again for each report, and against reports that fail after Close.
func TestFollowerReadsEachRecordOnce(t *testing.T) {
	is := is.New(t)
	log := emulator.NewLog()
	server := httptest.NewServer(log)
	defer server.Close()
	client := appender.New(strings.TrimPrefix(server.URL, "http://"))
	now := time.Unix(1_800_000_000, 0)
	accountant := newTestAccountant(client, "run-1", now)
	reader := NewReader(client)
	for i := range uint64(5) {
		accountant.Record(answer(dispatcher.Complete{}, time.Millisecond), now)
		now = now.Add(time.Minute)
		is.NoErr(accountant.flushAll(context.Background(), now, false))
		is.NoErr(reader.advance(context.Background(), now))
		log.Trim(burnStream, int64(i)+1) // records that were read are no longer in the log
		report, err := reader.Report(context.Background(), now.Add(2*time.Minute))
		is.NoErr(err)
		is.Equal(report.Rows[0].Burns[2].Answers, i+1)
	}
	follower := NewFollower(client, hclog.NewNullLogger())
	follower.Close()
	_, err := follower.Report(context.Background(), now)
	is.NoErr(err)
}
