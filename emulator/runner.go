package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// RunnerFault is a fault that the runner stand-in shows on request.
type RunnerFault string

// Faults of the runner stand-in.
const (
	// RunnerHealthy is the absence of a fault.
	RunnerHealthy RunnerFault = "healthy"
	// RunnerLeaving answers new tasks with 503 and closes their connections.
	RunnerLeaving RunnerFault = "leaving"
	// RunnerFrozen starts tasks and never answers.
	RunnerFrozen RunnerFault = "frozen"
	// RunnerFailing answers every task with 500 at once.
	RunnerFailing RunnerFault = "failing"
)

// RunnerPayload is the payload that the runner stand-in understands.
type RunnerPayload struct {
	// RunMS is the run time in milliseconds on a runner of speed 1.
	RunMS int64           `json:"run-ms"`
	Echo  json.RawMessage `json:"echo,omitempty"`
}

// TaskStart is one task start that the runner saw.
type TaskStart struct {
	Kind string          `json:"kind"`
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Runner is a stand-in of a target: it runs tasks in a bounded number of slots and queues the rest.
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

// ServeHTTP runs tasks, lists starts and takes requests for faults.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	runner.mux.ServeHTTP(writer, request)
}

// SetFault switches the fault that the runner shows.
func (runner *Runner) SetFault(fault RunnerFault) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.fault = fault
}

// Starts returns every task start so far, in order.
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

// start records a task start unless the runner is leaving.
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
