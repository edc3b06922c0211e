package scheduler

import (
	"testing"

	"github.com/matryer/is"
)

// The next incarnation of a target may have carried out a late start before this instance knows of it: a waiting task must not start beside
// that run, there or elsewhere, before the incarnation has listed its end.
func TestTaskDoesNotStartBesideItsLateRunOnTheNextIncarnation(t *testing.T) {
	tests := []struct {
		name      string
		isReader  bool
		isEarlier bool
	}{
		{"reader, latest run", true, false},
		{"reader, earlier run", true, true},
		{"another instance reads the target, latest run", false, false},
		{"another instance reads the target, earlier run", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			scheduler.Submit(longJob(20000), at(0))
			start := drain(scheduler).starts[0]
			scheduler.tasks[start.Run.Task].job.MaxFailures = 4
			if !test.isReader {
				scheduler.SetReader(start.Target, false, at(1))
			}
			_, _ = scheduler.RepeatStart(&start, StartUnanswered, true, at(60))
			scheduler.HandleRepeatedStartResult(&start, StartTaken, at(62))
			if test.isEarlier {
				scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Failed, Incarnation: 1}, at(100))
				next := drain(scheduler).starts
				is.Equal(len(next), 1)
				scheduler.HandleStartResult(start.Target, next[0].Run, StartNoRoom, at(101))
			}
			scheduler.targets[start.Target].unconnectedUntil = at(400)
			scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Failed, Incarnation: 1}, at(200))
			is.Equal(len(drain(scheduler).starts), 0)
			scheduler.HandlePeerRestart(start.Target, 2, at(500))
			if !test.isReader {
				scheduler.HandlePeerReport(CapacityReport{Target: start.Target, Incarnation: 2, Reporter: "peer", FreeCapacity: testTarget(0).Capacity}, at(500))
			}
			scheduler.Tick(at(501))
			scheduler.Sweep(at(501))
			drained := drain(scheduler)
			is.Equal(len(drained.stops), 1)
			is.Equal(len(drained.starts), 0)
			late := ActiveRun{Run: start.Run, MilliCores: 14000}
			scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Named: 2, Sent: at(504), Answered: at(505), Running: []ActiveRun{late}})
			scheduler.Tick(at(506))
			is.Equal(len(drain(scheduler).starts), 0)
			scheduler.HandleAccepted(drained.stops[0].RunTarget, at(507))
			scheduler.HandleStopResult(start.Target, start.Run, true, at(507))
			scheduler.Tick(at(508))
			is.Equal(len(drain(scheduler).starts), 0)
			scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Stopped, Incarnation: 2}, at(520))
			scheduler.Tick(at(521))
			is.Equal(len(drain(scheduler).starts), 1)
		})
	}
}
