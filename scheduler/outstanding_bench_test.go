package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Measures one placement while many tasks wait for the targets that may still carry out starts of them.
func BenchmarkPlacementOfTasksWithOutstandingStarts(b *testing.B) {
	const targets = 350
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			scheduler := New("self", "a")
			scheduler.SetTargets(testTargets(targets), at(0))
			for _, id := range scheduler.Targets() {
				readIdle(scheduler, id, -2000)
			}
			for number := range waiting {
				job := testJob(fmt.Sprintf("j%d", number), 1, 400, 0)
				scheduler.HoldStarts(at(10))
				scheduler.Submit(job, at(0))
				target := scheduler.targets["t0"]
				scheduler.recordLateStart(target, Run{Task: job.Steps[0].Tasks[0], Attempt: 1}, at(0))
			}
			scheduler.HoldStarts(time.Time{})
			scheduler.MarkUnreachable("t0", false, at(11))
			_ = scheduler.TakeActions()
			b.ResetTimer()
			for b.Loop() {
				scheduler.place(at(12))
			}
			if starts := len(scheduler.TakeActions()); starts > 0 {
				b.Fatal(starts, "tasks started elsewhere")
			}
		})
	}
}
