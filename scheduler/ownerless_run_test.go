package scheduler

import (
	"testing"

	"github.com/matryer/is"
)

// After the loss of an owner, its caller sends the job again to an instance that reads none of the targets on which it ran, while a
// run goes on there.
func TestJobSentAgainAwaitsTheEndOfAnOwnerlessRun(t *testing.T) {
	is := is.New(t)
	run := Run{"j.0.0.0", 1}
	query := OwnedRun{Target: "t1", Incarnation: 1, Run: run}
	newInstance := func() *Scheduler {
		scheduler := newTestScheduler(2)
		scheduler.SetReader("t1", false, at(0))
		return scheduler
	}
	poll := func(scheduler *Scheduler, sent int, running ...ActiveRun) {
		scheduler.HandlePoll("t1", PollResult{Incarnation: 1, Running: running, Sent: at(sent), Answered: at(sent + 1)})
	}
	starts := func(scheduler *Scheduler, now int) int {
		scheduler.Tick(at(now))
		return len(drain(scheduler).starts)
	}
	scheduler := newInstance()
	_, owned := scheduler.HandleOwnerQuery(query, at(0))
	is.True(!owned)
	scheduler.Submit(testJob("j", 1, 300, 10), at(10))
	is.Equal(starts(scheduler, 11), 0)
	is.True(scheduler.TargetState("t1").Awaited)
	poll(scheduler, 20, ActiveRun{Run: run})
	is.Equal(starts(scheduler, 30), 0)
	poll(scheduler, 100)
	is.Equal(starts(scheduler, 102), 1)
	is.True(!scheduler.TargetState("t1").Awaited)

	scheduler = newInstance() // the query may come after the job
	for _, target := range scheduler.targets {
		target.heldUntil = at(30)
	}
	scheduler.Submit(testJob("j", 1, 300, 10), at(10))
	scheduler.HandleOwnerQuery(query, at(11))
	poll(scheduler, 5) // sent before the run was listed
	is.Equal(starts(scheduler, 40), 0)
}
