package reporter

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

var testStart = time.Unix(1_800_000_000, 0)

func testReporter(maxKeys, maxSeries int) *Reporter {
	return New(Config{
		Domain: "local", Instance: "entry-1", Incarnation: "run-1", Objectives: simulatedObjectives,
		Retention: 10 * time.Minute, MaxKeys: maxKeys, MaxSeries: maxSeries,
	}, testStart)
}

func testAnswer(key, kind, team string, grant Grant) Answer {
	return NewAnswer(dispatcher.NewJob(key, kind, team, time.Time{}, nil), dispatcher.Failed{}, time.Second, grant)
}

// countsOf adds up the rows of one minute.
func countsOf(closed closedMinute) map[Series]Counts {
	sums := make(map[Series]Counts)
	for _, row := range closed.rows {
		sum := sums[row.series]
		sum.add(row.counts)
		sums[row.series] = sum
	}
	return sums
}

// Guards against a request that is counted by two instances or twice by one, and against key states that are kept
// longer than two retention periods.
func TestCountGrants(t *testing.T) {
	is := is.New(t)
	owner, other := testReporter(1000, 100), testReporter(1000, 100)
	now := testStart
	is.True(owner.GrantCount("a", "other", now))
	is.True(owner.GrantCount("a", "other", now))                          // the response with the first grant was lost
	is.True(!owner.GrantCount("a", "third", now))                         // another instance asks
	is.True(!owner.Record(testAnswer("a", "check", "t", KeyOwner), now))  // the caller resubmits to the owner
	is.True(other.Record(testAnswer("a", "check", "t", Granted), now))    // the holder counts it
	is.True(!other.Record(testAnswer("a", "check", "t", Granted), now))   // once
	is.True(!other.Record(testAnswer("b", "check", "t", Denied), now))    // never without the grant
	is.True(owner.Record(testAnswer("c", "check", "t", KeyOwner), now))   // a key that was granted to no instance
	is.True(!owner.GrantCount("c", "other", now))                         // already counted by the owner
	is.True(other.Record(testAnswer("d", "check", "t", Undecided), now))  // counted as unclaimed
	is.True(!other.Record(testAnswer("d", "check", "t", Undecided), now)) // once
	is.True(other.Record(testAnswer("d", "check", "t", Granted), now))    // counted once the owner is reachable again
	now = now.Add(9 * time.Minute)                                        // within the retention period
	is.True(!owner.GrantCount("a", "third", now) && !owner.GrantCount("c", "x", now))
	is.True(!owner.GrantCount("a", "third", testStart.Add(15*time.Minute))) // in the older generation; the request does not extend the lifetime
	now = testStart.Add(25 * time.Minute)
	is.True(owner.GrantCount("a", "third", now)) // expired

	full := testReporter(keyShards, 100) // one key per shard
	for i := range 1000 {
		full.Record(testAnswer(fmt.Sprint(i), "check", "t", KeyOwner), now)
	}
	batch, _ := full.Batch(now, true)
	counts := countsOf(batch.minutes[len(batch.minutes)-1])[Series{"check", "t"}]
	is.Equal(counts[Failed], uint64(keyShards))         // as many as fit
	is.Equal(counts[Unclaimed], uint64(1000-keyShards)) // the others are unclaimed
}

// Guards against unbounded memory from arbitrary names of kinds and teams in requests, and against the limit hiding
// answers of a kind with an objective.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	reporter := testReporter(1<<20, countShards)
	for i := range 5000 {
		reporter.Record(testAnswer("", fmt.Sprintf("kind-%d", i), "t", KeyOwner), testStart)
		reporter.Record(testAnswer("", "check", fmt.Sprintf("team-%d", i), KeyOwner), testStart)
	}
	batch, ok := reporter.Batch(testStart, true)
	is.True(ok)
	is.True(len(batch.minutes[0].rows) <= 4*countShards)
	check, total := uint64(0), uint64(0)
	for series, count := range countsOf(batch.minutes[0]) {
		total += count.Total()
		if series.Kind == "check" {
			check += count.Total()
		}
	}
	is.Equal(check, uint64(5000))
	is.Equal(total, uint64(10000))
}

// Guards against a backlog that is encoded in one very large record, and against a record that is marked as final
// although others follow. If these were lost, their minutes would not be shown as missing.
func TestBacklogIsSplit(t *testing.T) {
	is := is.New(t)
	reporter := testReporter(1, 1<<20)
	for i := range 30_000 {
		reporter.Record(testAnswer("", "check", fmt.Sprint(i%15_000), KeyOwner), testStart.Add(time.Duration(i/15_000)*time.Minute))
	}
	end := testStart.Add(time.Minute)
	for part := range 2 {
		batch, ok := reporter.Batch(end, true)
		is.True(ok)
		is.Equal(len(batch.minutes), 1)
		is.Equal(batch.final, part == 1)
		reporter.Acknowledge(batch)
	}
	_, ok := reporter.Batch(end, true)
	is.True(!ok)
}

// Guards against answers that are lost or counted twice when they are recorded while a batch is collected.
func TestRecordDuringBatches(t *testing.T) {
	is := is.New(t)
	reporter, aggregator := testReporter(1<<20, 1000), NewAggregator()
	const workers, each = 8, 2000
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for i := range each {
				now := testStart.Add(time.Duration(i) * 200 * time.Millisecond)
				reporter.Record(testAnswer("", "check", fmt.Sprintf("team-%d", (worker+i)%50), KeyOwner), now)
			}
		})
	}
	for i := range 400 {
		if batch, ok := reporter.Batch(testStart.Add(time.Duration(i)*time.Second), false); ok {
			aggregator.Add(batch, testStart.Add(time.Hour))
			if i%2 == 0 {
				reporter.Acknowledge(batch)
			}
		}
	}
	group.Wait()
	for now := testStart.Add(10 * time.Minute); ; {
		batch, ok := reporter.Batch(now, true)
		if !ok {
			break
		}
		aggregator.Add(batch, now)
		reporter.Acknowledge(batch)
	}
	report := aggregator.Report(testStart.Add(time.Hour))
	is.Equal(report.Rows[0].burn(6*time.Hour).Answers, uint64(workers*each))
}

// Guards against wrong verdicts, and against missing data that is treated as good.
func TestVerdicts(t *testing.T) {
	allWindows := func(burn Burn) [7]Burn { return [7]Burn{burn, burn, burn, burn, burn, burn, burn} }
	full, gap := completeness{100, 100}, completeness{100, 90}
	tests := []struct {
		name         string
		burns        [7]Burn
		completeness completeness
		want         Verdict
	}{
		{"1% bad of 1% allowed", allWindows(Burn{Answers: 1000, Late: 10}), full, OK},
		{"1.1%", allWindows(Burn{Answers: 1000, Late: 5, Failed: 6}), full, Ticket},
		{"6.1%", allWindows(Burn{Answers: 1000, Refused: 61}), full, Page},
		{"14.5% in the short pair only", [7]Burn{{Answers: 1000, Unknown: 145}, {Answers: 1000}, {Answers: 1000, Unknown: 145}, {Answers: 1e6}, {Answers: 1e6}, {Answers: 1e6}, {Answers: 1e6}}, full, Page},
		{"14.5% for five minutes only", [7]Burn{{Answers: 1000, Late: 145}, {Answers: 1e6}, {Answers: 1e6}, {Answers: 1e6}, {Answers: 1e6}, {Answers: 1e6}, {Answers: 1e6}}, full, OK},
		{"no traffic", allWindows(Burn{}), full, OK},
		{"nothing expected", allWindows(Burn{}), completeness{}, OK},
		{"all good, a tenth missing", allWindows(Burn{Answers: 1000}), gap, Missing},
		{"all good, all missing", allWindows(Burn{}), completeness{100, 0}, Missing},
		{"all good, 2% unclaimed", allWindows(Burn{Answers: 980, Unclaimed: 20}), full, Missing},
		{"a page although a tenth is missing", allWindows(Burn{Answers: 1000, Failed: 200}), gap, Page},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			row := Row{Burns: test.burns[:]}
			for i := range row.Burns {
				row.Burns[i].setRates(Objective{within: time.Second, percent: 99}, test.completeness)
			}
			is.Equal(row.evaluate(), test.want)
		})
	}
}

// recordWithCounts returns a record of one minute, one kind and one team with the given counts.
func recordWithCounts(counts ...byte) string {
	return fmt.Sprintf(`{"format":1,"incarnation":"x","kinds":["k"],"teams":["t"],"counts":%q}`, base64.StdEncoding.EncodeToString(counts))
}

// Guards against a crash on a corrupt record, and against a record that changes when it is decoded and encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(recordWithCounts(1, 0, 0, 3, 1, 2)))
	f.Add([]byte(recordWithCounts(2, 0, 0, 1, 1, 0, 0, 1, 1)))
	f.Add([]byte(recordWithCounts(1, 0, 0, 64)))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := DecodeBatch(data)
		if err != nil {
			return
		}
		first, err := batch.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeBatch(first)
		if err != nil {
			t.Fatalf("%s: %v", first, err)
		}
		if second, _ := again.Encode(); !bytes.Equal(first, second) {
			t.Fatalf("%s became %s", first, second)
		}
		NewAggregator().Add(batch, batch.minutes[0].minute.time())
	})
}

// Guards against an invalid record that makes a reader crash, allocate unbounded memory, or drop current minutes.
func TestInvalidRecords(t *testing.T) {
	is := is.New(t)
	for _, record := range []string{
		``, `{}`, `{"format":2,"incarnation":"x"}`,
		`{"format":1,"incarnation":"x","from-minute":0,"through-minute":99999999}`,
		`{"format":1,"incarnation":"x","from-minute":5,"through-minute":4}`,
		`{"format":1,"incarnation":"x","from-minute":-5,"through-minute":4}`,
		`{"format":1,"incarnation":"x"}`,                     // no rows for its minute
		recordWithCounts(1, 0, 0, 1, 1, 9),                   // more data than rows
		recordWithCounts(1, 1, 0, 1, 1),                      // a kind that is not listed
		recordWithCounts(1, 0, 1, 1, 1),                      // a team that is not listed
		recordWithCounts(1, 0, 0, 64),                        // a class that does not exist
		recordWithCounts(1, 0, 0, 1),                         // a count is missing
		recordWithCounts(0xff, 0xff, 0xff, 0xff, 1),          // more rows than data
		recordWithCounts(1, 0, 0, 1, 0x80, 0x80, 0x80, 0x08), // a count that could overflow a sum
		`{"format":1,"incarnation":"x","objectives":[{"kind":"k","within-ms":1,"percent":100}]}`,
	} {
		_, err := DecodeBatch([]byte(record))
		is.True(err != nil) // the record is rejected
	}
	aggregator := NewAggregator()
	ahead, err := DecodeBatch(fmt.Appendf(nil, `{"format":1,"incarnation":"x","from-minute":%d,"through-minute":%[1]d,"counts":"AA=="}`, minuteOf(testStart)+100))
	is.NoErr(err)
	aggregator.Add(ahead, testStart)
	report := aggregator.Report(testStart.Add(10 * time.Minute))
	is.Equal(report.Unreadable, 1)
	is.Equal(report.Coverage[0].CoveredMinutes, int64(0)) // the minutes of its instance are missing
	is.Equal(report.Coverage[0].ExpectedMinutes, int64(5))
}

// Guards against markup injection through kinds and teams, references to other files in the page, and gaps that are
// drawn as good.
func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	reporter, aggregator := testReporter(1000, 1000), NewAggregator()
	reporter.Record(testAnswer("", "check", "<script>alert(1)</script>", KeyOwner), testStart)
	batch, _ := reporter.Batch(testStart, true)
	aggregator.Add(batch, testStart)
	report := aggregator.Report(testStart.Add(time.Hour))
	var page, text bytes.Buffer
	is.NoErr(report.WriteHTML(&page))
	is.NoErr(report.WriteText(&text))
	is.True(!strings.Contains(page.String(), "<script"))
	is.True(!strings.Contains(page.String(), "http"))
	is.True(strings.Contains(page.String(), "<polyline") && strings.Contains(page.String(), "<rect"))
	is.True(strings.Contains(text.String(), "missing"))
	is.Equal(report.WorstVerdict(), Ticket) // the only answer failed, but before the short windows of Page
}
