package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/leaser"
	"github.com/hyssoplift/hyssoplift/placer"
)

// WorkerFault is a fault that the emulated worker injects.
type WorkerFault string

// Faults of the emulated worker.
const (
	// WorkerHealthy injects no fault.
	WorkerHealthy WorkerFault = "healthy"
	// WorkerLeaving rejects new leases with 503 and closes their connections.
	WorkerLeaving WorkerFault = "leaving"
	// WorkerLosesResponses starts a task and closes the connection without a response.
	WorkerLosesResponses WorkerFault = "loses-answers"
	// WorkerFailing starts a task and reports its failure immediately.
	WorkerFailing WorkerFault = "failing"
)

// WorkerPayload is the payload of a task for the emulated worker.
type WorkerPayload struct {
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run-ms"`
	// Usage holds the resources that the task actually uses, which may differ from the leased ones.
	Usage placer.Resources `json:"need"`
}

type taskLease struct {
	status    leaser.LeaseStatus
	resources placer.Resources
	expires   time.Time
	done      chan struct{}
}

// Worker emulates a worker that runs tasks under leases and whose guard enforces the leased resources.
type Worker struct {
	mux      *http.ServeMux
	capacity placer.Resources

	mu     sync.Mutex
	leases map[string]*taskLease
	used   placer.Resources
	starts int
	fault  WorkerFault
}

// NewWorker returns a healthy worker with the given resources.
func NewWorker(capacity placer.Resources) *Worker {
	worker := &Worker{mux: http.NewServeMux(), capacity: capacity, leases: make(map[string]*taskLease), fault: WorkerHealthy}
	worker.mux.HandleFunc("PUT /leases/{id}", worker.handleStart)
	worker.mux.HandleFunc("POST /leases/{id}/renew", worker.handleRenew)
	worker.mux.HandleFunc("GET /usage", worker.handleUsage)
	worker.mux.HandleFunc("PUT /fault/{fault}", worker.handleFault)
	return worker
}

// ServeHTTP starts tasks, renews leases, reports the usage and serves requests that inject faults.
func (worker *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	worker.mux.ServeHTTP(writer, request)
}

// SetFault sets the fault that the worker injects.
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
	worker.respond(writer, request, lease, body.WaitMS)
}

// start starts a task under a lease. If the worker rejects the task, the lease is nil and the int is the status of the
// response. start also returns the fault that applied.
func (worker *Worker) start(id string, body leaser.LeaseRequest, payload WorkerPayload) (*taskLease, int, WorkerFault) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	switch used := addResources(worker.used, body.Resources); {
	case worker.fault == WorkerLeaving:
		return nil, http.StatusServiceUnavailable, worker.fault
	case worker.leases[id] != nil:
		return nil, http.StatusConflict, worker.fault
	case used.MilliCores > worker.capacity.MilliCores || used.MemoryMB > worker.capacity.MemoryMB || used.Accelerators > worker.capacity.Accelerators:
		return nil, http.StatusTooManyRequests, worker.fault
	default:
		worker.used = used
	}
	lease := &taskLease{
		status:    leaser.LeaseStatus{State: leaser.Running, Peak: payload.Usage},
		resources: body.Resources,
		expires:   time.Now().Add(time.Duration(body.LeaseMS) * time.Millisecond),
		done:      make(chan struct{}),
	}
	worker.leases[id] = lease
	worker.starts++
	switch {
	case worker.fault == WorkerFailing:
		worker.finish(lease, leaser.Failed, "task failed")
	case payload.Usage.MemoryMB > body.Resources.MemoryMB:
		lease.status.Guard = leaser.GuardStopped
		worker.finish(lease, leaser.Stopped, "task exceeded its memory")
	default:
		worker.scheduleEnd(lease, payload, body.Resources)
	}
	return lease, http.StatusOK, worker.fault
}

// scheduleEnd finishes the task after its run time, which is longer if the guard throttles it, or when its lease
// expires. The caller holds worker.mu.
func (worker *Worker) scheduleEnd(lease *taskLease, payload WorkerPayload, resources placer.Resources) {
	runTime := time.Duration(payload.RunMS) * time.Millisecond
	if payload.Usage.MilliCores > resources.MilliCores {
		lease.status.Guard = leaser.GuardThrottled
		runTime = runTime * time.Duration(payload.Usage.MilliCores) / time.Duration(max(resources.MilliCores, 1))
	}
	time.AfterFunc(runTime, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		lease.status.Result = json.RawMessage("{}")
		worker.finish(lease, leaser.Finished, "")
	})
	worker.expireAt(lease, lease.expires)
}

// expireAt finishes the task as lapsed at deadline. If the lease has been renewed by then, it waits for the new
// expiry.
func (worker *Worker) expireAt(lease *taskLease, deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if lease.expires.After(deadline) {
			worker.expireAt(lease, lease.expires)
			return
		}
		worker.finish(lease, leaser.Lapsed, "the lease was not renewed")
	})
}

// finish records the final state of a running lease and releases its resources. It does nothing if the lease has
// already finished. The caller holds worker.mu.
func (worker *Worker) finish(lease *taskLease, state leaser.State, detail string) {
	if lease.status.State != leaser.Running {
		return
	}
	lease.status.State, lease.status.Detail = state, detail
	worker.used = addResources(worker.used, placer.Resources{
		MilliCores: -lease.resources.MilliCores, MemoryMB: -lease.resources.MemoryMB, Accelerators: -lease.resources.Accelerators,
	})
	close(lease.done)
}

func addResources(a, b placer.Resources) placer.Resources {
	return placer.Resources{MilliCores: a.MilliCores + b.MilliCores, MemoryMB: a.MemoryMB + b.MemoryMB, Accelerators: a.Accelerators + b.Accelerators}
}

func (worker *Worker) handleRenew(writer http.ResponseWriter, request *http.Request) {
	var body leaser.LeaseRequest
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		http.Error(writer, "renewal is not understood", http.StatusUnprocessableEntity)
		return
	}
	worker.mu.Lock()
	lease := worker.leases[request.PathValue("id")]
	if lease != nil {
		lease.expires = time.Now().Add(time.Duration(body.LeaseMS) * time.Millisecond)
	}
	worker.mu.Unlock()
	if lease == nil {
		http.Error(writer, "no such lease", http.StatusNotFound)
		return
	}
	worker.respond(writer, request, lease, body.WaitMS)
}

// respond sends the status of the lease as soon as the task has finished or waitMS milliseconds have passed.
func (worker *Worker) respond(writer http.ResponseWriter, request *http.Request, lease *taskLease, waitMS int64) {
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-lease.done:
	case <-timer.C:
	case <-request.Context().Done():
		return
	}
	worker.mu.Lock()
	status := lease.status
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
