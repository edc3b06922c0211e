package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// A burst beyond the total capacity must be refused at once with a retry time, or the queue fills with jobs that miss
// their objective. Accepted jobs start on time.
func TestBurstBeyondCapacityIsRefusedAtOnce(t *testing.T) {
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
	is.True(taken >= 2) // capacity for two jobs at once
	is.True(taken <= 4) // the last task of a third job waits 50 ms; later jobs would miss their objective
}

// A job must not be refused once one of its tasks has started.
func TestStartedJobIsNotRefused(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("j", 3, 100, 0), at(0))
	first := drain(scheduler)
	is.Equal(len(first.starts), 2)
	acceptStarts(scheduler, first.starts, at(2))
	for now := 5; now < 3100; now += 5 {
		scheduler.Tick(at(now))
	}
	answers := drain(scheduler).answers
	is.Equal(len(answers), 1)
	is.Equal(outcome(answers[0]), "unknown")
}

// A job must be refused early, not at its deadline, if none of its tasks can start in time.
func TestUnstartedJobIsRefusedEarly(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("long", 2, 100, 0), at(0))
	acceptStarts(scheduler, drain(scheduler).starts, at(2))
	scheduler.Submit(testJob("next", 1, 400, 10), at(10))
	refusedAt := 0
	for now := 10; now < 3000 && refusedAt == 0; now += 5 {
		scheduler.Tick(at(now))
		for _, answer := range drain(scheduler).answers {
			if answer.Job == "next" {
				is.Equal(outcome(answer), "refused overload")
				refusedAt = now
			}
		}
	}
	// A quarter of the 700 ms to its objective.
	is.True(refusedAt > 0 && refusedAt <= 10+700/4+5)
}

// A job whose start requests were all rejected must be refused after its maximum wait, rather than kept until its
// deadline and answered as possibly started. An unanswered start, or a target that has recorded a later run, means that
// the job may have started.
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
			answeredAt := 0
			for now := 2; now < 3100 && answeredAt == 0; now += 5 {
				drained := drain(scheduler)
				for _, start := range drained.starts {
					scheduler.HandleStartResult(start.Target, start.Run, test.result, at(now))
				}
				scheduler.Tick(at(now))
				if len(drained.answers) > 0 {
					answer, answeredAt = drained.answers[0], now
				}
			}
			is.Equal(outcome(answer), test.want)
			if test.want != "unknown" {
				// A quarter of the 700 ms to its objective, and one request in flight.
				is.True(answeredAt <= 700/4+20)
			}
		})
	}
}

// A job must not be refused while a start request is in flight, since the target may accept it.
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

// A negative demand from another instance must not hide the tasks that wait elsewhere.
func TestNegativeDemandCountsAsZero(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.HandlePeerDemand("honest", Demand{5})
	scheduler.HandlePeerDemand("malformed", Demand{-1000, -1})
	load := scheduler.load(newJob(testJob("j", 1, 100, 0)), scheduler.releaseRateOf("work", at(0)), at(0))
	is.Equal(load.TasksAhead, int64(5))
}

// The rate of run ends on targets of other readers is estimated from their used capacity. It took each run for one of 14 cores, so
// that jobs of smaller tasks were refused although enough runs would have ended in time.
func TestReleaseRateFollowsTheSizeOfTasks(t *testing.T) {
	for _, test := range []struct {
		milliCores int64
		perSecond  int64
	}{{8000, 4 * 5}, {16000, 2 * 5}, {32000, 5}} { // runs of 200 ms on a full target of 32 cores
		is := is.New(t)
		scheduler := New("self", "a")
		scheduler.SetTargets(testTargets(1), at(0))
		scheduler.AttachReader("t0", "other", at(0))
		scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "other", FreeCapacity: Resources{MilliCores: 1}}, at(1))
		scheduler.recordRunResources(Resources{MilliCores: test.milliCores})
		is.Equal((scheduler.releaseRateOf("work", at(2)).perHour+1800)/3600, test.perSecond)
	}
}
