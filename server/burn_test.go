package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/reporter"
)

// Guards against counting a request twice when it is submitted again or answered through another instance, and against
// not counting an answer at all.
func TestResubmissionsCountOnce(t *testing.T) {
	is := is.New(t)
	servers, bases := startDomains(t, emulator.NewRunner(8, 1))
	prefix := send(t, http.MethodGet, bases[0]+"/v1/key-prefix", "").header.Get(prefixHeader)
	submit := func(at int, key, body string) {
		send(t, http.MethodPost, bases[at]+"/v1/jobs", body, keyHeader, key)
	}
	for _, at := range []int{1, 0, 1, 2, 3, 3} {
		submit(at, prefix+"first", validJob)
	}
	for _, at := range []int{3, 2, 0} {
		submit(at, prefix+"second", validJob)
	}
	submit(2, prefix+"third", `{"kind":"other","team":"demo","tasks":[{"name":"a","payload":{}}]}`)

	aggregator := reporter.NewAggregator()
	aggregator.SetComplete(true)
	now := time.Now().Add(time.Minute)
	for _, server := range servers {
		// An answer is counted after it is written, so the caller may receive it slightly earlier.
		waitFor(t, func() bool { return server.drainer.inFlight() == 0 })
		if batch, ok := server.accountant.Batch(now, true); ok {
			aggregator.Add(batch, now)
		}
	}
	counts := make(map[string]uint64)
	// A report ends a few minutes before its time, to give instances time to append.
	for _, row := range aggregator.Report(now.Add(5 * time.Minute)).Rows {
		if row.Team == "" {
			counts[row.Kind] = row.Burns[len(row.Burns)-1].Answers
		}
	}
	is.Equal(counts["loop-check"], uint64(2)) // two requests, regardless of how often and where they were submitted
	is.Equal(counts["other"], uint64(1))      // a refusal is counted once
}
