package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A full target whose reader has not reported for a while must not get start after start: each one renews its lease.
func TestRejectedStartIsNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(1), at(0))
	scheduler.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "reader", FreeCapacity: testTarget(0).Capacity}, at(0))
	now := 1 + int(reportTTL/time.Millisecond)
	scheduler.Submit(testJob("j", 1, 900, now), at(now))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartNoRoom, at(now+1))
	for end := now + 1 + int(rejectionBackoff/time.Millisecond); now < end; now++ {
		scheduler.Tick(at(now))
		is.Equal(len(drain(scheduler).starts), 0)
	}
	scheduler.Tick(at(now))
	is.Equal(len(drain(scheduler).starts), 1)
}

// An instance that has just started must learn which targets their readers cannot reach: its starts would renew their leases.
func TestUnreachableTargetsAreKnownToTheReader(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(3)
	scheduler.SetReader("t1", false, at(0))
	scheduler.MarkUnreachable("t0", false, at(10))
	scheduler.MarkUnreachable("t1", false, at(10))
	is.Equal(scheduler.Reports(at(20)), []CapacityReport{{Target: "t0", Unreachable: true}, {Target: "t2", FreeCapacity: testTarget(2).Capacity}})
}
