package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance sends no claims to itself. The reader of a target took its own runs for ones without an owner 600 ms after their
// starts, so that the free capacity beside each longer run stayed unused until its end.
func TestCapacityBesideALongOwnRunIsUsed(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("long", 1, 2000, 0))
	scheduler.listUntil(start, 900)
	is.Equal(scheduler.targets[start.Target].report(at(900)).FreeCapacity.MilliCores, int64(18000))
	scheduler.Submit(testJob("short", 1, 100, 900), at(900))
	is.Equal(len(drain(scheduler).starts), 1)
}

// A run that this instance has abandoned must lapse if its stop is not answered, so nothing may start beside it.
func TestCapacityBesideAnAbandonedRunIsWithheld(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("long", 1, 2000, 0))
	scheduler.Abandon("long", "the caller left", at(50))
	scheduler.listUntil(start, 900)
	is.True(scheduler.withheld(start.Target, at(50).Add(orphanGrace+time.Millisecond)))
	scheduler.Submit(testJob("short", 1, 100, 900), at(900))
	is.Equal(len(drain(scheduler).starts), 0)
}

// While an instance was paused, its callers may have sent their jobs elsewhere, so nothing may start beside runs from before the
// pause, as long as they last.
func TestCapacityBesideARunFromBeforeAPauseIsWithheld(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("long", 1, 2000, 0))
	scheduler.RecordPause(at(100))
	scheduler.listUntil(start, 900)
	is.True(scheduler.withheld(start.Target, at(900)))
}

func (scheduler *Scheduler) withheld(target string, now time.Time) bool {
	return scheduler.targets[target].withholdsCapacity(now)
}

// listUntil lets the target list a run as running until the given millisecond.
func (scheduler *Scheduler) listUntil(start StartTask, end int) {
	for now := 100; now <= end; now += 100 {
		scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: start.Run}}, Sent: at(now - 1), Answered: at(now)})
		scheduler.Sweep(at(now))
	}
}
