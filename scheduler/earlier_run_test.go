package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A job that is sent again must not start while a run of its earlier submission is known to go on, whoever has to end that.
func TestJobSentAgainWaitsForKnownRunOfItsTask(t *testing.T) {
	run := Run{Task: "j.0.0.0", Attempt: 1}
	list := func(scheduler *Scheduler, now int) {
		poll := PollResult{Incarnation: 1, Running: []ActiveRun{{Run: run, MilliCores: 14000}}, Sent: at(now), Answered: at(now + 1)}
		scheduler.HandlePoll("t0", poll)
	}
	claim := Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Estimate: 2 * time.Second}
	tests := []struct {
		name  string
		learn func(*Scheduler)
	}{
		{"run without a known owner", func(scheduler *Scheduler) { list(scheduler, 90) }},
		{"run of a lost owner", func(scheduler *Scheduler) {
			scheduler.HandlePeerClaim("lost", claim, at(10))
			list(scheduler, 90)
			scheduler.RemovePeer("lost")
		}},
		{"stop of the run under way", func(scheduler *Scheduler) {
			scheduler.HandlePeerClaim("lost", claim, at(10))
			list(scheduler, 90)
			scheduler.RemovePeer("lost")
			scheduler.StopOrphans("t0", func(string) bool { return false }, at(92))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			test.learn(scheduler)
			drain(scheduler)
			scheduler.Submit(testJob("j", 1, 400, 100), at(100))
			scheduler.Tick(at(105))
			is.Equal(len(drain(scheduler).starts), 0)
			scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Stopped, Incarnation: 1}, at(150))
			scheduler.Tick(at(155))
			starts := drain(scheduler).starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Run.Task, run.Task)
		})
	}
}
