package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// balancer sends requests in turn to the instances that were ready at its last poll, like the platform's balancer.
type balancer struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
	ready     []string
	picks     int
}

func (balancer *balancer) add(address string) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.addresses = append(balancer.addresses, address)
}

// pollReadiness updates the list of ready instances every 5 ms until ctx is done.
func (balancer *balancer) pollReadiness(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		balancer.mu.Lock()
		addresses := balancer.addresses
		balancer.mu.Unlock()
		var ready []string
		for _, address := range addresses {
			response, err := balancer.client.Get("http://" + address + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusNoContent {
				ready = append(ready, address)
			}
		}
		balancer.mu.Lock()
		balancer.ready = ready
		balancer.mu.Unlock()
	}
}

// nextReady returns the next ready instance in turn, or an empty string if there is none.
func (balancer *balancer) nextReady() string {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	if len(balancer.ready) == 0 {
		return ""
	}
	balancer.picks++
	return balancer.ready[balancer.picks%len(balancer.ready)]
}

// postJob submits one job and returns an error unless it is complete.
func (balancer *balancer) postJob(body string) error {
	address := balancer.nextReady()
	for ; address == ""; address = balancer.nextReady() {
		time.Sleep(time.Millisecond)
	}
	response, err := balancer.client.Post("http://"+address+"/v1/jobs", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, answer)
	}
	return err
}

// Guards against a planned stop that interrupts a request: all instances are restarted one after the other under load.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := newCluster(t)
	balancer := &balancer{client: &http.Client{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func(i int) *member {
		member := cluster.startInstance(fmt.Sprintf("entry-%d", i), "--balancer-wait", "300")
		balancer.add(member.address)
		return member
	}
	members := []*member{start(1), start(2), start(3)}
	cluster.waitForView(members...)
	var group sync.WaitGroup
	group.Go(func() { balancer.pollReadiness(ctx) })
	var answered atomic.Int64
	for range 8 {
		group.Go(func() {
			for ctx.Err() == nil {
				if err := balancer.postJob(`{"kind":"loop-check","team":"demo","tasks":[{"name":"a","payload":{"run-ms":20}},{"name":"b","payload":{"run-ms":5}}]}`); err != nil {
					t.Errorf("request interrupted: %v", err)
					return
				}
				answered.Add(1)
			}
		})
	}
	for i, old := range members {
		before := answered.Load()
		is.NoErr(old.command.Process.Signal(syscall.SIGTERM))
		is.NoErr(old.command.Wait()) // exit status 0
		members[i] = start(i + 1)
		cluster.waitForView(members...)
		is.True(answered.Load() > before) // the other instances served requests meanwhile
	}
	cancel()
	group.Wait()
	t.Logf("%d requests answered during the rolling restart, 0 interrupted", answered.Load())
}

// Guards against a stop that hangs because a task does not end, or that exits without logging the jobs it abandons.
func TestSecondSignalLogsAbandonedJobs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	folder := buildCommands(t)
	log, runner := startStandin(t, folder, "log"), startStandin(t, folder, "runner")
	keys := publish(t, folder, log, fmt.Sprintf(testBundle, runner))
	command := exec.Command(folder+"/hyssoplift", "serve", "--listen", "127.0.0.1:0",
		"--failure-domain", "local", "--instance", "entry-1", "--log", log, "--bundle-keys", keys, "--balancer-wait", "0")
	lines := &lineBuffer{}
	command.Stderr = lines
	is.NoErr(command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	address := lines.waitFor(t, `"listen":"`)
	waitReady(t, address)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/jobs",
			strings.NewReader(`{"kind":"loop-check","team":"demo","timeout-ms":60000,"tasks":[{"name":"a","payload":{"run-ms":60000}}]}`))
		request.Header.Set("Idempotency-Key", "order-1")
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	for starts := 0; starts == 0; time.Sleep(time.Millisecond) {
		response, err := http.Get("http://" + runner + "/starts")
		is.NoErr(err)
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		starts = strings.Count(string(text), "kind")
	}
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	lines.waitFor(t, `"@message":"instance stopping`)
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	is.True(command.Wait() != nil) // not a clean stop
	is.True(strings.Contains(lines.String(), "order-1"))
}

// lineBuffer collects the log output of a process.
type lineBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (buffer *lineBuffer) Write(data []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.Write(data)
}

func (buffer *lineBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.String()
}

// waitFor waits until marker has been logged and returns the text from it to the next quotation mark.
func (buffer *lineBuffer) waitFor(t *testing.T, marker string) string {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		_, after, found := strings.Cut(buffer.String(), marker)
		if text, _, ended := strings.Cut(after, `"`); found && ended {
			return text
		}
	}
	t.Fatalf("no log line with %s", marker)
	return ""
}
