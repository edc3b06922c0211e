package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// lookRecorder records the polls of the instances that share it.
type lookRecorder struct {
	silentClient
	running  []scheduler.ActiveRun
	mu       sync.Mutex
	requests []PollRequest
	first    time.Time
}

func (client *lookRecorder) Poll(_ context.Context, _ scheduler.Target, request PollRequest) (scheduler.PollResult, error) {
	now := time.Now()
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.requests) == 0 {
		client.first = now
	}
	client.requests = append(client.requests, request)
	return scheduler.PollResult{Incarnation: 1, Running: client.running, Sent: now, Answered: now}, nil
}

// After a restart of all instances, a restarted target that nothing occupies carried out orders for its former incarnation, since no
// instance polled it for a second.
func TestTargetsAreNotLeftAloneAfterARestartOfAllInstances(t *testing.T) {
	is := is.New(t)
	client := &lookRecorder{}
	targets := []scheduler.Target{{ID: "t", Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 1000}, Incarnation: 1}}
	started := time.Now()
	var members []*member
	var peers []linker.Peer
	for _, name := range []string{"n1", "n2"} {
		added := newMember(t, linker.Hello{Domain: "a", Name: name, Incarnation: name}, client, linker.DefaultLimits(), targets, hclog.NewNullLogger())
		members, peers = append(members, added), append(peers, added.peer())
	}
	for _, member := range members {
		member.links.SetMembers(peers)
	}
	await(t, "the target is polled", func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return len(client.requests) > 0
	})
	client.mu.Lock()
	defer client.mu.Unlock()
	elapsed := client.first.Sub(started)
	is.True(elapsed >= minStartupGrace && elapsed < startupGrace)
	is.Equal(client.requests, []PollRequest{{}}) // renews no lease, and comes from the reader alone
}

// Instances that knew nobody else would all look at all targets, whose connections are limited.
func TestFirstLookAwaitsTheOtherInstances(t *testing.T) {
	others := []string{"n2"}
	tests := []struct {
		name  string
		peers scheduler.Peers
		age   time.Duration
		want  bool
	}{
		{"others are settled", scheduler.Peers{Answering: others, Complete: true}, minStartupGrace, true},
		{"others may still register", scheduler.Peers{Answering: others, Complete: true}, minStartupGrace - 1, false},
		{"another one is not linked yet", scheduler.Peers{Answering: others}, startupGrace - 1, false},
		{"no other one is known", scheduler.Peers{Complete: true}, startupGrace - 1, false},
		{"nothing is known for a second", scheduler.Peers{}, startupGrace, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(knowsPeers(test.peers, test.age), test.want)
		})
	}
}

// earlierRunClient serves two targets: "other" lists an earlier run of a task, and answers its first polls late; "t" lists nothing.
type earlierRunClient struct {
	silentClient
	late time.Duration

	mu      sync.Mutex
	running bool
	// startedBeside means that the task was started before the earlier run had been stopped, and started that it was started.
	startedBeside, started bool
}

func (client *earlierRunClient) Poll(_ context.Context, on scheduler.Target, _ PollRequest) (scheduler.PollResult, error) {
	sent := time.Now()
	poll := scheduler.PollResult{Incarnation: 1, Sent: sent}
	if on.ID == "other" {
		time.Sleep(client.late)
		client.mu.Lock()
		defer client.mu.Unlock()
		if client.running {
			poll.Running = []scheduler.ActiveRun{{Run: scheduler.Run{Task: "j.0.0.0", Attempt: 1}, MilliCores: 1000}}
		}
	}
	poll.Answered = time.Now()
	return poll, nil
}

func (client *earlierRunClient) Start(context.Context, scheduler.Target, scheduler.StartTask, time.Time) scheduler.StartResult {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.startedBeside, client.started = client.startedBeside || client.running, true
	return scheduler.StartTaken
}

func (client *earlierRunClient) Stop(_ context.Context, on scheduler.Target, _ scheduler.Run) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.running = client.running && on.ID != "other"
	return nil
}

// After a restart of all instances, a job that a caller had sent again started on a target that had been looked at, while its earlier run
// went on on another one that had not answered yet.
func TestJobSentAgainAwaitsTheFirstLookAtAllTargets(t *testing.T) {
	is := is.New(t)
	client := &earlierRunClient{late: 80 * time.Millisecond, running: true}
	var targets []scheduler.Target
	for _, id := range []string{"t", "other"} {
		targets = append(targets, scheduler.Target{ID: id, Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 4000}, Incarnation: 1})
	}
	var members []*member
	var peers []linker.Peer
	for _, name := range []string{"n1", "n2", "n3"} {
		added := newMember(t, linker.Hello{Domain: "a", Name: name, Incarnation: name}, client, linker.DefaultLimits(), targets, hclog.NewNullLogger())
		members, peers = append(members, added), append(peers, added.peer())
	}
	now := time.Now()
	for _, member := range members {
		member.links.SetMembers(peers)
	}
	step := scheduler.Step{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 1000}, Estimate: time.Second}
	job := scheduler.Job{ID: "j", Service: "work", Steps: []scheduler.Step{step}, MaxFailures: 2, Arrived: now, Deadline: now.Add(9 * time.Second), Objective: now.Add(8 * time.Second)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go members[0].Submit(ctx, job)
	await(t, "the task is started", func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.started
	})
	is.True(!client.startedBeside)
	is.True(time.Since(now) < startupGrace+2*time.Second)
}
