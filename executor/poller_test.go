package executor

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// silentClient is the client of a target that answers no request.
type silentClient struct{}

func (silentClient) CloseIdle() {}

func (silentClient) SetConnectionLimits(map[string]int) {}

func (silentClient) Start(context.Context, scheduler.Target, scheduler.StartTask, time.Time) scheduler.StartResult {
	return scheduler.StartUnanswered
}

func (silentClient) Stop(context.Context, scheduler.Target, scheduler.Run) error {
	return eris.New("no answer")
}

func (silentClient) Poll(context.Context, scheduler.Target, PollRequest) (scheduler.PollResult, error) {
	return scheduler.PollResult{}, eris.New("no answer")
}

func newTestExecutor(t *testing.T) *Executor { return newTestExecutorOf(t, silentClient{}) }

// newSettled returns an executor of an instance that has joined older ones, so that it awaits no first look at the targets.
func newSettled(self linker.Hello, client TargetClient, now func() time.Time, logger hclog.Logger) *Executor {
	executor := New(self, 0, client, now, logger)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.CheckFirstLook(time.Time{}, now())
	executor.runActions()
	return executor
}

func newTestExecutorOf(t *testing.T, client TargetClient) *Executor {
	self := linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}
	executor := newSettled(self, client, time.Now, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	executor.SetTargets([]scheduler.Target{{ID: "t", Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 32000}}})
	return executor
}

// An end must not be acknowledged before the run's owner has received it. Otherwise, after a loss of all instances,
// when each one reads all targets, the owner finds its run missing and starts the task again.
func TestEndWithoutAKnownOwnerIsWithheld(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	poller := &poller{id: "t", withheld: make(map[int64]time.Time)}
	poller.isReader.Store(true)
	now := time.Now()
	ends := []scheduler.End{
		{Seq: 1, Run: scheduler.Run{Task: "j.0.0.0", Attempt: 1}, Cause: scheduler.Done},
		{Seq: 2, Run: scheduler.Run{Task: "k.0.0.0", Attempt: 1}, Cause: scheduler.Done},
	}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.processEnds(poller, scheduler.PollResult{Ended: ends, Answered: now})
	is.Equal(poller.forwarded, int64(2))
	is.Equal(poller.acknowledgeable, int64(0))
	executor.processEnds(poller, scheduler.PollResult{Ended: ends, Answered: now.Add(withholdPeriod)})
	is.Equal(poller.acknowledgeable, int64(2))
}

// Polls must neither delay ends, renew the lease of an unreachable target, nor visit targets without work.
func TestNextPoll(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		isReader bool
		state    scheduler.TargetState
		failures int
		due      bool
	}{
		{"reader of an occupied target", true, scheduler.TargetState{Occupied: true, LastHeard: now}, 0, true},
		{"reader of an idle target", true, scheduler.TargetState{LastHeard: now}, 0, false},
		{"reader of an idle target again", true, scheduler.TargetState{LastHeard: now, ReadSince: now.Add(-time.Millisecond)}, 0, true},
		{"not the reader, recent report", false, scheduler.TargetState{Occupied: true, HasOwnRuns: true, LastHeard: now}, 0, false},
		{"not the reader, old report", false, scheduler.TargetState{Occupied: true, HasOwnRuns: true, LastHeard: now.Add(-readerTimeout)}, 0, true},
		{"reader, peers not known yet", true, scheduler.TargetState{LastHeard: now}, 0, false},
		{"reader of a restarted target, peers not known yet", true, scheduler.TargetState{Unguarded: true, LastHeard: now}, 0, true},
		{"outstanding start, not the reader", false, scheduler.TargetState{Outstanding: 1, LastHeard: now}, 0, true},
		{"outstanding start, unreachable target", true, scheduler.TargetState{Outstanding: 1, Unreachable: true, LastHeard: now}, unreachableThreshold, true},
		{"host refuses another instance, reader of an idle target", true, scheduler.TargetState{Refusing: 1, LastHeard: now}, 0, true},
		{"host refuses another instance, not the reader", false, scheduler.TargetState{LastHeard: now}, 0, false},
		{"start could not be sent, reader polled three times", true, scheduler.TargetState{Unreachable: true, UnreachableSince: now.Add(-time.Hour), LastHeard: now}, unreachableThreshold - 1, true},
		{"idle target that may have a start under way", true, scheduler.TargetState{Watched: 4, WatchedUntil: now.Add(time.Millisecond), LastHeard: now}, 0, true},
		{"idle target that may have a start under way, not the reader", false, scheduler.TargetState{WatchedUntil: now.Add(time.Millisecond), LastHeard: now}, 0, false},
		{"idle target, nothing under way any more", true, scheduler.TargetState{Watched: 4, WatchedUntil: now, LastHeard: now}, 0, false},
		{"own run, peers not known yet", true, scheduler.TargetState{Occupied: true, HasOwnRuns: true, LastHeard: now}, 0, true},
		{"repeat after an unanswered poll", false, scheduler.TargetState{LastHeard: now}, 1, true},
		{"unreachable target, just polled", true, scheduler.TargetState{Unreachable: true, LastHeard: now}, unreachableThreshold, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			poller := &poller{polled: true, failures: test.failures, lastPoll: now.Add(-probeInterval / 2)}
			if test.name == "not the reader, old report" || test.state.WatchedUntil != (time.Time{}) {
				poller.lastPoll = now.Add(-probeInterval)
			}
			if strings.HasSuffix(test.name, "peers not known yet") {
				poller.polled, poller.awaitsPeers = false, true
			}
			poller.isReader.Store(test.isReader)
			_, pause := poller.nextPoll(test.state, now)
			is.Equal(pause <= 0, test.due)
		})
	}
}

// Targets must be distributed by weight, by a score on which all instances agree; otherwise each of two instances may
// expect the other one to read a target.
func TestReadersAreSharedByWeight(t *testing.T) {
	is := is.New(t)
	small, large := linker.Hello{Incarnation: "s", Weight: 0.2}, linker.Hello{Incarnation: "l", Weight: 0.8}
	count := 0
	for number := range 2000 {
		if target := time.Duration(number).String(); rendezvousScore(target, &large) > rendezvousScore(target, &small) {
			count++
		}
	}
	is.True(count > 1500 && count < 1700) // four out of five
}

// A leaving instance must not remain a reader: the claims of the others go elsewhere, so it would stop their runs as
// orphans.
func TestLeavingInstanceReadsNothing(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	other := []linker.Hello{{Domain: "b", Name: "n2", Incarnation: "other"}}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	poller := executor.pollers["t"]
	executor.assignReader(poller, executor.readerCandidates(other), time.Now())
	is.Equal(poller.reader, "self") // same failure domain as the target
	executor.leaving = true
	executor.assignReader(poller, executor.readerCandidates(other), time.Now())
	is.Equal(poller.reader, "other")
	executor.assignReader(poller, executor.readerCandidates(nil), time.Now())
	is.Equal(poller.reader, "self") // no other instance is left
}

// An instance that waits for news of its run on a restarted target must not poll the target in quick succession; each poll
// has a price.
func TestUnverifiedTargetIsNotPolledInQuickSuccession(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	state := scheduler.TargetState{Occupied: true, HasOwnRuns: true, Unverified: true, IncarnationSince: now.Add(-10 * time.Millisecond)}
	poller := &poller{polled: true, lastPoll: now.Add(-minPollInterval), lastAnswer: now.Add(-time.Second)}
	_, pause := poller.nextPoll(state, now)
	is.True(pause <= 0) // the new incarnation has not answered yet
	poller.lastAnswer = now.Add(-minPollInterval)
	_, pause = poller.nextPoll(state, now)
	is.True(pause > 0)
	_, pause = poller.nextPoll(state, now.Add(unverifiedPollInterval))
	is.True(pause <= 0)
}

// A poll must not renew a lease whose renewals another instance has suspended: the lease covers a run that must end.
func TestPollRenewsNoSuspendedLease(t *testing.T) {
	is := is.New(t)
	client := &restartedClient{incarnation: 1}
	executor, poller := newAcknowledgingPoller(t, client, true)
	run := startOn(executor)
	suspension := linker.Suspension{Target: "t", Incarnation: 1, Task: run.Task, Attempt: run.Attempt, RemainingMS: 60_000}
	executor.HandleStateUpdate("peer", linker.StateUpdate{Suspensions: []linker.Suspension{suspension}})
	executor.pollNext(t.Context(), poller)
	is.True(client.requests[0].Lease.IsZero())
	suspension.RemainingMS = 0
	executor.HandleStateUpdate("peer", linker.StateUpdate{Suspensions: []linker.Suspension{suspension}})
	time.Sleep(minPollInterval)
	executor.pollNext(t.Context(), poller)
	is.True(!client.requests[1].Lease.IsZero())
}

// An instance that neither reads an unreachable target nor has runs there must probe it rarely: on full links, each of 18
// instances probed all 120 targets 2.5 times a second, also when no work was left.
func TestProbesOfOthersTargetsBackOff(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	pause := func(isReader, hasOwnRuns bool, failures int) time.Duration {
		poller := &poller{polled: true, failures: failures, lastPoll: now}
		poller.isReader.Store(isReader)
		_, pause := poller.nextPoll(scheduler.TargetState{Unreachable: true, HasOwnRuns: hasOwnRuns, LastHeard: now}, now)
		return pause
	}
	is.Equal(pause(false, false, 0), probeInterval)
	is.Equal(pause(false, false, 1), 2*probeInterval)
	is.Equal(pause(false, false, 10), maxProbeInterval)
	is.Equal(pause(true, false, 10), probeInterval)
	is.Equal(pause(false, true, 10), probeInterval)
}

// A target that was back after 0.3 s carried out orders for its former incarnation until its reader polled it, up to 400 ms later. A
// reader must not probe a target that stays away more than six times beyond that.
func TestTargetThatIsBackSoonIsPolledSoon(t *testing.T) {
	is := is.New(t)
	since := time.Now()
	poller := &poller{polled: true, failures: unreachableThreshold, lastPoll: since}
	poller.isReader.Store(true)
	probes := 0
	for ; poller.lastPoll.Sub(since) < 2*probeInterval; probes++ {
		_, pause := poller.nextPoll(scheduler.TargetState{Unreachable: true, UnreachableSince: since}, poller.lastPoll)
		is.True(pause >= minProbeInterval && pause <= max(minProbeInterval, poller.lastPoll.Sub(since)))
		is.True(pause <= probeInterval)
		poller.lastPoll, poller.failures = poller.lastPoll.Add(pause), poller.failures+1
	}
	is.True(probes <= 2+6)
}

// Targets that are gone must not keep the polls of all others short: on grown deployments some target always is, so that each
// instance polled twice as often as without. If polls are lost now and then, they must stay short, since a lost one delays the ends by
// its whole wait.
func TestPollsAreShortOnlyAfterNewSilences(t *testing.T) {
	tests := []struct {
		name     string
		err      error
		failures int
		want     bool
	}{
		{"a poll is lost", eris.New("timeout"), 0, true},
		{"a target stays silent", eris.New("timeout"), 1, false},
		{"a host refuses connections", syscall.ECONNREFUSED, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			executor := newTestExecutor(t)
			executor.handlePollFailure(&poller{id: "t", failures: test.failures}, scheduler.Target{ID: "t"}, test.err)
			now := executor.now()
			is.Equal(executor.degraded(now), test.want)
			is.True(!executor.degraded(now.Add(degradedPeriod)))
		})
	}
}
