package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// spreadJob returns a job of which one task may run on each target at a time.
func spreadJob(tasks, arrived int) Job {
	job := testJob("j", tasks, 400, arrived)
	job.Steps[0].MaxPerTarget = 1
	job.Objective = at(arrived + 2000)
	return job
}

// A sibling started beside a run that was being stopped because an earlier run of its task had succeeded.
func TestBoundPerTargetCountsTheStoppingRunOfADoneTask(t *testing.T) {
	tests := []struct {
		name string
		end  func(scheduler *Scheduler, run Run)
	}{
		{"end is listed", func(scheduler *Scheduler, run Run) {
			scheduler.HandleEnd("t0", End{Seq: 1, Run: run, Cause: Stopped, Incarnation: 1}, at(100))
		}},
		{"run is omitted", func(scheduler *Scheduler, run Run) {
			listNothing(scheduler, "t0", 1, 60)
			listNothing(scheduler, "t0", 1, 100)
		}},
		{"target is replaced", func(scheduler *Scheduler, run Run) { scheduler.HandleStopGone("t0", run, at(100)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			scheduler.Submit(spreadJob(3, 0), at(0))
			starts := drain(scheduler).starts
			is.Equal(len(starts), 2)
			acceptStarts(scheduler, starts, at(2))
			on := map[string]Run{starts[0].Target: starts[0].Run, starts[1].Target: starts[1].Run}
			stopping := on["t0"]
			scheduler.HandleEnd("t1", End{Seq: 1, Run: stopping, Cause: Done, Incarnation: 1, Age: time.Second}, at(10))
			actions := drain(scheduler)
			is.Equal(len(actions.stops), 1)
			is.Equal(len(actions.starts), 0)
			scheduler.HandleStopResult("t0", stopping, true, at(12))
			for now := 13; now < 60; now++ {
				scheduler.Tick(at(now))
				is.Equal(len(drain(scheduler).starts), 0)
			}
			test.end(scheduler, stopping)
			scheduler.Tick(at(100))
			next := drain(scheduler).starts
			is.Equal(len(next), 1)
			is.Equal(next[0].Target, "t0")
		})
	}
}

// A sibling started beside a run of an earlier submission or of another instance, since that was no run of this submission.
func TestBoundPerTargetCountsRunsOfEarlierSubmissions(t *testing.T) {
	run := Run{Task: "j.0.0.0", Attempt: 1}
	list := func(scheduler *Scheduler, now int) { listRunning(scheduler, "t0", run, now) }
	claim := Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Estimate: 2 * time.Second}
	tests := []struct {
		name  string
		learn func(scheduler *Scheduler)
	}{
		{"run without a known owner", func(scheduler *Scheduler) { list(scheduler, 90) }},
		{"run of another instance", func(scheduler *Scheduler) { scheduler.HandlePeerClaim("other", claim, at(90)) }},
		{"run that a reader asks for", func(scheduler *Scheduler) {
			scheduler.SetReader("t0", false, at(80))
			scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "other", FreeCapacity: Resources{MilliCores: 32000, MemoryMB: 1024}}, at(85))
			scheduler.HandleOwnerQuery(OwnedRun{Target: "t0", Incarnation: 1, Run: run}, at(90))
		}},
		{"stop that a former reader requested", func(scheduler *Scheduler) {
			list(scheduler, 40)
			scheduler.StopOrphans("t0", func(string) bool { return false }, at(41+int(orphanGrace/time.Millisecond)))
			scheduler.SetReader("t0", false, at(90))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			test.learn(scheduler)
			drain(scheduler)
			scheduler.Submit(spreadJob(3, 100), at(100))
			starts := drain(scheduler).starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Target, "t1")
			for now := 101; now < 200; now += 10 {
				scheduler.Tick(at(now))
				is.Equal(len(drain(scheduler).starts), 0)
			}
		})
	}
}

// The bound counts the tasks of the step, and no others.
func TestBoundPerTargetCountsNoOtherRuns(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.HandlePeerClaim("other", Claim{Target: "t0", Run: Run{Task: "other.0.0.0", Attempt: 1}, Resources: Resources{MilliCores: 1000}}, at(0))
	startOne(scheduler, testJob("own", 1, 400, 0))
	job := spreadJob(1, 0)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].Tasks = []string{"j.0.1.0"}
	for step := range job.Steps {
		job.Steps[step].Resources.MilliCores = 1000
	}
	scheduler.Submit(job, at(10))
	is.Equal(len(drain(scheduler).starts), 2)
}

// A target whose answers to the start and to the stop of a done task's run were lost must not keep their siblings away, once
// the run has lapsed.
func TestLapsedRunOfADoneTaskKeepsNoSiblingAway(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	job := spreadJob(3, 0)
	job.Deadline = at(30000)
	scheduler.Submit(job, at(0))
	starts := drain(scheduler).starts
	on := map[string]Run{starts[0].Target: starts[0].Run, starts[1].Target: starts[1].Run}
	scheduler.HandleStartResult("t1", on["t1"], StartTaken, at(2))
	scheduler.HandleEnd("t1", End{Seq: 1, Run: on["t0"], Cause: Done, Incarnation: 1, Age: time.Second}, at(10))
	scheduler.HandleStartResult("t0", on["t0"], StartUnanswered, at(60))
	var started []StartTask
	lapsed := 60 + int((LeaseDuration+leaseMargin)/time.Millisecond)
	for now := 70; now < lapsed+3000; now += 10 {
		if now%500 == 0 {
			listRunning(scheduler, "t1", on["t1"], now)
		}
		scheduler.HandleStopResult("t0", on["t0"], false, at(now))
		if now > lapsed+1000 {
			listNothing(scheduler, "t0", 1, now)
		}
		scheduler.Tick(at(now))
		scheduler.Sweep(at(now))
		for _, start := range drain(scheduler).starts {
			is.True(now >= lapsed)
			started = append(started, start)
		}
	}
	is.Equal(len(started), 1)
	is.Equal(started[0].Target, "t0")
}

// The run of a task that was done already when its job was given up must lapse if it cannot be stopped, as other runs of the job
// do: the caller may send the job to another instance.
func TestUnstoppableRunOfADoneTaskLapsesWithItsJob(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(spreadJob(3, 0), at(0))
	starts := drain(scheduler).starts
	on := map[string]Run{starts[0].Target: starts[0].Run, starts[1].Target: starts[1].Run}
	acceptStarts(scheduler, starts, at(2))
	scheduler.HandleEnd("t1", End{Seq: 1, Run: on["t0"], Cause: Done, Incarnation: 1, Age: time.Second}, at(10))
	scheduler.HandleStopResult("t0", on["t0"], false, at(130))
	scheduler.TakeActions()
	scheduler.Abandon("j", "the caller left", at(140))
	scheduler.HandleStopResult("t0", on["t0"], false, at(270))
	suspended := 0
	for _, action := range scheduler.TakeActions() {
		if suspension, ok := action.(SuspendRenewals); ok && suspension.Target == "t0" && suspension.Run == on["t0"] {
			suspended++
		}
	}
	is.Equal(suspended, 1)
}
