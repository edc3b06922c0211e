package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
		state := executor.scheduler.TargetState("t")
		is.True(state.Fenced && !state.Unreachable)
		is.Equal(poller.mayAcknowledge(state, time.Now()), int64(0))
		executor.mu.Lock()
		executor.scheduler.HandlePeerRestart("t", 2, time.Now())
		is.True(!executor.scheduler.TargetState("t").Fenced)
		executor.mu.Unlock()
	}
}
