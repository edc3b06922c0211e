package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax     = time.Second
	stopTime    = 20 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	checkpoints = "" // no task of these cases keeps checkpoints
)

// runner is a worker of the platform. Its tasks are timers: the spec of a task says how long it runs.
type runner struct {
	id      string
	service string
	zone    string
	address string
	world   *world

	mu       sync.Mutex
	up       bool
	draining bool
	labels   []string
	capacity int64
	server   *http.Server
	begun    time.Time
	born     int64
	seq      int64
	fence    int64
	leaseEnd time.Time
	lease    *time.Timer
	runs     map[string]*run
	highest  map[string]int64
	last     int64
	finished []ended
	changed  chan struct{}
	// holdNext makes the next order to start a task go unanswered; it is passed on to held and can be carried out later.
	holdNext bool
	held     chan command
}

type run struct {
	task    string
	attempt int64
	token   int64
	cpu     int64
	begun   time.Time
	timer   *time.Timer
	ended   bool
}

type ended struct {
	number int64
	row    []any
}

// start begins a life of the runner: it runs and knows nothing. It registers in the store.
func (runner *runner) start(labels []string) error {
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	runner.mu.Lock()
	runner.address = listener.Addr().String()
	runner.up, runner.labels, runner.draining = true, labels, false
	runner.begun = time.Now()
	runner.born = max(runner.begun.UnixMilli(), runner.born+1)
	runner.seq, runner.fence, runner.last, runner.finished = 0, 0, 0, nil
	runner.runs, runner.highest = make(map[string]*run), make(map[string]int64)
	runner.leaseEnd, runner.changed = time.Time{}, make(chan struct{})
	server := &http.Server{Handler: runner}
	runner.server = server
	born := runner.born
	runner.mu.Unlock()
	runner.world.record.line("runner %s: starts, born %d, labels %v", runner.id, born, labels)
	go func() { _ = server.Serve(listener) }()
	go func() {
		for {
			runner.mu.Lock()
			if !runner.up || runner.born != born {
				runner.mu.Unlock()
				return
			}
			runner.seq++
			entry := runner.entry()
			runner.mu.Unlock()
			runner.world.store.put("keyed.servers", runner.id, entry)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// crash ends the runner and everything on it, without a word.
func (runner *runner) crash() {
	runner.mu.Lock()
	runner.up = false
	for _, run := range runner.runs {
		run.ended = true
		run.timer.Stop()
		runner.world.ran(runner, run, "crash")
	}
	runner.runs = make(map[string]*run)
	server := runner.server
	runner.mu.Unlock()
	runner.world.record.line("runner %s: crashes", runner.id)
	_ = server.Close()
}

func (runner *runner) entry() []byte {
	state := "ready"
	if runner.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": runner.service, "addr": runner.address, "zone": runner.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"seq": runner.seq, "capacity": map[string]any{"cpu": runner.capacity, "memMb": 262144, "gpu": 0}, "labels": runner.labels, "born": runner.born,
	})
	return data
}

type command struct {
	Task       string `json:"task"`
	Attempt    int64  `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
}

func (runner *runner) clock() int64 { return time.Since(runner.begun).Milliseconds() }

func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var command command
	if err := json.NewDecoder(request.Body).Decode(&command); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	runner.mu.Lock()
	if !runner.up {
		runner.mu.Unlock()
		return
	}
	if runner.holdNext && strings.HasSuffix(request.URL.Path, "run-start") {
		runner.holdNext = false
		runner.mu.Unlock()
		runner.world.record.line("runner %s: the order to start %s attempt %d, generation number %d, gets no answer", runner.id, command.Task, command.Attempt, command.Fence)
		runner.held <- command
		<-request.Context().Done()
		return
	}
	if command.Fence < runner.fence {
		clock := runner.clock()
		runner.mu.Unlock()
		writeJSON(writer, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence", "born": runner.born})
		return
	}
	runner.fence = command.Fence
	status, reason := http.StatusOK, ""
	body := map[string]any{"born": runner.born}
	switch strings.TrimPrefix(request.URL.Path, "/hyssoplift/") {
	case "run-start":
		status, reason = runner.startRun(&command)
	case "run-stop":
		runner.stopRun(&command)
	case "hold":
		runner.extend(command.DeadlineMS)
		runner.acknowledge(command.AckCursor)
		runner.waitForEnd(request, time.Duration(command.WaitMS)*time.Millisecond)
		body["running"], body["finished"] = runner.lists()
	default:
		status = http.StatusNotFound
	}
	body["clockMs"] = runner.clock()
	runner.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(writer, status, body)
}

// carryOut carries out an order to start a task that got no answer.
func (runner *runner) carryOut(late command) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if !runner.up || late.Fence < runner.fence {
		runner.world.record.line("runner %s: the late order to start %s is refused", runner.id, late.Task)
		return
	}
	runner.fence = late.Fence
	_, reason := runner.startRun(&late)
	runner.world.record.line("runner %s: the late order to start %s attempt %d is carried out %s", runner.id, late.Task, late.Attempt, reason)
}

// extend lengthens the lease to a time on the runner's clock; the caller holds the lock.
func (runner *runner) extend(deadlineMS int64) {
	if deadlineMS <= runner.clock() {
		return
	}
	end := runner.begun.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if end.After(runner.leaseEnd) {
		runner.leaseEnd = end
		if runner.lease != nil {
			runner.lease.Stop()
		}
		born := runner.born
		runner.lease = time.AfterFunc(time.Until(end), func() { runner.lapse(born) })
	}
}

func (runner *runner) lapse(born int64) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.born != born || time.Now().Before(runner.leaseEnd) {
		return
	}
	for _, run := range runner.runs {
		runner.end(run, "lapsed")
	}
}

func (runner *runner) startRun(command *command) (int, string) {
	if command.DeadlineMS <= runner.clock() {
		return http.StatusConflict, "late"
	}
	if known, ok := runner.runs[command.Task]; ok && known.attempt == command.Attempt {
		runner.extend(command.DeadlineMS)
		return http.StatusOK, ""
	}
	if command.Attempt <= runner.highest[command.Task] {
		runner.extend(command.DeadlineMS)
		return http.StatusConflict, "old"
	}
	plan := parseSpec(command.Spec)
	used := int64(0)
	for _, run := range runner.runs {
		used += run.cpu
	}
	if used+plan.cpu > runner.capacity {
		runner.extend(command.DeadlineMS)
		return http.StatusConflict, "room"
	}
	runner.extend(command.DeadlineMS)
	started := &run{task: command.Task, attempt: command.Attempt, token: command.Fence, cpu: plan.cpu, begun: time.Now()}
	if _, ok := runner.runs[command.Task]; ok {
		runner.world.broken("TWICE", "runner %s is told to start %s attempt %d beside an earlier attempt there", runner.id, command.Task, command.Attempt)
	}
	runner.runs[command.Task] = started
	runner.world.begins(runner, started, command.Spec)
	how := "done"
	if plan.fails {
		how = "failed"
	}
	born := runner.born
	started.timer = time.AfterFunc(plan.runtime, func() {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		if runner.born == born {
			runner.end(started, how)
		}
	})
	return http.StatusOK, ""
}

func (runner *runner) stopRun(command *command) {
	known, ok := runner.runs[command.Task]
	if !ok || known.attempt != command.Attempt {
		runner.highest[command.Task] = max(runner.highest[command.Task], command.Attempt)
		return
	}
	born := runner.born
	time.AfterFunc(stopTime, func() {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		if runner.born == born {
			runner.end(known, "stopped")
		}
	})
}

// end ends a run; the caller holds the lock.
func (runner *runner) end(ending *run, how string) {
	if ending.ended {
		return
	}
	ending.ended = true
	ending.timer.Stop()
	delete(runner.runs, ending.task)
	runner.highest[ending.task] = max(runner.highest[ending.task], ending.attempt)
	runner.last++
	runner.finished = append(runner.finished, ended{runner.last, []any{runner.last, ending.task, ending.attempt, how, checkpoints}})
	close(runner.changed)
	runner.changed = make(chan struct{})
	runner.world.ran(runner, ending, how)
}

func (runner *runner) acknowledge(cursor int64) {
	for len(runner.finished) > 0 && runner.finished[0].number <= cursor {
		runner.finished = runner.finished[1:]
	}
}

// waitForEnd waits until an end is listed; the caller holds the lock, which is released meanwhile.
func (runner *runner) waitForEnd(request *http.Request, wait time.Duration) {
	timeout := time.After(wait)
	for wait > 0 && len(runner.finished) == 0 && runner.up {
		changed := runner.changed
		runner.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-request.Context().Done():
			wait = 0
		}
		runner.mu.Lock()
	}
}

func (runner *runner) lists() ([][]any, [][]any) {
	running, finished := [][]any{}, [][]any{}
	for _, run := range runner.runs {
		running = append(running, []any{run.task, run.attempt, checkpoints, 50, run.cpu})
	}
	for _, end := range runner.finished[:min(500, len(runner.finished))] {
		finished = append(finished, end.row)
	}
	return running, finished
}

// plan is what the spec of a task says.
type plan struct {
	runtime time.Duration
	cpu     int64
	fails   bool
}

// parseSpec reads a spec like "ms=500 cpu=1000 fail".
func parseSpec(spec string) plan {
	parsed := plan{runtime: 100 * time.Millisecond, cpu: 1000}
	for _, word := range strings.Fields(spec) {
		name, value, _ := strings.Cut(word, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			parsed.runtime = time.Duration(number) * time.Millisecond
		case "cpu":
			parsed.cpu = number
		case "fail":
			parsed.fails = true
		}
	}
	return parsed
}
