package encoder

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// benchPayload has the size of a small task description, about 100 bytes.
const benchPayload = `{"loop":"floor-2/room-17/loop-3","supply-c":38.5,"return-c":31.2,"flow-l-min":2.4,"manifold":"m-4"}`

func benchJob(count int) dispatcher.Job {
	tasks := make([]dispatcher.Task, count)
	for i := range tasks {
		tasks[i] = dispatcher.NewTask(fmt.Sprintf("task-%d", i+1), json.RawMessage(benchPayload))
	}
	return dispatcher.NewJob("~hanoi-a.1200.17.order-4711", "loop-check", "demo", time.Unix(10, 0), tasks)
}

func benchOutcome(count int) dispatcher.Outcome {
	results := make([]dispatcher.TaskResult, count)
	for i := range results {
		results[i] = dispatcher.TaskResult{Name: fmt.Sprintf("task-%d", i+1), Result: json.RawMessage(benchPayload)}
	}
	return dispatcher.NewComplete(results)
}

// benchTasks runs a benchmark for jobs of 1, 10 and 130 tasks.
func benchTasks(b *testing.B, run func(b *testing.B, tasks int)) {
	for _, tasks := range []int{1, 10, 130} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			b.ReportAllocs()
			run(b, tasks)
		})
	}
}

func BenchmarkDecodeJob(b *testing.B) {
	benchTasks(b, func(b *testing.B, tasks int) {
		body, err := EncodeJob(benchJob(tasks), time.Unix(0, 0))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, fieldError := DecodeJob(body, "key", tasks, time.Unix(0, 0)); fieldError != nil {
				b.Fatal(fieldError)
			}
		}
		b.ReportMetric(float64(len(body)), "wire-B/op")
	})
}

func BenchmarkEncodeJob(b *testing.B) {
	benchTasks(b, func(b *testing.B, tasks int) {
		job := benchJob(tasks)
		for b.Loop() {
			if _, err := EncodeJob(job, time.Unix(0, 0)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkEncodeOutcome(b *testing.B) {
	benchTasks(b, func(b *testing.B, tasks int) {
		outcome := benchOutcome(tasks)
		size := 0
		for b.Loop() {
			size = len(EncodeOutcome("key", outcome, time.Unix(0, 0)).Body())
		}
		b.ReportMetric(float64(size), "wire-B/op")
	})
}

func BenchmarkDecodeOutcome(b *testing.B) {
	benchTasks(b, func(b *testing.B, tasks int) {
		body := EncodeOutcome("key", benchOutcome(tasks), time.Unix(0, 0)).Body()
		for b.Loop() {
			if _, _, err := DecodeOutcome(body, "", time.Unix(0, 0)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
