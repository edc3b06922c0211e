package accountant

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/reporter"
)

const (
	benchInstances = 4
	benchHours     = 72
)

func cpuNanoseconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchWorld is a log stand-in with the instances that append to it; the figures include the stand-in's work.
type benchWorld struct {
	client    *appender.Appender
	now       time.Time
	reporters []*reporter.Reporter
	series    int
}

func newBenchWorld(b *testing.B, series int) *benchWorld {
	server := httptest.NewServer(emulator.NewLog())
	b.Cleanup(server.Close)
	world := &benchWorld{
		client: appender.New(strings.TrimPrefix(server.URL, "http://")),
		now:    time.Unix(1_800_000_000, 0).Truncate(time.Hour), series: series,
	}
	for i := range benchInstances {
		world.reporters = append(world.reporters, reporter.New(reporter.Config{
			Domain: "local", Instance: fmt.Sprint(i), Incarnation: fmt.Sprint("run-", i),
			Retention: time.Minute, MaxKeys: 1, MaxSeries: 1 << 14,
		}, world.now))
	}
	return world
}

// minute appends a record of each instance with one answer per series.
func (world *benchWorld) minute(b *testing.B) {
	at := world.now
	world.now = at.Add(time.Minute)
	for _, counter := range world.reporters {
		for i := range world.series {
			job := dispatcher.NewJob("", fmt.Sprint("kind-", i/120), fmt.Sprint("team-", i%120), time.Time{}, nil)
			counter.Record(reporter.NewAnswer(job, dispatcher.Complete{}, 0, reporter.KeyOwner), at)
		}
		batch, _ := counter.Batch(world.now, false)
		data, err := batch.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := world.client.Append(context.Background(), burnStream, data); err != nil {
			b.Fatal(err)
		}
		counter.Acknowledge(batch)
	}
}

// threeDays appends the minutes of three days, and the sums of each hour half an hour after its end.
func (world *benchWorld) threeDays(b *testing.B) {
	hourly := newHourly(world.client, "local", "0")
	for i := range benchHours * 60 {
		world.minute(b)
		if i%60 == 30 {
			if err := hourly.run(context.Background(), world.now); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func benchSeries(b *testing.B, run func(b *testing.B, series int)) {
	for _, series := range []int{10, 120, 1_200} {
		b.Run(fmt.Sprintf("series=%d", series), func(b *testing.B) {
			b.ReportAllocs()
			run(b, series)
		})
	}
}

// BenchmarkFollow reads the records of one minute of four instances into a ledger that follows the stream.
func BenchmarkFollow(b *testing.B) {
	benchSeries(b, func(b *testing.B, series int) {
		world := newBenchWorld(b, series)
		reader := NewReader(world.client)
		spent := 0.0
		for b.Loop() {
			b.StopTimer()
			world.minute(b)
			b.StartTimer()
			before := cpuNanoseconds()
			if err := reader.advance(context.Background(), world.now); err != nil {
				b.Fatal(err)
			}
			spent += cpuNanoseconds() - before
		}
		b.ReportMetric(spent/float64(b.N), "cpu-ns/op")
	})
}

// BenchmarkRead reads three days of four instances into a fresh reader, from hourly sums and the minutes after them or
// from minute records only, and puts a report together; its part report is one report of a reader that follows.
func BenchmarkRead(b *testing.B) {
	benchSeries(b, func(b *testing.B, series int) {
		world := newBenchWorld(b, series)
		world.threeDays(b)
		for _, part := range []string{"sums", "minutes", "report"} {
			b.Run(part, func(b *testing.B) {
				reader := NewReader(world.client)
				if _, err := reader.Report(context.Background(), world.now); err != nil {
					b.Fatal(err)
				}
				before := cpuNanoseconds()
				for b.Loop() {
					if part != "report" {
						reader = NewReader(world.client)
						reader.summed = part == "minutes"
					}
					if _, err := reader.Report(context.Background(), world.now); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((cpuNanoseconds()-before)/float64(b.N), "cpu-ns/op")
			})
		}
	})
}
