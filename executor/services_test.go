package executor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// Of 300 equal instances, those that start work need more connections than a target accepts. When the configuration states the
// limit, an instance must leave the targets of another failure domain to the instances there, and log its role.
func TestConnectionLimitOfServicesDeterminesTheUseOfTargets(t *testing.T) {
	for _, test := range []struct {
		name     string
		services []Service
		limit    int
		accepted bool
	}{
		{"unknown", []Service{{Name: "work"}}, 0, true},
		{"smallest", []Service{{Name: "work", MaxConnections: 100}, {Name: "other", MaxConnections: 64}, {Name: "third"}}, 2, false},
		{"enough for all", []Service{{Name: "work", MaxConnections: 600}}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			self := linker.Hello{Domain: "a", Name: "self", Incarnation: "self", Weight: 0.1}
			executor := newSettled(self, silentClient{}, func() time.Time { return now }, hclog.NewNullLogger())
			t.Cleanup(executor.Close)
			for i := range 299 {
				name := fmt.Sprintf("peer-%d", i)
				hello := linker.Hello{Domain: "b", Name: name, Incarnation: name, Weight: 0.1}
				executor.Peers().Receive(hello, hello)
			}
			executor.SetServices(test.services)
			executor.SetTargets([]scheduler.Target{{ID: "t", Service: "work", Domain: "b", Capacity: scheduler.Resources{MilliCores: 32000}}})
			executor.mu.Lock()
			defer executor.mu.Unlock()
			executor.assignReaders(now)
			is.Equal(executor.peers.ConnectionLimit(false), test.limit)
			is.True(!executor.pollers["t"].isReader.Load())
			step := scheduler.Step{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 14000}, Estimate: 100 * time.Millisecond}
			executor.scheduler.Submit(scheduler.Job{
				ID: "j", Service: "work", Steps: []scheduler.Step{step}, Arrived: now, Deadline: now.Add(time.Second), Objective: now.Add(200 * time.Millisecond),
			}, now)
			is.Equal(executor.scheduler.Has("j"), test.accepted) // else refused for lack of capacity
		})
	}
}

// A role is not visible in the lines of jobs; the line must say by which rule and for how many instances it was chosen.
func TestRoleIsLogged(t *testing.T) {
	is := is.New(t)
	var output logBuffer
	now := time.Unix(1_000_000, 0)
	self := linker.Hello{Domain: "a", Name: "self", Incarnation: "self", Weight: 0.144}
	executor := newSettled(self, silentClient{}, func() time.Time { return now }, hclog.New(&hclog.LoggerOptions{Output: &output, JSONFormat: true}))
	t.Cleanup(executor.Close)
	hello := linker.Hello{Domain: "a", Name: "large", Incarnation: "large", Weight: 0.8}
	executor.Peers().Receive(hello, hello)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.assignReaders(now)
	for _, field := range []string{`"passes-on":true`, `"rule":2`, `"starting":1`, `"starting-share":0.847`, `"connection-limit":0`} {
		is.True(strings.Contains(output.String(), field))
	}
}
