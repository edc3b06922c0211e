package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/leaser"
	"github.com/hyssoplift/hyssoplift/placer"
)

// WorkerFault is a fault that the worker stand-in shows on request.
type WorkerFault string

// Faults of the worker stand-in.
const (
	// WorkerHealthy is the absence of a fault.
	WorkerHealthy WorkerFault = "healthy"
	// WorkerLeaving answers new leases with 503 and closes their connections.
	WorkerLeaving WorkerFault = "leaving"
	// WorkerLosesResponses starts a task and closes the connection without an answer.
	WorkerLosesResponses WorkerFault = "loses-answers"
	// WorkerFailing starts a task and reports its failure at once.
	WorkerFailing WorkerFault = "failing"
)

// WorkerPayload is the payload that the worker stand-in understands.
type WorkerPayload struct {
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run-ms"`
	// Usage is the size that the task really uses.
	Usage placer.Resources `json:"need"`
}

type lease struct {
	status  leaser.LeaseStatus
	size    placer.Resources
	expires time.Time
	ended   chan struct{}
}

// Worker is a stand-in of a worker that runs tasks under leases with its guard on.
type Worker struct {
	mux   *http.ServeMux
	total placer.Resources

	mu     sync.Mutex
	leases map[string]*lease
	used   placer.Resources
	starts int
	fault  WorkerFault
}

// NewWorker returns a healthy worker of the given size.
func NewWorker(total placer.Resources) *Worker {
	worker := &Worker{mux: http.NewServeMux(), total: total, leases: make(map[string]*lease), fault: WorkerHealthy}
	worker.mux.HandleFunc("PUT /leases/{id}", worker.handleStart)
	worker.mux.HandleFunc("POST /leases/{id}/renew", worker.handleRenew)
	worker.mux.HandleFunc("GET /usage", worker.handleUsage)
	worker.mux.HandleFunc("PUT /fault/{fault}", worker.handleFault)
	return worker
}

// ServeHTTP starts and renews leases and reports usage.
func (worker *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	worker.mux.ServeHTTP(writer, request)
}

// SetFault switches the fault that the worker shows.
func (worker *Worker) SetFault(fault WorkerFault) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.fault = fault
}

// StartCount returns the number of task starts so far.
func (worker *Worker) StartCount() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.starts
}

func (worker *Worker) handleStart(writer http.ResponseWriter, request *http.Request) {
	var body leaser.LeaseRequest
	var payload WorkerPayload
	if json.NewDecoder(request.Body).Decode(&body) != nil || json.Unmarshal(body.Payload, &payload) != nil {
		http.Error(writer, "lease is not understood", http.StatusUnprocessableEntity)
		return
	}
	lease, code, fault := worker.start(request.PathValue("id"), body, payload)
	if lease == nil {
		if fault == WorkerLeaving {
			writer.Header().Set("Connection", "close")
		}
		http.Error(writer, "not started", code)
		return
	}
	if fault == WorkerLosesResponses {
		panic(http.ErrAbortHandler)
	}
	worker.answer(writer, request, lease, body.WaitMS)
}

func (worker *Worker) start(id string, body leaser.LeaseRequest, payload WorkerPayload) (*lease, int, WorkerFault) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	switch used := sum(worker.used, body.Resources); {
	case worker.fault == WorkerLeaving:
		return nil, http.StatusServiceUnavailable, worker.fault
	case worker.leases[id] != nil:
		return nil, http.StatusConflict, worker.fault
	case used.MilliCores > worker.total.MilliCores || used.MemoryMB > worker.total.MemoryMB || used.Accelerators > worker.total.Accelerators:
		return nil, http.StatusTooManyRequests, worker.fault
	default:
		worker.used = used
	}
	started := &lease{
		status:  leaser.LeaseStatus{State: leaser.Running, Peak: payload.Usage},
		size:    body.Resources,
		expires: time.Now().Add(time.Duration(body.LeaseMS) * time.Millisecond),
		ended:   make(chan struct{}),
	}
	worker.leases[id] = started
	worker.starts++
	switch {
	case worker.fault == WorkerFailing:
		worker.end(started, leaser.Failed, "task failed")
	case payload.Usage.MemoryMB > body.Resources.MemoryMB:
		started.status.Guard = leaser.GuardStopped
		worker.end(started, leaser.Stopped, "task exceeded its memory")
	default:
		worker.run(started, payload, body.Resources)
	}
	return started, http.StatusOK, worker.fault
}

// run ends the task after its run time, stretched if the guard throttles it; the caller holds worker.mu.
func (worker *Worker) run(started *lease, payload WorkerPayload, resources placer.Resources) {
	runTime := time.Duration(payload.RunMS) * time.Millisecond
	if payload.Usage.MilliCores > resources.MilliCores {
		started.status.Guard = leaser.GuardThrottled
		runTime = runTime * time.Duration(payload.Usage.MilliCores) / time.Duration(max(resources.MilliCores, 1))
	}
	time.AfterFunc(runTime, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		started.status.Result = json.RawMessage("{}")
		worker.end(started, leaser.Finished, "")
	})
	worker.expireAt(started, started.expires)
}

// expireAt stops the task when its lease lapses, unless it was renewed in the meantime.
func (worker *Worker) expireAt(running *lease, deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if running.expires.After(deadline) {
			worker.expireAt(running, running.expires)
			return
		}
		worker.end(running, leaser.Lapsed, "the lease was not renewed")
	})
}

// end settles a running lease; the caller holds worker.mu.
func (worker *Worker) end(running *lease, state leaser.State, detail string) {
	if running.status.State != leaser.Running {
		return
	}
	running.status.State, running.status.Detail = state, detail
	worker.used = sum(worker.used, placer.Resources{
		MilliCores: -running.size.MilliCores, MemoryMB: -running.size.MemoryMB, Accelerators: -running.size.Accelerators,
	})
	close(running.ended)
}

func sum(a, b placer.Resources) placer.Resources {
	return placer.Resources{MilliCores: a.MilliCores + b.MilliCores, MemoryMB: a.MemoryMB + b.MemoryMB, Accelerators: a.Accelerators + b.Accelerators}
}

func (worker *Worker) handleRenew(writer http.ResponseWriter, request *http.Request) {
	var body leaser.LeaseRequest
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		http.Error(writer, "renewal is not understood", http.StatusUnprocessableEntity)
		return
	}
	worker.mu.Lock()
	renewed := worker.leases[request.PathValue("id")]
	if renewed != nil {
		renewed.expires = time.Now().Add(time.Duration(body.LeaseMS) * time.Millisecond)
	}
	worker.mu.Unlock()
	if renewed == nil {
		http.Error(writer, "no such lease", http.StatusNotFound)
		return
	}
	worker.answer(writer, request, renewed, body.WaitMS)
}

// answer sends the lease's state when the task ends or waitMS milliseconds have passed.
func (worker *Worker) answer(writer http.ResponseWriter, request *http.Request, asked *lease, waitMS int64) {
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-asked.ended:
	case <-timer.C:
	case <-request.Context().Done():
		return
	}
	worker.mu.Lock()
	status := asked.status
	worker.mu.Unlock()
	_ = json.NewEncoder(writer).Encode(status)
}

func (worker *Worker) handleUsage(writer http.ResponseWriter, _ *http.Request) {
	worker.mu.Lock()
	report := leaser.UsageReport{Used: worker.used}
	worker.mu.Unlock()
	_ = json.NewEncoder(writer).Encode(report)
}

func (worker *Worker) handleFault(writer http.ResponseWriter, request *http.Request) {
	switch fault := WorkerFault(request.PathValue("fault")); fault {
	case WorkerHealthy, WorkerLeaving, WorkerLosesResponses, WorkerFailing:
		worker.SetFault(fault)
		writer.WriteHeader(http.StatusNoContent)
	default:
		http.Error(writer, "unknown fault", http.StatusBadRequest)
	}
}
