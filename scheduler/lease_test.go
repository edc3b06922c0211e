package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second run beside one whose start got no answer: the order to stop comes first, and a target that
// does not take it keeps the task until its lease is over.
func TestUnansweredStartIsNotDoubled(t *testing.T) {
	tests := []struct {
		name     string
		stopped  bool
		earliest int
	}{
		{"stop taken", true, 120 + int(MaxStopDuration/time.Millisecond)},
		{"stop not answered", false, int((LeaseDuration + leaseSlack) / time.Millisecond)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			scheduler.Submit(testJob("j", 1, 100, 0), at(0))
			start := drain(scheduler).starts[0]
			scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(110))
			is.Equal(len(drain(scheduler).stops), 1)
			scheduler.HandleStopResult(start.Target, start.Run, test.stopped, at(120))
			again := -1
			for now := 120; now < 3000 && again < 0; now++ {
				scheduler.Tick(at(now))
				for _, second := range drain(scheduler).starts {
					again = now
					is.True(second.Run.Attempt > start.Run.Attempt)
					is.True(second.Target != start.Target)
				}
			}
			is.True(again >= test.earliest)
			is.True(again < test.earliest+50)
		})
	}
}

// Guards against a second run while the target's lease is renewed by its reader, who may still see the first one.
func TestUncertainRunWaitsWhileItsTargetIsRenewed(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	scheduler.Submit(testJob("j", 1, 100, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(110))
	scheduler.HandleStopResult(start.Target, start.Run, false, at(120))
	is.Equal(len(drain(scheduler).relays), 1) // the reader is asked to stop it
	for now := 120; now < 2800; now += 5 {
		if now%200 == 0 {
			scheduler.HandlePeerReport(CapacityReport{Target: start.Target, FreeCapacity: Resources{MilliCores: 18000}}, at(now))
		}
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Stopped}, at(2800))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Guards against a run that is lost with the end that another instance acknowledged, or with a lapsed lease.
func TestRunThatItsTargetDoesNotListStartsAgain(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 1000, 0))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Sent: at(100), Answered: at(102)})
	scheduler.Tick(at(105))
	is.Equal(len(drain(scheduler).starts), 0) // its end may be on the way
	scheduler.Tick(at(102 + int(missingTime/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Guards against waiting for the runs of an incarnation that is gone.
func TestRestartedTargetLosesItsRuns(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 500, 0))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Sent: at(100), Answered: at(102)})
	second := drain(scheduler).starts
	is.Equal(len(second), 1)
	is.Equal(second[0].Run.Attempt, int64(2))
}

// Guards against runs that go on for an instance that is gone, so that its caller's second attempt runs beside them; and
// against the stop of a run whose claim is still on its way.
func TestOrphansAreStopped(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	alive := map[string]bool{"peer": true}
	isAlive := func(owner string) bool { return alive[owner] }
	claimed, unknown := Run{"p.0.0.0", 1}, Run{"q.0.0.0", 1}
	scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: claimed, Resources: Resources{MilliCores: 14000}, Estimate: time.Second}, at(0))
	look := func(now int) {
		scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: claimed}, {Run: unknown}}, Sent: at(now), Answered: at(now + 1)})
		scheduler.StopOrphans("t0", isAlive, at(now+1))
	}
	look(10)
	is.Equal(len(drain(scheduler).stops), 0)
	look(20 + int(orphanTime/time.Millisecond))
	stops := drain(scheduler).stops
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Run, unknown)
	alive["peer"] = false
	look(30 + int(orphanTime/time.Millisecond))
	stops = drain(scheduler).stops
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Run, claimed)
}

// Guards against an owner that never learns of an end that came before its claim.
func TestClaimAfterItsEndIsAnsweredWithTheEnd(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	run := Run{"p.0.0.0", 1}
	scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Done}, at(10))
	end, ended := scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}}, at(12))
	is.True(ended)
	is.Equal(end.Cause, Done)
	scheduler.Sweep(at(12 + int(endsKept/time.Millisecond)))
	_, ended = scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}}, at(5000))
	is.True(!ended)
}

// Guards against a job that waits for a run on a target that nobody reaches any more, until its caller has gone.
func TestRunStartsAgainOnceItsLeaseIsOver(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.NoteRenewal(start.Target, at(400))
	scheduler.MarkUnreachable(start.Target)
	end := 400 + int((LeaseDuration+leaseSlack)/time.Millisecond)
	again := 0
	for now := 400; now < 2500 && again == 0; now += 5 {
		scheduler.Tick(at(now))
		if len(drain(scheduler).starts) > 0 {
			again = now
		}
	}
	is.True(again >= end)
	is.True(again <= end+5)
}

// Guards against a second run after a pause of the instance, in which it missed that the lease was renewed.
func TestPauseIsNoLoss(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.NotePause(at(1500))
	scheduler.Tick(at(1500))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.NoteRenewal(start.Target, at(1510))
	scheduler.Tick(at(1900))
	is.Equal(len(drain(scheduler).starts), 0)
}

// Guards against starts on a target that its reader has lost, and against counting its lease from that report.
func TestLostTargetGetsNoWorkAndNoLease(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.HandlePeerReport(CapacityReport{Target: start.Target, Unreachable: true}, at(500))
	scheduler.Submit(testJob("k", 1, 100, 500), at(500))
	is.True(drain(scheduler).starts[0].Target != start.Target)
	scheduler.Tick(at(int((LeaseDuration + leaseSlack) / time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1) // started again 1.06 s after the only order that set the lease
}

// Guards against a second run beside one whose lease a reader renewed after it was cut off from the owner, and before it
// ended itself without having stopped the run (Chakra trouble-2, seed 383704058273).
func TestLeaseIsCountedPastTheLastReport(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.HandlePeerReport(CapacityReport{Target: start.Target, FreeCapacity: Resources{MilliCores: 18000}}, at(45))
	// The reader hears nothing of the owner, renews the lease until 45+800 ms and ends then.
	for now := 45; now < 45+800+1000; now += 5 {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.Tick(at(45 + 800 + int((LeaseDuration+leaseSlack)/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Guards against a second run beside one whose lease another instance renews without a word of it: a run that its target
// lists may go on for a lease from then on. Found by Thang Long grown trouble-1, where small instances heard of no
// renewals (c19b69c3efe06f77.0.0.1 at 46.558 s).
func TestRunSeenAtWorkKeepsItsLease(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	starts := drain(scheduler).starts
	take(scheduler, starts, at(2))
	active := ActiveRun{Run: starts[0].Run, MilliCores: 14000}
	scheduler.HandlePoll(starts[0].Target, PollResult{Incarnation: 1, Running: []ActiveRun{active}, Sent: at(649), Answered: at(650)})
	end := 650 + int((LeaseDuration+leaseSlack)/time.Millisecond)
	for now := 660; now < end; now += 10 {
		scheduler.Tick(at(now))
	}
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Tick(at(end))
	scheduler.Tick(at(end + 10))
	is.Equal(len(drain(scheduler).starts), 1)
}

// resubmitted returns a scheduler that gave a job up on t0 and starts it anew, with the same numbers of attempts, on t1.
func resubmitted(t *testing.T) *Scheduler {
	t.Helper()
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2)[:1], at(0))
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	first := drain(scheduler).starts
	is.Equal(first[0].Target, "t0")
	scheduler.Abandon("j", "the caller left", at(1))
	draining := testTarget(0)
	draining.Draining = true
	scheduler.SetTargets([]Target{draining, testTarget(1)}, at(2))
	drain(scheduler)
	scheduler.Submit(testJob("j", 1, 400, 3), at(3))
	second := drain(scheduler).starts
	is.Equal(second[0].Target, "t1")
	is.Equal(second[0].Run, first[0].Run)
	return scheduler
}

// Guards against news of a run of an earlier submission that is taken for news of the present one: the task would start
// again beside its run. Found by the fault soak (seeds 2, 3, 8, 11, 20), where a job comes to the same delegate again.
func TestNewsOfAnEarlierSubmission(t *testing.T) {
	run := Run{Task: "j.0.0.0", Attempt: 1}
	tests := []struct {
		name string
		news func(*Scheduler)
	}{
		{"end", func(scheduler *Scheduler) { scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Stopped}, at(4)) }},
		{"start not answered", func(scheduler *Scheduler) { scheduler.HandleStartResult("t0", run, StartUnanswered, at(4)) }},
		{"start rejected", func(scheduler *Scheduler) { scheduler.HandleStartResult("t0", run, StartNoRoom, at(4)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := resubmitted(t)
			test.news(scheduler)
			scheduler.HandleStartResult("t1", run, StartTaken, at(5))
			for now := 10; now < 300; now += 10 {
				scheduler.Tick(at(now))
			}
			is.Equal(len(drain(scheduler).starts), 0)
			scheduler.HandleEnd("t1", End{Seq: 1, Run: run, Cause: Done}, at(310))
			answers := drain(scheduler).answers
			is.Equal(len(answers), 1)
			is.Equal(outcome(answers[0]), "complete")
		})
	}
}

// Guards against a claim that is answered with the end of a run of an earlier submission on another target: its owner
// would start the task again beside its run.
func TestClaimIsNotAnsweredWithAnEndElsewhere(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	run := Run{Task: "j.0.0.0", Attempt: 1}
	scheduler.HandlePeerClaim("former", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}}, at(0))
	scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Stopped}, at(10))
	_, ended := scheduler.HandlePeerClaim("next", Claim{Target: "t1", Run: run, Resources: Resources{MilliCores: 14000}}, at(20))
	is.True(!ended)
	_, ended = scheduler.HandlePeerClaim("former", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}}, at(30))
	is.True(ended)
}

// Guards against a run of an earlier submission that goes on beside that of the present one: the stop that it got may
// have been lost, and its reader renews the lease of all that runs on the target.
func TestRunOfAnEarlierSubmissionIsAnOrphan(t *testing.T) {
	is := is.New(t)
	scheduler := resubmitted(t)
	scheduler.SetReader("t0", true, at(5))
	active := ActiveRun{Run: Run{Task: "j.0.0.0", Attempt: 1}, MilliCores: 14000}
	stopped := 0
	for now := 10; now < 2000 && stopped == 0; now += 100 {
		scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{active}, Sent: at(now), Answered: at(now)})
		scheduler.StopOrphans("t0", func(string) bool { return true }, at(now))
		for _, stop := range drain(scheduler).stops {
			if stop.On.ID == "t0" {
				stopped = now
			}
		}
	}
	is.True(stopped > 0)
}
