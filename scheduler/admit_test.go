package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

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
	taken = scheduler.ActiveJobs()
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
			var answer AnswerJob
			given := 0
			for now := 2; now < 3100 && given == 0; now += 5 {
				drained := drain(scheduler)
				for _, start := range drained.starts {
					scheduler.HandleStartResult(start.Target, start.Run, test.result, at(now))
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
