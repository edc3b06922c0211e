package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/isolator"
)

// startUnanswered starts a job on the first target; the start gets no answer, but its stop does.
func startUnanswered(scheduler *Scheduler) StartTask {
	scheduler.SetTargets([]Target{moved(1, "127.0.0.1:1")}, at(-1000))
	scheduler.Submit(testJob("j", 1, 1200, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(60))
	drain(scheduler)
	scheduler.HandleStopResult(start.Target, start.Run, true, at(62))
	return start
}

// A start without an answer, voided by a stop, must be voided on the next incarnation too, which would carry it out late,
// beside the second run.
func TestUnansweredStartIsVoidedOnTheNextIncarnation(t *testing.T) {
	news := map[string]func(*Scheduler){
		"poll": func(scheduler *Scheduler) {
			scheduler.HandlePoll("t0", PollResult{Incarnation: 2, Sent: at(1000), Answered: at(1001)})
		},
		"peer":      func(scheduler *Scheduler) { scheduler.HandlePeerRestart("t0", 2, at(1001)) },
		"discovery": func(scheduler *Scheduler) { scheduler.SetTargets([]Target{moved(2, "127.0.0.1:1")}, at(1001)) },
		"expiry": func(scheduler *Scheduler) {
			scheduler.Abandon("j", "the caller left", at(100))
			scheduler.SetTargets(nil, at(1001))
			scheduler.SetTargets(nil, at(4000))
			scheduler.SetTargets([]Target{moved(2, "127.0.0.1:1")}, at(4001))
		},
	}
	for name, learn := range news {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			start := startUnanswered(scheduler)
			drain(scheduler)
			learn(scheduler)
			stops := drain(scheduler).stops
			is.Equal(len(stops), 1)
			is.Equal(stops[0].Run, start.Run)
			is.Equal(stops[0].RunTarget.Incarnation, int64(2))
			// Once only.
			scheduler.HandleStopResult("t0", start.Run, true, at(4010))
			scheduler.SetTargets([]Target{moved(2, "127.0.0.1:1")}, at(4020))
			scheduler.Sweep(at(4100))
			is.Equal(len(drain(scheduler).stops), 0)
		})
	}
}

// The stop must be requested again where the next incarnation is, and until it is answered.
func TestVoidIsRepeatedUntilItIsAnswered(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	start := startUnanswered(scheduler)
	scheduler.HandlePeerRestart("t0", 2, at(1001))
	is.Equal(drain(scheduler).stops[0].RunTarget.Address, "127.0.0.1:1")
	scheduler.HandleStopResult("t0", start.Run, true, at(1002)) // refused by another target at the former address
	scheduler.SetTargets([]Target{moved(2, "127.0.0.1:2")}, at(1100))
	is.Equal(drain(scheduler).stops[0].RunTarget.Address, "127.0.0.1:2")
	scheduler.Sweep(at(1200)) // the request is under way
	is.Equal(len(drain(scheduler).stops), 0)
	scheduler.HandleStopResult("t0", start.Run, false, at(1220))
	scheduler.Sweep(at(1300))
	is.Equal(len(drain(scheduler).stops), 1)
	scheduler.HandleStopResult("t0", start.Run, true, at(1302))
	scheduler.Sweep(at(1400))
	is.Equal(len(drain(scheduler).stops), 0)
}

// Stops must not be requested for longer than the start may still be carried out.
func TestLateStartsAreForgotten(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	startUnanswered(scheduler)
	end := 60 + int(maxRequestDelay/time.Millisecond)
	scheduler.Sweep(at(end - 1))
	is.Equal(len(scheduler.lateStarts), 1)
	scheduler.Sweep(at(end))
	is.Equal(len(scheduler.lateStarts), 0)
	for number := range maxLateStarts + 10 {
		scheduler.recordLateStart(scheduler.targets["t0"], Run{"k.0.0.0", int64(number)}, at(end))
	}
	is.Equal(len(scheduler.lateStarts), maxLateStarts)
	is.Equal(scheduler.lateStarts[0].run.Attempt, int64(10))
}

// The run of a later submission, whose attempt has the same number, must not be stopped for the start of an earlier one.
func TestVoidSparesALaterSubmission(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	startUnanswered(scheduler)
	scheduler.Abandon("j", "the caller left", at(100))
	listNothing(scheduler, "t0", 1, 200)
	scheduler.Submit(testJob("j", 1, 1200, 1400), at(1400)) // taken by the next incarnation
	starts := drain(scheduler).starts
	is.Equal(len(starts), 1)
	acceptStarts(scheduler, starts, at(1402))
	scheduler.HandlePeerRestart("t0", 2, at(1410))
	is.Equal(len(drain(scheduler).stops), 0)
}

// The loss of a run must be known before the stop on the next incarnation releases its claim. Otherwise, if the job is sent
// again to another instance, a task that crashes its targets starts too often.
func TestVoidKeepsTheEvidence(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets([]Target{moved(1, "127.0.0.1:1")}, at(-1000))
	scheduler.Submit(testJob("j", 1, 1200, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(60))
	scheduler.HandleStopResult(start.Target, start.Run, false, at(180))
	scheduler.HandlePeerRestart("t0", 2, at(400))
	scheduler.HandleStopResult(start.Target, start.Run, true, at(402))
	scheduler.Sweep(at(500))
	scheduler.Abandon("j", "the caller left", at(600))
	losses := scheduler.Losses()
	is.Equal(len(losses), 1)
	is.Equal(losses[0].Incarnation, int64(1))
	is.Equal(losses[0].Evidence, isolator.Restarted)
	is.Equal(losses[0].Suspects[0].Fate, isolator.Unanswered)
}
