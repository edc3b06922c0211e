package executor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// lateClient records the starts.
type lateClient struct {
	restartedClient
	started chan string
}

func (client *lateClient) Start(_ context.Context, _ scheduler.Target, start scheduler.StartTask, _ time.Time) scheduler.StartResult {
	client.started <- start.Job
	return scheduler.StartNoRoom
}

// A paused instance must not start tasks of jobs whose callers have left, whichever event it handles first.
func TestResumedInstanceSendsNoStartPastTheDeadline(t *testing.T) {
	is := is.New(t)
	var pause atomic.Int64
	client := &lateClient{started: make(chan string, 1000)}
	clock := func() time.Time { return time.Now().Add(time.Duration(pause.Load())) }
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, clock, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	now := clock()
	executor.mu.Lock()
	executor.scheduler.SetTargets(infosOf(1), now)
	executor.scheduler.SetReader("t", true, now.Add(-2*time.Second))
	executor.scheduler.HandlePoll("t", scheduler.PollResult{Sent: now.Add(-2 * time.Second), Answered: now.Add(-2 * time.Second)})
	step := scheduler.Step{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 14000}, Estimate: 20 * time.Millisecond}
	executor.scheduler.Submit(scheduler.Job{ID: "j", Service: "work", Steps: []scheduler.Step{step}, MaxFailures: 2, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(time.Second)}, now)
	executor.runActions()
	executor.mu.Unlock()
	is.Equal(<-client.started, "j") // rejected: no room
	time.Sleep(2 * time.Millisecond)
	pause.Store(int64(6 * time.Second))
	executor.HandleStateUpdate("peer", linker.StateUpdate{})
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(client.started), 0)
}

// What has waited during a pause may be handled before the next tick, and must not make a paused instance start tasks whose callers may
// have left.
func TestPauseIsNoticedBeforeWhatHasWaited(t *testing.T) {
	is := is.New(t)
	var pause atomic.Int64
	client := &lateClient{started: make(chan string, 1000)}
	clock := func() time.Time { return time.Now().Add(time.Duration(pause.Load())) }
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, clock, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	executor.mu.Lock()
	now := clock()
	executor.scheduler.SetTargets(infosOf(1), now)
	executor.scheduler.SetReader("t", true, now.Add(-2*time.Second))
	executor.scheduler.HandlePoll("t", scheduler.PollResult{Sent: now.Add(-2 * time.Second), Answered: now.Add(-2 * time.Second)})
	step := scheduler.Step{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 14000}, Estimate: 20 * time.Millisecond}
	job := scheduler.Job{ID: "j", Service: "work", Steps: []scheduler.Step{step}, MaxFailures: 2, Arrived: now, Deadline: now.Add(time.Minute), Objective: now.Add(40 * time.Second)}
	executor.scheduler.Submit(job, now)
	executor.scheduler.TakeActions()
	executor.scheduler.HandleStartResult("t", scheduler.Run{Task: "j.0.0.0", Attempt: 1}, scheduler.StartTaken, now)
	pause.Store(int64(time.Second)) // no tick can be handled while the lock is held
	executor.noticePause(clock())
	executor.scheduler.HandleEnd("t", scheduler.End{Seq: 1, Run: scheduler.Run{Task: "j.0.0.0", Attempt: 1}, Cause: scheduler.Stopped}, clock())
	executor.runActions()
	executor.mu.Unlock()
	is.Equal(len(client.started), 0)
	is.Equal(<-client.started, "j") // the caller has not left
}

// A start that was decided before a pause must not be sent after the job's deadline, nor after its own.
func TestStartDecidedBeforeAPauseIsNotSentLate(t *testing.T) {
	is := is.New(t)
	client := &lateClient{started: make(chan string, 1000)}
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, time.Now, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	now := time.Now()
	for _, test := range []struct {
		issued, deadline time.Duration
		sent             int
	}{
		{-500 * time.Millisecond, -10 * time.Millisecond, 0},
		{-scheduler.LeaseDuration - time.Millisecond, time.Second, 0},
		{-500 * time.Millisecond, time.Second, 1},
	} {
		start := scheduler.StartTask{Job: "j", RunTarget: infosOf(1)[0], Issued: now.Add(test.issued), Deadline: now.Add(test.deadline)}
		executor.start(start)
		is.Equal(len(client.started), test.sent)
	}
}

// A job whose origin had given it up during a pause of this instance was started after the pause, as long as the delay of the
// origin's messages was not known.
func TestDelegationThatMayHaveWaitedDuringAPauseIsRefused(t *testing.T) {
	origin := linker.Hello{Domain: "b", Name: "n2", Incarnation: "peer", Weight: 0.144}
	tests := []struct {
		name     string
		known    bool
		pause    time.Duration
		since    time.Duration
		accepted bool
	}{
		{"delay unknown", false, 2400 * time.Millisecond, 0, false},
		{"delay known before", true, 2400 * time.Millisecond, 0, true},
		{"short pause", false, 300 * time.Millisecond, 0, true},
		{"no pause", false, 0, 0, true},
		{"long after the pause", false, 2400 * time.Millisecond, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var passed atomic.Int64
			begin := time.Now()
			clock := func() time.Time { return begin.Add(time.Duration(passed.Load())) }
			executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self", Weight: 0.8}, silentClient{}, clock, hclog.NewNullLogger())
			t.Cleanup(executor.Close)
			executor.SetTargets(infosOf(1))
			pass := func(duration time.Duration) time.Time { return begin.Add(time.Duration(passed.Add(int64(duration)))) }
			executor.mu.Lock()
			executor.lastTick = pass(time.Millisecond)
			executor.mu.Unlock()
			stamped := linker.StateUpdate{SentUS: 1}
			if test.known {
				executor.peers.Receive(origin, stamped)
			}
			executor.mu.Lock()
			executor.lastTick = pass(time.Millisecond)
			// No tick can be handled while the lock is held.
			now := pass(test.pause)
			executor.noticePause(now)
			executor.lastTick = now
			executor.mu.Unlock()
			// What is read first after the pause tells nothing about the delay.
			executor.peers.Receive(origin, stamped)
			executor.mu.Lock()
			executor.lastTick = pass(test.since)
			executor.mu.Unlock()
			job := memoryJob("j", 1)
			executor.HandleDelegation("peer", encodeJob(&job, clock()), 0)
			is.Equal(executor.Has("j"), test.accepted)
		})
	}
}
