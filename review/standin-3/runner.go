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
	// holdMax is the longest lease (holdMaxMs), and heartbeat the time between two entries of a runner (heartbeatMs).
	holdMax   = time.Second
	heartbeat = 1500 * time.Millisecond
	// stopTime is how long a stop takes (stopMs is 50).
	stopTime = 20 * time.Millisecond
)

// order is a command to a runner.
type order struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

// job returns the ID of the job of a task.
func jobOf(task string) string { return task[:strings.IndexByte(task+".", '.')] }

// run is a task at work.
type run struct {
	task     string
	attempt  int64
	cpu      int64
	began    time.Time
	ends     *time.Timer
	stopping bool
}

// start is a task that a runner has begun, and when it ended; zero while it is at work.
type start struct {
	runner  string
	labels  []string
	task    string
	attempt int64
	began   time.Time
	ended   time.Time
	how     string
}

// life is what a runner knows from its start until its end.
type life struct {
	born      time.Time
	fence     int64
	lease     time.Time
	running   map[string]*run
	finished  [][]any
	lastEnd   int64
	lastEnded map[string]int64
	changed   chan struct{}
	starts    map[*run]*start
}

// runner stands in for a runner.
type runner struct {
	fleet   *fleet
	id      string
	zone    string
	address string
	cpu     int64

	mu       sync.Mutex
	labels   []string
	life     *life
	listener net.Listener
	open     map[net.Conn]bool
	seq      int64
	state    string
}

// fleet holds the runners and all that they have begun.
type fleet struct {
	record  *record
	store   *store
	service string

	mu      sync.Mutex
	runners []*runner
	starts  []*start
}

// add adds a runner and starts it.
func (fleet *fleet) add(id, zone string, cpu int64, labels ...string) (*runner, error) {
	added := &runner{fleet: fleet, id: id, zone: zone, cpu: cpu, labels: labels, address: "127.0.0.1:0", state: "ready"}
	if err := added.boot(); err != nil {
		return nil, err
	}
	fleet.mu.Lock()
	fleet.runners = append(fleet.runners, added)
	fleet.mu.Unlock()
	go added.beat()
	return added, nil
}

// startsOf returns copies of the starts of a job's tasks.
func (fleet *fleet) startsOf(job string) []start {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var found []start
	for _, known := range fleet.starts {
		if jobOf(known.task) == job {
			found = append(found, *known)
		}
	}
	return found
}

// boot starts a runner. Its entry is in the store before it serves.
func (runner *runner) boot() error {
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	runner.mu.Lock()
	runner.listener, runner.address, runner.open = listener, listener.Addr().String(), make(map[net.Conn]bool)
	runner.life = &life{
		born: time.Now(), running: make(map[string]*run), lastEnded: make(map[string]int64), changed: make(chan struct{}), starts: make(map[*run]*start),
	}
	runner.seq = 0
	life := runner.life
	runner.mu.Unlock()
	runner.report()
	runner.fleet.record.line("runner %s starts, born %d, labels %v", runner.id, life.born.UnixMilli(), runner.labels)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	for _, path := range []string{"run-start", "run-stop", "hold"} {
		mux.HandleFunc("POST /hyssoplift/"+path, func(writer http.ResponseWriter, request *http.Request) { runner.serve(life, path, writer, request) })
	}
	server := &http.Server{Handler: mux, ConnState: func(connection net.Conn, state http.ConnState) {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		if state == http.StateNew && runner.life == life {
			runner.open[connection] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends a runner: it answers nothing, its connections are reset, and what ran there is gone.
func (runner *runner) crash() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	ended := runner.life
	runner.life = nil
	_ = runner.listener.Close()
	for connection := range runner.open {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
	for _, active := range ended.running {
		active.ends.Stop()
		runner.note(ended, active, "lost with the runner")
	}
	runner.fleet.record.line("runner %s crashes", runner.id)
}

// setLabels sets the labels from the next start on.
func (runner *runner) setLabels(labels ...string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.labels = labels
}

// beat writes the runner's entry to the store from time to time.
func (runner *runner) beat() {
	for {
		time.Sleep(heartbeat)
		runner.report()
	}
}

// report writes the runner's entry to the store, unless it is down.
func (runner *runner) report() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.life == nil {
		return
	}
	runner.seq++
	runner.fleet.store.putJSON("keyed.servers", runner.id, map[string]any{
		"service": runner.fleet.service, "addr": runner.address, "zone": runner.zone, "version": "1", "slots": 8, "state": runner.state, "coldLeftMs": 0,
		"seq": runner.seq, "capacity": map[string]int64{"cpu": runner.cpu, "memMb": 65536, "gpu": 0}, "labels": runner.labels, "born": runner.life.born.UnixMilli(),
	})
}

// serve carries out an order.
func (runner *runner) serve(life *life, path string, writer http.ResponseWriter, request *http.Request) {
	var command order
	if json.NewDecoder(request.Body).Decode(&command) != nil {
		http.Error(writer, "not an order", http.StatusBadRequest)
		return
	}
	runner.mu.Lock()
	if runner.life != life {
		runner.mu.Unlock()
		<-request.Context().Done()
		return
	}
	if request.Header.Get("X-Expect-Instance") != runner.id {
		runner.mu.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reason := http.StatusOK, ""
	switch {
	case command.FencingToken < life.fence:
		status, reason = http.StatusConflict, "fence"
	case path == "run-start":
		life.fence = command.FencingToken
		if reason = runner.begin(life, command); reason != "" {
			status = http.StatusConflict
		}
		runner.fleet.record.line("runner %s: start of %s, attempt %d: %s", runner.id, command.Task, command.Attempt, orOK(reason))
	case path == "run-stop":
		life.fence = command.FencingToken
		runner.stop(life, command)
		runner.fleet.record.line("runner %s: stop of %s, attempt %d", runner.id, command.Task, command.Attempt)
	default:
		life.fence = command.FencingToken
		runner.hold(life, command, writer, request)
		return
	}
	answer := map[string]any{"clockMs": time.Since(life.born).Milliseconds()}
	if reason != "" {
		answer["reason"] = reason
	}
	runner.mu.Unlock()
	respond(writer, status, answer)
}

func orOK(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

// extend extends the lease to a time on the runner's clock. The caller holds the lock.
func (runner *runner) extend(life *life, deadlineMS int64) {
	now := time.Now()
	until := life.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := now.Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(life.lease) {
		life.lease = until
		time.AfterFunc(time.Until(until), func() { runner.lapse(life) })
	}
}

// lapse ends all that runs if the lease is over.
func (runner *runner) lapse(life *life) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.life != life || time.Now().Before(life.lease) {
		return
	}
	for _, active := range life.running {
		runner.end(life, active, "lapsed")
	}
}

func key(task string, attempt int64) string { return task + "/" + strconv.FormatInt(attempt, 10) }

// begin begins a task, or returns why not. The caller holds the lock.
func (runner *runner) begin(life *life, command order) string {
	if _, ok := life.running[key(command.Task, command.Attempt)]; ok {
		runner.extend(life, command.DeadlineMS)
		return ""
	}
	if command.DeadlineMS <= time.Since(life.born).Milliseconds() {
		return "late"
	}
	runner.extend(life, command.DeadlineMS)
	if command.Attempt <= life.lastEnded[command.Task] {
		return "old"
	}
	work, cpu := workOf(command.Spec)
	used := int64(0)
	for _, active := range life.running {
		used += active.cpu
	}
	if used+cpu > runner.cpu {
		return "room"
	}
	began := &run{task: command.Task, attempt: command.Attempt, cpu: cpu, began: time.Now()}
	began.ends = time.AfterFunc(work, func() {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		if runner.life == life {
			runner.end(life, began, "done")
		}
	})
	life.running[key(began.task, began.attempt)] = began
	noted := &start{runner: runner.id, labels: runner.labels, task: began.task, attempt: began.attempt, began: began.began}
	life.starts[began] = noted
	runner.fleet.mu.Lock()
	runner.fleet.starts = append(runner.fleet.starts, noted)
	runner.fleet.mu.Unlock()
	return ""
}

// workOf returns the work and the thousandths of a core that a spec names, as in "800 1000".
func workOf(spec string) (time.Duration, int64) {
	ms, cpu, _ := strings.Cut(spec, " ")
	work, _ := strconv.Atoi(ms)
	cores, _ := strconv.ParseInt(cpu, 10, 64)
	return time.Duration(work) * time.Millisecond, cores
}

// end lists the end of a run. The caller holds the lock.
func (runner *runner) end(life *life, ended *run, how string) {
	id := key(ended.task, ended.attempt)
	if life.running[id] != ended {
		return
	}
	ended.ends.Stop()
	delete(life.running, id)
	life.lastEnd++
	life.lastEnded[ended.task] = max(life.lastEnded[ended.task], ended.attempt)
	life.finished = append(life.finished, []any{life.lastEnd, ended.task, ended.attempt, how, ""})
	runner.note(life, ended, how)
	close(life.changed)
	life.changed = make(chan struct{})
}

// note notes the end of a start.
func (runner *runner) note(life *life, ended *run, how string) {
	runner.fleet.mu.Lock()
	defer runner.fleet.mu.Unlock()
	noted := life.starts[ended]
	noted.ended, noted.how = time.Now(), how
	runner.fleet.record.line("runner %s: end of %s, attempt %d: %s", runner.id, ended.task, ended.attempt, how)
}

// stop stops a run that is there, within stopTime, and refuses it from now on. The caller holds the lock.
func (runner *runner) stop(life *life, command order) {
	life.lastEnded[command.Task] = max(life.lastEnded[command.Task], command.Attempt)
	if active, ok := life.running[key(command.Task, command.Attempt)]; ok && !active.stopping {
		active.stopping = true
		time.AfterFunc(stopTime, func() {
			runner.mu.Lock()
			defer runner.mu.Unlock()
			if runner.life == life {
				runner.end(life, active, "stopped")
			}
		})
	}
}

// hold extends the lease, forgets acknowledged ends, and answers with both lists as soon as there is an end. The caller holds the
// lock, which hold gives back.
func (runner *runner) hold(life *life, command order, writer http.ResponseWriter, request *http.Request) {
	defer runner.mu.Unlock()
	if command.DeadlineMS > 0 {
		runner.extend(life, command.DeadlineMS)
	}
	kept := life.finished[:0:0]
	for _, row := range life.finished {
		if row[0].(int64) > command.AckCursor {
			kept = append(kept, row)
		}
	}
	life.finished = kept
	deadline := time.NewTimer(time.Duration(min(command.WaitMS, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := command.WaitMS > 0; waiting && len(life.finished) == 0; {
		changed := life.changed
		runner.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-request.Context().Done():
			waiting = false
		}
		runner.mu.Lock()
		if runner.life != life {
			return
		}
	}
	running := make([][]any, 0, len(life.running))
	for _, active := range life.running {
		running = append(running, []any{active.task, active.attempt, "", 50, active.cpu})
	}
	finished := life.finished
	if finished == nil {
		finished = [][]any{}
	}
	respond(writer, http.StatusOK, map[string]any{
		"clockMs": time.Since(life.born).Milliseconds(), "born": life.born.UnixMilli(), "running": running, "finished": finished[:min(len(finished), 500)],
	})
}
