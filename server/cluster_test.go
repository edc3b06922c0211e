package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/lister"
)

const twoDomainBundle = `[bundle]
version = 1
[failure-domain ahd]
[failure-domain srt]
[target runner-1]
failure-domain = ahd
service = demo
address = %[1]s
slots = 64
[target runner-2]
failure-domain = srt
service = demo
address = %[1]s
slots = 64
[kind loop-check]
service = demo
repeatable = true
[kind wheel-order]
service = demo
repeatable = false
[team demo]
max-in-flight = 1000000
`

// startDomains starts three instances in failure domain ahd and one in srt, waits until all are ready, and returns them
// with their base URLs.
func startDomains(tb testing.TB, runner http.Handler) ([]*Server, []string) {
	tb.Helper()
	records, list := emulator.NewLog(), emulator.NewList(0)
	target, log, instances := httptest.NewServer(runner), httptest.NewServer(records), httptest.NewServer(list)
	record, keys, err := signBundle(fmt.Sprintf(twoDomainBundle, target.Listener.Addr()), nil)
	if err != nil {
		tb.Fatal(err)
	}
	records.Append(bundler.Stream, record)
	var servers []*Server
	var bases []string
	for i, domain := range []string{"ahd", "ahd", "ahd", "srt"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		name, address := fmt.Sprintf("entry-%d", i+1), listener.Addr().String()
		settings, err := configurer.Read([]string{
			"--failure-domain", domain, "--instance", name, "--bundle-keys", keys,
			"--log", log.Listener.Addr().String(), "--list", instances.Listener.Addr().String(),
		}, io.Discard)
		if err != nil {
			tb.Fatal(err)
		}
		servers = append(servers, New(settings, listener, hclog.NewNullLogger()))
		bases = append(bases, "http://"+address)
		list.Put(lister.Instance{Name: name, FailureDomain: domain, Address: address, State: lister.Live})
	}
	tb.Cleanup(func() {
		for _, server := range servers {
			server.stop()
			server.linker.Close()
			_ = server.http.Close()
		}
		for _, server := range []*httptest.Server{target, log, instances} {
			server.CloseClientConnections()
			server.Close()
		}
	})
	for i, server := range servers {
		waitFor(tb, func() bool {
			_, view := server.keeper.View()
			return server.ready() && len(view.Members) == []int{3, 3, 3, 1}[i]
		})
	}
	return servers, bases
}

// Guards against a job that runs twice, gets different answers from different instances, or cannot be looked up or
// cancelled through an instance other than its owner.
func TestAnyInstanceServesAnyKey(t *testing.T) {
	is := is.New(t)
	runner := emulator.NewRunner(64, 1)
	_, bases := startDomains(t, runner)
	body := func(kind, echo string) string {
		return fmt.Sprintf(`{"kind":%q,"team":"demo","tasks":[{"name":"a","payload":{"run-ms":50,"echo":%q}}]}`, kind, echo)
	}
	prefix := send(t, "GET", bases[0]+"/v1/key-prefix", "").header.Get(prefixHeader)
	is.True(strings.HasPrefix(prefix, "~ahd."))
	steps := []struct {
		name    string
		method  string
		at      int
		key     string
		body    string
		status  int
		outcome string
		notRun  bool
	}{
		{"forwarded to the owner", "POST", 1, prefix + "a", body("loop-check", "a"), 200, "complete", false},
		{"stored answer repeated", "POST", 2, prefix + "a", body("loop-check", "a"), 200, "complete", false},
		{"from another failure domain", "POST", 3, prefix + "a", body("loop-check", "a"), 200, "complete", false},
		{"key with another body", "POST", 1, prefix + "a", body("loop-check", "b"), 409, "refused", true},
		{"found", "GET", 2, prefix + "a", "", 200, "complete", false},
		{"found from another failure domain", "GET", 3, prefix + "a", "", 200, "complete", false},
		{"not found", "GET", 1, prefix + "none", "", 404, "unknown", false},
		{"malformed key", "GET", 1, "~ahd.x", "", 400, "unknown", false},
		{"too late to cancel", "DELETE", 2, prefix + "a", "", 409, "unknown", false},
		{"cancelled before the start", "DELETE", 1, prefix + "c", "", 200, "refused", true},
		{"cancelled job never starts", "POST", 2, prefix + "c", body("loop-check", "c"), 409, "refused", true},
		{"cancelled job found", "GET", 1, prefix + "c", "", 409, "refused", true},
		{"plain key cancelled", "DELETE", 0, "plain-c", "", 200, "refused", true},
		{"plain cancelled job, confirmed", "GET", 3, "plain-c", "", 409, "refused", true},
		{"unknown kind, confirmed", "POST", 1, prefix + "d", body("other", "d"), 404, "refused", true},
		{"order needs an issued key", "POST", 1, "order-1", body("wheel-order", "e"), 400, "refused", true},
		{"order under an issued key", "POST", 1, prefix + "order-1", body("wheel-order", "f"), 200, "complete", false},
		{"solo key of an unknown incarnation", "POST", 1, "~ahd.gone.solo-0.x", body("loop-check", "g"), 504, "unknown", false},
		{"epoch in the future", "POST", 1, "~ahd.999.1.x", body("loop-check", "h"), 504, "unknown", false},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			var got reply
			if step.method == http.MethodPost {
				got = send(t, step.method, bases[step.at]+"/v1/jobs", step.body, keyHeader, step.key)
			} else {
				got = send(t, step.method, bases[step.at]+"/v1/jobs/"+step.key, "")
			}
			is.Equal(got.status, step.status)
			is.Equal(got.answer.Outcome, step.outcome)
			is.Equal(got.answer.NotRun, step.notRun)
			is.Equal(got.answer.Key, step.key)
		})
	}
	// Submit each key through every instance at once. Plain keys are forwarded to their home, issued ones to the owner.
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string][]encoder.Answer)
	for _, key := range []string{prefix + "all", "plain-1", "plain-2", "plain-3", "plain-4"} {
		for i := range 8 {
			group.Go(func() {
				got := send(t, "POST", bases[i%4]+"/v1/jobs", body("loop-check", key), keyHeader, key)
				mu.Lock()
				defer mu.Unlock()
				answers[key] = append(answers[key], got.answer)
			})
		}
	}
	group.Wait()
	for key, all := range answers {
		for _, answer := range all {
			is.Equal(answer.Outcome, "complete")
			is.Equal(answer.Key, key)
			is.True(bytes.Contains(answer.Results[0].Result, []byte(key))) // the answer of its own job
		}
	}
	counts := make(map[string]int)
	for _, start := range runner.Starts() {
		counts[string(start.Echo)]++
	}
	for echo, count := range counts {
		is.Equal(count, 1) // started once
		is.True(!strings.ContainsAny(echo[1:2], "bcdegh"))
	}
	is.Equal(len(counts), 7)
}
