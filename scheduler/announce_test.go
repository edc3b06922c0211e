package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/locator"
)

// list delivers a list of a target that shows a run.
func list(scheduler *Scheduler, target string, run Run, now int) {
	scheduler.RecordLeaseRenewal(target, at(now))
	scheduler.HandlePoll(target, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: run, MilliCores: 14000}}, Sent: at(now), Answered: at(now)})
}

// announcements returns the jobs that are announced at a time.
func announcements(scheduler *Scheduler, now int) []string {
	scheduler.Tick(at(now))
	var jobs []string
	for _, action := range scheduler.TakeActions() {
		if action, ok := action.(AnnounceJob); ok {
			jobs = append(jobs, action.Job)
		}
	}
	return jobs
}

// Only a job that its caller may hand in again elsewhere is worth a message to all instances, and it must be announced again while it is
// active, for those that have missed it.
func TestOnlyLastingJobsAreAnnounced(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("j", 1, 2000, 0))
	announcedAt := make(map[int]bool)
	for now := 10; now <= 1900; now += 10 {
		list(scheduler, start.Target, start.Run, now)
		if len(announcements(scheduler, now)) > 0 {
			announcedAt[now] = true
		}
	}
	is.Equal(announcedAt, map[int]bool{800: true, 1300: true, 1800: true})
	is.Equal(scheduler.ActiveJobIDs(at(1900)), []string{"j"})
	scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Done, Incarnation: 1}, at(1910))
	is.Equal(len(announcements(scheduler, 2310)), 0)
	is.Equal(len(scheduler.ActiveJobIDs(at(2310))), 0)
}

// An instance must not decline a job that it has, has completed or whose runs it is still stopping: whoever asks would run it beside them.
func TestInstanceIsConcernedUntilItsRunsHaveEnded(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	job := testJob("j", 1, 400, 0)
	is.True(!scheduler.Concerns(job, at(0)))
	start := startOne(scheduler, job)
	is.True(scheduler.Concerns(job, at(100)))
	scheduler.Abandon("j", "the caller left", at(200))
	is.True(scheduler.Concerns(job, at(201))) // the stop is under way
	scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Stopped, Incarnation: 1}, at(250))
	is.True(!scheduler.Concerns(job, at(251)))

	scheduler.Submit(testJob("done", 1, 400, 300), at(300))
	start = drain(scheduler).starts[0]
	scheduler.HandleEnd(start.Target, End{Seq: 2, Run: start.Run, Cause: Done, Incarnation: 1}, at(400))
	is.True(scheduler.Concerns(testJob("done", 1, 400, 300), at(500)))
}

// An instance that was paused must not start the tasks of a job again that its caller has handed in elsewhere meanwhile; one whose runs go
// on must keep them, since the other one gives way.
func TestResumedInstanceGivesWayToAnother(t *testing.T) {
	tests := []struct {
		name string
		// announced is the job that another instance has announced.
		announced string
		// stopped means that the run was stopped during the pause by others, and paused that there was one.
		paused, stopped bool
		// sent is when the announcement was sent.
		sent      int
		abandoned bool
	}{
		{"paused, its run was stopped", "j", true, true, 940, true},
		{"paused, its run goes on", "j", true, false, 940, true},
		{"its run was stopped", "j", false, true, 940, true},
		{"its run goes on", "j", false, false, 940, false},
		{"announcement of an earlier submission", "j", true, true, -1, false},
		{"another job", "k", true, true, 940, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newTestScheduler(1)
			start := startOne(scheduler, testJob("j", 1, 1000, 0))
			list(scheduler, start.Target, start.Run, 100)
			if test.paused {
				scheduler.RecordPause(at(900))
				is.Equal(len(announcements(scheduler, 910)), 0) // others have announced the job by now
				is.Equal(len(scheduler.ActiveJobIDs(at(910))), 0)
			}
			scheduler.HoldStarts(at(1100))
			if test.stopped {
				scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Stopped, Incarnation: 1}, at(920))
			}
			drain(scheduler)
			scheduler.HandlePeerAnnouncement(locator.KeyOf(test.announced), at(test.sent), at(950))
			is.Equal(!scheduler.Has("j"), test.abandoned)
			drained := drain(scheduler)
			is.Equal(len(drained.answers) == 1, test.abandoned)
			is.Equal(len(drained.stops) == 1, test.abandoned && !test.stopped)
		})
	}
}

// A job that was given up with an outstanding start must be announced until nothing can be carried out: an instance that knows nothing of
// it would run it on another target beside the late run.
func TestJobWithAnOutstandingStartIsAnnouncedAfterItIsGivenUp(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startAgain(scheduler, true)
	scheduler.Abandon("j", "the caller left", at(61))
	scheduler.HandleStopResult(start.Target, start.Run, true, at(63))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Named: 1, Sent: at(64), Answered: at(65)})
	_ = drain(scheduler)
	announcedAt := make(map[int]bool)
	for now := 100; now < 3000; now += 100 {
		if now == 1500 {
			scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Named: 2, Sent: at(now - 1), Answered: at(now)})
			is.Equal(len(drain(scheduler).stops), 1)
			scheduler.HandleStopResult(start.Target, start.Run, true, at(now))
			scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Named: 2, Sent: at(now), Answered: at(now)})
		}
		scheduler.Sweep(at(now))
		if len(announcements(scheduler, now)) > 0 {
			announcedAt[now] = true
		}
		isOutstanding := now < 1500
		is.Equal(scheduler.Concerns(testJob("j", 1, 400, now), at(now)), isOutstanding)
		is.Equal(len(scheduler.GivenUpJobIDs(at(now))) == 1, isOutstanding)
		is.Equal(len(scheduler.ActiveJobIDs(at(now))), 0)
	}
	is.Equal(announcedAt, map[int]bool{100: true, 600: true, 1100: true})
}

// Two instances that have given a job up with outstanding starts must not abandon it in turn when it is handed in again: neither runs it.
func TestWaitingJobIsNotAbandonedForAnInstanceThatHasGivenItUp(t *testing.T) {
	is := is.New(t)
	schedulers := []*Scheduler{newTestScheduler(2), newTestScheduler(2)}
	for _, scheduler := range schedulers {
		start := startAgain(scheduler, true)
		scheduler.Abandon("j", "the caller left", at(61))
		scheduler.HandleStopResult(start.Target, start.Run, true, at(63))
		scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Named: 1, Sent: at(64), Answered: at(65)})
		scheduler.targets[start.Target].heldUntil = at(2200) // full
		_ = drain(scheduler)
	}
	job := longJob(10000)
	job.Arrived = at(1400)
	schedulers[0].Submit(job, at(1400))
	is.True(schedulers[0].Has("j"))
	announced := 0
	for now := 1500; now < 2200; now += 100 {
		schedulers[1].Sweep(at(now))
		for _, action := range schedulers[1].TakeActions() {
			if announce, ok := action.(AnnounceJob); ok {
				announced++
				schedulers[0].HandlePeerAnnouncement(announce.Key(), at(now), at(now+1))
			}
		}
	}
	is.True(announced > 0)
	is.True(schedulers[0].Has("j"))
}

// A completed job must not be announced as one that was given up while a start of it is outstanding: it would run again where it is joined.
func TestCompletedJobIsNotAnnouncedAsGivenUp(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startAgain(scheduler, true)
	scheduler.HandleRepeatedStartResult(&start, StartTaken, at(62))
	scheduler.HandleEnd(start.Target, End{Seq: 1, Run: start.Run, Cause: Done, Incarnation: 1}, at(300))
	for now := 400; now < 13000; now += 100 {
		scheduler.Sweep(at(now))
		is.Equal(len(announcements(scheduler, now)), 0)
		is.Equal(len(scheduler.GivenUpJobIDs(at(now))), 0)
	}
}
