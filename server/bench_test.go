package server

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hyssoplift/hyssoplift/emulator"
)

// benchClients is the number of callers in the throughput benchmarks.
const benchClients = 64

type caller struct {
	client *http.Client
	url    string
	body   string
}

func (caller caller) call(tb testing.TB) time.Duration {
	start := time.Now()
	response, err := caller.client.Post(caller.url, "application/json", strings.NewReader(caller.body))
	if err != nil {
		tb.Error(err)
		return 0
	}
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		tb.Errorf("%s: %s %v", response.Status, text, err)
	}
	return time.Since(start)
}

// callers returns one that calls the runner itself and one that submits jobs of the given size to an instance
// in front of the same runner.
func callers(tb testing.TB, tasks int) (direct, entry caller) {
	server, base := startServer(tb, emulator.NewRunner(64, 1), hclog.NewNullLogger())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchClients, MaxConnsPerHost: benchClients}}
	target := server.bundle.Load().Targets()[0].Address()
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"name":"t%d","payload":{"run-ms":0}}`, i))
	}
	direct = caller{client, "http://" + target + "/run/loop-check", `{"run-ms":0}`}
	entry = caller{client, base + "/v1/jobs", `{"kind":"spoke-check","team":"demo","tasks":[` + strings.Join(list, ",") + `]}`}
	return direct, entry
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// reportAdded reports the quantiles of both ways and their differences, in microseconds.
func reportAdded(b *testing.B, direct, entry []time.Duration) {
	slices.Sort(direct)
	slices.Sort(entry)
	for _, row := range []struct {
		name string
		q    float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		without, with := quantile(direct, row.q), quantile(entry, row.q)
		b.ReportMetric(float64(without.Nanoseconds())/1e3, "direct-"+row.name+"-us")
		b.ReportMetric(float64((with-without).Nanoseconds())/1e3, "added-"+row.name+"-us")
	}
}

// BenchmarkAddedLatency alternates calls of the runner and jobs of one task, with 1 and with 8 callers.
func BenchmarkAddedLatency(b *testing.B) {
	for _, count := range []int{1, 8} {
		b.Run(fmt.Sprintf("callers=%d", count), func(b *testing.B) {
			direct, entry := callers(b, 1)
			directs, entries := make([]time.Duration, 0, b.N*count), make([]time.Duration, 0, b.N*count)
			var mu sync.Mutex
			var group sync.WaitGroup
			b.ResetTimer()
			for range count {
				group.Go(func() {
					for range b.N {
						without, with := direct.call(b), entry.call(b)
						mu.Lock()
						directs, entries = append(directs, without), append(entries, with)
						mu.Unlock()
					}
				})
			}
			group.Wait()
			reportAdded(b, directs, entries)
		})
	}
}

// BenchmarkThroughput saturates the runner directly and through an instance; allocations count both ends and
// the caller, so those of the instance are the difference to the direct run.
func BenchmarkThroughput(b *testing.B) {
	for _, row := range []struct {
		name  string
		tasks int
		entry bool
	}{{"direct", 1, false}, {"entry/tasks=1", 1, true}, {"entry/tasks=10", 10, true}, {"entry/tasks=130", 130, true}} {
		b.Run(row.name, func(b *testing.B) {
			direct, entry := callers(b, row.tasks)
			target := direct
			if row.entry {
				target = entry
			}
			b.SetParallelism(max(benchClients/runtime.GOMAXPROCS(0), 1))
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					target.call(b)
				}
			})
			b.ReportMetric(float64(b.N*row.tasks)/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}
