package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hyssoplift/hyssoplift/emulator"
)

// benchClients is the number of concurrent callers in the throughput benchmarks.
const benchClients = 64

// latencyPairs is the number of pairs of calls per caller in one iteration of the latency benchmark.
const latencyPairs = 100

type caller struct {
	client *http.Client
	url    string
	body   string
	// prefix is the prefix of the keys to use. If it is empty, the jobs have no key.
	prefix string
	used   *atomic.Int64
}

func (caller caller) call(tb testing.TB) time.Duration {
	start := time.Now()
	request, err := http.NewRequest(http.MethodPost, caller.url, strings.NewReader(caller.body))
	if err != nil {
		tb.Error(err)
		return 0
	}
	if caller.prefix != "" {
		request.Header.Set(keyHeader, caller.prefix+strconv.FormatInt(caller.used.Add(1), 10))
	}
	response, err := caller.client.Do(request)
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

// callers returns two callers of the same runner: direct calls the runner itself, and entry submits jobs of the given
// number of tasks to an instance in front of it.
func callers(tb testing.TB, tasks int) (direct, entry caller) {
	server, base := startServer(tb, emulator.NewRunner(64, 1), hclog.NewNullLogger())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchClients, MaxConnsPerHost: benchClients}}
	target := server.bundle.Load().Targets()[0].Address()
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"name":"t%d","payload":{"run-ms":0}}`, i))
	}
	direct = caller{client: client, url: "http://" + target + "/run/loop-check", body: `{"run-ms":0}`}
	entry = caller{client: client, url: base + "/v1/jobs", body: `{"kind":"spoke-check","team":"demo","tasks":[` + strings.Join(list, ",") + `]}`}
	return direct, entry
}

// callersWithWitness is like callers, but submits jobs under issued keys to one of three instances, so that each start
// record goes to a witness.
func callersWithWitness(tb testing.TB) (direct, entry caller) {
	runner := emulator.NewRunner(64, 1)
	_, bases := startDomains(tb, runner)
	address := httptest.NewServer(runner)
	tb.Cleanup(address.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchClients, MaxConnsPerHost: benchClients}}
	direct = caller{client: client, url: address.URL + "/run/loop-check", body: `{"run-ms":0}`}
	entry = caller{
		client: client, url: bases[0] + "/v1/jobs", used: new(atomic.Int64),
		body:   `{"kind":"loop-check","team":"demo","tasks":[{"name":"t0","payload":{"run-ms":0}}]}`,
		prefix: send(tb, "GET", bases[0]+"/v1/key-prefix", "").header.Get(prefixHeader),
	}
	return direct, entry
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// reportAdded reports the quantiles of the direct calls and the added latency of the instance, in microseconds.
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

// BenchmarkAddedLatency alternates direct calls of the runner and jobs of one task, with 1 and with 8 callers.
func BenchmarkAddedLatency(b *testing.B) {
	for _, row := range []struct {
		name    string
		count   int
		witness bool
	}{{"alone/callers=1", 1, false}, {"alone/callers=8", 8, false}, {"witness/callers=1", 1, true}, {"witness/callers=8", 8, true}} {
		b.Run(row.name, func(b *testing.B) {
			var direct, entry caller
			if row.witness {
				direct, entry = callersWithWitness(b)
			} else {
				direct, entry = callers(b, 1)
			}
			var directs, entries []time.Duration
			var mu sync.Mutex
			b.ResetTimer()
			for b.Loop() {
				var group sync.WaitGroup
				for range row.count {
					group.Go(func() {
						for range latencyPairs {
							without, with := direct.call(b), entry.call(b)
							mu.Lock()
							directs, entries = append(directs, without), append(entries, with)
							mu.Unlock()
						}
					})
				}
				group.Wait()
			}
			reportAdded(b, directs, entries)
		})
	}
}

// BenchmarkThroughput saturates the runner directly and through an instance. Allocations include those of the runner
// and the caller, so the instance's own are the difference from the direct run.
func BenchmarkThroughput(b *testing.B) {
	for _, row := range []struct {
		name  string
		tasks int // 0 stands for jobs of one task with a witness
		entry bool
	}{{"direct", 1, false}, {"entry/tasks=1", 1, true}, {"entry/tasks=10", 10, true}, {"entry/tasks=130", 130, true}, {"witness/tasks=1", 0, true}} {
		b.Run(row.name, func(b *testing.B) {
			var direct, entry caller
			if row.tasks == 0 {
				direct, entry = callersWithWitness(b)
			} else {
				direct, entry = callers(b, row.tasks)
			}
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
			b.ReportMetric(float64(b.N*max(row.tasks, 1))/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}
