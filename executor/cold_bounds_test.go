package executor

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// What the configuration, the settings and an entry say of cold targets must reach the scheduler, in any order, and must show in the
// log and in the metrics.
func TestColdTargetsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	var output logBuffer
	now := time.Unix(1_000_000, 0)
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, silentClient{}, func() time.Time { return now },
		hclog.New(&hclog.LoggerOptions{Output: &output, JSONFormat: true}))
	executor.Close() // ticks come from this test alone
	metrics := func() string {
		var written bytes.Buffer
		executor.WriteMetrics(&written)
		return written.String()
	}
	executor.SetColdBounds(ColdBounds{Overage: 1.5, Slack: 1})
	info := infosOf(1)[0]
	info.ColdUntil = now.Add(3 * time.Second)
	executor.scheduler.SetTargets([]scheduler.Target{info}, now)
	executor.scheduler.SetReader(info.ID, true, now)
	executor.SetServices([]Service{{Name: info.Service, ColdPeriod: 4 * time.Second, ColdStartsPerSecond: 2}})
	is.True(strings.Contains(metrics(), "hyssoplift_cold_targets 1\n"))
	line := output.String()
	is.True(strings.Contains(line, `"@message":"target is cold"`))
	is.True(strings.Contains(line, `"cause":"entry"`))
	is.True(strings.Contains(line, `"for-ms":3000`))
	is.True(strings.Contains(line, `"taken-over":`))
	// The slack of 1 allows one of the two tasks.
	now = now.Add(20 * time.Millisecond)
	executor.scheduler.HandlePoll(info.ID, scheduler.PollResult{Incarnation: 1, Sent: now, Answered: now})
	step := scheduler.Step{Tasks: []string{"j.0.0.0", "j.0.0.1"}, Resources: scheduler.Resources{MilliCores: 1000}, Estimate: time.Second}
	executor.scheduler.Submit(scheduler.Job{
		ID: "j", Service: info.Service, Steps: []scheduler.Step{step}, MaxFailures: 2, Arrived: now, Deadline: now.Add(9 * time.Second), Objective: now.Add(6 * time.Second),
	}, now)
	starts := 0
	for _, action := range executor.scheduler.TakeActions() {
		if _, ok := action.(scheduler.StartTask); ok {
			starts++
		}
	}
	is.Equal(starts, 1)
	now = now.Add(3 * time.Second)
	executor.mu.Lock() // the second task is started by a goroutine
	executor.scheduler.Tick(now)
	executor.runActions()
	executor.mu.Unlock()
	is.True(strings.Contains(output.String(), `"@message":"target is warm"`))
	is.True(strings.Contains(metrics(), "hyssoplift_cold_targets 0\n"))
}
