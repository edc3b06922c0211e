package executor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/isolator"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// A target that refuses polls for a former incarnation must not be taken for silent or lost, nor be polled without a pause.
func TestFencedPollIsNoFailure(t *testing.T) {
	for _, reads := range []bool{true, false} {
		is := is.New(t)
		client := &restartedClient{incarnation: 2, fencedBelow: 2}
		executor, poller := newAcknowledgingPoller(t, client, reads)
		poller.polled = !reads
		executor.mu.Lock()
		executor.scheduler.HandleFenced(infosOf(1)[0], time.Now())
		executor.mu.Unlock()
		for deadline := time.Now().Add(4 * fencedPollInterval); time.Now().Before(deadline); {
			executor.pollNext(t.Context(), poller)
		}
		is.True(len(client.requests) >= 3 && len(client.requests) <= 6)
		is.Equal(poller.failures, 0)
		is.True(!executor.degraded(time.Now()))
		executor.mu.Lock()
		state := executor.scheduler.TargetState("t")
		is.True(state.Fenced && !state.Unreachable)
		is.Equal(poller.mayAcknowledge(state, time.Now()), int64(0))
		executor.scheduler.HandlePeerRestart("t", 2, time.Now())
		is.True(!executor.scheduler.TargetState("t").Fenced)
		executor.mu.Unlock()
	}
}

// The reader must name the new incarnation of a target at once, so that it refuses what was sent to the former one.
func TestReaderPollsARestartedTargetAtOnce(t *testing.T) {
	news := map[string]func(*Executor){
		"discovery": func(executor *Executor) { executor.SetTargets(infosOf(2)) },
		"loss": func(executor *Executor) {
			executor.mu.Lock()
			defer executor.mu.Unlock()
			executor.scheduler.HandlePeerLoss(isolator.Loss{Target: "t", Incarnation: 1}, time.Now())
			executor.scheduler.HandlePeerRestart("t", 2, time.Now())
			executor.runActions()
		},
	}
	for name, learn := range news {
		for _, failures := range []int{0, unreachableThreshold} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				polled := make(chan int64, 100)
				client := &pollRecorder{polled: polled}
				executor, poller := newAcknowledgingPoller(t, &restartedClient{}, true)
				executor.client = client
				poller.cancel = func() {}
				now := time.Now()
				poller.failures, poller.lastPoll, poller.acknowledged = failures, now, poller.acknowledgeable
				executor.mu.Lock()
				executor.pollers["t"] = poller
				poller.incarnationSince = executor.scheduler.TargetState("t").IncarnationSince
				if failures > 0 {
					// The pauses between the probes of a silent target exceed the time of the test after a longer outage.
					executor.scheduler.MarkUnreachable("t", false, now.Add(-probeInterval))
				}
				executor.mu.Unlock()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					for len(polled) == 0 && ctx.Err() == nil {
						executor.pollNext(ctx, poller)
					}
				}()
				time.Sleep(20 * time.Millisecond)
				is.Equal(len(polled), 0)
				learn(executor)
				<-done
				is.Equal(len(polled), 1)
				is.Equal(<-polled, int64(2))
				is.True(time.Since(now) < probeInterval/2)
			})
		}
	}
}

// pollRecorder records for which incarnations a target is polled.
type pollRecorder struct {
	silentClient
	polled chan int64
}

func (client *pollRecorder) Poll(_ context.Context, on scheduler.Target, _ PollRequest) (scheduler.PollResult, error) {
	client.polled <- on.Incarnation
	return scheduler.PollResult{Incarnation: 2, Sent: time.Now(), Answered: time.Now()}, nil
}
