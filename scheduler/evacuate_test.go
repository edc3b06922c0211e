package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/isolator"
)

// splitTargets returns targets of which the first one is in failure domain b and the others in a.
func splitTargets(count int) []Target {
	infos := testTargets(count)
	infos[0].Domain = "b"
	return infos
}

// newSplitScheduler returns a scheduler that reads a target in failure domain b, t0, and one in a, t1, that gets no new work.
func newSplitScheduler() *Scheduler {
	scheduler := newTestScheduler(2)
	scheduler.SetTargets(splitTargets(2), at(0))
	scheduler.targets["t1"].heldUntil = at(100_000)
	return scheduler
}

// Nothing may start on a target of an evacuated failure domain, in whatever way its start comes about, and everything must be able
// to start there again once the evacuation is withdrawn.
func TestEvacuatedDomainGetsNoStart(t *testing.T) {
	submit := func(scheduler *Scheduler, _ []StartTask, now int) {
		scheduler.Submit(testJob("j", 1, 900, now), at(now))
	}
	started := func(scheduler *Scheduler) { scheduler.Submit(testJob("j", 1, 900, 0), at(0)) }
	accepted := func(scheduler *Scheduler) {
		started(scheduler)
		scheduler.HandleStartResult("t0", Run{"j.0.0.0", 1}, StartTaken, at(2))
	}
	result := func(result StartResult) func(*Scheduler, []StartTask, int) {
		return func(scheduler *Scheduler, starts []StartTask, now int) {
			scheduler.HandleStartResult("t0", starts[0].Run, result, at(now))
		}
	}
	end := func(cause Cause) func(*Scheduler, []StartTask, int) {
		return func(scheduler *Scheduler, starts []StartTask, now int) {
			scheduler.HandleEnd("t0", End{Run: starts[0].Run, Cause: cause}, at(now))
		}
	}
	tests := []struct {
		name string
		// prepare is called before the evacuation, and event after it with the starts until then.
		prepare func(*Scheduler)
		event   func(scheduler *Scheduler, starts []StartTask, now int)
		// after is the time of the event.
		after int
	}{
		{"new task", func(*Scheduler) {}, submit, 20},
		{"waiting task", func(scheduler *Scheduler) {
			scheduler.targets["t0"].heldUntil = at(15)
			started(scheduler)
		}, func(*Scheduler, []StartTask, int) {}, 20},
		{"retry after a rejection", started, result(StartNoRoom), 20},
		{"start that was not sent any more", started, result(StartWithheld), 20},
		{"retry after a stop", accepted, end(Stopped), 20},
		{"retry after a loss", accepted, end(Lapsed), 20},
		{"trial run after an exclusion", func(scheduler *Scheduler) { scheduler.targets["t0"].exclude(at(0)) }, submit, 900},
		{"isolated start", func(scheduler *Scheduler) {
			scheduler.HandlePeerLoss(isolator.Loss{
				Target: "x", Incarnation: 1, Address: "x:1", Evidence: isolator.Restarted, At: at(-100),
				Suspects: []isolator.Suspect{{Task: "j.0.0.0", Attempt: 1, Age: 10 * time.Millisecond, Fate: isolator.Accepted}},
			}, at(0))
			if scheduler.assess("j.0.0.0") != isolator.Isolated {
				t.Error("the task may start beside others")
			}
		}, submit, 20},
		{"straggler's second run", func(scheduler *Scheduler) {
			accepted(scheduler)
			scheduler.tasks["j.0.0.0"].state = stopping
			scheduler.requestStop(scheduler.targets["t0"], Run{"j.0.0.0", 1}, "run is a straggler", false, at(5))
		}, end(Stopped), 20},
		{"later step", func(scheduler *Scheduler) {
			job := testJob("j", 1, 400, 0)
			second := job.Steps[0]
			second.Tasks, second.DependsOn = []string{"j.0.1.0"}, []int{0}
			job.Steps = append(job.Steps, second)
			job.Objective = at(2000)
			scheduler.Submit(job, at(0))
			scheduler.HandleStartResult("t0", Run{"j.0.0.0", 1}, StartTaken, at(2))
		}, end(Done), 20},
		{"report or offer of a reader that does not know of it", func(scheduler *Scheduler) {
			scheduler.SetReader("t0", false, at(0))
		}, func(scheduler *Scheduler, starts []StartTask, now int) {
			submit(scheduler, starts, now)
			scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "reader", FreeCapacity: testTarget(0).Capacity}, at(now+1))
			scheduler.Place(at(now + 1))
		}, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newSplitScheduler()
			test.prepare(scheduler)
			starts := drain(scheduler).starts
			scheduler.SetDomainEvacuated("b", true, at(10))
			test.event(scheduler, starts, test.after)
			is.Equal(len(drain(scheduler).starts), 0)
			for now := test.after; now < test.after+150; now += 10 {
				scheduler.Tick(at(now))
				drained := drain(scheduler)
				is.Equal(len(drained.starts), 0)
				is.Equal(len(drained.answers), 0)
			}
			scheduler.SetDomainEvacuated("b", false, at(test.after+150))
			starts = drain(scheduler).starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Target, "t0")
		})
	}
}

// While the only other targets are evacuated, a straggler must not be stopped: its task could not go on anywhere.
func TestStragglerGoesOnIfOtherTargetsAreEvacuated(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 100, 0))
	infos := testTargets(2)
	for number := range infos {
		if infos[number].ID != start.Target {
			infos[number].Domain = "b"
		}
	}
	scheduler.SetTargets(infos, at(5))
	scheduler.SetDomainEvacuated("b", true, at(5))
	list := func(now int) int {
		scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: start.Run}}, Sent: at(now - 2), Answered: at(now)})
		scheduler.Tick(at(now))
		return len(drain(scheduler).stops)
	}
	is.Equal(list(700), 0)
	scheduler.SetDomainEvacuated("b", false, at(701))
	is.Equal(list(705), 1)
}

// A start that was decided before the evacuation and not sent is no rejection: the target must be usable at once afterwards, and the
// claim must not keep its capacity.
func TestWithheldStartLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	scheduler := newSplitScheduler()
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.SetDomainEvacuated("b", true, at(10))
	scheduler.HandleStartResult("t0", start.Run, StartWithheld, at(11))
	withdrawn := 0
	for _, action := range scheduler.TakeActions() {
		if _, ok := action.(WithdrawClaim); ok {
			withdrawn++
		}
	}
	target := scheduler.targets["t0"]
	is.Equal(withdrawn, 1)
	is.Equal(target.used, Resources{})
	is.True(!target.probation && target.excludedUntil.IsZero() && target.heldUntil.Before(at(0)))
	is.Equal(len(scheduler.tasks["j.0.0.0"].avoided), 0)
	is.True(scheduler.jobs["j"].neverStarted())
	scheduler.targets["t1"].heldUntil = time.Time{}
	scheduler.Tick(at(12))
	is.Equal(drain(scheduler).starts[0].Target, "t1") // elsewhere at once
}

// The reader must report no capacity during the evacuation, also instead of an open offer, so that an instance that does not know of
// it starts nothing; and it must report capacity at once afterwards.
func TestReaderReportsNoCapacityDuringEvacuation(t *testing.T) {
	is := is.New(t)
	scheduler := newSplitScheduler()
	scheduler.DueReports(at(0))
	scheduler.offered["t0"] = true
	scheduler.SetDomainEvacuated("b", true, at(10))
	is.Equal(scheduler.DueReports(at(10)), []CapacityReport{{Target: "t0"}})
	is.Equal(scheduler.Reports(at(11)), []CapacityReport{{Target: "t0"}, {Target: "t1", FreeCapacity: testTarget(1).Capacity}})
	report, due := scheduler.RenewalReport("t0", at(11+int(reportInterval/time.Millisecond)))
	is.True(due)
	is.Equal(report, CapacityReport{Target: "t0"})
	scheduler.HandlePeerDemand("peer", Demand{30})
	scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: Run{"p.0.0.0", 1}, Resources: Resources{MilliCores: 14000}}, at(200))
	scheduler.HandleEnd("t0", End{Run: Run{"p.0.0.0", 1}, Cause: Done}, at(210))
	is.Equal(len(drain(scheduler).offers), 0)
	is.Equal(len(scheduler.DueReports(at(211))), 0) // still none
	scheduler.SetDomainEvacuated("b", false, at(300))
	is.Equal(scheduler.DueReports(at(300)), []CapacityReport{{Target: "t0", FreeCapacity: testTarget(0).Capacity}})
}

// The report of an idle target expires. While there are instances of an earlier revision, which learn of evacuations only by reports,
// it must be repeated before; otherwise the repetition would only cost.
func TestReportsAreRepeatedForEarlierRevisions(t *testing.T) {
	for _, unaware := range []bool{true, false} {
		is := is.New(t)
		scheduler := newSplitScheduler()
		scheduler.SetPeers(Peers{Unaware: unaware})
		scheduler.SetDomainEvacuated("b", true, at(10))
		scheduler.DueReports(at(10))
		reports := 0
		for now := 100; now <= 2000; now += 100 {
			scheduler.Sweep(at(now))
			reports += len(scheduler.DueReports(at(now)))
		}
		is.Equal(reports == 0, !unaware)
		is.True(!unaware || reports >= 3 && reports <= 4)
	}
}

// A job that no target outside of the evacuated domains can run must be refused at once with a retry time, and not as impossible.
func TestJobIsRefusedAtOnceIfAllItsTargetsAreEvacuated(t *testing.T) {
	is := is.New(t)
	infos := splitTargets(2)
	infos[0].Labels = []string{"kind", "rare"}
	scheduler := newTestScheduler(2)
	scheduler.SetTargets(infos, at(0))
	job := testJob("j", 1, 900, 20)
	job.Steps[0].Label = "rare"
	scheduler.SetDomainEvacuated("b", true, at(10))
	scheduler.Submit(job, at(20))
	answers := drain(scheduler).answers
	is.Equal(len(answers), 1)
	refused, ok := answers[0].Outcome.(dispatcher.Refused)
	is.True(ok)
	is.Equal(refused.Reason(), dispatcher.ReasonUnavailable)
	is.True(refused.RetryAt().After(at(20)))
	is.True(!answers[0].Started)
	scheduler.Submit(testJob("k", 1, 900, 30), at(30))
	is.Equal(drain(scheduler).starts[0].Target, "t1") // the other domain serves what it can
	job.Steps[0].Resources.MilliCores = 99000
	scheduler.Submit(job, at(40))
	is.Equal(outcome(drain(scheduler).answers[0]), "refused impossible")
	job.Steps[0].Resources.MilliCores = 14000
	scheduler.SetDomainEvacuated("b", false, at(50))
	scheduler.Submit(job, at(60))
	is.Equal(drain(scheduler).starts[0].Target, "t0")
}

// Admission must not count evacuated targets from the next job on, or jobs wait for capacity that does not come.
func TestAdmissionDoesNotCountEvacuatedTargets(t *testing.T) {
	tests := []struct {
		evacuated bool
		free      int64
		total     int64
		refused   bool
	}{
		{false, 4, 4, false},
		{true, 2, 2, true},
	}
	for _, test := range tests {
		is := is.New(t)
		scheduler := newTestScheduler(2)
		scheduler.SetTargets(splitTargets(2), at(0))
		scheduler.recordRunResources(Resources{MilliCores: 14000})
		is.Equal(scheduler.releaseRateOf("work", at(9)).freeSlots, int64(4)) // is cached
		scheduler.SetDomainEvacuated("b", test.evacuated, at(10))
		resources := Resources{MilliCores: 14000, MemoryMB: 64}
		is.Equal(scheduler.freeSlots("work", resources, 100, at(10)), test.free)
		is.Equal(scheduler.totalSlots("work", resources, 100), test.total)
		is.Equal(scheduler.releaseRateOf("work", at(10)).freeSlots, test.free)
		scheduler.HandlePeerDemand("peer", Demand{3})
		scheduler.Submit(testJob("j", 1, 100, 10), at(10))
		is.Equal(len(drain(scheduler).answers) == 1, test.refused)
	}
}

// A target may become known, or its entry may name another failure domain, while the evacuation is in force.
func TestEntriesDuringEvacuation(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.SetDomainEvacuated("b", true, at(0))
	is.True(!scheduler.IsEvacuated("t0"))
	scheduler.SetTargets(splitTargets(1), at(10)) // moves into the evacuated domain
	is.True(scheduler.IsEvacuated("t0"))
	added := testTarget(1)
	added.Domain = "b"
	scheduler.SetTargets([]Target{splitTargets(1)[0], added}, at(20))
	is.True(scheduler.IsEvacuated("t1"))
	scheduler.Submit(testJob("j", 1, 900, 30), at(30))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.DueReports(at(30))
	scheduler.SetTargets([]Target{testTarget(0), added}, at(40)) // moves out of it
	is.True(!scheduler.IsEvacuated("t0"))
	is.Equal(scheduler.DueReports(at(40)), []CapacityReport{{Target: "t0", FreeCapacity: testTarget(0).Capacity}})
	is.True(scheduler.IsEvacuated("t1"))
	is.True(!scheduler.IsEvacuated("unknown"))
}

// Runs in progress must go on to their ends: their lease is renewed, and their job is answered.
func TestRunsGoOnDuringEvacuation(t *testing.T) {
	is := is.New(t)
	scheduler := newSplitScheduler()
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.SetDomainEvacuated("b", true, at(10))
	state := scheduler.TargetState("t0")
	is.True(state.MayRenew(at(20)))
	scheduler.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: start.Run}}, Sent: at(500), Answered: at(501)})
	scheduler.Tick(at(502))
	drained := drain(scheduler)
	is.Equal(len(drained.stops)+len(drained.answers), 0)
	scheduler.HandleEnd("t0", End{Run: start.Run, Cause: Done}, at(900))
	is.Equal(outcome(drain(scheduler).answers[0]), "complete")
}

// An instance that lacks a record of an evacuation, or may lack one after a pause, must start nothing until it has it, and must not
// wait for it without end.
func TestHeldStartsGoOn(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.HoldStarts(at(100))
	scheduler.Submit(testJob("j", 1, 900, 10), at(10))
	scheduler.Tick(at(99))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Tick(at(100))
	is.Equal(len(drain(scheduler).starts), 1)
	scheduler.HoldStarts(at(200))
	scheduler.HoldStarts(time.Time{})
	scheduler.Submit(testJob("k", 1, 900, 110), at(110))
	is.Equal(len(drain(scheduler).starts), 1)
}
