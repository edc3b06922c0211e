package scheduler

import (
	"testing"

	"github.com/matryer/is"
)

// A start on a target that this instance does not use would open a connection beyond what the target accepts. Runs that are
// there must continue, and the capacity must not count as one that tasks can wait for.
func TestNothingStartsOnAnUnusedTarget(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	running := startOne(scheduler, testJob("a", 1, 900, 0))
	scheduler.SetUsed(running.Target, false)
	scheduler.Submit(testJob("b", 3, 900, 10), at(10))
	drained := drain(scheduler)
	is.Equal(len(drained.stops), 0)
	is.Equal(len(drained.starts), 2) // as many as fit on the other one
	for _, start := range drained.starts {
		is.True(start.Target != running.Target)
	}
	is.Equal(scheduler.freeSlots("work", testJob("c", 1, 900, 20).Steps[0].Resources, 10, at(20)), int64(0))
	scheduler.SetUsed(running.Target, true)
	scheduler.Place(at(20))
	is.Equal(len(drain(scheduler).starts), 1)
}
