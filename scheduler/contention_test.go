package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// While targets of other readers reject most starts, since all instances prefer the same fast ones, an instance must use its own
// targets, although they are somewhat slower: on 37 instances more starts were rejected than accepted.
func TestRejectedStartsMoveWorkToOwnTargets(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.SetReader("t1", false, at(-2000))
	scheduler.targets["t1"].speed = learnedSpeed{meanLog: 0.5, runs: 100, version: 1}
	place := func(number int, result StartResult) string {
		now := 100 * number
		scheduler.HandlePeerReport(CapacityReport{Target: "t1", Reporter: "peer", FreeCapacity: Resources{MilliCores: 32000, MemoryMB: 1024}}, at(now))
		scheduler.Submit(testJob(fmt.Sprintf("j%d", number), 1, 60, now), at(now))
		start := drain(scheduler).starts[0]
		scheduler.HandleStartResult(start.Target, start.Run, result, at(now+2))
		scheduler.Abandon(start.Job, "test", at(now+3))
		drain(scheduler)
		return start.Target
	}
	is.Equal(place(0, StartTaken), "t1")
	for range 200 {
		scheduler.contention.record(true)
	}
	is.Equal(place(1, StartTaken), "t0")
	for range 200 {
		scheduler.contention.record(false)
	}
	is.Equal(place(2, StartTaken), "t1")
}
