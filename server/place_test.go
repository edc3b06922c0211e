package server

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/placer"
)

const workerSections = `[service plans]
protocol = worker
[target worker-1]
failure-domain = local
service = plans
address = %s
slots = 32
rack = rack-1
milli-cores = 4000
memory-mb = 4000
[target worker-2]
failure-domain = local
service = plans
address = %s
slots = 32
rack = rack-2
milli-cores = 4000
memory-mb = 4000
[kind circuit-plan]
service = plans
repeatable = true
milli-cores = 1000
memory-mb = 1000
`

// Guards against a task on a worker that is started twice, is reported as not run although it started, or waits for a
// worker that accepts no more tasks.
func TestJobsOnWorkers(t *testing.T) {
	cases := []struct {
		name    string
		faults  [2]emulator.WorkerFault
		memory  int
		tasks   int
		status  int
		outcome string
		starts  int
	}{
		{"complete", [2]emulator.WorkerFault{emulator.WorkerHealthy, emulator.WorkerHealthy}, 100, 6, 200, "complete", 6},
		{"more tasks than free capacity", [2]emulator.WorkerFault{emulator.WorkerHealthy, emulator.WorkerHealthy}, 100, 20, 200, "complete", 20},
		{"one worker leaves", [2]emulator.WorkerFault{emulator.WorkerLeaving, emulator.WorkerHealthy}, 100, 4, 200, "complete", 4},
		{"responses to starts are lost", [2]emulator.WorkerFault{emulator.WorkerLosesResponses, emulator.WorkerLosesResponses}, 100, 4, 200, "complete", 4},
		{"tasks fail", [2]emulator.WorkerFault{emulator.WorkerFailing, emulator.WorkerFailing}, 100, 1, 502, "failed", 1},
		{"the guard stops the task", [2]emulator.WorkerFault{emulator.WorkerHealthy, emulator.WorkerHealthy}, 3000, 1, 502, "failed", 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var fleet [2]*emulator.Worker
			var addresses [2]any
			for i := range fleet {
				fleet[i] = emulator.NewWorker(placer.Resources{MilliCores: 4000, MemoryMB: 4000})
				fleet[i].SetFault(test.faults[i])
				target := httptest.NewServer(fleet[i])
				defer target.Close()
				addresses[i] = target.Listener.Addr()
			}
			server, base := startServer(t, http.NotFoundHandler(), hclog.NewNullLogger())
			bundle, err := bundler.Parse([]byte(fmt.Sprintf(testBundle, "127.0.0.1:1") + fmt.Sprintf(workerSections, addresses[:]...)))
			is.NoErr(err)
			server.installBundle(bundle)

			body := `{"kind":"circuit-plan","team":"demo","tasks":[`
			for i := range test.tasks {
				if i > 0 {
					body += ","
				}
				body += fmt.Sprintf(`{"name":"task-%d","payload":{"run-ms":5,"need":{"milli-cores":100,"memory-mb":%d}}}`, i, test.memory)
			}
			got := send(t, http.MethodPost, base+"/v1/jobs", body+"]}")
			is.Equal(got.status, test.status)
			is.Equal(got.answer.Outcome, test.outcome)
			is.Equal(fleet[0].StartCount()+fleet[1].StartCount(), test.starts) // each task was started once
		})
	}
}
