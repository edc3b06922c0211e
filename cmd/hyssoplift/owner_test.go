package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/server"
	"github.com/hyssoplift/hyssoplift/submitter"
)

// Guards against a second start of a task when the slice owner of running jobs is killed, or is paused and resumed,
// while the callers resubmit the jobs through other instances.
func TestNothingStartsTwiceWhenAnOwnerFails(t *testing.T) {
	tests := []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster := newCluster(t)
			owner, second, third := cluster.startInstance("entry-1"), cluster.startInstance("entry-2"), cluster.startInstance("entry-3")
			cluster.waitForView(owner, second, third)
			var group sync.WaitGroup
			outcomes := &outcomes{byEcho: make(map[string]dispatcher.Outcome)}
			for i := range 48 {
				// Every key belongs to a slice of the owner. Some jobs are submitted before it fails, some after.
				var prefix server.KeyPrefix
				fetchJSON("http://"+owner.address+"/v1/key-prefix", &prefix)
				is.True(strings.HasPrefix(prefix.Prefix, "~local."))
				receiver := []*member{second, third}[i%2]
				group.Go(func() {
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					outcomes.submit(t, receiver.address, prefix.Prefix, i)
				})
			}
			for len(cluster.startCounts()) < 8 {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(owner.command.Process.Signal(test.signal))
			cluster.waitForView(second, third)
			if test.signal == syscall.SIGSTOP {
				is.NoErr(owner.command.Process.Signal(syscall.SIGCONT))
			}
			group.Wait()
			// Let the requests that the resumed owner still had in flight end.
			time.Sleep(time.Second)
			outcomes.checkStarts(t, cluster.startCounts())
		})
	}
}

// outcomes holds the final outcome of each job, by the echo field of its task's payload.
type outcomes struct {
	mu     sync.Mutex
	byEcho map[string]dispatcher.Outcome
}

// submit submits job i until its outcome is known or its deadline has passed, and records the last outcome.
func (outcomes *outcomes) submit(t *testing.T, address, prefix string, i int) {
	echo := fmt.Sprintf("%q", fmt.Sprintf("job-%d", i))
	payload, _ := json.Marshal(map[string]any{"run-ms": 300, "echo": json.RawMessage(echo)})
	job := dispatcher.NewJob(fmt.Sprintf("%sjob-%d", prefix, i), "loop-check", "demo", time.Now().Add(45*time.Second),
		[]dispatcher.Task{dispatcher.NewTask("a", payload)})
	// The caller abandons an attempt after 4 s and resubmits, so that several attempts of a job can be in flight.
	var last dispatcher.Outcome
	for time.Now().Before(job.Deadline()) {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		outcome, _, err := submitter.New(address).Submit(ctx, job)
		cancel()
		if err != nil {
			continue
		}
		last = outcome
		if _, unknown := outcome.(dispatcher.Unknown); !unknown {
			break
		}
	}
	if last == nil {
		t.Errorf("job %d got no answer", i)
	}
	outcomes.mu.Lock()
	defer outcomes.mu.Unlock()
	outcomes.byEcho[echo] = last
}

// checkStarts compares the outcomes that the callers received with the number of starts at the runner: one for a
// complete job, none for a refused job, and never more than one.
func (outcomes *outcomes) checkStarts(t *testing.T, starts map[string]int) {
	t.Helper()
	counts := make(map[string]int)
	for echo, outcome := range outcomes.byEcho {
		counts[fmt.Sprintf("%T", outcome)]++
		switch outcome := outcome.(type) {
		case dispatcher.Unknown:
			t.Logf("%s: %s", echo, outcome.Detail())
		case dispatcher.Complete:
			if starts[echo] != 1 {
				t.Errorf("%s is complete and started %d times", echo, starts[echo])
			}
		case dispatcher.Refused:
			if starts[echo] != 0 {
				t.Errorf("%s was answered as not run and started %d times", echo, starts[echo])
			}
		}
	}
	for echo, count := range starts {
		if count > 1 {
			t.Errorf("%s started %d times", echo, count)
		}
	}
	t.Logf("%d jobs, %d started, outcomes %v", len(outcomes.byEcho), len(starts), counts)
}
