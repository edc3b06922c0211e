package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Freed capacity must be offered to one instance before it is reported to the others, or most of their starts are
// rejected under load.
func TestFreedCapacityIsOfferedToOneInstance(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	resources := Resources{MilliCores: 16000, MemoryMB: 64}
	runs := []Run{{"p.0.0.0", 1}, {"p.0.0.1", 1}}
	for _, run := range runs {
		scheduler.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: resources, Estimate: 100 * time.Millisecond}, at(0))
	}
	is.Equal(len(scheduler.DueReports(at(1))), 1)
	scheduler.HandlePeerDemand("peer", Demand{3})
	scheduler.HandleEnd("t0", End{Seq: 1, Run: runs[0], Cause: Done}, at(50))
	offers := drain(scheduler).offers
	is.Equal(len(offers), 1)
	is.Equal(offers[0].To, "peer")
	is.Equal(offers[0].FreeCapacity.MilliCores, int64(16000))
	is.Equal(len(scheduler.DueReports(at(51))), 0) // not reported to the others yet
	scheduler.HandlePeerDemand("peer", Demand{})
	scheduler.ExpireOffers(at(50 + int(offerTimeout/time.Millisecond)))
	is.Equal(len(scheduler.DueReports(at(60))), 1) // no instance claimed it
}

// A start that is rejected for lack of capacity must invalidate the report of that capacity.
func TestRejectionInvalidatesTheReport(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(1), at(0))
	scheduler.HandlePeerReport(CapacityReport{Target: "t0", FreeCapacity: Resources{MilliCores: 32000, MemoryMB: 1024}}, at(0))
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult("t0", start.Run, StartNoRoom, at(3))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.HandlePeerReport(CapacityReport{Target: "t0", FreeCapacity: Resources{MilliCores: 16000, MemoryMB: 1024}}, at(20))
	scheduler.Place(at(20))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Instances with the same view of the capacity must not all start on the same target; each prefers other targets among
// those that it does not read.
func TestInstancesSpreadOverUnreadTargets(t *testing.T) {
	is := is.New(t)
	chosen := make(map[string]int)
	for instance := range 30 {
		scheduler := New(fmt.Sprintf("instance-%d", instance), "a")
		scheduler.SetTargets(testTargets(30), at(0))
		for _, id := range scheduler.Targets() {
			scheduler.HandlePeerReport(CapacityReport{Target: id, FreeCapacity: Resources{MilliCores: 32000, MemoryMB: 1024}}, at(0))
		}
		scheduler.Submit(testJob("j", 1, 100, 1), at(1))
		chosen[drain(scheduler).starts[0].Target]++
	}
	is.True(len(chosen) >= 15) // independent choices would give 19 of 30
}

// Slow targets must get less work than fast ones.
func TestSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	now := 0
	counts := make(map[string]int)
	for number := range 60 {
		now += 10
		scheduler.Submit(testJob(fmt.Sprintf("j%d", number), 1, 100, now), at(now))
		start := drain(scheduler).starts[0]
		acceptStarts(scheduler, []StartTask{start}, at(now))
		if number >= 30 {
			counts[start.Target]++
		}
		now += map[string]int{"t0": 50, "t1": 180}[start.Target]
		scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Done}, at(now))
		drain(scheduler)
	}
	is.True(counts["t0"] >= 29)
}

// A draining target must get no new work.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	targets := testTargets(2)
	targets[0].Draining = true
	scheduler.SetTargets(targets, at(1))
	scheduler.Submit(testJob("j", 2, 100, 10), at(10))
	starts := drain(scheduler).starts
	is.Equal(len(starts), 2)
	for _, start := range starts {
		is.Equal(start.Target, "t1")
	}
}

// Targets must stay usable for a while when their discovery entries disappear during an outage of the store, but not
// for long.
func TestTargetWithoutEntryStaysUsableForLimitedTime(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.SetTargets(nil, at(100))
	scheduler.Submit(testJob("soon", 1, 100, 1000), at(1000))
	is.Equal(len(drain(scheduler).starts), 1)
	late := 100 + int(deletedGrace/time.Millisecond) + 1
	scheduler.Submit(testJob("late", 1, 100, late), at(late))
	is.Equal(len(drain(scheduler).starts), 0)
}

// The targets of a failure domain that is cut off must get no new work.
func TestSuspendedDomainGetsNoWork(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	targets := testTargets(2)
	targets[0].Domain = "b"
	scheduler.SetTargets(targets, at(0))
	scheduler.SetDomainSuspended("b", true)
	scheduler.Submit(testJob("j", 2, 100, 0), at(0))
	for _, start := range drain(scheduler).starts {
		is.Equal(start.Target, "t1")
	}
	scheduler.SetDomainSuspended("b", false)
	scheduler.Submit(testJob("k", 2, 100, 0), at(0))
	is.Equal(len(drain(scheduler).starts), 2)
}

// A straggler must be stopped and started elsewhere if another target can still run it in time.
func TestStragglerStartsElsewhereAfterItsStop(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 100, 0))
	stoppedAt := 0
	for now := 5; now < 1000 && stoppedAt == 0; now += 5 {
		if now > 300 {
			scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: start.Run}}, Sent: at(now - 2), Answered: at(now)})
		}
		scheduler.Tick(at(now))
		drained := drain(scheduler)
		is.Equal(len(drained.starts), 0) // never while the first run may be active
		if len(drained.stops) > 0 {
			stoppedAt = now
		}
	}
	is.True(stoppedAt > 300) // not before a poll has shown that the run is still active
	scheduler.HandleStopResult(start.Target, start.Run, true, at(stoppedAt+2))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Stopped}, at(stoppedAt+30))
	second := drain(scheduler).starts
	is.Equal(len(second), 1)
	is.True(second[0].Target != start.Target)
}

// An instance that resumes after a pause must not start a task whose caller has left, even if it handles another event
// before its tick.
func TestResumedInstanceStartsNothingPastTheDeadline(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartNoRoom, at(2))
	is.Equal(len(drain(scheduler).starts), 0)
	// Paused until after the deadline at 3,000 ms and the second submission of the job elsewhere.
	scheduler.Place(at(6000))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Tick(at(6001))
	is.Equal(len(drain(scheduler).answers), 1)
}

// The same must hold for a task whose run a restarted target does not list.
func TestResumedInstanceRestartsNothingPastTheDeadline(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startOne(scheduler, testJob("j", 1, 400, 0))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Sent: at(6000), Answered: at(6001)})
	is.Equal(len(drain(scheduler).starts), 0)
}

// A step with a bound per target must not start a task beside a run whose stop was accepted, which goes on for a while.
func TestBoundPerTargetCountsStoppingRuns(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	job := testJob("j", 3, 400, 0)
	job.Steps[0].MaxPerTarget = 1
	job.Objective = at(2000)
	scheduler.Submit(job, at(0))
	starts := drain(scheduler).starts
	is.Equal(len(starts), 2)
	acceptStarts(scheduler, starts[1:], at(2))
	scheduler.HandleStartResult(starts[0].Target, starts[0].Run, StartUnanswered, at(60))
	scheduler.HandleStopResult(starts[0].Target, starts[0].Run, true, at(62))
	for now := 62; now < 62+int(MaxStopDuration/time.Millisecond); now++ {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	listNothing(scheduler, starts[0].Target, 1, 62+int(MaxStopDuration/time.Millisecond))
	next := drain(scheduler).starts
	is.Equal(len(next), 1)
	is.Equal(next[0].Target, starts[0].Target)
	is.Equal(next[0].Run.Task, "j.0.0.2")
}

// Tasks that start apart from other jobs after a crash must keep to their label and to the bound per target as well.
func TestIsolatedTasksKeepToTheirTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(second *Step)
		shared bool
	}{
		{"no bounds", func(*Step) {}, true},
		{"another label", func(second *Step) { second.Label = "other" }, false},
		{"bound per target", func(second *Step) { second.MaxPerTarget = 1 }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(1)
			info := testJob("j", 2, 400, 0)
			test.change(&info.Steps[0])
			job := newJob(info)
			first, second, on := job.tasks[0], job.tasks[1], scheduler.targets["t0"]
			on.isolatedJob, first.runTarget, first.state, first.attempt = "j", on, running, 1
			on.allocate(first.run(), &allocation{owner: "self", resources: on.Capacity})
			is.Equal(scheduler.chooseIsolated(second, nil, at(100)) == on, test.shared)
		})
	}
}
