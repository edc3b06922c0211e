package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// acceptStopOfUnanswered starts a job on two targets that others read; the start gets no answer, and its stop is accepted at 62 ms.
func acceptStopOfUnanswered() (*Scheduler, StartTask) {
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(-1000))
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(60))
	scheduler.HandleStopResult(start.Target, start.Run, true, at(62))
	scheduler.TakeActions()
	return scheduler, start
}

// listRunning delivers a list of a target that shows a run as running.
func listRunning(scheduler *Scheduler, targetID string, run Run, sent int) {
	scheduler.HandlePoll(targetID, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: run}}, Sent: at(sent), Answered: at(sent + 1)})
}

// A task whose stopped run went on for longer than a target may take to stop it started elsewhere beside that run.
func TestTaskWaitsForTheKnownEndOfItsStoppedRun(t *testing.T) {
	leaseEnd := 60 + int((LeaseDuration+leaseMargin)/time.Millisecond)
	tests := []struct {
		evidence EndEvidence
		at       int
		listed   bool
		learn    func(scheduler *Scheduler, start *StartTask, now time.Time)
	}{
		{EndListed, 300, true, func(scheduler *Scheduler, start *StartTask, now time.Time) {
			scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Stopped, Incarnation: 1}, now)
		}},
		{EndOmitted, 66, false, func(scheduler *Scheduler, start *StartTask, _ time.Time) { listNothing(scheduler, start.Target, 1, 66) }},
		{EndRestarted, 300, true, func(scheduler *Scheduler, start *StartTask, now time.Time) {
			scheduler.HandleStopGone(start.Target, start.Run, now)
		}},
		{EndLapsed, leaseEnd, false, func(scheduler *Scheduler, _ *StartTask, now time.Time) { scheduler.Tick(now) }},
	}
	for _, test := range tests {
		t.Run(string(test.evidence), func(t *testing.T) {
			is := is.New(t)
			scheduler, start := acceptStopOfUnanswered()
			next, needed := scheduler.NextList(start.Target)
			is.True(needed && !next.After(at(62))) // nothing else shows that a start was never carried out
			if test.listed {
				listRunning(scheduler, start.Target, start.Run, 63)
			}
			for now := 64; now < test.at; now++ {
				scheduler.Tick(at(now))
				is.Equal(len(drain(scheduler).starts), 0)
			}
			test.learn(scheduler, &start, at(test.at))
			starts := 0
			for _, action := range scheduler.TakeActions() {
				switch action := action.(type) {
				case RunLost:
					is.Equal(action.Reason, LossStopped)
					is.Equal(action.End, test.evidence)
					is.Equal(action.StopAge, at(test.at).Sub(at(62)))
				case StartTask:
					starts++
				}
			}
			is.Equal(starts, 1)
			_, needed = scheduler.NextList(start.Target)
			is.True(!needed)
		})
	}
}

// A list that was requested before the stop was accepted says nothing about a start that was still under way.
func TestListFromBeforeTheStopIsNoEnd(t *testing.T) {
	is := is.New(t)
	scheduler, start := acceptStopOfUnanswered()
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Sent: at(61), Answered: at(70)})
	scheduler.Tick(at(400))
	is.Equal(len(drain(scheduler).starts), 0)
}

// A run that the list omits has ended, but its end may be under way from the reader: the task must not run again after it is done.
func TestEndUnderWayIsAwaitedAfterAStop(t *testing.T) {
	is := is.New(t)
	scheduler, start := acceptStopOfUnanswered()
	listRunning(scheduler, start.Target, start.Run, 63)
	listNothing(scheduler, start.Target, 1, 130)
	scheduler.Tick(at(130 + int(missingTimeout/time.Millisecond) - 1))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Done, Incarnation: 1}, at(280))
	is.Equal(outcome(drain(scheduler).answers[0]), "complete")
}

// A run whose target accepts its stop and does not carry it out must lapse before its task starts again.
func TestRunThatOutlivesItsAcceptedStopLapses(t *testing.T) {
	is := is.New(t)
	scheduler, start := acceptStopOfUnanswered()
	var until time.Time
	for now := 70; now < 2900; now += 10 {
		if until.IsZero() || at(now).Before(until.Add(-leaseMargin)) {
			listRunning(scheduler, start.Target, start.Run, now-1)
		}
		scheduler.Tick(at(now))
		for _, action := range scheduler.TakeActions() {
			switch action := action.(type) {
			case SuspendRenewals:
				if until.IsZero() {
					until = action.Until
				}
			case StartTask:
				is.True(!until.IsZero() && !at(now).Before(until))
				return
			}
		}
	}
	t.Error("the task was not started again")
}

// A job whose stopped run is not known to have ended must be answered as soon as too little time is left, and not as not run.
func TestJobWithAStoppedRunIsAnsweredInTime(t *testing.T) {
	is := is.New(t)
	scheduler, start := acceptStopOfUnanswered()
	answeredAt := 0
	for now := 70; now < 3000 && answeredAt == 0; now += 10 {
		if now < 500 || now%50 == 0 {
			listRunning(scheduler, start.Target, start.Run, now-1)
		}
		scheduler.targets["t0"].Draining, scheduler.targets["t1"].Draining = true, true // nowhere to start again
		scheduler.Tick(at(now))
		if answers := drain(scheduler).answers; len(answers) > 0 {
			is.Equal(outcome(answers[0]), "unknown")
			answeredAt = now
		}
	}
	is.True(answeredAt > 0 && answeredAt <= 2610)
}
