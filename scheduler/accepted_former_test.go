package scheduler

import (
	"testing"

	"github.com/matryer/is"
)

// A request that an earlier incarnation has accepted must not count as one that names the present incarnation: the target would count as
// one that refuses the late start, and the task would start elsewhere beside it.
func TestAcceptedStopOfAFormerIncarnationDoesNotRefuseLateStarts(t *testing.T) {
	tests := []struct {
		name    string
		former  func(*Scheduler, StartTask) Run
		restart int
	}{
		{"stop for another instance", func(scheduler *Scheduler, start StartTask) Run {
			run := Run{Task: "other.0.0.0", Attempt: 1}
			scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Named: 1, Sent: at(100), Answered: at(101), Running: []ActiveRun{{Run: start.Run}, {Run: run}}})
			return run
		}, 300},
		{"stop whose end is known", func(scheduler *Scheduler, start StartTask) Run {
			scheduler.Abandon("j", "the caller left", at(100))
			scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Stopped, Incarnation: 1}, at(110))
			return start.Run
		}, 120},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			scheduler.Submit(longJob(20000), at(0))
			start := drain(scheduler).starts[0]
			_, _ = scheduler.RepeatStart(&start, StartUnanswered, true, at(60))
			scheduler.HandleRepeatedStartResult(&start, StartTaken, at(62))
			run := test.former(scheduler, start)
			scheduler.HandlePeerRestart(start.Target, 2, at(test.restart))
			is.True(scheduler.TargetState(start.Target).Unguarded)
			scheduler.HandleStopResult(start.Target, run, true, at(test.restart+5)) // the answer of incarnation 1
			is.True(scheduler.TargetState(start.Target).Unguarded)
			is.Equal(len(scheduler.lateStarts), 1)
			is.True(scheduler.isOutstanding(scheduler.lateStarts[0], at(test.restart+6)))
		})
	}
}
