package dispatcher

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

func BenchmarkDigest(b *testing.B) {
	for _, count := range []int{1, 10, 130} {
		b.Run(fmt.Sprintf("tasks=%d", count), func(b *testing.B) {
			tasks := make([]Task, count)
			for i := range tasks {
				tasks[i] = NewTask(fmt.Sprintf("task-%d", i+1), json.RawMessage(`{"loop":"floor-2/room-17/loop-3","supply-c":38.5,"return-c":31.2,"flow-l-min":2.4,"manifold":"m-4"}`))
			}
			job := NewJob("key", "loop-check", "demo", time.Unix(10, 0), tasks)
			b.ReportAllocs()
			for b.Loop() {
				_ = job.Digest()
			}
		})
	}
}
