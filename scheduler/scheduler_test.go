package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

var origin = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time {
	return origin.Add(time.Duration(milliseconds) * time.Millisecond)
}

// testTarget returns a target of 32 cores in failure domain a.
func testTarget(number int) Target {
	return Target{
		ID: fmt.Sprintf("t%d", number), Service: "work", Address: "127.0.0.1:1", Domain: "a", Labels: []string{"kind"},
		Capacity: Size{MilliCores: 32000, MemoryMB: 1024}, Incarnation: 1,
	}
}

func testTargets(count int) []Target {
	targets := make([]Target, count)
	for number := range targets {
		targets[number] = testTarget(number)
	}
	return targets
}

// testJob returns a job of one step whose tasks take 14 cores, with an objective of 1.6 times its run time and 60 ms.
func testJob(id string, tasks int, estimate, arrived int) Job {
	names := make([]string, tasks)
	for index := range names {
		names[index] = fmt.Sprintf("%s.0.0.%d", id, index)
	}
	step := Step{Tasks: names, Size: Size{MilliCores: 14000, MemoryMB: 64}, Estimate: time.Duration(estimate) * time.Millisecond}
	return Job{
		ID: id, Route: "r", Service: "work", Steps: []Step{step}, MaxFailures: 2,
		Arrived: at(arrived), Deadline: at(arrived + 3000), Objective: at(arrived + estimate*8/5 + 60),
	}
}

// newTestScheduler returns a scheduler that reads all of its targets.
func newTestScheduler(targets int) *Scheduler {
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(targets), at(0))
	for _, id := range scheduler.Targets() {
		scheduler.Read(id, true, at(-1000))
	}
	return scheduler
}

// drained sorts the actions by their types.
type drained struct {
	starts  []StartTask
	stops   []StopRun
	answers []Answer
	relays  []RelayStop
	offers  []Offer
}

func drain(scheduler *Scheduler) drained {
	var drained drained
	for _, action := range scheduler.Drain() {
		switch action := action.(type) {
		case StartTask:
			drained.starts = append(drained.starts, action)
		case StopRun:
			drained.stops = append(drained.stops, action)
		case Answer:
			drained.answers = append(drained.answers, action)
		case RelayStop:
			drained.relays = append(drained.relays, action)
		case Offer:
			drained.offers = append(drained.offers, action)
		case Withdraw:
		}
	}
	return drained
}

// take answers starts with success.
func take(scheduler *Scheduler, starts []StartTask, now time.Time) {
	for _, start := range starts {
		scheduler.StartAnswered(start.Target, start.Run, StartTaken, now)
	}
}

func outcome(answer Answer) string {
	switch outcome := answer.Outcome.(type) {
	case dispatcher.Complete:
		return "complete"
	case dispatcher.Failed:
		return "failed"
	case dispatcher.Unknown:
		return "unknown"
	case dispatcher.Refused:
		return "refused " + string(outcome.Reason())
	}
	return "none"
}

// Guards against an answer before the last task has ended, and against more runs on a target than it has room for.
func TestJobCompletesWithItsLastTask(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 4, 100, 0), at(0))
	first := drain(scheduler)
	is.Equal(len(first.starts), 4)
	perTarget := make(map[string]int)
	for _, start := range first.starts {
		perTarget[start.Target]++
	}
	is.Equal(perTarget["t0"], 2)
	is.Equal(perTarget["t1"], 2)
	take(scheduler, first.starts, at(2))
	for index, start := range first.starts {
		scheduler.Ended(start.Target, End{Number: int64(index + 1), Run: start.Run, Cause: Done}, at(100+index))
		is.Equal(len(drain(scheduler).answers) == 1, index == 3)
	}
	is.Equal(scheduler.Active(), 0)
}

// Guards against a queue that fills with jobs that will miss their objective: the burst of jobs beyond all room is
// refused at once with a time to return, and what is taken on starts in time.
func TestBurstBeyondRoomIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(4)
	refused, taken := 0, 0
	for number := range 20 {
		scheduler.Submit(testJob(fmt.Sprintf("j%d", number), 4, 100, 0), at(0))
		for _, answer := range drain(scheduler).answers {
			refusal, ok := answer.Outcome.(dispatcher.Refused)
			is.True(ok)
			is.Equal(refusal.Reason(), dispatcher.ReasonOverload)
			is.True(!answer.Started)
			is.True(!refusal.RetryAt().Before(at(1000)))
			refused++
		}
	}
	taken = scheduler.Active()
	is.Equal(taken+refused, 20)
	is.True(taken >= 2) // room for two jobs at once
	is.True(taken <= 4) // a third waits 50 ms for its last task; later ones would miss their objective
}

// Guards against a refusal that is untrue: a job of which a task has started is never refused.
func TestStartedJobIsNotRefused(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("j", 3, 100, 0), at(0))
	first := drain(scheduler)
	is.Equal(len(first.starts), 2)
	take(scheduler, first.starts, at(2))
	for now := 5; now < 3100; now += 5 {
		scheduler.Tick(at(now))
	}
	answers := drain(scheduler).answers
	is.Equal(len(answers), 1)
	is.Equal(outcome(answers[0]), "unknown")
}

// Guards against a job that waits on although nothing of it can start in time.
func TestUnstartedJobIsGivenUpEarly(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("long", 2, 100, 0), at(0))
	take(scheduler, drain(scheduler).starts, at(2))
	scheduler.Submit(testJob("next", 1, 400, 10), at(10))
	given := 0
	for now := 10; now < 3000 && given == 0; now += 5 {
		scheduler.Tick(at(now))
		for _, answer := range drain(scheduler).answers {
			if answer.Job == "next" {
				is.Equal(outcome(answer), "refused overload")
				given = now
			}
		}
	}
	// A quarter of the time to its objective of 700 ms.
	is.True(given > 0 && given <= 10+700/4+5)
}

// Guards against a job that is held to its deadline and then told that it may have run although every order to start it
// was rejected: it is refused once its patience is over. A start that was not answered, or a target that knows a later run, keeps it.
func TestRejectedStartsAreNoStart(t *testing.T) {
	tests := []struct {
		result StartResult
		want   string
	}{
		{StartNoRoom, "refused overload"},
		{StartLate, "refused overload"},
		{StartUnanswered, "unknown"},
		{StartStale, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.result.String(), func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(1)
			scheduler.Submit(testJob("j", 1, 400, 0), at(0))
			var answer Answer
			given := 0
			for now := 2; now < 3100 && given == 0; now += 5 {
				drained := drain(scheduler)
				for _, start := range drained.starts {
					scheduler.StartAnswered(start.Target, start.Run, test.result, at(now))
				}
				scheduler.Tick(at(now))
				if len(drained.answers) > 0 {
					answer, given = drained.answers[0], now
				}
			}
			is.Equal(outcome(answer), test.want)
			if test.want != "unknown" {
				// A quarter of the time to its objective of 700 ms, and an order that is under way.
				is.True(given <= 700/4+20)
			}
		})
	}
}

// Guards against a refusal while an order to start is under way: the target may take it.
func TestJobIsNotRefusedWhileAStartIsUnderWay(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	is.Equal(len(drain(scheduler).starts), 1)
	for now := 5; now < 3100; now += 5 {
		scheduler.Tick(at(now))
	}
	answers := drain(scheduler).answers
	is.Equal(len(answers), 1)
	is.Equal(outcome(answers[0]), "unknown")
}

// Guards against a second run beside one whose start got no answer: the order to stop comes first, and a target that
// does not take it keeps the task until its lease is over.
func TestUnansweredStartIsNotDoubled(t *testing.T) {
	tests := []struct {
		name     string
		stopped  bool
		earliest int
	}{
		{"stop taken", true, 120 + int(StopTime/time.Millisecond)},
		{"stop not answered", false, int((LeaseTime + leaseSlack) / time.Millisecond)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(2)
			scheduler.Submit(testJob("j", 1, 100, 0), at(0))
			start := drain(scheduler).starts[0]
			scheduler.StartAnswered(start.Target, start.Run, StartUnanswered, at(110))
			is.Equal(len(drain(scheduler).stops), 1)
			scheduler.StopAnswered(start.Target, start.Run, test.stopped, at(120))
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
	scheduler.StartAnswered(start.Target, start.Run, StartUnanswered, at(110))
	scheduler.StopAnswered(start.Target, start.Run, false, at(120))
	is.Equal(len(drain(scheduler).relays), 1) // the reader is asked to stop it
	for now := 120; now < 2800; now += 5 {
		if now%200 == 0 {
			scheduler.PeerReported(Report{Target: start.Target, Room: Size{MilliCores: 18000}}, at(now))
		}
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.Ended(start.Target, End{Run: start.Run, Cause: Stopped}, at(2800))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Guards against runs that go on for a caller that left.
func TestAbandonedJobStopsItsRuns(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 2, 100, 0), at(0))
	starts := drain(scheduler).starts
	scheduler.StartAnswered(starts[0].Target, starts[0].Run, StartTaken, at(2))
	scheduler.Abandon("j", "left", at(3))
	is.Equal(len(drain(scheduler).stops), 2)
	// The answer to the second start arrives after the order to stop, which it may have overtaken.
	scheduler.StartAnswered(starts[1].Target, starts[1].Run, StartTaken, at(4))
	is.Equal(len(drain(scheduler).stops), 1)
}

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
			scheduler.Ended(start.Target, End{Run: start.Run, Cause: cause}, at(now))
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
				scheduler.Ended(start.Target, End{Run: start.Run, Cause: cause}, at(now))
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
			scheduler.Ended(start.Target, End{Run: start.Run, Cause: Failed}, at(now))
		}
		drained = drain(scheduler)
	}
	is.Equal(outcome(drained.answers[0]), "failed")
	scheduler.Submit(testJob("good", 6, 100, now), at(now+50))
	is.Equal(len(drain(scheduler).starts), 6) // all three targets take work
}

// Guards against a job that waits for a run that stands still although another target could do it in time.
func TestStragglerStartsElsewhereAfterItsStop(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 100, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	stoppedAt := 0
	for now := 5; now < 1000 && stoppedAt == 0; now += 5 {
		if now > 300 {
			scheduler.Looked(start.Target, Look{Incarnation: 1, Running: []Row{{Run: start.Run}}, Sent: at(now - 2), Answered: at(now)})
		}
		scheduler.Tick(at(now))
		drained := drain(scheduler)
		is.Equal(len(drained.starts), 0) // never beside the first run
		if len(drained.stops) > 0 {
			stoppedAt = now
		}
	}
	is.True(stoppedAt > 300) // not before the target was seen to run it still
	scheduler.StopAnswered(start.Target, start.Run, true, at(stoppedAt+2))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Ended(start.Target, End{Run: start.Run, Cause: Stopped}, at(stoppedAt+30))
	second := drain(scheduler).starts
	is.Equal(len(second), 1)
	is.True(second[0].Target != start.Target)
}

// Guards against a run that is lost with the end that another instance acknowledged, or with a lapsed lease.
func TestRunThatItsTargetDoesNotListStartsAgain(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 1000, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	scheduler.Looked(start.Target, Look{Incarnation: 1, Sent: at(100), Answered: at(102)})
	scheduler.Tick(at(105))
	is.Equal(len(drain(scheduler).starts), 0) // its end may be on the way
	scheduler.Tick(at(102 + int(missingTime/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Guards against waiting for the runs of an incarnation that is gone.
func TestRestartedTargetLosesItsRuns(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 500, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	scheduler.Looked(start.Target, Look{Incarnation: 2, Sent: at(100), Answered: at(102)})
	second := drain(scheduler).starts
	is.Equal(len(second), 1)
	is.Equal(second[0].Run.Attempt, int64(2))
}

// Guards against new work on a target that leaves.
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

// Guards against the loss of all targets while the store forgets their entries, and against targets that are used for
// long after they have gone.
func TestTargetWithoutEntryIsUsedForAWhile(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.SetTargets(nil, at(100))
	scheduler.Submit(testJob("soon", 1, 100, 1000), at(1000))
	is.Equal(len(drain(scheduler).starts), 1)
	late := 100 + int(deletedUse/time.Millisecond) + 1
	scheduler.Submit(testJob("late", 1, 100, late), at(late))
	is.Equal(len(drain(scheduler).starts), 0)
}

// Guards against runs that go on for an instance that is gone, so that its caller's second attempt runs beside them; and
// against the stop of a run whose claim is still on its way.
func TestOrphansAreStopped(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	alive := map[string]bool{"peer": true}
	isAlive := func(owner string) bool { return alive[owner] }
	claimed, unknown := Run{"p.0.0.0", 1}, Run{"q.0.0.0", 1}
	scheduler.PeerClaimed("peer", Claim{Target: "t0", Run: claimed, Size: Size{MilliCores: 14000}, Estimate: time.Second}, at(0))
	look := func(now int) {
		scheduler.Looked("t0", Look{Incarnation: 1, Running: []Row{{Run: claimed}, {Run: unknown}}, Sent: at(now), Answered: at(now + 1)})
		scheduler.Orphans("t0", isAlive, at(now+1))
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
	scheduler.Ended("t0", End{Number: 1, Run: run, Cause: Done}, at(10))
	end, ended := scheduler.PeerClaimed("peer", Claim{Target: "t0", Run: run, Size: Size{MilliCores: 14000}}, at(12))
	is.True(ended)
	is.Equal(end.Cause, Done)
	scheduler.Sweep(at(12 + int(endsKept/time.Millisecond)))
	_, ended = scheduler.PeerClaimed("peer", Claim{Target: "t0", Run: run, Size: Size{MilliCores: 14000}}, at(5000))
	is.True(!ended)
}

// Guards against rejected starts under load: freed room goes to one instance, and others hear of it only later.
func TestFreedRoomIsOfferedToOneInstance(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	size := Size{MilliCores: 16000, MemoryMB: 64}
	runs := []Run{{"p.0.0.0", 1}, {"p.0.0.1", 1}}
	for _, run := range runs {
		scheduler.PeerClaimed("peer", Claim{Target: "t0", Run: run, Size: size, Estimate: 100 * time.Millisecond}, at(0))
	}
	is.Equal(len(scheduler.Reports(at(1))), 1)
	scheduler.PeerDemand("peer", Demand{3})
	scheduler.Ended("t0", End{Number: 1, Run: runs[0], Cause: Done}, at(50))
	offers := drain(scheduler).offers
	is.Equal(len(offers), 1)
	is.Equal(offers[0].To, "peer")
	is.Equal(offers[0].Room.MilliCores, int64(16000))
	is.Equal(len(scheduler.Reports(at(51))), 0) // not told to the others yet
	scheduler.PeerDemand("peer", Demand{})
	scheduler.Turns(at(50 + int(turnTime/time.Millisecond)))
	is.Equal(len(scheduler.Reports(at(60))), 1) // nobody took it
}

// Guards against instances that hear of the same room and all start on the same target: each has another order of the
// targets that others read.
func TestInstancesSpreadOverUnreadTargets(t *testing.T) {
	is := is.New(t)
	chosen := make(map[string]int)
	for instance := range 30 {
		scheduler := New(fmt.Sprintf("instance-%d", instance), "a")
		scheduler.SetTargets(testTargets(30), at(0))
		for _, id := range scheduler.Targets() {
			scheduler.PeerReported(Report{Target: id, Room: Size{MilliCores: 32000, MemoryMB: 1024}}, at(0))
		}
		scheduler.Submit(testJob("j", 1, 100, 1), at(1))
		chosen[drain(scheduler).starts[0].Target]++
	}
	is.True(len(chosen) >= 15) // 19 of 30 are expected of independent choices
}

// Guards against a belief of room that outlives a rejection.
func TestRejectionVoidsTheReportOfRoom(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(1), at(0))
	scheduler.PeerReported(Report{Target: "t0", Room: Size{MilliCores: 32000, MemoryMB: 1024}}, at(0))
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.StartAnswered("t0", start.Run, StartNoRoom, at(3))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.PeerReported(Report{Target: "t0", Room: Size{MilliCores: 16000, MemoryMB: 1024}}, at(20))
	scheduler.Place(at(20))
	is.Equal(len(drain(scheduler).starts), 1)
}

// Guards against slow targets that get as much work as fast ones.
func TestSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	now := 0
	counts := make(map[string]int)
	for number := range 60 {
		now += 10
		scheduler.Submit(testJob(fmt.Sprintf("j%d", number), 1, 100, now), at(now))
		start := drain(scheduler).starts[0]
		take(scheduler, []StartTask{start}, at(now))
		if number >= 30 {
			counts[start.Target]++
		}
		now += map[string]int{"t0": 50, "t1": 180}[start.Target]
		scheduler.Ended(start.Target, End{Run: start.Run, Cause: Done}, at(now))
		drain(scheduler)
	}
	is.True(counts["t0"] >= 29)
}

// Guards against steps that start before those that they wait for.
func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	job := testJob("j", 2, 100, 0)
	second := job.Steps[0]
	second.Tasks, second.After = []string{"j.0.1.0"}, []int{0}
	job.Steps = append(job.Steps, second)
	job.Objective = at(1000)
	scheduler.Submit(job, at(0))
	first := drain(scheduler).starts
	is.Equal(len(first), 2)
	take(scheduler, first, at(2))
	scheduler.Ended(first[0].Target, End{Run: first[0].Run, Cause: Done}, at(100))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Ended(first[1].Target, End{Run: first[1].Run, Cause: Done}, at(110))
	last := drain(scheduler).starts
	is.Equal(len(last), 1)
	is.Equal(last[0].Run.Task, "j.0.1.0")
}

// Guards against a job that is run again for a caller who missed its answer.
func TestCompleteAnswerIsRepeated(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("j", 1, 100, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	scheduler.Ended(start.Target, End{Run: start.Run, Cause: Done}, at(100))
	is.Equal(outcome(drain(scheduler).answers[0]), "complete")
	scheduler.Submit(testJob("j", 1, 100, 1500), at(1500))
	again := drain(scheduler)
	is.Equal(len(again.starts), 0)
	is.Equal(outcome(again.answers[0]), "complete")
}

// Guards against a job that waits for a run on a target that nobody reaches any more, until its caller has gone.
func TestRunStartsAgainOnceItsLeaseIsOver(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	scheduler.Renewing(start.Target, at(400))
	scheduler.Unreachable(start.Target)
	end := 400 + int((LeaseTime+leaseSlack)/time.Millisecond)
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
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	scheduler.Paused(at(1500))
	scheduler.Tick(at(1500))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.Renewing(start.Target, at(1510))
	scheduler.Tick(at(1900))
	is.Equal(len(drain(scheduler).starts), 0)
}

// Guards against starts on every target of a failure domain that is cut off.
func TestSuspendedDomainGetsNoWork(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	targets := testTargets(2)
	targets[0].Domain = "b"
	scheduler.SetTargets(targets, at(0))
	scheduler.Suspend("b", true)
	scheduler.Submit(testJob("j", 2, 100, 0), at(0))
	for _, start := range drain(scheduler).starts {
		is.Equal(start.Target, "t1")
	}
	scheduler.Suspend("b", false)
	scheduler.Submit(testJob("k", 2, 100, 0), at(0))
	is.Equal(len(drain(scheduler).starts), 2)
}

// Guards against starts on a target that its reader has lost, and against counting its lease from that report.
func TestLostTargetGetsNoWorkAndNoLease(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	scheduler.PeerReported(Report{Target: start.Target, Lost: true}, at(500))
	scheduler.Submit(testJob("k", 1, 100, 500), at(500))
	is.True(drain(scheduler).starts[0].Target != start.Target)
	scheduler.Tick(at(int((LeaseTime + leaseSlack) / time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1) // started again 1.06 s after the only order that set the lease
}

// Guards against a second run beside one whose lease a reader renewed after it was cut off from the owner, and before it
// ended itself without having stopped the run (Chakra trouble-2, seed 383704058273).
func TestLeaseIsCountedPastTheLastReport(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	start := drain(scheduler).starts[0]
	take(scheduler, []StartTask{start}, at(2))
	scheduler.PeerReported(Report{Target: start.Target, Room: Size{MilliCores: 18000}}, at(45))
	// The reader hears nothing of the owner, renews the lease until 45+800 ms and ends then.
	for now := 45; now < 45+800+1000; now += 5 {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.Tick(at(45 + 800 + int((LeaseTime+leaseSlack)/time.Millisecond)))
	is.Equal(len(drain(scheduler).starts), 1)
}
