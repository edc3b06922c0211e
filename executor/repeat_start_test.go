package executor

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// scriptedClient is the client of targets that answer starts with the given results, one after the other.
type scriptedClient struct {
	silentClient
	results []scheduler.StartResult

	mu      sync.Mutex
	started []startRequest
	stops   int
	done    chan struct{}
}

// startRequest is a start that a target was sent.
type startRequest struct {
	target string
	run    scheduler.Run
	lease  time.Time
}

func (client *scriptedClient) Start(_ context.Context, on scheduler.Target, start scheduler.StartTask, lease time.Time) scheduler.StartResult {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.started = append(client.started, startRequest{on.ID, start.Run, lease})
	if len(client.started) == len(client.results) {
		close(client.done)
	}
	return client.results[len(client.started)-1]
}

func (client *scriptedClient) Stop(context.Context, scheduler.Target, scheduler.Run) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.stops++
	return nil
}

// A task must not leave a target on which a start of it may still be carried out: the next incarnation of the target would run it
// beside the run elsewhere, and no stop of the present one prevents that.
func TestTaskStaysOnTheTargetOfAnUnansweredStart(t *testing.T) {
	tests := []struct {
		name    string
		results []scheduler.StartResult
	}{
		{"answer lost once", []scheduler.StartResult{scheduler.StartUnanswered, scheduler.StartTaken}},
		{"answer lost twice", []scheduler.StartResult{scheduler.StartUnanswered, scheduler.StartUnanswered, scheduler.StartTaken}},
		{"no room meanwhile", []scheduler.StartResult{scheduler.StartUnanswered, scheduler.StartNoRoom, scheduler.StartNoRoom, scheduler.StartTaken}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := &scriptedClient{results: test.results, done: make(chan struct{})}
			executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, time.Now, hclog.NewNullLogger())
			t.Cleanup(executor.Close)
			executor.mu.Lock()
			executor.scheduler.SetTargets(infosOf(3), time.Now())
			executor.mu.Unlock()
			now := time.Now()
			go executor.Submit(t.Context(), scheduler.Job{
				ID: "j", Service: "work", MaxFailures: 2, Arrived: now, Deadline: now.Add(5 * time.Second), Objective: now.Add(5 * time.Second),
				Steps: []scheduler.Step{{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 1000}, Estimate: time.Second}},
			})
			<-client.done
			client.mu.Lock()
			defer client.mu.Unlock()
			is.Equal(len(client.started), len(test.results))
			for _, request := range client.started {
				is.Equal(request, client.started[0])
			}
			is.Equal(client.stops, 0)
			is.True(slices.Contains(client.results, scheduler.StartTaken))
		})
	}
}
