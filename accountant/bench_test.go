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

// benchCluster is an emulated log with the instances that append to it. Measured CPU time includes that of the
// emulator.
type benchCluster struct {
	client    *appender.Appender
	now       time.Time
	reporters []*reporter.Reporter
	series    int
}

func newBenchCluster(b *testing.B, series int) *benchCluster {
	server := httptest.NewServer(emulator.NewLog())
	b.Cleanup(server.Close)
	cluster := &benchCluster{
		client: appender.New(strings.TrimPrefix(server.URL, "http://")),
		now:    time.Unix(1_800_000_000, 0).Truncate(time.Hour), series: series,
	}
	for i := range benchInstances {
		cluster.reporters = append(cluster.reporters, reporter.New(reporter.Config{
			Domain: "local", Instance: fmt.Sprint(i), Incarnation: fmt.Sprint("run-", i),
			Retention: time.Minute, MaxKeys: 1, MaxSeries: 1 << 14,
		}, cluster.now))
	}
	return cluster
}

// minute advances the clock by one minute and appends a record of each instance with one answer per series.
func (cluster *benchCluster) minute(b *testing.B) {
	at := cluster.now
	cluster.now = at.Add(time.Minute)
	for _, counter := range cluster.reporters {
		for i := range cluster.series {
			job := dispatcher.NewJob("", fmt.Sprint("kind-", i/120), fmt.Sprint("team-", i%120), time.Time{}, nil)
			counter.Record(reporter.NewAnswer(job, dispatcher.Complete{}, 0, reporter.KeyOwner), at)
		}
		batch, _ := counter.Batch(cluster.now, false)
		data, err := batch.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := cluster.client.Append(context.Background(), burnStream, data); err != nil {
			b.Fatal(err)
		}
		counter.Acknowledge(batch)
	}
}

// threeDays appends the minute records of three days and, at half past every hour, the sums.
func (cluster *benchCluster) threeDays(b *testing.B) {
	sumAppender := newSumAppender(cluster.client, "local", "0")
	for i := range benchHours * 60 {
		cluster.minute(b)
		if i%60 == 30 {
			if err := sumAppender.run(context.Background(), cluster.now); err != nil {
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

// BenchmarkFollow reads the records of one minute of four instances into a reader that has read all earlier ones.
func BenchmarkFollow(b *testing.B) {
	benchSeries(b, func(b *testing.B, series int) {
		cluster := newBenchCluster(b, series)
		reader := NewReader(cluster.client)
		spent := 0.0
		for b.Loop() {
			b.StopTimer()
			cluster.minute(b)
			b.StartTimer()
			before := cpuNanoseconds()
			if err := reader.advance(context.Background(), cluster.now); err != nil {
				b.Fatal(err)
			}
			spent += cpuNanoseconds() - before
		}
		b.ReportMetric(spent/float64(b.N), "cpu-ns/op")
	})
}

// BenchmarkRead computes a report of three days of four instances. Case sums uses a new reader that reads the hourly
// sums and the minute records after them, and case minutes a new reader that reads only minute records. Case report
// uses a reader that has already read all records.
func BenchmarkRead(b *testing.B) {
	benchSeries(b, func(b *testing.B, series int) {
		cluster := newBenchCluster(b, series)
		cluster.threeDays(b)
		for _, part := range []string{"sums", "minutes", "report"} {
			b.Run(part, func(b *testing.B) {
				reader := NewReader(cluster.client)
				if _, err := reader.Report(context.Background(), cluster.now); err != nil {
					b.Fatal(err)
				}
				before := cpuNanoseconds()
				for b.Loop() {
					if part != "report" {
						reader = NewReader(cluster.client)
						reader.sumsRead = part == "minutes"
					}
					if _, err := reader.Report(context.Background(), cluster.now); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((cpuNanoseconds()-before)/float64(b.N), "cpu-ns/op")
			})
		}
	})
}
