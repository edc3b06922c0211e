package executor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

// crowdedClient is the client of a target to which no connection is free.
type crowdedClient struct {
	silentClient
	// stops counts the stop requests; from acceptsAt on, they are accepted.
	stops, acceptsAt int
	limits           []map[string]int
}

func (client *crowdedClient) SetConnectionLimits(limits map[string]int) {
	client.limits = append(client.limits, limits)
}

func (*crowdedClient) Poll(context.Context, scheduler.Target, PollRequest) (scheduler.PollResult, error) {
	return scheduler.PollResult{}, eris.Wrap(ErrNoConnection, "polling a target")
}

func (client *crowdedClient) Stop(context.Context, scheduler.Target, scheduler.Run) error {
	if client.stops++; client.stops < client.acceptsAt {
		return eris.Wrap(ErrNoConnection, "stopping a run")
	}
	return nil
}

// Guards against a target that becomes unreachable because polls find no free connection, and against polls that are
// forgotten until the next one is due.
func TestPollWithoutAFreeConnection(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutorOf(t, &crowdedClient{})
	lastPoll := time.Now().Add(-time.Second)
	poller := &poller{id: "t", wake: make(chan struct{}, 1), lastPoll: lastPoll}
	poller.isReader.Store(true)
	executor.mu.Lock()
	executor.peersKnown = true
	executor.mu.Unlock()
	for range 2 * unreachableThreshold {
		executor.pollNext(t.Context(), poller)
	}
	is.Equal(poller.failures, 0)
	is.Equal(poller.lastPoll, lastPoll)
	is.Equal(executor.lastSilence.Load(), int64(0))
	is.Equal(executor.meter.unansweredPolls.Get(), uint64(0))
	executor.mu.Lock()
	defer executor.mu.Unlock()
	is.True(!executor.scheduler.TargetState("t").Unreachable)
}

// Guards against a run that goes on because the connections to its target are in use when it must be stopped.
func TestStopWithoutAFreeConnection(t *testing.T) {
	is := is.New(t)
	client := &crowdedClient{acceptsAt: 3}
	executor := newTestExecutorOf(t, client)
	executor.stop(scheduler.StopRun{RunTarget: scheduler.Target{ID: "t"}})
	is.Equal(client.stops, 3)
}

// Guards against limits where none are called for, and against a limit for the wrong role.
func TestConnectionLimitsOfTargets(t *testing.T) {
	is := is.New(t)
	client := &crowdedClient{}
	executor := newTestExecutorOf(t, client)
	executor.SetTargets([]scheduler.Target{{ID: "t", Address: "a:1"}, {ID: "u", Address: "a:2"}, {ID: "v", Address: "a:2"}})
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.updateConnectionLimits()
	is.Equal(len(client.limits), 0) // without a limit, the client is not called
	executor.pollers["t"].isReader.Store(true)
	executor.pollers["u"].isReader.Store(false)
	executor.pollers["v"].isReader.Store(true)
	is.Equal(executor.limitsByAddress(connectionLimits{reader: 3, other: 2}), map[string]int{"a:1": 3, "a:2": 3})
	is.Equal(executor.limitsByAddress(connectionLimits{reader: 3, other: 0}), map[string]int{"a:1": 3, "a:2": 0})
	executor.connectionLimits = connectionLimits{reader: 3, other: 2}
	executor.updateConnectionLimits() // the limits have ended
	is.Equal(client.limits, []map[string]int{{"a:1": 0, "a:2": 0}})
	executor.updateConnectionLimits()
	is.Equal(len(client.limits), 1)
}
