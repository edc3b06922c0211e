package executor

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// absentOrderer answers no order.
type absentOrderer struct{}

func (absentOrderer) CloseIdle() {}

func (absentOrderer) Start(context.Context, scheduler.Target, scheduler.StartTask, time.Time) scheduler.StartResult {
	return scheduler.StartUnanswered
}

func (absentOrderer) Stop(context.Context, scheduler.Target, scheduler.Run) error {
	return eris.New("no answer")
}

func (absentOrderer) Poll(context.Context, scheduler.Target, PollRequest) (scheduler.PollResult, error) {
	return scheduler.PollResult{}, eris.New("no answer")
}

func newTestExecutor(t *testing.T) *Executor {
	self := linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}
	executor := New(self, absentOrderer{}, time.Now, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	executor.SetTargets([]scheduler.Target{{ID: "t", Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 32000}}})
	return executor
}

// Guards against ends that are acknowledged before their owner was told: after the loss of all instances each one reads
// all targets, and the owner would find its run missing and start the task again.
func TestEndWithoutAKnownOwnerIsHeldBack(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	looker := &looker{id: "t", held: make(map[int64]time.Time)}
	looker.reads.Store(true)
	now := time.Now()
	ends := []scheduler.End{
		{Seq: 1, Run: scheduler.Run{Task: "j.0.0.0", Attempt: 1}, Cause: scheduler.Done},
		{Seq: 2, Run: scheduler.Run{Task: "k.0.0.0", Attempt: 1}, Cause: scheduler.Done},
	}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.noteEnds(looker, scheduler.PollResult{Ended: ends, Answered: now})
	is.Equal(looker.passed, int64(2))
	is.Equal(looker.noted, int64(0))
	executor.noteEnds(looker, scheduler.PollResult{Ended: ends, Answered: now.Add(untoldTime)})
	is.Equal(looker.noted, int64(2))
}

// Guards against looks that hold ends back for long, against a lease that is renewed by the look at a lost target, and
// against looks at targets without work.
func TestPlanOfLooks(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		reads    bool
		work     scheduler.TargetState
		failures int
		due      bool
	}{
		{"reader of an occupied target", true, scheduler.TargetState{Occupied: true, LastHeard: now}, 0, true},
		{"reader of an idle target", true, scheduler.TargetState{LastHeard: now}, 0, false},
		{"not the reader, fresh news", false, scheduler.TargetState{Occupied: true, HasOwnRuns: true, LastHeard: now}, 0, false},
		{"not the reader, old news", false, scheduler.TargetState{Occupied: true, HasOwnRuns: true, LastHeard: now.Add(-newsTime)}, 0, true},
		{"reader, others not known yet", true, scheduler.TargetState{LastHeard: now}, 0, false},
		{"own run, others not known yet", true, scheduler.TargetState{Occupied: true, HasOwnRuns: true, LastHeard: now}, 0, true},
		{"repeat after a look without answer", false, scheduler.TargetState{LastHeard: now}, 1, true},
		{"lost target, just asked", true, scheduler.TargetState{Unreachable: true, LastHeard: now}, failuresToUnreachable, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			looker := &looker{known: true, failures: test.failures, lastLook: now.Add(-probeTime / 2)}
			if test.name == "not the reader, old news" {
				looker.lastLook = now.Add(-probeTime)
			}
			if strings.HasSuffix(test.name, "others not known yet") {
				looker.known, looker.settled = false, now.Add(settleTime)
			}
			looker.reads.Store(test.reads)
			_, pause := looker.plan(test.work, now)
			is.Equal(pause <= 0, test.due)
		})
	}
}

// Guards against two instances that both think the other reads a target, and against shares that ignore size.
func TestReadersAreSharedByWeight(t *testing.T) {
	is := is.New(t)
	small, large := linker.Hello{Incarnation: "s", Weight: 0.2}, linker.Hello{Incarnation: "l", Weight: 0.8}
	count := 0
	for number := range 2000 {
		if target := time.Duration(number).String(); score(target, &large) > score(target, &small) {
			count++
		}
	}
	is.True(count > 1500 && count < 1700) // four of five
}

// Guards against a leaving instance that goes on reading: the claims of the others go elsewhere, so that it would stop
// their runs as orphans.
func TestLeavingInstanceReadsNothing(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	other := []linker.Hello{{Domain: "b", Name: "n2", Incarnation: "other"}}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	looker := executor.lookers["t"]
	executor.assignReader(looker, other, time.Now())
	is.Equal(looker.reader, "self") // of the target's failure domain
	executor.leaving = true
	executor.assignReader(looker, other, time.Now())
	is.Equal(looker.reader, "other")
	executor.assignReader(looker, nil, time.Now())
	is.Equal(looker.reader, "self") // nobody else is there
}
