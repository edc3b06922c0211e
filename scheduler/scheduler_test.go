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

// testTarget returns a target with 32 cores in failure domain a.
func testTarget(number int) Target {
	return Target{
		ID: fmt.Sprintf("t%d", number), Service: "work", Address: "127.0.0.1:1", Domain: "a", Labels: []string{"kind"},
		Capacity: Resources{MilliCores: 32000, MemoryMB: 1024}, Incarnation: 1,
	}
}

func testTargets(count int) []Target {
	targets := make([]Target, count)
	for number := range targets {
		targets[number] = testTarget(number)
	}
	return targets
}

// testJob returns a job of one step whose tasks need 14 cores each; its objective is 1.6 times the estimate plus 60 ms.
func testJob(id string, tasks int, estimate, arrived int) Job {
	names := make([]string, tasks)
	for index := range names {
		names[index] = fmt.Sprintf("%s.0.0.%d", id, index)
	}
	step := Step{Tasks: names, Resources: Resources{MilliCores: 14000, MemoryMB: 64}, Estimate: time.Duration(estimate) * time.Millisecond}
	return Job{
		ID: id, Route: "r", Service: "work", Steps: []Step{step}, MaxFailures: 2,
		Arrived: at(arrived), Deadline: at(arrived + 3000), Objective: at(arrived + estimate*8/5 + 60),
	}
}

// newTestScheduler returns a scheduler that is the reader of all its targets.
func newTestScheduler(targets int) *Scheduler {
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(targets), at(0))
	for _, id := range scheduler.Targets() {
		scheduler.SetReader(id, true, at(-2000))
	}
	return scheduler
}

// drained groups actions by type.
type drained struct {
	starts  []StartTask
	stops   []StopRun
	answers []AnswerJob
	relays  []RelayStop
	offers  []OfferCapacity
}

func drain(scheduler *Scheduler) drained {
	var drained drained
	for _, action := range scheduler.TakeActions() {
		switch action := action.(type) {
		case StartTask:
			drained.starts = append(drained.starts, action)
		case StopRun:
			drained.stops = append(drained.stops, action)
		case AnswerJob:
			drained.answers = append(drained.answers, action)
		case RelayStop:
			drained.relays = append(drained.relays, action)
		case OfferCapacity:
			drained.offers = append(drained.offers, action)
		case WithdrawClaim:
		}
	}
	return drained
}

// acceptStarts reports the starts as accepted by their targets.
func acceptStarts(scheduler *Scheduler, starts []StartTask, now time.Time) {
	for _, start := range starts {
		scheduler.HandleStartResult(start.Target, start.Run, StartTaken, now)
	}
}

// startOne submits a job of one task at time 0 and accepts its start.
func startOne(scheduler *Scheduler, job Job) StartTask {
	scheduler.Submit(job, at(0))
	start := drain(scheduler).starts[0]
	acceptStarts(scheduler, []StartTask{start}, at(2))
	return start
}

// listNothing delivers a list of a target, requested a millisecond before, that shows no runs.
func listNothing(scheduler *Scheduler, targetID string, incarnation int64, now int) {
	scheduler.HandlePoll(targetID, PollResult{Incarnation: incarnation, Sent: at(now - 1), Answered: at(now)})
}

func outcome(answer AnswerJob) string {
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

// A job must not be answered before its last task has ended, and no target may get more runs than it has capacity for.
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
	acceptStarts(scheduler, first.starts, at(2))
	for index, start := range first.starts {
		scheduler.HandleEnd(start.Target, End{Seq: int64(index + 1), Run: start.Run, Cause: Done}, at(100+index))
		is.Equal(len(drain(scheduler).answers) == 1, index == 3)
	}
	is.Equal(scheduler.ActiveJobs(), 0)
}

// The runs of a job whose caller has left must be stopped.
func TestAbandonedJobStopsItsRuns(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 2, 100, 0), at(0))
	starts := drain(scheduler).starts
	scheduler.HandleStartResult(starts[0].Target, starts[0].Run, StartTaken, at(2))
	scheduler.Abandon("j", "left", at(3))
	is.Equal(len(drain(scheduler).stops), 2)
	// The answer to the second start arrives after the stop request, which may have overtaken the start.
	scheduler.HandleStartResult(starts[1].Target, starts[1].Run, StartTaken, at(4))
	is.Equal(len(drain(scheduler).stops), 1)
}

// A step must not start before the steps that it depends on are done.
func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	job := testJob("j", 2, 100, 0)
	second := job.Steps[0]
	second.Tasks, second.DependsOn = []string{"j.0.1.0"}, []int{0}
	job.Steps = append(job.Steps, second)
	job.Objective = at(1000)
	scheduler.Submit(job, at(0))
	first := drain(scheduler).starts
	is.Equal(len(first), 2)
	acceptStarts(scheduler, first, at(2))
	scheduler.HandleEnd(first[0].Target, End{Run: first[0].Run, Cause: Done}, at(100))
	is.Equal(len(drain(scheduler).starts), 0)
	scheduler.HandleEnd(first[1].Target, End{Run: first[1].Run, Cause: Done}, at(110))
	last := drain(scheduler).starts
	is.Equal(len(last), 1)
	is.Equal(last[0].Run.Task, "j.0.1.0")
}

// A completed job must not run again for a caller that missed the answer.
func TestCompleteAnswerIsRepeated(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("j", 1, 100, 0))
	scheduler.HandleEnd(start.Target, End{Run: start.Run, Cause: Done}, at(100))
	is.Equal(outcome(drain(scheduler).answers[0]), "complete")
	scheduler.Submit(testJob("j", 1, 100, 1500), at(1500))
	again := drain(scheduler)
	is.Equal(len(again.starts), 0)
	is.Equal(outcome(again.answers[0]), "complete")
}
