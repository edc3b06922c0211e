package scheduler

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against setting aside a target, or its task avoiding it, because all connections of this instance to it were in use: a
// start that was not sent goes elsewhere at once, and the target gets work again after noConnectionBackoff.
func TestStartWithoutAFreeConnection(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	first := drain(scheduler).starts[0]
	scheduler.HandleStartResult(first.Target, first.Run, StartNoConnection, at(5))
	var again []StartTask
	withdrawn := false
	for _, action := range scheduler.TakeActions() {
		switch action := action.(type) {
		case LossRecorded, RunLost, StopRun, AnswerJob:
			t.Errorf("unexpected action %+v", action)
		case WithdrawClaim:
			withdrawn = action.Run == first.Run
		case StartTask:
			again = append(again, action)
		}
	}
	is.True(withdrawn)
	is.Equal(len(again), 1)
	is.True(again[0].Target != first.Target)
	is.True(!scheduler.TargetState(first.Target).Unreachable)
	is.True(!scheduler.tasks[first.Run.Task].avoided[first.Target])
	is.Equal(scheduler.targets[first.Target].exclusions, 0)
	is.Equal(scheduler.targets[first.Target].freeCapacity(at(5)), testTarget(0).Capacity)
	// The other target has capacity for one more task.
	scheduler.Submit(testJob("k", 2, 400, 6), at(6))
	starts := drain(scheduler).starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Target, again[0].Target)
	for now := 7; now < 20; now++ {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.Tick(at(20))
	starts = drain(scheduler).starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Target, first.Target)
}

// Guards against answering that a job may have run although none of its starts was sent.
func TestStartWithoutAFreeConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	is.True(!StartNoConnection.mayHaveRun())
	is.Equal(StartNoConnection.String(), "no-connection")
}
