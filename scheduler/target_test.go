package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target must not attract work by failing fast, and an excluded target must be tried again later.
func TestFailingTargetIsExcludedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	now, failed := 0, 0
	run := func(job string) string {
		scheduler.Submit(testJob(job, 1, 100, now), at(now))
		drained := drain(scheduler)
		for len(drained.starts) > 0 {
			start := drained.starts[0]
			acceptStarts(scheduler, drained.starts, at(now))
			now += 5
			cause := Done
			if start.Target == "t0" {
				cause = Failed
				failed++
			} else {
				now += 95
			}
			scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: cause}, at(now))
			drained = drain(scheduler)
		}
		return outcome(drained.answers[0])
	}
	for number := range 12 {
		is.Equal(run(fmt.Sprintf("j%d", number)), "complete")
	}
	is.True(failed <= maxFailureStreak+1)
	now += int(maxExclusion / time.Millisecond)
	before := failed
	for number := range 40 {
		// Two tasks fill the healthy target, so a third one goes to the other.
		job := testJob(fmt.Sprintf("k%d", number), 3, 100, now)
		scheduler.Submit(job, at(now))
		for drained := drain(scheduler); len(drained.starts) > 0; drained = drain(scheduler) {
			acceptStarts(scheduler, drained.starts, at(now))
			now += 100
			for _, start := range drained.starts {
				cause := Done
				if start.Target == "t0" {
					cause = Failed
					failed++
				}
				scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: cause}, at(now))
			}
		}
	}
	is.True(failed > before) // tried again
}

// A job that always fails must not make its targets count as faulty.
func TestAlwaysFailingJobDoesNotExcludeTargets(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(3)
	scheduler.Submit(testJob("bad", 2, 100, 0), at(0))
	drained := drain(scheduler)
	now := 0
	for len(drained.starts) > 0 {
		acceptStarts(scheduler, drained.starts, at(now))
		now += 10
		for _, start := range drained.starts {
			scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Failed}, at(now))
		}
		drained = drain(scheduler)
	}
	is.Equal(outcome(drained.answers[0]), "failed")
	scheduler.Submit(testJob("good", 6, 100, now), at(now+50))
	is.Equal(len(drain(scheduler).starts), 6) // all three targets get work
}

// newPeerOfReader returns a scheduler that has the same targets as reader and has received its reports.
func newPeerOfReader(reader *Scheduler, targets int, now time.Time) *Scheduler {
	peer := New("peer", "a")
	peer.SetTargets(testTargets(targets), now)
	for _, report := range reader.DueReports(now) {
		peer.HandlePeerReport(report, now)
	}
	return peer
}

// The reader must report a target that fails its runs as full. When each instance had to find out for itself, 33
// failing targets of 350, which always have free capacity, made 813 jobs fail until 15 instances had excluded them.
func TestReaderReportsFailingTarget(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	fail := func(number, now int) {
		run := Run{Task: fmt.Sprintf("j%d.0.0.0", number), Attempt: 1}
		reader.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Estimate: 100 * time.Millisecond}, at(now))
		reader.HandleEnd("t0", End{Seq: int64(number), Run: run, Cause: Failed}, at(now+5))
	}
	for number := 1; number <= maxFailureStreak; number++ {
		fail(number, 10*number)
	}
	peer := newPeerOfReader(reader, 1, at(50))
	peer.Submit(testJob("next", 1, 1000, 51), at(51))
	is.Equal(peer.ActiveJobs(), 1)
	is.Equal(len(drain(peer).starts), 0)
	// A trial run succeeds later, and the reader reports free capacity again.
	run := Run{Task: "trial.0.0.0", Attempt: 1}
	reader.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Estimate: 100 * time.Millisecond}, at(900))
	reader.HandleEnd("t0", End{Seq: 9, Run: run, Cause: Done}, at(1000))
	for _, report := range reader.DueReports(at(1001)) {
		peer.HandlePeerReport(report, at(1001))
	}
	peer.Place(at(1001))
	is.Equal(len(drain(peer).starts), 1)
}
