package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// RunnerFault is a fault that the emulated runner injects.
type RunnerFault string

// Faults of the emulated runner.
const (
	// RunnerHealthy injects no fault.
	RunnerHealthy RunnerFault = "healthy"
	// RunnerLeaving rejects new tasks with 503 and closes their connections.
	RunnerLeaving RunnerFault = "leaving"
	// RunnerFrozen starts tasks and never answers.
	RunnerFrozen RunnerFault = "frozen"
	// RunnerFailing answers every task with 500 immediately.
	RunnerFailing RunnerFault = "failing"
)

// RunnerPayload is the payload of a task for the emulated runner.
type RunnerPayload struct {
	// RunMS is the run time in milliseconds on a runner of speed 1.
	RunMS int64 `json:"run-ms"`
	// Echo is returned in the response and recorded with the start.
	Echo json.RawMessage `json:"echo,omitempty"`
}

// TaskStart records one task start on the emulated runner.
type TaskStart struct {
	Kind string          `json:"kind"`
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Runner emulates a runner: it runs tasks in a fixed number of slots and queues the rest.
type Runner struct {
	mux   *http.ServeMux
	slots chan struct{}
	speed float64

	mu     sync.Mutex
	fault  RunnerFault
	starts []TaskStart
}

// NewRunner returns a healthy runner with the given number of slots and speed factor (1 is nominal).
func NewRunner(slots int, speed float64) *Runner {
	runner := &Runner{mux: http.NewServeMux(), slots: make(chan struct{}, slots), speed: speed, fault: RunnerHealthy}
	runner.mux.HandleFunc("POST /run/{kind}", runner.handleRun)
	runner.mux.HandleFunc("GET /starts", runner.handleStarts)
	runner.mux.HandleFunc("PUT /fault/{fault}", runner.handleFault)
	return runner
}

// ServeHTTP runs tasks, lists their starts and serves requests that inject faults.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	runner.mux.ServeHTTP(writer, request)
}

// SetFault sets the fault that the runner injects.
func (runner *Runner) SetFault(fault RunnerFault) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.fault = fault
}

// Starts returns all task starts so far, in order.
func (runner *Runner) Starts() []TaskStart {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return append([]TaskStart(nil), runner.starts...)
}

func (runner *Runner) handleRun(writer http.ResponseWriter, request *http.Request) {
	var payload RunnerPayload
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<20))
	if err != nil || json.Unmarshal(body, &payload) != nil {
		http.Error(writer, "payload is not understood", http.StatusUnprocessableEntity)
		return
	}
	fault, ok := runner.start(TaskStart{Kind: request.PathValue("kind"), Echo: payload.Echo})
	if !ok {
		writer.Header().Set("Connection", "close")
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	}
	switch fault {
	case RunnerFailing:
		http.Error(writer, "task failed", http.StatusInternalServerError)
		return
	case RunnerFrozen:
		<-request.Context().Done()
		return
	}
	runner.slots <- struct{}{}
	time.Sleep(time.Duration(float64(payload.RunMS) / runner.speed * float64(time.Millisecond)))
	<-runner.slots
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(payload)
}

// start records a task start and returns the current fault. It returns false, without a record, if the runner is
// leaving.
func (runner *Runner) start(start TaskStart) (RunnerFault, bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.fault == RunnerLeaving {
		return runner.fault, false
	}
	runner.starts = append(runner.starts, start)
	return runner.fault, true
}

func (runner *Runner) handleStarts(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(runner.Starts())
}

func (runner *Runner) handleFault(writer http.ResponseWriter, request *http.Request) {
	switch fault := RunnerFault(request.PathValue("fault")); fault {
	case RunnerHealthy, RunnerLeaving, RunnerFrozen, RunnerFailing:
		runner.SetFault(fault)
		writer.WriteHeader(http.StatusNoContent)
	default:
		http.Error(writer, "unknown fault", http.StatusBadRequest)
	}
}
