package executor

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// movedClient is the client of a target that is found at another address while a poll of its former one is under way.
type movedClient struct {
	silentClient
	move func()
	err  error
}

func (client *movedClient) Poll(context.Context, scheduler.Target, PollRequest) (scheduler.PollResult, error) {
	client.move()
	return scheduler.PollResult{}, client.err
}

// A failed poll of the former address must not count against the target at its new address.
func TestFailedPollOfFormerAddressCountsNothing(t *testing.T) {
	for _, err := range []error{eris.Wrap(ErrReplaced, "polling a target"), eris.New("no answer")} {
		is := is.New(t)
		client := &movedClient{err: err, move: func() {}}
		executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, time.Now, hclog.NewNullLogger())
		t.Cleanup(executor.Close)
		poller := &poller{id: "t", wake: make(chan struct{}, 1), withheld: make(map[int64]time.Time), failures: unreachableThreshold - 1}
		poller.isReader.Store(true)
		set := func(info scheduler.Target) {
			executor.mu.Lock()
			defer executor.mu.Unlock()
			executor.scheduler.SetTargets([]scheduler.Target{info}, time.Now())
			executor.scheduler.SetReader("t", true, time.Now().Add(-2*time.Second))
		}
		set(infosOf(1)[0])
		client.move = func() {
			info := infosOf(2)[0]
			info.Address = "127.0.0.1:2"
			set(info)
			startOn(executor)
		}
		executor.pollNext(t.Context(), poller)
		is.Equal(poller.failures, 0)
		executor.mu.Lock()
		is.True(!executor.scheduler.TargetState("t").Unreachable)
		for _, loss := range executor.scheduler.Losses() {
			is.Equal(loss.Incarnation, int64(1)) // that one has ended
			is.Equal(len(loss.Suspects), 0)
		}
		executor.mu.Unlock()
	}
}
