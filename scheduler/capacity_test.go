package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// withCapacity returns the test target with another capacity.
func withCapacity(number int, milliCores, memoryMB int64) Target {
	target := testTarget(number)
	target.Capacity = Resources{MilliCores: milliCores, MemoryMB: memoryMB}
	return target
}

// When capacity shrinks, the other instances must learn of it at once, although the reader started and ended nothing.
func TestShrunkCapacityIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.DueReports(at(0))
	scheduler.SetTargets([]Target{withCapacity(0, 16000, 65536)}, at(10))
	reports := scheduler.DueReports(at(10))
	is.Equal(len(reports), 1)
	is.Equal(reports[0].FreeCapacity.MilliCores, int64(16000))
	scheduler.SetTargets([]Target{withCapacity(0, 32000, 65536)}, at(20))
	reports = scheduler.DueReports(at(20))
	is.Equal(len(reports), 1)
	is.Equal(reports[0].FreeCapacity.MilliCores, int64(32000))
}

// A report from before the capacity shrank must not lead to a start that no longer fits, in any kind of resource.
func TestNoStartBeyondShrunkCapacity(t *testing.T) {
	tests := []struct {
		name   string
		shrunk Target
		starts int
	}{
		{"processor for one task", withCapacity(0, 20000, 65536), 1},
		{"below what runs already", withCapacity(0, 8000, 65536), 0},
		{"to zero", withCapacity(0, 0, 0), 0},
		{"memory for one task", withCapacity(0, 32000, 100), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets([]Target{testTarget(0)}, at(0))
			scheduler.HandlePeerReport(CapacityReport{Target: "t0", FreeCapacity: testTarget(0).Capacity}, at(5))
			job := testJob("j", 2, 900, 10)
			scheduler.SetTargets([]Target{testTarget(0), testTarget(1)}, at(6))
			scheduler.MarkUnreachable("t1", false, at(6))
			scheduler.SetTargets([]Target{test.shrunk, testTarget(1)}, at(8))
			scheduler.Submit(job, at(10))
			is.Equal(len(drain(scheduler).starts), test.starts)
		})
	}
}

// A job that no target can take while capacity is shrunk must not be refused as impossible.
func TestShrunkCapacityIsNotForEver(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.SetTargets([]Target{withCapacity(0, 8000, 65536)}, at(10))
	scheduler.Submit(testJob("j", 1, 900, 20), at(20))
	refused, ok := drain(scheduler).answers[0].Outcome.(dispatcher.Refused)
	is.True(ok)
	is.Equal(refused.Reason(), dispatcher.ReasonUnavailable)
	is.True(!refused.RetryAt().IsZero())
	scheduler.SetTargets([]Target{testTarget(0)}, at(30))
	scheduler.Submit(testJob("j", 1, 900, 40), at(40))
	is.Equal(len(drain(scheduler).starts), 1)
}
