package reporter

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

func benchSeries(b *testing.B, run func(b *testing.B, names []Series)) {
	for _, count := range []int{10, 120, 1_200} {
		b.Run(fmt.Sprintf("series=%d", count), func(b *testing.B) {
			names := make([]Series, count)
			for i := range names {
				names[i] = Series{Kind: fmt.Sprintf("kind-%d", i/120), Team: fmt.Sprintf("team-%03d", i%120)}
			}
			b.ReportAllocs()
			run(b, names)
		})
	}
}

func benchReporter() *Reporter {
	objectives := make(map[string]Objective)
	for i := range 10 {
		objectives[fmt.Sprintf("kind-%d", i)] = Objective{within: time.Second, percent: 99.9}
	}
	return New(Config{
		Incarnation: "run", Instance: "entry", Domain: "local", Objectives: objectives,
		Retention: 10 * time.Minute, MaxKeys: 1 << 21, MaxSeries: 1 << 14,
	}, testStart)
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func benchAnswer(series Series, key string) Answer {
	return NewAnswer(dispatcher.NewJob(key, series.Kind, series.Team, time.Time{}, nil), dispatcher.Complete{}, time.Millisecond, KeyOwner)
}

// BenchmarkRecord counts one answer with a new key; the clock advances by two seconds every 256 answers.
func BenchmarkRecord(b *testing.B) {
	benchSeries(b, func(b *testing.B, names []Series) {
		reporter := benchReporter()
		keys := make([]string, 1<<18)
		for i := range keys {
			keys[i] = fmt.Sprintf("~hanoi-a.1200.17.order-%d", i)
		}
		i := 0
		for b.Loop() {
			// Every key is new: it is reused only after more than two retention periods, when it has been dropped.
			at := testStart.Add(time.Duration(i/256) * 2 * time.Second)
			reporter.Record(benchAnswer(names[i%len(names)], keys[i%len(keys)]), at)
			i++
		}
	})
}

// benchMinute records 20 answers per series in one minute and returns the batch.
func benchMinute(reporter *Reporter, names []Series, at time.Time) Batch {
	for _, name := range names {
		for range 20 {
			reporter.Record(benchAnswer(name, ""), at)
		}
	}
	batch, _ := reporter.Batch(at.Add(time.Minute), false)
	return batch
}

// BenchmarkBatch encodes the record of one minute. held-B is the memory of a reporter with that minute pending.
func BenchmarkBatch(b *testing.B) {
	benchSeries(b, func(b *testing.B, names []Series) {
		before := heapBytes()
		reporter := benchReporter()
		batch := benchMinute(reporter, names, testStart)
		held := heapBytes() - before
		size := 0
		for b.Loop() {
			data, err := batch.Encode()
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "wire-B/op")
		b.ReportMetric(held, "held-B")
		runtime.KeepAlive(reporter)
	})
}

// BenchmarkAdd decodes the record of one minute and adds it to an aggregator.
func BenchmarkAdd(b *testing.B) {
	benchSeries(b, func(b *testing.B, names []Series) {
		data, err := benchMinute(benchReporter(), names, testStart).Encode()
		if err != nil {
			b.Fatal(err)
		}
		before := heapBytes()
		aggregator, i := NewAggregator(), 0
		for b.Loop() {
			batch, err := DecodeBatch(data)
			if err != nil {
				b.Fatal(err)
			}
			// The incarnation changes each time, so that no minute is skipped as already counted.
			batch.incarnation = fmt.Sprint(i % 162)
			delete(aggregator.incarnations, batch.incarnation)
			aggregator.Add(batch, testStart.Add(time.Hour))
			i++
		}
		b.ReportMetric(heapBytes()-before, "held-B")
		runtime.KeepAlive(aggregator)
	})
}

// BenchmarkReport computes a report from full histories of three days of ten instances.
func BenchmarkReport(b *testing.B) {
	benchSeries(b, func(b *testing.B, names []Series) {
		aggregator := NewAggregator()
		end := testStart
		for instance := range 10 {
			for i := range windowMinutes / coarseMinutes {
				end = testStart.Add(time.Duration(i*coarseMinutes) * time.Minute)
				batch := Batch{incarnation: fmt.Sprint(instance), instance: fmt.Sprint(instance), objectives: map[string]Objective{"kind-0": {within: time.Second, percent: 99}}}
				batch.minutes = []closedMinute{{minute: minuteOf(end)}}
				for _, name := range names {
					batch.minutes[0].rows = append(batch.minutes[0].rows, seriesCounts{series: name, counts: Counts{20}})
				}
				aggregator.Add(batch, end)
			}
		}
		for b.Loop() {
			if report := aggregator.Report(end); len(report.Rows) < len(names) {
				b.Fatal("rows are missing")
			}
		}
	})
}

// benchSum returns the record of the sum of one hour of ten instances, whose records start at offset from.
func benchSum(b *testing.B, names []Series, from int64, hour time.Time) []byte {
	builder := NewSumBuilder()
	builder.Begin(from)
	for i := range 60 {
		minutes := benchMinute(benchReporter(), names, testStart).minutes
		minutes[0].minute = minuteOf(hour) + minute(i)
		for instance := range 10 {
			batch := Batch{domain: "local", instance: fmt.Sprint(instance), incarnation: fmt.Sprintf("run-%d", instance), minutes: minutes}
			data, err := batch.Encode()
			if err != nil {
				b.Fatal(err)
			}
			builder.AddRecord(from+int64(i*10+instance), data, hour.Add(time.Hour))
		}
	}
	sum, _ := builder.Build(hour)
	data, err := sum.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkSum decodes the sum of one hour and adds it to an aggregator, each time shifted to the next hour.
func BenchmarkSum(b *testing.B) {
	benchSeries(b, func(b *testing.B, names []Series) {
		data := benchSum(b, names, 0, testStart)
		aggregator, i := NewAggregator(), 0
		for b.Loop() {
			sum, err := DecodeSum(data)
			if err != nil {
				b.Fatal(err)
			}
			shift := minute(i * 60)
			for run := range sum.sources {
				for at := range sum.sources[run].minutes {
					sum.sources[run].minutes[at] += shift
				}
			}
			for at := range sum.minutes {
				sum.minutes[at].minute += shift
			}
			if i++; !aggregator.AddSum(sum, testStart.Add(time.Duration(i)*time.Hour)) {
				b.Fatal("the sum was left out")
			}
		}
		b.ReportMetric(float64(len(data)), "wire-B/op")
	})
}

// BenchmarkSummer adds one minute record to a sum with a SumBuilder. held-B is the memory of the sum of an hour.
func BenchmarkSummer(b *testing.B) {
	benchSeries(b, func(b *testing.B, names []Series) {
		batch := benchMinute(benchReporter(), names, testStart)
		before := heapBytes()
		builder, i := NewSumBuilder(), 0
		data := make([][]byte, 60)
		for at := range data {
			batch.minutes[0].minute = minuteOf(testStart) + minute(at)
			data[at], _ = batch.Encode()
		}
		for b.Loop() {
			if i%60 == 0 {
				clear(builder.incarnations) // so that no minute is skipped as already counted
				if i%9_720 == 0 {
					builder.Begin(0)
				}
			}
			builder.AddRecord(int64(i), data[i%60], testStart.Add(time.Hour))
			i++
		}
		b.ReportMetric(heapBytes()-before, "held-B")
		runtime.KeepAlive(builder)
	})
}
