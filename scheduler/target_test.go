package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that a target attracts by failing fast, and against one that never gets work again.
func TestFailingTargetIsExcludedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	now, failed := 0, 0
	run := func(job string) string {
		scheduler.Submit(testJob(job, 1, 100, now), at(now))
		drained := drain(scheduler)
		for len(drained.starts) > 0 {
			start := drained.starts[0]
			take(scheduler, drained.starts, at(now))
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
	is.True(failed <= failureStreak+1)
	now += int(lastExclusion / time.Millisecond)
	before := failed
	for number := range 40 {
		// Two tasks fill the sound target, so that a third one goes to the other.
		job := testJob(fmt.Sprintf("k%d", number), 3, 100, now)
		scheduler.Submit(job, at(now))
		for drained := drain(scheduler); len(drained.starts) > 0; drained = drain(scheduler) {
			take(scheduler, drained.starts, at(now))
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

// Guards against a target that is held to be at fault for jobs that can never be done.
func TestHopelessJobDoesNotExcludeTargets(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(3)
	scheduler.Submit(testJob("bad", 2, 100, 0), at(0))
	drained := drain(scheduler)
	now := 0
	for len(drained.starts) > 0 {
		take(scheduler, drained.starts, at(now))
		now += 10
		for _, start := range drained.starts {
			scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Failed}, at(now))
		}
		drained = drain(scheduler)
	}
	is.Equal(outcome(drained.answers[0]), "failed")
	scheduler.Submit(testJob("good", 6, 100, now), at(now+50))
	is.Equal(len(drain(scheduler).starts), 6) // all three targets take work
}

// newPeerOfReader returns a scheduler that knows the same targets as reader and has taken its reports.
func newPeerOfReader(reader *Scheduler, targets int, now time.Time) *Scheduler {
	peer := New("peer", "a")
	peer.SetTargets(testTargets(targets), now)
	for _, report := range reader.DueReports(now) {
		peer.HandlePeerReport(report, now)
	}
	return peer
}

// Guards against each instance that finds out for itself that a target fails what it starts: a failing target has much
// room, and 33 of 350 made 813 jobs fail while 15 instances learned it.
func TestReaderTellsOfAFailingTarget(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	fail := func(number, now int) {
		run := Run{Task: fmt.Sprintf("j%d.0.0.0", number), Attempt: 1}
		reader.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Estimate: 100 * time.Millisecond}, at(now))
		reader.HandleEnd("t0", End{Seq: int64(number), Run: run, Cause: Failed}, at(now+5))
	}
	for number := 1; number <= failureStreak; number++ {
		fail(number, 10*number)
	}
	peer := newPeerOfReader(reader, 1, at(50))
	peer.Submit(testJob("next", 1, 1000, 51), at(51))
	is.Equal(peer.ActiveJobs(), 1)
	is.Equal(len(drain(peer).starts), 0)
	// The reader itself tries again later, and tells of success.
	run := Run{Task: "trial.0.0.0", Attempt: 1}
	reader.HandlePeerClaim("peer", Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000}, Estimate: 100 * time.Millisecond}, at(900))
	reader.HandleEnd("t0", End{Seq: 9, Run: run, Cause: Done}, at(1000))
	for _, report := range reader.DueReports(at(1001)) {
		peer.HandlePeerReport(report, at(1001))
	}
	peer.Place(at(1001))
	is.Equal(len(drain(peer).starts), 1)
}
