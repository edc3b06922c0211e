package executor

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/evacuator"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// newSteppedExecutor returns an executor that reads the idle target t in failure domain a. Its clock advances only by the returned
// counter of nanoseconds.
func newSteppedExecutor(t *testing.T) (*Executor, *lateClient, *atomic.Int64) {
	client := &lateClient{started: make(chan string, 1000)}
	began, elapsed := time.Now(), &atomic.Int64{}
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, func() time.Time { return began.Add(time.Duration(elapsed.Load())) }, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	before := began.Add(-2 * time.Second)
	executor.scheduler.SetTargets(infosOf(1), began)
	executor.scheduler.SetReader("t", true, before)
	executor.scheduler.HandlePoll("t", scheduler.PollResult{Sent: before, Answered: before})
	return executor, client, elapsed
}

// submitStepped submits a job and returns the starts that are decided, without sending them.
func (executor *Executor) submitStepped(id string) []scheduler.StartTask {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	now := executor.now()
	executor.noticePause(now)
	step := scheduler.Step{Tasks: []string{id + ".0.0.0"}, Resources: scheduler.Resources{MilliCores: 14000}, Estimate: 20 * time.Millisecond}
	executor.scheduler.Submit(scheduler.Job{ID: id, Service: "work", Steps: []scheduler.Step{step}, MaxFailures: 2, Arrived: now, Deadline: now.Add(time.Minute), Objective: now.Add(40 * time.Second)}, now)
	return startsOf(executor.scheduler.TakeActions())
}

// startsOf returns the starts among actions.
func startsOf(actions []scheduler.Action) []scheduler.StartTask {
	var starts []scheduler.StartTask
	for _, action := range actions {
		if start, ok := action.(scheduler.StartTask); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

// A start that was decided before the evacuation became known must not be sent after it, also if the target's failure domain changed
// meanwhile, and its task must start as soon as the evacuation is withdrawn.
func TestDecidedStartIsWithheld(t *testing.T) {
	moved := infosOf(1)
	moved[0].Domain = "b"
	tests := []struct {
		name   string
		change func(*Executor)
		undo   func(*Executor)
	}{
		{
			"evacuated", func(executor *Executor) {
				executor.ApplyEvacuations([]evacuator.Record{{Domain: "a", Version: 3, Evacuated: true}})
			},
			func(executor *Executor) { executor.ApplyEvacuationSnapshot(nil, 5) },
		},
		{
			"moved into an evacuated domain", func(executor *Executor) {
				executor.ApplyEvacuations([]evacuator.Record{{Domain: "b", Version: 3, Evacuated: true}})
				executor.SetTargets(moved)
			}, func(executor *Executor) { executor.ApplyEvacuations([]evacuator.Record{{Domain: "b", Version: 4}}) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			executor, client, _ := newSteppedExecutor(t)
			start := executor.submitStepped("j")[0]
			is.True(!executor.Withholds(start.RunTarget))
			test.change(executor)
			is.True(executor.Withholds(start.RunTarget))
			executor.start(start)
			is.Equal(executor.meter.startsWithheld.Get(), uint64(1))
			is.Equal(len(client.started), 0)
			is.True(executor.Has("j")) // waits for the withdrawal
			test.undo(executor)
			is.True(!executor.Withholds(start.RunTarget))
			is.Equal(<-client.started, "j")
		})
	}
}

// evacuationsSent returns how many records an instance has sent to others.
func (member *member) evacuationsSent() int64 {
	for _, entries := range member.Peers().Entries() {
		if entries.Kind() == "evacuations" {
			return entries.Sent()
		}
	}
	return -1
}

func (member *member) withholds(domain string) bool {
	return member.Withholds(scheduler.Target{ID: "none", Domain: domain})
}

// An instance whose store is silent must obey an evacuation that any other instance knows of, from the next heartbeat on, also if it
// joins later; and it must learn of the withdrawal, also if the store has trimmed that. One that knows nothing more must send nothing.
func TestInstancesLearnEvacuationsFromEachOther(t *testing.T) {
	is := is.New(t)
	targets := []scheduler.Target{{ID: "t", Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 320000, MemoryMB: 1 << 20}}}
	target := newMemoryTarget(20 * time.Millisecond)
	var members []*member
	var peers []linker.Peer
	add := func(name, domain string) *member {
		self := linker.Hello{Domain: domain, Name: name, Incarnation: name}
		added := newMember(t, self, instanceClient{target, name}, linker.DefaultLimits(), targets, hclog.NewNullLogger())
		members, peers = append(members, added), append(peers, added.peer())
		for _, member := range members {
			member.links.SetMembers(peers)
		}
		return added
	}
	informed, cut, remote := add("informed", "a"), add("cut", "a"), add("remote", "b")
	informed.ApplyEvacuationSnapshot([]evacuator.Record{{Domain: "b", Version: 8, Evacuated: true}}, 9)
	await(t, "the others know of the evacuation", func() bool { return cut.withholds("b") && remote.withholds("b") })
	late := add("late", "a")
	await(t, "the late one knows of it", func() bool { return late.withholds("b") })
	is.Equal(remote.evacuationsSent()+cut.evacuationsSent()+informed.evacuationsSent() >= 3, true)
	is.Equal(late.evacuationsSent(), int64(0)) // it lacked them, and all others have them
	informed.ApplyEvacuationSnapshot(nil, 20)
	await(t, "all know of the withdrawal", func() bool {
		return !cut.withholds("b") && !remote.withholds("b") && !late.withholds("b")
	})
}

// A job of an instance that delegates its jobs must be refused at once by the delegate if all targets are evacuated, and run again
// afterwards. Only the instance that delegates hears of it from the store.
func TestDelegatedJobObeysTheEvacuation(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(20 * time.Millisecond)
	small, large := newPair(t, target)
	small.ApplyEvacuations([]evacuator.Record{{Domain: "a", Version: 1, Evacuated: true}})
	await(t, "the delegate knows of the evacuation", func() bool { return large.withholds("a") })
	refused, ok := (<-small.submit(t.Context(), memoryJob("j", 3))).(dispatcher.Refused)
	is.True(ok)
	is.Equal(refused.Reason(), dispatcher.ReasonUnavailable)
	is.Equal(target.readLocked(func() int { return target.startsBy["large"] + target.startsBy["small"] }), 0)
	small.ApplyEvacuations([]evacuator.Record{{Domain: "a", Version: 2}})
	await(t, "the delegate knows of the withdrawal", func() bool { return !large.withholds("a") })
	_, complete := (<-small.submit(t.Context(), memoryJob("k", 3))).(dispatcher.Complete)
	is.True(complete)
}

// An instance that hears that another one knows more must start nothing until it knows that too, or its wait is over: it has perhaps
// been paused or cut off for longer than an evacuation may take.
func TestStartsAreHeldForMissingEvacuations(t *testing.T) {
	waiting := []int64{0}
	tests := []struct {
		name   string
		update linker.StateUpdate
		wait   time.Duration
		starts bool
	}{
		{"the records arrive", linker.StateUpdate{Evacuations: []linker.Evacuation{{Domain: "b", Version: 5, Evacuated: true}}}, 0, true},
		{"of this domain", linker.StateUpdate{Evacuations: []linker.Evacuation{{Domain: "a", Version: 5, Evacuated: true}}}, maxEvacuationWait, false},
		{"older records arrive", linker.StateUpdate{Evacuations: []linker.Evacuation{{Domain: "b", Version: 4, Evacuated: true}}}, 0, false},
		{"another broadcast", linker.StateUpdate{Waiting: waiting, EvacuationVersion: 5}, 0, false},
		{"the wait is over", linker.StateUpdate{Waiting: waiting, EvacuationVersion: 5}, maxEvacuationWait, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			executor, client, elapsed := newSteppedExecutor(t)
			executor.HandleStateUpdate("peer", linker.StateUpdate{Waiting: waiting, EvacuationVersion: 5})
			is.Equal(len(executor.submitStepped("j")), 0)
			elapsed.Add(int64(test.wait))
			executor.HandleStateUpdate("peer", test.update)
			switch {
			case test.wait > 0:
				// The step of the clock looks like a pause, after which the first job is held for another reason.
				is.Equal(len(executor.submitStepped("k")) > 0, test.starts)
				return
			case test.starts:
				is.Equal(<-client.started, "j")
				return
			}
			executor.mu.Lock()
			executor.scheduler.Place(executor.now())
			is.Equal(len(startsOf(executor.scheduler.TakeActions())), 0)
			executor.mu.Unlock()
			is.Equal(len(client.started), 0)
		})
	}
}

// After a pause of seconds, the first jobs must not start by evacuations that are as old as the pause. Another instance that knows
// nothing more ends the wait. Deployments without a bound for evacuations must not wait.
func TestStartsAreHeldAfterALongPause(t *testing.T) {
	for _, test := range []struct {
		bound, pause time.Duration
		held         bool
	}{
		{5 * time.Second, pauseThreshold + time.Millisecond, false},
		{5 * time.Second, 5*time.Second - evacuationReserve, true},
		{0, 5 * time.Second, false},
	} {
		is := is.New(t)
		executor, client, elapsed := newSteppedExecutor(t)
		executor.SetEvacuationBound(test.bound)
		elapsed.Add(int64(test.pause))
		is.Equal(len(executor.submitStepped("j")) == 0, test.held)
		if test.held {
			executor.HandleStateUpdate("peer", linker.StateUpdate{Waiting: []int64{0}})
			is.Equal(<-client.started, "j")
		}
	}
}
