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

// lostStartClient is the client of targets of which the first one gets no start request, and that hold back the answers to polls.
type lostStartClient struct {
	mu sync.Mutex
	// lostOn is the target of the lost start, requests counts the requests for it, acceptedAt when it accepted the stop, and lists how often its list was then requested
	// at once.
	lostOn     string
	requests   int
	acceptedAt time.Time
	lists      int
	restarted  chan time.Time
	// restartedOn is the target of the next attempt.
	restartedOn string
}

func (*lostStartClient) CloseIdle() {}

func (*lostStartClient) SetConnectionLimits(map[string]int) {}

func (client *lostStartClient) Start(_ context.Context, on scheduler.Target, start scheduler.StartTask, _ time.Time) scheduler.StartResult {
	client.mu.Lock()
	defer client.mu.Unlock()
	if start.Run.Attempt == 1 {
		client.lostOn = on.ID
		client.requests++
		return scheduler.StartUnanswered
	}
	client.restartedOn = on.ID
	client.restarted <- time.Now()
	return scheduler.StartTaken
}

func (client *lostStartClient) Stop(context.Context, scheduler.Target, scheduler.Run) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.acceptedAt = time.Now()
	return nil
}

func (client *lostStartClient) Poll(ctx context.Context, on scheduler.Target, request PollRequest) (scheduler.PollResult, error) {
	sent := time.Now()
	client.mu.Lock()
	if on.ID == client.lostOn && request.Wait == 0 && request.Lease.IsZero() && !client.acceptedAt.IsZero() {
		client.lists++
	}
	client.mu.Unlock()
	select {
	case <-time.After(request.Wait):
	case <-ctx.Done():
		return scheduler.PollResult{}, ctx.Err()
	}
	return scheduler.PollResult{Incarnation: 1, Sent: sent, Answered: time.Now()}, nil
}

// A start that was never carried out must be found out by a list of its own: the answer to the reader's poll is held back, since
// nothing ends on the target.
func TestLostStartIsFoundOutAtOnce(t *testing.T) {
	is := is.New(t)
	client := &lostStartClient{restarted: make(chan time.Time, 10)}
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, time.Now, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	infos := make([]scheduler.Target, 2)
	for number, id := range []string{"t", "u"} {
		infos[number] = scheduler.Target{ID: id, Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 32000}, Incarnation: 1}
	}
	executor.SetTargets(infos)
	time.Sleep(startupGrace + 100*time.Millisecond)
	now := time.Now()
	job := scheduler.Job{
		ID: "j", Service: "work", MaxFailures: 2, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(3 * time.Second),
		Steps: []scheduler.Step{{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 1000}, Estimate: time.Second}},
	}
	go executor.Submit(t.Context(), job)
	restartedAt := <-client.restarted
	client.mu.Lock()
	defer client.mu.Unlock()
	is.True(restartedAt.Sub(client.acceptedAt) < pollWait/2)
	is.Equal(client.lists, 1)
	is.True(client.requests > 1) // the target has been asked again before the task was stopped there
	is.Equal(client.restartedOn, client.lostOn)
}
