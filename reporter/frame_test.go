package reporter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a damaged or truncated record that is still decoded, so that wrong counts appear in reports.
func TestDamagedRecordsAreRejected(t *testing.T) {
	is := is.New(t)
	reporter := testReporter(1000, 1000)
	reporter.Record(testAnswer("", "check", "team", KeyOwner), testStart)
	batch, _ := reporter.Batch(testStart.Add(time.Minute), false)
	data, err := batch.Encode()
	is.NoErr(err)
	_, err = DecodeBatch(data)
	is.NoErr(err)
	for i := range data {
		for bit := range 8 {
			damaged := append([]byte(nil), data...)
			damaged[i] ^= 1 << bit
			_, err := DecodeBatch(damaged)
			is.True(err != nil) // one changed bit
		}
		_, err := DecodeBatch(data[:i])
		is.True(err != nil) // truncated
	}
}

// Guards against unbounded numbers of incarnations and objectives from a faulty writer.
func TestAggregatorIsBounded(t *testing.T) {
	is := is.New(t)
	aggregator := NewAggregator()
	for i := range maxIncarnations + 10 {
		name := Series{Kind: string(rune(0x1000 + i))}.Kind
		aggregator.Add(Batch{incarnation: name, minutes: []closedMinute{{minute: minuteOf(testStart)}}, objectives: map[string]Objective{name: {}}}, testStart)
	}
	is.Equal(len(aggregator.incarnations), maxIncarnations)
	is.Equal(len(aggregator.objectives), maxReportSeries)
	is.Equal(aggregator.unreadable, 10) // the records that were left out are counted
}

// Guards against a crash or out-of-range counts from an hourly sum with a valid checksum but invalid content.
func FuzzDecodeSum(f *testing.F) {
	header := `{"format":1,"from-offset":0,"next-offset":2,"kinds":["k"],"teams":["t"],"objectives":[{"kind":"k","within-ms":1,"percent":9,"at-minute":30000000}],"runs":[{"incarnation":"x","first-minute":3,"minutes":"%s"}]}`
	f.Add([]byte(fmt.Sprintf(header, "AwE=")), []byte{3, 1, 0, 0, 1, 9})
	f.Add([]byte(fmt.Sprintf(header, "AwD/////AwA=")), []byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1, 0, 0, 1, 9})
	f.Fuzz(func(t *testing.T, header, counts []byte) {
		sum, err := DecodeSum(frameRecord(header, counts))
		if err != nil {
			return
		}
		aggregator := NewAggregator()
		if aggregator.AddSum(sum, testStart) {
			is.New(t).Equal(sum.last(), min(sum.last(), minuteOf(testStart)+maxAheadMinutes))
			is.New(t).True(len(sum.sources) == 0 || len(sum.sources[0].minutes) == 0 || !aggregator.AddSum(sum, testStart) || sum.last() < 0)
		}
		aggregator.Report(testStart)
	})
}
