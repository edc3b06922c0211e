package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A task whose start got no answer may be running and must not start again at once. The run is stopped first; if the target does not
// answer the stop either, the task waits until the lease has ended. Another target must not run it while the next incarnation of this
// one may carry out the start.
func TestUnansweredStartIsNotDoubled(t *testing.T) {
	const listedMS = 300
	tests := []struct {
		name     string
		stopped  bool
		earliest int
	}{
		{"stop taken", true, listedMS},
		{"stop not answered", false, int((LeaseDuration + leaseMargin) / time.Millisecond)},
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
			restartedAt := -1
			for now := 120; now < 3000 && restartedAt < 0; now++ {
				scheduler.Tick(at(now))
				if test.stopped && now == listedMS {
					listNothing(scheduler, start.Target, 1, now)
				}
				for _, second := range drain(scheduler).starts {
					restartedAt = now
					is.True(second.Run.Attempt > start.Run.Attempt)
					is.Equal(second.Target, start.Target)
				}
			}
			is.True(restartedAt >= test.earliest)
			is.True(restartedAt < test.earliest+50)
		})
	}
}

// A task whose run may be active must not start again while the target's reader renews the lease, since the
// reader's polls may still list the run.
func TestUncertainRunWaitsWhileItsTargetIsRenewed(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	scheduler.Submit(testJob("j", 1, 100, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(110))
	scheduler.HandleStopResult(start.Target, start.Run, false, at(120))
	is.Equal(len(drain(scheduler).relays), 1) // the reader is asked to stop the run
	for now := 120; now < 2800; now += 5 {
		if now%200 == 0 {
			scheduler.HandlePeerReport(CapacityReport{Target: start.Target, FreeCapacity: Resources{MilliCores: 18000, MemoryMB: 64}}, at(now))
		}
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Stopped}, at(2800))
	starts := drain(scheduler).starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Target, start.Target)
}

// A run must be started again if its target no longer lists it: either its end was acknowledged by another instance but
// never forwarded, or its lease expired.
func TestRunThatItsTargetDoesNotListStartsAgain(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 1000, 0))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Sent: at(100), Answered: at(102)})
	scheduler.Tick(at(105))
	is.Equal(len(drain(scheduler).starts), 0) // the end may still be on the way
	scheduler.Tick(at(102 + int(missingTimeout/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Runs of a target's previous incarnation must be started again without waiting.
func TestRestartedTargetLosesItsRuns(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 500, 0))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Sent: at(100), Answered: at(102)})
	second := drain(scheduler).starts
	is.Equal(len(second), 1)
	is.Equal(second[0].Run.Attempt, int64(2))
}

// Runs of a lost instance must be stopped, or they overlap with the runs of the caller's second attempt. A run whose
// claim may still be on its way must not be stopped.
func TestOrphansAreStopped(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	alive := map[string]bool{"peer": true}
	isAlive := func(owner string) bool { return alive[owner] }
	claimed, unknown := Run{"p.0.0.0", 1}, Run{"q.0.0.0", 1}
	scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: claimed, Resources: Resources{MilliCores: 14000}, Estimate: time.Second}, at(0))
	poll := func(now int) {
		scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: claimed}, {Run: unknown}}, Sent: at(now), Answered: at(now + 1)})
		scheduler.StopOrphans("t0", isAlive, at(now+1))
	}
	poll(10)
	is.Equal(len(drain(scheduler).stops), 0)
	poll(20 + int(orphanGrace/time.Millisecond))
	stops := drain(scheduler).stops
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Run, unknown)
	alive["peer"] = false
	poll(30 + int(orphanGrace/time.Millisecond))
	stops = drain(scheduler).stops
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Run, claimed)
}

// The owner of a run must receive its end even if the end was listed before the claim arrived.
func TestClaimAfterItsEndIsAnsweredWithTheEnd(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	run := Run{"p.0.0.0", 1}
	scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Done}, at(10))
	end, ended := scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}}, at(12))
	is.True(ended)
	is.Equal(end.Cause, Done)
	scheduler.Sweep(at(12 + int(endRetention/time.Millisecond)))
	_, ended = scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}}, at(5000))
	is.True(!ended)
}

// A run on a target that no instance can reach must be started again once the lease has ended, instead of the job
// waiting until its caller has left.
func TestRunStartsAgainOnceItsLeaseIsOver(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.RecordLeaseRenewal(start.Target, at(400))
	scheduler.MarkUnreachable(start.Target, false, at(400))
	leaseEnd := 400 + int((LeaseDuration+leaseMargin)/time.Millisecond)
	restartedAt := 0
	for now := 400; now < 2500 && restartedAt == 0; now += 5 {
		scheduler.Tick(at(now))
		if len(drain(scheduler).starts) > 0 {
			restartedAt = now
		}
	}
	is.True(restartedAt >= leaseEnd)
	is.True(restartedAt <= leaseEnd+5)
}

// After a pause, an instance has missed lease renewals and must not consider its runs lost right away.
func TestRunsAreNotLostAfterPause(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.RecordPause(at(1500))
	scheduler.Tick(at(1500))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.RecordLeaseRenewal(start.Target, at(1510))
	scheduler.Tick(at(1900))
	is.Equal(len(drain(scheduler).starts), 0)
}

// A target that its reader cannot reach must get no new work, and the end that the reader announces for its lease must not be
// later by the report of this.
func TestLostTargetGetsNoWorkAndNoLease(t *testing.T) {
	ownEnd := int((LeaseDuration + leaseMargin) / time.Millisecond)
	othersEnd := 500 + int((ContactTimeout+LeaseDuration+leaseMargin)/time.Millisecond)
	for _, test := range []struct {
		name string
		// announced is the end of the lease that the reader announces at 760 ms, or 0 for none.
		announced, restarted int
	}{
		{"not announced", 0, othersEnd},
		{"no renewal by others", 900, ownEnd},
		{"others have renewed it", 1400, 1400},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets(testTargets(2), at(0))
			start := startOne(scheduler, testJob("j", 1, 900, 0))
			scheduler.HandlePeerReport(CapacityReport{Target: start.Target, Reporter: "reader", Unreachable: true}, at(500))
			scheduler.Submit(testJob("k", 1, 100, 500), at(500))
			is.True(drain(scheduler).starts[0].Target != start.Target)
			if test.announced > 0 {
				scheduler.HandlePeerLeaseEnd("reader", start.Target, at(test.announced))
			}
			scheduler.Tick(at(test.restarted - 1))
			is.Equal(len(drain(scheduler).starts), 0)
			scheduler.Tick(at(test.restarted))
			is.Equal(len(drain(scheduler).starts), 1)
		})
	}
}

// A lease must be assumed to last beyond the reader's last report. Otherwise, if a reader that is cut off from the
// owner renews the lease and then terminates without stopping the run, the owner starts a second run (load test
// Chakra trouble-2, seed 383704058273).
func TestLeaseIsCountedPastTheLastReport(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.HandlePeerReport(CapacityReport{Target: start.Target, FreeCapacity: Resources{MilliCores: 18000}}, at(45))
	// The reader receives nothing from the owner, renews the lease until 45+800 ms and then terminates.
	for now := 45; now < 45+800+1000; now += 5 {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.Tick(at(45 + 800 + int((LeaseDuration+leaseMargin)/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1)
}

// A run that its target lists may continue for a whole lease from then on, since another instance may have renewed the
// lease unnoticed. Otherwise a second run is started, as on small instances that received no renewal reports (load test
// Thang Long grown trouble-1 with 37 instances, run c19b69c3efe06f77.0.0.1 at 46.558 s).
func TestListedRunKeepsItsLease(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	starts := drain(scheduler).starts
	acceptStarts(scheduler, starts, at(2))
	active := ActiveRun{Run: starts[0].Run, MilliCores: 14000}
	scheduler.HandlePoll(starts[0].Target, PollResult{Incarnation: 1, Running: []ActiveRun{active}, Sent: at(649), Answered: at(650)})
	leaseEnd := 650 + int((LeaseDuration+leaseMargin)/time.Millisecond)
	for now := 660; now < leaseEnd; now += 10 {
		scheduler.Tick(at(now))
	}
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Tick(at(leaseEnd))
	scheduler.Tick(at(leaseEnd + 10))
	is.Equal(len(drain(scheduler).starts), 1)
}

// resubmittedMS is when newResubmittedScheduler starts the job again: once the target lists its first run no longer.
const resubmittedMS = 4 + int(MaxStopDuration/time.Millisecond)

// newResubmittedScheduler returns a scheduler that abandoned a job on t0 and then started it again on t1 with the same
// attempt numbers.
func newResubmittedScheduler(t *testing.T) *Scheduler {
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
	is.Equal(len(drain(scheduler).starts), 0) // the first run may go on
	scheduler.HandleStopResult("t0", first[0].Run, true, at(4))
	scheduler.Sweep(at(resubmittedMS - 2))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Sweep(at(resubmittedMS))
	is.Equal(len(drain(scheduler).starts), 0)
	listNothing(scheduler, "t0", 1, resubmittedMS)
	second := drain(scheduler).starts
	is.Equal(second[0].Target, "t1")
	is.Equal(second[0].Run, first[0].Run)
	return scheduler
}

// Messages about a run of an earlier submission must not be applied to the current one, or the task is started a second
// time. They arise when a job is delegated to the same instance again (fault soak, seeds 2, 3, 8, 11 and 20).
func TestMessagesAboutAnEarlierSubmission(t *testing.T) {
	run := Run{Task: "j.0.0.0", Attempt: 1}
	tests := []struct {
		name    string
		deliver func(*Scheduler)
	}{
		{"end", func(scheduler *Scheduler) {
			scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Stopped}, at(resubmittedMS+1))
		}},
		{"start not answered", func(scheduler *Scheduler) {
			scheduler.HandleStartResult("t0", run, StartUnanswered, at(resubmittedMS+1))
		}},
		{"start rejected", func(scheduler *Scheduler) { scheduler.HandleStartResult("t0", run, StartNoRoom, at(resubmittedMS+1)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newResubmittedScheduler(t)
			test.deliver(scheduler)
			scheduler.HandleStartResult("t1", run, StartTaken, at(resubmittedMS+2))
			for now := 10; now < 300; now += 10 {
				scheduler.Tick(at(resubmittedMS + now))
			}
			is.Equal(len(drain(scheduler).starts), 0)
			scheduler.HandleEnd("t1", End{Seq: 1, Run: run, Cause: Done}, at(resubmittedMS+310))
			answers := drain(scheduler).answers
			is.Equal(len(answers), 1)
			is.Equal(outcome(answers[0]), "complete")
		})
	}
}

// A claim must not be answered with the end of an earlier submission's run on another target, or its owner starts the
// task a second time.
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

// A run of an earlier submission must be stopped as an orphan: its stop request may have been lost, and the reader
// renews the lease of everything that runs on the target.
func TestRunOfAnEarlierSubmissionIsAnOrphan(t *testing.T) {
	is := is.New(t)
	scheduler := newResubmittedScheduler(t)
	readIdle(scheduler, "t0", 5)
	active := ActiveRun{Run: Run{Task: "j.0.0.0", Attempt: 1}, MilliCores: 14000}
	stopped := 0
	for now := 10; now < 2000 && stopped == 0; now += 100 {
		scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{active}, Sent: at(now), Answered: at(now)})
		scheduler.StopOrphans("t0", func(string) bool { return true }, at(now))
		for _, stop := range drain(scheduler).stops {
			if stop.RunTarget.ID == "t0" {
				stopped = now
			}
		}
	}
	is.True(stopped > 0)
}

// An instance that learns late that a target has restarted must not give up the runs that it has started on the new
// incarnation meanwhile.
func TestRunOnNewIncarnationOutlivesLateNewsOfTheRestart(t *testing.T) {
	is := is.New(t)
	info := testTarget(0)
	info.Incarnation = 1
	scheduler := New("self", "a")
	scheduler.SetTargets([]Target{info}, at(0))
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	info.Incarnation = 2
	scheduler.SetTargets([]Target{info}, at(100))
	is.True(scheduler.TargetState("t0").Unverified)
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.HandlePoll("t0", PollResult{Incarnation: 2, Running: []ActiveRun{{Run: start.Run}}, Sent: at(101), Answered: at(102)})
	scheduler.Tick(at(400))
	is.True(!scheduler.TargetState("t0").Unverified)
	is.Equal(len(drain(scheduler).starts), 0)
}

// Attempts of a job that is submitted again have the same numbers. The end of a run of the earlier submission must not
// answer the claim of the present one.
func TestClaimIsNotAnsweredWithTheEndOfAnEarlierSubmission(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	run := Run{"p.0.0.0", 1}
	scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Stopped}, at(10))
	claim := Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Age: 200 * time.Millisecond}
	_, ended := scheduler.HandlePeerClaim("peer", claim, at(1500))
	is.True(!ended)
	claim.Age = 1495 * time.Millisecond
	_, ended = scheduler.HandlePeerClaim("peer", claim, at(1500))
	is.True(ended)
}

// A run that started on an idle target just after its unnoticed restart must not start again elsewhere while it goes on. The
// target holds back its answer to the poll that shows the restart; the same answer lists the run.
func TestRunOnUnnoticedIncarnationIsNotDoubled(t *testing.T) {
	const held = 50
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprintf("reader %v", reads), func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			for _, id := range scheduler.Targets() {
				scheduler.SetReader(id, reads, at(-2000))
				scheduler.targets[id].lastPolled = at(-2000)
			}
			start := startOne(scheduler, testJob("j", 1, 400, 0))
			if reads {
				scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Running: []ActiveRun{{Run: start.Run}}, Sent: at(1), Answered: at(1 + held)})
			} else {
				info := testTargets(2)
				info[0].Incarnation, info[1].Incarnation = 2, 2
				scheduler.SetTargets(info, at(1+held))
			}
			for now := 1 + held; now < 300; now += 10 {
				scheduler.Tick(at(now))
				is.Equal(len(drain(scheduler).starts), 0)
			}
		})
	}
}

// The report of a former reader that it cannot reach the target must not shorten the lease that the present reader may
// renew: a second run would be started.
func TestReportOfFormerReaderDoesNotShortenTheLease(t *testing.T) {
	free := Resources{MilliCores: 18000}
	for _, test := range []struct {
		name    string
		reports []CapacityReport
	}{
		{"unreachable for the former reader", []CapacityReport{{Reporter: "present", FreeCapacity: free}, {Reporter: "former", Unreachable: true}}},
		{"unreachable for the next reader", []CapacityReport{{Reporter: "present", FreeCapacity: free}, {Reporter: "next", FreeCapacity: free}, {Reporter: "next", Unreachable: true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets(distinctTargets(2), at(0))
			start := startOne(scheduler, testJob("j", 1, 900, 0))
			for _, report := range test.reports {
				report.Target = start.Target
				scheduler.HandlePeerReport(report, at(45))
			}
			for now := 45; now < 45+800+1000; now += 5 {
				scheduler.Tick(at(now))
				is.Equal(len(drain(scheduler).starts), 0)
			}
			scheduler.Tick(at(45 + 800 + int((LeaseDuration+leaseMargin)/time.Millisecond)))
			is.Equal(len(drain(scheduler).starts), 1)
		})
	}
}

// The reader that has lost contact with the target must shorten the lease, or the task waits for 800 ms in vain.
func TestReportOfPresentReaderShortensTheLease(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(distinctTargets(2), at(0))
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.HandlePeerReport(CapacityReport{Target: start.Target, Reporter: "present", FreeCapacity: Resources{MilliCores: 18000}}, at(45))
	scheduler.HandlePeerReport(CapacityReport{Target: start.Target, Reporter: "present", Unreachable: true}, at(50))
	end := 50 + int((ContactTimeout+LeaseDuration+leaseMargin)/time.Millisecond)
	scheduler.Tick(at(end - 1))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Tick(at(end))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Overlapping runs must not go unrecorded.
func TestOverlappingRunsAreRecorded(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 2, 1000, 0))
	lapsed := 2 + int((LeaseDuration+leaseMargin)/time.Millisecond)
	scheduler.Tick(at(lapsed))
	var lost []RunLost
	for _, action := range scheduler.TakeActions() {
		if action, ok := action.(RunLost); ok && action.Run == start.Run {
			lost = append(lost, action)
		}
	}
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Reason, LossLapsed)
	is.Equal(lost[0].Lease, LeaseListed) // accepted
	is.True(lost[0].RenewalAge >= LeaseDuration)
	scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Done}, at(lapsed+100))
	var overlapped []RunsOverlapped
	for _, action := range scheduler.TakeActions() {
		if action, ok := action.(RunsOverlapped); ok {
			overlapped = append(overlapped, action)
		}
	}
	is.Equal(len(overlapped), 1)
	is.Equal(overlapped[0].Run, start.Run)
	is.Equal(overlapped[0].Later, Run{start.Run.Task, 2})
	is.Equal(overlapped[0].ListedAfter, 100*time.Millisecond)
}

// A run that one list omits and a later one shows goes on, so that a second run must not start.
func TestRunThatIsListedAgainIsNotMissing(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 1000, 0))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Sent: at(100), Answered: at(102)})
	active := ActiveRun{Run: start.Run, MilliCores: 14000}
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{active}, Sent: at(110), Answered: at(112)})
	for now := 112; now < 112+2*int(missingTimeout/time.Millisecond); now += 5 {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Done}, at(600))
	is.Equal(outcome(drain(scheduler).answers[0]), "complete")
}

// A reader that cannot reach a target says nothing about other instances, which may start runs there until they learn of it.
// Each start renews the lease of all runs of the target, so that a second run must not start earlier.
func TestLeaseIsNotOverWhileOthersMayRenewIt(t *testing.T) {
	const (
		reported  = 500
		lastStart = reported + 250
		leaseEnd  = lastStart + int((LeaseDuration+leaseMargin)/time.Millisecond)
		latest    = leaseEnd + 300
	)
	for _, test := range []struct {
		name    string
		reports int
	}{{"reported before", 4}, {"not reported before", 0}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets(distinctTargets(2), at(0))
			start := startOne(scheduler, testJob("j", 1, 900, 0))
			report := CapacityReport{Target: start.Target, Reporter: "reader", FreeCapacity: Resources{MilliCores: 18000}}
			for number := range test.reports {
				scheduler.HandlePeerReport(report, at(45+number*int(reportInterval/time.Millisecond)))
			}
			scheduler.HandlePeerReport(CapacityReport{Target: start.Target, Reporter: "reader", Unreachable: true}, at(reported))
			restartedAt := 0
			for now := reported; now <= latest && restartedAt == 0; now += 5 {
				scheduler.Tick(at(now))
				if len(drain(scheduler).starts) > 0 {
					restartedAt = now
				}
			}
			t.Logf("started again at %d ms; a start of a third instance may hold the lease until %d ms", restartedAt, leaseEnd)
			is.True(restartedAt > 0)
			is.True(restartedAt >= leaseEnd)
		})
	}
}

// A run that counts as lost and is listed again before its task has started elsewhere goes on, so that a second run must not
// start.
func TestTaskDoesNotStartWhileItsLostRunIsListedAgain(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("j", 1, 1500, 0))
	scheduler.MarkUnreachable(start.Target, false, at(700))
	lost := int((LeaseDuration + leaseMargin) / time.Millisecond)
	scheduler.Tick(at(lost))
	is.Equal(len(drain(scheduler).starts), 0) // no target is left
	active := ActiveRun{Run: start.Run, MilliCores: 14000}
	for now := lost + 40; now < lost+240; now += 50 {
		scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{active}, Sent: at(now - 1), Answered: at(now)})
		scheduler.Tick(at(now + 5))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Done}, at(lost+250))
	is.Equal(outcome(drain(scheduler).answers[0]), "complete")
}

// A start that a starved instance sends late is accepted for the rest of its lease, which another instance may have renewed just
// before, as when a target lists the run.
func TestStartThatIsAnsweredLateKeepsItsLease(t *testing.T) {
	const answered = 700
	leaseEnd := answered + int((LeaseDuration+leaseMargin)/time.Millisecond)
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(distinctTargets(2), at(0))
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	acceptStarts(scheduler, drain(scheduler).starts, at(answered))
	for now := answered; now < leaseEnd; now += 10 {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.Tick(at(leaseEnd))
	is.Equal(len(drain(scheduler).starts), 1)
}

// An owner that is also the reader of a target does not know the latest renewals of an instance that it has not heard from. That one
// may renew the lease until it learns that the reader cannot reach the target.
func TestReaderDoesNotEndLeaseThatOtherOwnersRenew(t *testing.T) {
	const (
		lastRenewal = 500
		unreachable = 1170
		lastPoll    = unreachable + 250
		leaseEnd    = lastPoll + int((LeaseDuration+leaseMargin)/time.Millisecond)
		latest      = leaseEnd + 300
	)
	is := is.New(t)
	scheduler := newTestScheduler(2)
	job := testJob("j", 1, 900, 0)
	job.Deadline = at(6000)
	start := startOne(scheduler, job)
	scheduler.SetPeers(Peers{Starting: []string{"peer", "other"}})
	claim := Claim{Target: start.Target, Run: Run{"p.0.0.0", 1}, Resources: Resources{MilliCores: 14000}, Estimate: 3 * time.Second}
	restartedAt := 0
	for now := 5; now <= latest && restartedAt == 0; now += 5 {
		scheduler.RecordBroadcast("other", at(now))
		if now%int(ClaimRepeatInterval/time.Millisecond) == 0 {
			scheduler.HandlePeerClaim("peer", claim, at(now))
		}
		switch now {
		case lastRenewal:
			scheduler.RecordLeaseRenewal(start.Target, at(now))
		case unreachable:
			scheduler.MarkUnreachable(start.Target, false, at(now))
		}
		scheduler.Tick(at(now))
		if len(drain(scheduler).starts) > 0 {
			restartedAt = now
		}
	}
	t.Logf("started again at %d ms; a start of another owner may hold the lease until %d ms", restartedAt, leaseEnd)
	is.True(restartedAt > 0)
	is.True(restartedAt >= leaseEnd)
}
