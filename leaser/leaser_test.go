package leaser_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/leaser"
	"github.com/hyssoplift/hyssoplift/placer"
)

func task(runMS int, memoryMB int64) dispatcher.Task {
	payload := fmt.Appendf(nil, `{"run-ms": %d, "need": {"milli-cores": 100, "memory-mb": %d}}`, runMS, memoryMB)
	return dispatcher.NewTask("task-1", payload)
}

// Guards against starting a task a second time after a lost response, and against reporting a started task as not
// started.
func TestRun(t *testing.T) {
	cases := []struct {
		name   string
		fault  emulator.WorkerFault
		task   dispatcher.Task
		want   string
		starts int
	}{
		{"finishes", emulator.WorkerHealthy, task(10, 100), "leaser.Completed", 1},
		{"response to the start is lost", emulator.WorkerLosesResponses, task(10, 100), "leaser.Completed", 1},
		{"task fails", emulator.WorkerFailing, task(10, 100), "leaser.TaskFailed", 1},
		{"guard stops the task", emulator.WorkerHealthy, task(10, 5000), "leaser.TaskFailed", 1},
		{"worker leaves", emulator.WorkerLeaving, task(10, 100), "leaser.NotStarted", 0},
		{"deadline passes while running", emulator.WorkerHealthy, task(60_000, 100), "leaser.Lost", 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			worker := emulator.NewWorker(placer.Resources{MilliCores: 4000, MemoryMB: 8192})
			worker.SetFault(test.fault)
			server := httptest.NewServer(worker)
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			resources := placer.Resources{MilliCores: 1000, MemoryMB: 1000}
			result := leaser.New().Run(ctx, server.Listener.Addr().String(), "plan", resources, test.task)
			is.Equal(fmt.Sprintf("%T", result), test.want)
			is.Equal(worker.StartCount(), test.starts)
		})
	}
}

// Guards against reporting a task as lost when no connection to the worker was made.
func TestUnreachableWorkerIsNotStarted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	result := leaser.New().Run(context.Background(), address, "plan", placer.Resources{}, task(1, 1))
	_, ok := result.(leaser.NotStarted)
	is.True(ok)
}

// Guards against assuming that a lease is still valid after its holder was paused: the state reported by the worker
// decides.
func TestLapsedLeaseIsReportedByTheWorker(t *testing.T) {
	is := is.New(t)
	handler := http.NewServeMux()
	status := `{"state": "running"}`
	handler.HandleFunc("PUT /leases/{id}", func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, status)
	})
	handler.HandleFunc("POST /leases/{id}/renew", func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, `{"state": "lapsed", "detail": "the lease was not renewed"}`)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	result := leaser.New().Run(context.Background(), server.Listener.Addr().String(), "plan", placer.Resources{}, task(1, 1))
	taskFailed, ok := result.(leaser.TaskFailed)
	is.True(ok)
	is.Equal(taskFailed.Detail(), "worker reports lapsed: the lease was not renewed")
}
