package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// When a failure domain is lost, its reader and the owners of runs there are lost together. If the next reader is slow to list the runs,
// a start after 0.6 s renews their lease, which may last for 1.31 s after the last broadcast of the former reader.
func TestLossOfAReaderIsAwaitedUntilTheLeasesHaveEnded(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(1), at(0))
	scheduler.AttachReader("t0", "first", at(0))
	scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "first", FreeCapacity: testTarget(0).Capacity}, at(0))
	scheduler.RecordBroadcast("first", at(0)) // and is lost
	scheduler.RemovePeer("first")
	scheduler.AttachReader("t0", "second", at(500)) // has just become the reader and has listed nothing
	now := contactMS + int(LeaseDuration/time.Millisecond) - 10
	scheduler.RecordBroadcast("second", at(now))
	scheduler.Submit(testJob("j", 1, 100, now), at(now))
	is.Equal(len(drain(scheduler).starts), 0)
}

// A job that was sent again has had a start rejected when the reader of another target asks for the owner of its earlier run.
func TestRejectedStartDoesNotHideAnOwnerlessRun(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 300, 0), at(0))
	start := drain(scheduler).starts[0]
	other := map[string]string{"t0": "t1", "t1": "t0"}[start.Target]
	scheduler.SetReader(other, false, at(1))
	for _, target := range scheduler.targets {
		target.heldUntil = at(40)
	}
	scheduler.HandleStartResult(start.Target, start.Run, StartNoRoom, at(2))
	_, owned := scheduler.HandleOwnerQuery(OwnedRun{Target: other, Incarnation: 1, Run: Run{start.Run.Task, 1}}, at(3))
	is.True(!owned)
	neverStarted := scheduler.jobs["j"].neverStarted()
	scheduler.Tick(at(41))
	is.Equal(len(drain(scheduler).starts), 0)
	is.True(!neverStarted) // a refusal would say that the job has not run
}

// An instance that reads all targets until its links are up lists a run of an earlier submission. When it hands the target to its
// reader, it forgets the run and starts the task elsewhere.
func TestRunOfAnEarlierSubmissionOutlastsTheHandOverOfItsTarget(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	for _, target := range []string{"t0", "t1"} {
		scheduler.SetReader(target, true, at(0))
	}
	run := Run{"j.0.0.0", 1}
	scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: run, MilliCores: 1000}}, Sent: at(20), Answered: at(21)})
	scheduler.HandlePoll("t1", PollResult{Incarnation: 1, Sent: at(20), Answered: at(21)})
	scheduler.Submit(testJob("j", 1, 300, 30), at(30))
	scheduler.Tick(at(31))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.SetReader("t0", false, at(50))
	scheduler.AttachReader("t0", "reader", at(50))
	scheduler.RecordBroadcast("reader", at(50))
	scheduler.Tick(at(60))
	is.Equal(len(drain(scheduler).starts), 0)
}

// A reader sends its reports once, when a link is up; instances assign readers up to 0.1 s later. If the report is lost on them, idle
// targets stay unused for up to 1.31 s after each restart of an instance.
func TestReportBeforeTheReaderIsAssignedEndsTheWait(t *testing.T) {
	for _, former := range []string{"self", "other"} {
		t.Run(former, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets(testTargets(1), at(0))
			if former == "self" {
				scheduler.SetReader("t0", true, at(0))
			} else {
				scheduler.AttachReader("t0", former, at(0))
			}
			scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "reader", FreeCapacity: testTarget(0).Capacity}, at(50))
			scheduler.SetReader("t0", false, at(100))
			scheduler.AttachReader("t0", "reader", at(100))
			scheduler.RecordBroadcast("reader", at(100))
			scheduler.Submit(testJob("j", 1, 100, 101), at(101))
			is.Equal(len(drain(scheduler).starts), 1)
		})
	}
}

// A reader whose first polls are lost, or that was paused, vouched for the target 1.06 s after it had become the reader. Others that it
// does not know yet may have renewed the lease since.
func TestReaderVouchesForNoTargetThatItHasNotListed(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(1), at(0))
	scheduler.SetReader("t0", true, at(0))
	now := 1 + int((LeaseDuration+leaseMargin)/time.Millisecond)
	is.Equal(len(scheduler.Reports(at(now))), 0) // would end the wait of all others
	scheduler.Submit(testJob("j", 1, 100, now), at(now))
	is.Equal(len(drain(scheduler).starts), 0)
}

// An instance that was cut off read an idle target once, one that delegates its jobs gets no reports, and a reader that has listed nothing
// reports no capacity. Contact with the reader alone let them start work beside runs that the reader may know to have no owner.
func TestContactWithTheReaderAloneIsNoKnowledgeOfItsTargets(t *testing.T) {
	tests := []struct {
		name    string
		now     int
		prepare func(scheduler *Scheduler)
	}{
		{"was cut off", 5000, func(scheduler *Scheduler) {
			scheduler.SetReader("t0", true, at(0))
			scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Sent: at(20), Answered: at(21)})
			scheduler.SetReader("t0", false, at(5000))
			scheduler.AttachReader("t0", "reader", at(5000))
		}},
		{"delegated its jobs", 5000, func(scheduler *Scheduler) {
			scheduler.AttachReader("t0", "reader", at(0))
			scheduler.ForgetReports(at(5000)) // has a job of its own
		}},
		{"got an early report of no capacity", 1 + int(reportTTL/time.Millisecond), func(scheduler *Scheduler) {
			scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "reader"}, at(0))
			scheduler.AttachReader("t0", "reader", at(10))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets(testTargets(1), at(0))
			test.prepare(scheduler)
			scheduler.RecordBroadcast("reader", at(test.now))
			scheduler.Submit(testJob("j", 1, 100, test.now), at(test.now))
			is.Equal(len(drain(scheduler).starts), 0)
		})
	}
}

// A reader that withholds the capacity of a target offered it to others, which ended their wait for a report.
func TestReaderOffersNoCapacityThatItWithholds(t *testing.T) {
	is := is.New(t)
	reader := New("self", "a")
	reader.SetTargets(testTargets(1), at(0))
	reader.SetReader("t0", true, at(0))
	reader.HandlePeerDemand("peer", Demand{1000})
	reader.HandlePeerClaim("peer", Claim{Target: "t0", Run: Run{"k.0.0.0", 1}, Resources: Resources{MilliCores: 1000}}, at(1))
	is.True(reader.targets["t0"].withholdsCapacity(at(1)))
	for _, action := range reader.TakeActions() {
		_, offered := action.(OfferCapacity)
		is.True(!offered)
	}
}

// A target that is late lists a run whose stop it has accepted; the task starts elsewhere beside it.
func TestAcceptedStopIsNoEndOfAListedRun(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 300, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(10))
	scheduler.HandleStopResult(start.Target, start.Run, true, at(20))
	stopped := 20 + int(MaxStopDuration/time.Millisecond)
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: start.Run}}, Sent: at(stopped - 1), Answered: at(stopped)})
	scheduler.Tick(at(stopped + 1))
	is.Equal(len(drain(scheduler).starts), 0)
}
